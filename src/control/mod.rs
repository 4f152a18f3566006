//! Control group: replicated log, elections, leases of entry hosts.

pub mod campaign;
pub mod core;
pub mod driver;
pub mod election;
pub mod follower;
pub mod formation;
pub mod held;
pub mod leader;
pub mod leases;
pub mod log;
pub mod membership;
pub mod node;
pub mod operators;
pub mod outputs;
pub mod promotions;
pub mod renewals;
pub mod replication;
pub mod report;
pub mod runtime;
pub mod snapshot;
pub mod status;
pub mod storage;
pub mod writes;
