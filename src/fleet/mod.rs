//! Control plane of a fleet whose entry hosts and targets are discovered at run time.
//!
//! The control group replicates the configuration, unfinished promotions and the inventory
//! of targets and hosts in its log. The leases of entry hosts and their shares of the rate
//! limits are kept only in the leader's memory, and are rebuilt after a leader change.

pub mod config;
pub mod control;
pub mod document;
pub mod failover;
pub mod group_io;
pub mod hosts;
pub mod inventory;
pub mod inventory_sync;
pub mod leader;
pub mod link;
pub mod messages;
pub mod metrics;
pub mod primary_change;
pub mod rate_allocator;
pub mod registry;
pub mod runtime;
pub mod state;
