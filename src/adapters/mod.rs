//! Adapters to sockets, disks, clocks, logs and metrics.

pub mod bus;
pub mod caller;
pub mod log;
pub mod peer;
pub mod backend;
pub mod backend_startup;
