//! Settings of each area, with defaults.
