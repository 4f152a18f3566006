//! Settings of each area, with defaults.

pub mod routing;
pub mod session;
