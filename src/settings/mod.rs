//! Settings of each area, with defaults.

pub mod control;
pub mod log;
pub mod operator;
pub mod owner;
pub mod promotion;
pub mod routing;
pub mod session;
pub mod target;
