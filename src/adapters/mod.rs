//! Adapters to sockets, disks, clocks, logs and metrics.

pub mod backend;
pub mod backend_startup;
