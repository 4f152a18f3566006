//! Messages between entry hosts and control hosts.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    ids::{ControlId, Epoch, HostId, InstanceId, Mark, Revision, Service, Term},
    state::model::{Change, ClusterView, Host, InstanceSpec, Role},
    wire::group::GroupMessage,
};

/// Message on the bus.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Between control hosts.
    Group(GroupMessage),
    /// Entry host to control host.
    RenewRequest(RenewRequest),
    /// Control host to entry host.
    RenewResponse(RenewResponse),
}

/// Lease renewal that an entry host sends to the control leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    pub host: Host,
    /// Sender's monotonic time; the answer echoes it.
    pub sent_at: Millis,
    /// Revision that is in force at the sender.
    pub revision: Revision,
    /// Sender has no work left and may be removed.
    pub stopped: bool,
    /// Structural changes of announced instances.
    pub announced: Vec<InstanceSpec>,
    pub observations: Vec<Observation>,
    pub releases: Vec<Release>,
}

/// What an owner knows of one of its instances; sent while a fault is suspected,
/// when a primary announces itself, and otherwise rarely.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    pub service: Service,
    pub instance: InstanceId,
    pub role: Role,
    /// Last known position; its term is the term that the instance has accepted.
    pub position: Mark,
    /// Time since the instance last heard its primary; for a primary, time since
    /// its owner last had an answer from it.
    pub silent_ms: u64,
}

/// Report that an owner holds at most `kept` connections to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    pub instance: InstanceId,
    pub epoch: Epoch,
    pub kept: u32,
}

/// Answer to a [`RenewRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewResponse {
    /// Lease that counts from `echo` on the sender's clock.
    Lease { echo: Millis, lease: Millis, update: Update },
    /// Receiver does not lead; `leader` may.
    NotLeader { leader: Option<ControlId> },
    /// Incarnation was removed; the host must restart under a new one.
    Removed { host: HostId },
}

/// Changes that a host lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    None,
    /// Changes that lead from revision `from` to revision `to`.
    Delta {
        from: Revision,
        to: Revision,
        changes: Vec<Change>,
    },
    /// Full state for a host that is too far behind.
    Snapshot(Box<ClusterView>),
}

/// Body of `POST /fence` on a target instance: stop accepting older terms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    pub term: Term,
}

/// Body of `POST /promote` on a target instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromoteRequest {
    pub term: Term,
}

/// Answer to a fence or promote request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceResponse {
    /// Whether the instance is now at the requested term.
    pub accepted: bool,
    /// Largest term that the instance has accepted.
    pub term: Term,
    /// Term and position of the last entry in the instance's log.
    pub last: Mark,
}
