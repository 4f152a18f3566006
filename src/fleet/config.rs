//! Configuration of a fleet: routes, services, workspaces and their limits.
//!
//! The control group stores the operator's document as it was sent. The adapter parses and
//! validates it, and every process keeps it in this parsed form.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{Service, Workspace},
};

/// Consistency of the reads on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Reads see every acknowledged commit.
    Primary,
    /// Reads see all commits acknowledged longer ago than the given staleness.
    BoundedStaleness(Millis),
    /// As [`Self::BoundedStaleness`], and reads see all commits of their own session.
    ReadYourWrites(Millis),
}

impl Consistency {
    /// Maximum staleness of the data; `None` if no staleness is allowed.
    pub fn max_staleness(self) -> Option<Millis> {
        match self {
            Self::Primary => None,
            Self::BoundedStaleness(staleness) | Self::ReadYourWrites(staleness) => Some(staleness),
        }
    }
}

/// Route from a database name to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRoute {
    pub service: Service,
    pub consistency: Consistency,
    pub statement_timeout: Millis,
    /// Time within which callers expect an operation to complete.
    pub target_latency: Millis,
    /// Priority under load; 0 is served first.
    pub priority: u32,
    /// Whether callers need no API key.
    pub allow_anonymous: bool,
}

/// Settings that all targets of a service share.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetService {
    /// Maximum number of connections to one target from all hosts together.
    pub max_connections: u32,
    /// Number of replicas that must hold a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Time for which a target is cold after its failure domain was restored.
    pub cold_time: Millis,
    /// Statements per 1,000 seconds that a cold target may get from all hosts together; `None` if
    /// they are not limited.
    pub max_cold_rate_millis: Option<u64>,
}

/// Rate limit of a workspace over all hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetWorkspace {
    /// Operations per second.
    pub rate: u32,
    /// Operations that may exceed the rate at once.
    pub burst: u32,
}

/// Configuration of a fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetConfig {
    pub version: u64,
    /// Routes by database name.
    pub routes: IndexMap<Arc<str>, Arc<FleetRoute>>,
    pub services: IndexMap<Service, FleetService>,
    pub workspaces: IndexMap<Workspace, FleetWorkspace>,
    /// Workspace of each API key.
    pub api_keys: IndexMap<Arc<str>, Workspace>,
    /// Longest time that a transaction may be idle.
    pub transaction_idle_timeout: Millis,
}
