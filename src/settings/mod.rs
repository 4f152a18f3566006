//! Settings of each area, with defaults.

pub mod control;
pub mod finding;
pub mod log;
pub mod operator;
pub mod owner;
pub mod promotion;
pub mod timing;
