//! JSON messages of the operator API, which control hosts serve over HTTP.
//!
//! | request | response |
//! |---|---|
//! | `POST /v1/apply` [`ApplyRequest`] | 200 [`ApplyResponse`], 409 [`ApplyResponse`] with a conflict, 422 [`InvalidFile`] |
//! | `GET /v1/status` | 200 [`StatusResponse`] |
//! | `GET /v1/audit?from=REVISION` | 200 [`AuditResponse`] |
//! | `GET /v1/file` | 200 [`FileResponse`] |
//!
//! Each request needs the header `Authorization: Bearer TOKEN`; a wrong token is
//! rejected with 401. A host that is not the leader responds with 421 and
//! [`NotLeader`], a leader without a majority with 503 and [`Unavailable`].

use serde::{Deserialize, Serialize};

use crate::{
    configuration::finding::Finding,
    ids::{
        ApplyId, ControlId, Epoch, FailureDomain, HostId, Incarnation, InstanceId, Revision,
        Service, Term,
    },
    state::model::{ApplyAnswer, AuditEntry},
};

pub const APPLY_PATH: &str = "/v1/apply";
pub const STATUS_PATH: &str = "/v1/status";
pub const AUDIT_PATH: &str = "/v1/audit";
pub const FILE_PATH: &str = "/v1/file";

/// New configuration file and the version that it replaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Idempotency key; a repeated request gets the response to the first one.
    pub id: ApplyId,
    pub operator: String,
    pub expected_version: u64,
    pub file: String,
    /// How long to wait for all live hosts to acknowledge the revision; 0 does not wait.
    pub wait_ms: u64,
}

/// Response to an [`ApplyRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyResponse {
    pub answer: ApplyAnswer,
    /// Live hosts that had not acknowledged the revision when the wait ended.
    pub pending_hosts: Vec<HostId>,
}

/// Response to a file with errors (422).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidFile {
    pub findings: Vec<Finding>,
}

/// Response of a host that is not the leader (421).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotLeader {
    pub leader: Option<ControlId>,
    /// Address of the leader's HTTP listener.
    pub leader_http_addr: Option<String>,
}

/// Response of a host that cannot serve the request now (503).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unavailable {
    pub reason: String,
}

/// Summary of the cluster's state.
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
    /// Whether the member is a voter.
    pub voting: bool,
    /// Time since its last response to the leader; `None` if there was none.
    pub silent_ms: Option<u64>,
}

/// Entry host that is live or in the configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    pub id: HostId,
    pub failure_domain: FailureDomain,
    pub incarnation: Option<Incarnation>,
    pub state: HostState,
    /// Revision that the host has acknowledged.
    pub revision: Option<Revision>,
}

/// Liveness and drain state of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    #[display("live")]
    Live,
    #[display("draining")]
    Draining,
    #[display("leaving")]
    Leaving,
    /// In the configuration file but not live.
    #[display("missing")]
    Missing,
}

/// Replication group of a service's instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    pub service: Service,
    pub term: Term,
    pub primary: Option<InstanceId>,
    /// Term of a running promotion.
    pub promotion: Option<Term>,
    /// Number of instances that have announced themselves.
    pub announced: u32,
    /// Number of instances in the configuration file.
    pub expected: u32,
}

/// Target instance with its current and previous owner.
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

/// Assignment of an instance to an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerStatus {
    pub host: HostId,
    pub epoch: Epoch,
    pub connections: u32,
}

/// Part of the audit log, oldest entry first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditResponse {
    pub entries: Vec<AuditEntry>,
}

/// Last accepted configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileResponse {
    pub version: u64,
    pub file: String,
}
