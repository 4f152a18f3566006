//! Control plane of a fleet whose entry hosts and targets are discovered at run time.
//!
//! The control group replicates the configuration, unfinished promotions, the inventory of targets
//! and hosts, the processes of the hosts, the allocations of the rate limits and the evacuations in
//! its log. The leases of entry hosts are kept only in the leader's memory, and are rebuilt after a
//! leader change.

mod allocated_host;
pub mod allocation;
mod candidate_proof;
mod change_reason;
mod commit_evidence;
pub mod config;
mod config_acknowledgement;
pub mod config_rollout;
pub mod control;
pub mod demand;
pub mod deposed;
pub mod document;
pub mod evacuation;
mod evacuation_acknowledgement;
pub mod evacuation_rollout;
pub mod failover;
mod failover_log;
mod failure_evidence;
pub mod group_io;
pub mod host_processes;
pub mod hosts;
pub mod inventory;
pub mod inventory_sync;
pub mod leader;
mod leader_state;
mod leadership;
mod lender_cache;
pub mod limits;
pub mod link;
pub mod loop_load;
mod loss_settlement;
pub mod lost_hosts;
pub mod messages;
pub mod metrics;
pub mod outstanding_calls;
pub mod primary_change;
mod promotion_safety;
pub mod rate_allocator;
pub mod rate_plan;
pub mod registry;
pub mod runtime;
pub mod service_failover;
pub mod shared_frames;
pub mod state;
mod stuck_change;
mod target_queries;
pub mod unfinished;
pub mod update_pacing;
