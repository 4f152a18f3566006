//! Configuration of a fleet: routes, services, workspaces and their limits.
//!
//! The adapter decodes and checks the operator's document; the control group keeps
//! the document as it was sent, and every process holds this form of it.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{Service, Workspace},
};

/// Which reads a route accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit.
    Primary,
    /// Commits acknowledged longer ago than the span.
    BoundedStaleness(Millis),
    /// As [`Self::BoundedStaleness`], and all commits of the own session.
    ReadYourWrites(Millis),
}

impl Consistency {
    /// Largest age of the data, if the route allows any.
    pub fn max_staleness(self) -> Option<Millis> {
        match self {
            Self::Primary => None,
            Self::BoundedStaleness(age) | Self::ReadYourWrites(age) => Some(age),
        }
    }
}

/// Route from a database name to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRoute {
    pub service: Service,
    pub consistency: Consistency,
    /// Longest time for one statement.
    pub statement_timeout: Millis,
    /// Time within which callers want an operation to end.
    pub target_latency: Millis,
    /// Rank under load; 0 is served first.
    pub priority: u32,
    /// Whether callers need no key.
    pub allow_anonymous: bool,
}

/// Service with its targets' common settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetService {
    /// Connections that one target accepts from all hosts together.
    pub max_connections: u32,
    /// Replicas that must hold a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// Limits of a workspace, counted over all hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetWorkspace {
    /// Operations per second.
    pub rate: u32,
    /// Operations beyond the rate at once.
    pub burst: u32,
}

/// Configuration as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetConfig {
    pub version: u64,
    /// Routes by database name.
    pub routes: IndexMap<Arc<str>, Arc<FleetRoute>>,
    pub services: IndexMap<Service, FleetService>,
    pub workspaces: IndexMap<Workspace, FleetWorkspace>,
    /// Workspace of each key.
    pub api_keys: IndexMap<Arc<str>, Workspace>,
    /// Longest pause inside a transaction.
    pub transaction_idle_timeout: Millis,
}
