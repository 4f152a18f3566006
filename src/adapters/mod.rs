//! Adapters to sockets, disks, clocks, logs and metrics.

pub mod bus;
pub mod disk;
pub mod disk_queue;
pub mod fencing;
pub mod log;
pub mod operator_http;
