//! Keys of callers and authentication between hosts.
