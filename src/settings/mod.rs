//! Settings of each area, with defaults.

pub mod owner;
pub mod promotion;
