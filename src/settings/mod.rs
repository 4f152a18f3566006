//! Settings of each area, with defaults.

pub mod log;
pub mod operator;
