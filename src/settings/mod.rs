//! Settings of each area, with defaults.

pub mod control;
pub mod log;
pub mod operator;
