//! Messages between entry hosts and control hosts, and requests to targets.

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    ids::{ControlId, Epoch, HostId, InstanceId, Mark, Revision, Service, Term},
    state::model::{Change, ClusterView, Host, InstanceSpec, Role},
    wire::group::GroupMessage,
};

/// Message on the message bus.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// From one control host to another.
    Group(GroupMessage),
    /// From an entry host to a control host.
    RenewRequest(RenewRequest),
    /// From a control host to an entry host.
    RenewResponse(RenewResponse),
}

/// Request of an entry host to the control leader to renew its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    pub host: Host,
    /// Sender's monotonic time, echoed in the response.
    pub sent_at: Millis,
    /// Revision of the cluster view that the sender has applied.
    pub revision: Revision,
    /// The sender has finished its work and may be removed.
    pub stopped: bool,
    /// Announced instances that are new or differ from the sender's view.
    pub announced: Vec<InstanceSpec>,
    pub observations: Vec<Observation>,
    pub releases: Vec<Release>,
}

/// State of an instance as its owner knows it; sent while a failure is suspected,
/// when a primary announces itself, and otherwise rarely.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    pub service: Service,
    pub instance: InstanceId,
    pub role: Role,
    /// Last known log position; its term is the one that the instance has accepted.
    pub position: Mark,
    /// Time since the instance last heard from its primary; for a primary, time since
    /// its owner last received a response from it.
    pub silent_ms: u64,
}

/// Confirmation that an owner holds at most `kept` connections to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    pub instance: InstanceId,
    pub epoch: Epoch,
    pub kept: u32,
}

/// Response to a [`RenewRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewResponse {
    /// Grants a lease that starts at `echo`, a time on the requester's clock.
    Lease { echo: Millis, lease: Millis, update: Update },
    /// The responder is not the leader; `leader` is the one it knows of.
    NotLeader { leader: Option<ControlId> },
    /// The requester's incarnation was removed; the host must restart with a new one.
    Removed { host: HostId },
}

/// Changes to the cluster view since the revision that a host has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    None,
    /// Changes from revision `from` to revision `to`.
    Delta {
        from: Revision,
        to: Revision,
        changes: Vec<Change>,
    },
    /// Complete view, for a host that is too far behind for a delta.
    Snapshot(Box<ClusterView>),
}

/// Body of `POST /fence`, which tells a target instance to reject older terms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    pub term: Term,
}

/// Body of `POST /promote`, which makes a target instance the primary of `term`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromoteRequest {
    pub term: Term,
}

/// Response to a [`FenceRequest`] or [`PromoteRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceResponse {
    /// Whether the instance is now at the requested term.
    pub accepted: bool,
    /// Largest term that the instance has accepted.
    pub term: Term,
    /// Term and position of the last entry in the instance's log.
    pub last: Mark,
}
