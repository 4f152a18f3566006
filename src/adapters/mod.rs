//! Adapters to sockets, disks, clocks, logs and metrics.

pub mod backend;
pub mod backend_startup;
pub mod bus;
pub mod caller;
pub mod log;
pub mod peer;
