//! Keys of callers and authentication between hosts.

pub mod announcement;
pub mod check;
pub mod host;
pub mod key;
