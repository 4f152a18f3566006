//! Settings of each area, with defaults.

pub mod arguments;
pub mod load;
pub mod target;
