//! Settings of each area, with defaults.

pub mod http;
pub mod limits;
pub mod retry;
pub mod routing;
pub mod session;
