//! Control group: replicated log, elections, leases of entry hosts.

pub mod campaign;
pub mod election;
pub mod follower;
pub mod leader;
pub mod leases;
pub mod log;
pub mod membership;
pub mod node;
pub mod replication;
pub mod snapshot;
pub mod storage;
