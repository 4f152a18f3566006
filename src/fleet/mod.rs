//! Control of a fleet of entry hosts whose members are discovered at run time.
//!
//! The control group keeps the configuration, the promotions that have begun and the
//! known targets in its log. Leases of entry hosts and the division of rates are in
//! the leader's memory and are learned again after a change of leader.

pub mod change;
pub mod config;
pub mod control;
pub mod document;
pub mod failover;
pub mod group_io;
pub mod hosts;
pub mod inventory;
pub mod leader;
pub mod link;
pub mod messages;
pub mod metrics;
pub mod registry;
pub mod runtime;
pub mod shares;
pub mod state;
pub mod takeover;
