//! Command-line arguments, environment variables and internal settings with their
//! defaults, one module per binary or subsystem.

pub mod arguments;
pub mod control;
pub mod entry;
pub mod finding;
pub mod http;
pub mod limits;
pub mod load;
pub mod log;
pub mod operator;
pub mod owner;
pub mod promotion;
pub mod retry;
pub mod routing;
pub mod session;
pub mod session_limits;
pub mod target;
pub mod timing;
