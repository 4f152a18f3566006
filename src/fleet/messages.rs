//! Messages of a fleet, encoded with postcard in length-prefixed frames.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    gateway::{
        job::{Job, JobError},
        statement::Answer,
    },
    ids::{FailureDomain, HostId, Incarnation, InstanceId, Mark, Service, Workspace},
    wire::group::GroupMessage,
};

/// Message on a connection to a control host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Frame {
    Group(GroupMessage),
    Report(HostReport),
    Update(HostUpdate),
    /// Answer to a report at a host that does not lead.
    NotLeader(Redirect),
    /// Work for the owner of a target. Calls with the same stream, unless it is 0, use
    /// one connection as long as a transaction is open on it.
    Request {
        request_id: u64,
        stream: u64,
        job: Job,
    },
    Response {
        request_id: u64,
        result: Result<Answer, JobError>,
    },
    /// Nothing more comes on the stream; an open transaction is rolled back.
    EndStream {
        stream: u64,
    },
    Ping,
    Pong,
}

/// Where the leader is, as far as the sender knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    pub leader: Option<String>,
    pub members: Vec<String>,
}

/// State of an entry host, sent to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostReport {
    pub host: HostId,
    pub incarnation: Incarnation,
    /// Sender's clock; the answer echoes it.
    pub sent_at: Millis,
    pub config_version: u64,
    pub view_revision: ViewRevision,
    /// Address for other entry hosts.
    pub bus_addr: String,
    pub domain: FailureDomain,
    /// Host is about to stop and must not own targets.
    pub leaving: bool,
    /// Operations of callers since the last report.
    pub usage: Vec<Usage>,
    pub targets: Vec<TargetHealth>,
    /// Newest acknowledged commit of each service.
    pub acknowledged: Vec<(Service, Mark)>,
    /// Targets that the host knows; sent to a new leader, which has heard none.
    pub known_targets: Vec<Announcement>,
}

/// Operations of a workspace at one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub workspace: Workspace,
    /// Operations that callers sent.
    pub offered: u32,
    /// Operations that the host admitted.
    pub admitted: u32,
}

/// How a target answered an entry host lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    Answering,
    /// No answer for the span, although there were requests.
    Failing(Millis),
}

/// Health of one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHealth {
    pub id: InstanceId,
    pub health: Health,
}

/// Revision of the leader's view; revisions of different terms are unrelated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ViewRevision {
    pub term: u64,
    pub number: u64,
}

/// Answer to a report, or a change that is pushed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostUpdate {
    /// `sent_at` of the newest report of the host.
    pub echo: Millis,
    /// Lease from `echo` on; zero if the host gets none.
    pub lease: Millis,
    pub config: Option<ConfigDocument>,
    pub view: Option<FleetView>,
    /// Workspaces that are limited, if that changed; all others are not.
    pub shares: Option<Vec<Share>>,
    /// Parts of the workspaces' demands that the host has.
    pub demand_fractions: Option<Vec<(Workspace, f32)>>,
}

/// Operator's document as it was sent, compressed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    pub version: u64,
    pub deflated: Bytes,
}

/// Part of a workspace's rate that a host may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub workspace: Workspace,
    pub rate: f32,
    pub burst: f32,
}

/// Targets and primaries as the leader knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    pub revision: ViewRevision,
    /// Entry hosts that may own targets.
    pub hosts: Vec<EntryHost>,
    pub targets: Vec<Announcement>,
    pub primaries: Vec<Primary>,
    pub control_addrs: Vec<String>,
}

/// Entry host for other entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    pub id: HostId,
    pub addr: String,
    pub domain: FailureDomain,
}

/// Primary of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Primary {
    pub service: Service,
    pub id: Option<InstanceId>,
    /// Whether the primary is about to change: a host must ask it for its role
    /// before a read that needs the newest state.
    pub changing: bool,
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    pub id: InstanceId,
    pub service: Service,
    pub addr: String,
    pub domain: FailureDomain,
    pub draining: bool,
    pub role: TargetRole,
    pub slots: u32,
    /// Unix time of the process's start in milliseconds; orders processes that use
    /// the same id or address.
    pub started_at_ms: u64,
    /// Number of the announcement within one process.
    pub sequence: u64,
    /// How much longer the target is slow after its start.
    pub warmup_remaining: Millis,
}

/// Part that a target plays, as it sees itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetRole {
    Primary,
    Replica,
}
