//! Adapters to sockets, disks, clocks, logs and metrics.

pub mod caller;
pub mod peer;
pub mod log;
pub mod bus;
pub mod log;
