//! Keys of callers and authentication between hosts.

pub mod announcement;
pub mod authentication;
pub mod host;
pub mod key;
