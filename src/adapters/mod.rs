//! Adapters to sockets, disks, clocks, logs and metrics.

pub mod http;
pub mod metrics;
