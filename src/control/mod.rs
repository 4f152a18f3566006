//! Control group: replicated log, elections, leases of entry hosts.

pub mod bootstrap;
pub mod deferred;
pub mod driver;
pub mod election;
pub mod event_loop;
pub mod follower;
pub mod group_log;
pub mod leader;
pub mod leases;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod outputs;
pub mod persistence;
pub mod promotions;
pub mod renewals;
pub mod replication;
pub mod runtime;
pub mod service_state;
pub mod snapshot;
pub mod status;
pub mod storage;
pub mod voter_changes;
pub mod voting;
