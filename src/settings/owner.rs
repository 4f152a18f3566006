//! Settings of an owner.
