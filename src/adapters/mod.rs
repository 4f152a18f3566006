//! Adapters to sockets, disks, clocks, logs and metrics.

pub mod log;
