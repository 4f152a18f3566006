//! Settings of each area, with defaults.

pub mod owner;
pub mod promotion;
pub mod log;
pub mod operator;
pub mod routing;
pub mod log;
pub mod operator;
pub mod control;
