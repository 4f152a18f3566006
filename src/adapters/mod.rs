//! Adapters to the network, the disk, the log and the metrics registry.

pub mod backend;
pub mod backend_startup;
pub mod bus;
pub mod byte_budget;
pub mod caller;
pub mod connection_slots;
pub mod disk;
pub mod disk_queue;
mod disk_record;
pub mod fencing;
pub mod folder;
pub mod http;
pub mod http_body;
pub mod http_server;
pub mod log;
pub mod metric_set;
pub mod metrics;
pub mod operator_http;
pub mod peer;
