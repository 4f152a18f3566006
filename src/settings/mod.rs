//! Settings of each area, with defaults.

pub mod target;
