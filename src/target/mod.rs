//! Stand-in database instance.
