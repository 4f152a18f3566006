//! Keys of callers and authentication between hosts.

pub mod host;
