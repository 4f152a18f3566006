//! JSON messages of the operators' HTTP API on control hosts.
//!
//! | request | answer |
//! |---|---|
//! | `POST /v1/apply` [`ApplyRequest`] | 200 [`ApplyResponse`], 409 [`ApplyResponse`] with a conflict, 422 [`InvalidFile`] |
//! | `GET /v1/status` | 200 [`StatusResponse`] |
//! | `GET /v1/audit?from=REVISION` | 200 [`AuditResponse`] |
//! | `GET /v1/file` | 200 [`FileResponse`] |
//!
//! Each request carries `Authorization: Bearer TOKEN`; 401 answers a wrong token.
//! A host that does not lead answers 421 with [`NotLeader`], a leader without a
//! majority answers 503 with [`Unavailable`].

use serde::{Deserialize, Serialize};

use crate::{
    configuration::finding::Finding,
    ids::{
        ApplyId, ControlId, Epoch, FailureDomain, HostId, Incarnation, InstanceId, Revision,
        Service, Term,
    },
    state::model::{ApplyAnswer, AuditEntry},
};

/// Path of the apply request.
pub const APPLY_PATH: &str = "/v1/apply";
/// Path of the status request.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the audit request.
pub const AUDIT_PATH: &str = "/v1/audit";
/// Path of the file request.
pub const FILE_PATH: &str = "/v1/file";

/// Operator's file with the version that it replaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifies the request; a repeated request gets the first answer.
    pub id: ApplyId,
    pub operator: String,
    pub expected_version: u64,
    pub file: String,
    /// How long to wait until live hosts have the revision; 0 does not wait.
    pub wait_ms: u64,
}

/// Answer to an [`ApplyRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyResponse {
    pub answer: ApplyAnswer,
    /// Live hosts that had not acknowledged the revision when the wait ended.
    pub pending_hosts: Vec<HostId>,
}

/// Answer to a file with faults (422).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidFile {
    pub findings: Vec<Finding>,
}

/// Answer of a host that does not lead (421).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotLeader {
    pub leader: Option<ControlId>,
    /// Address of the leader's HTTP listener.
    pub leader_http_addr: Option<String>,
}

/// Answer of a leader that cannot decide now (503).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unavailable {
    pub reason: String,
}

/// State of the cluster at a glance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    pub leader: Option<ControlId>,
    pub control: Vec<ControlStatus>,
    pub version: u64,
    pub revision: Revision,
    pub hosts: Vec<HostStatus>,
    pub groups: Vec<GroupStatus>,
    pub instances: Vec<InstanceStatus>,
}

/// Member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    pub id: ControlId,
    pub http_addr: Option<String>,
    /// Whether the member counts for majorities.
    pub voting: bool,
    /// Time since its last answer to the leader; `None` if there was none.
    pub silent_ms: Option<u64>,
}

/// Entry host, live or expected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    pub id: HostId,
    pub failure_domain: FailureDomain,
    pub incarnation: Option<Incarnation>,
    pub state: HostState,
    /// Revision that the host has acknowledged.
    pub revision: Option<Revision>,
}

/// State of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    #[display("live")]
    Live,
    #[display("draining")]
    Draining,
    #[display("leaving")]
    Leaving,
    /// In the file and not live.
    #[display("missing")]
    Missing,
}

/// Replication group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    pub service: Service,
    pub term: Term,
    pub primary: Option<InstanceId>,
    /// Term of a running promotion.
    pub promotion: Option<Term>,
    /// Instances that have announced themselves.
    pub announced: u32,
    pub expected: u32,
}

/// Instance with its owners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    pub id: InstanceId,
    pub service: Service,
    pub failure_domain: FailureDomain,
    pub draining: bool,
    pub connections: u32,
    pub owner: Option<OwnerStatus>,
    pub previous: Option<OwnerStatus>,
}

/// Assignment of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerStatus {
    pub host: HostId,
    pub epoch: Epoch,
    pub connections: u32,
}

/// Part of the audit trail, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditResponse {
    pub entries: Vec<AuditEntry>,
}

/// Accepted file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileResponse {
    pub version: u64,
    pub file: String,
}
