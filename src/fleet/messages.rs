//! Messages between the hosts of a fleet, encoded with postcard in length-prefixed frames.
//!
//! Fields that are skipped by serde are extensions: [`link`](crate::fleet::link) appends
//! them to the frame. Builds that do not know an extension ignore it, and its field is
//! `None` in frames of such a build.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    fleet::allocation::Fraction,
    gateway::{
        job::{Job, JobError},
        load_signal::LoadReport,
        statement::Answer,
    },
    ids::{FailureDomain, HostId, Incarnation, InstanceId, Mark, Service, Workspace},
    wire::group::GroupMessage,
};

/// Message on a connection to a control host or between entry hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Frame {
    Group(GroupMessage),
    Report(HostReport),
    Update(HostUpdate),
    /// Answer to a report from a control host that is not the leader.
    NotLeader(Redirect),
    /// Job for the owner of a target. Requests of the same stream, unless it is 0, use one
    /// connection to the target while a transaction is open on it.
    Request {
        request_id: u64,
        stream: u64,
        job: Job,
    },
    Response {
        request_id: u64,
        result: Result<Answer, JobError>,
        /// Result of the statement that the job carries.
        #[serde(skip)]
        then: Option<Result<Answer, JobError>>,
    },
    /// Last message of the stream; an open transaction is rolled back. Stream 0 has none: its
    /// message cancels a request.
    EndStream {
        stream: u64,
        /// Request whose answer the sender no longer waits for.
        #[serde(skip)]
        cancelled: Option<u64>,
    },
    Ping {
        #[serde(skip)]
        tokens: Option<TokenRequest>,
        /// Commit that the sender is about to acknowledge, to be reported by the receiver as well.
        /// Only sent with a request, whose answer confirms it; builds that do not know it answer
        /// the request alone.
        #[serde(skip)]
        commit: Option<CommitNotice>,
    },
    Pong {
        #[serde(skip)]
        tokens: Option<TokenGrant>,
        /// Load of a busy host; `None` from one that is not, or whose build does not tell.
        #[serde(skip)]
        load: Option<LoadReport>,
    },
}

/// Bus addresses of the leader, if the sender knows it, and of all control hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    pub leader: Option<String>,
    pub members: Vec<String>,
}

/// Periodic report of an entry host to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostReport {
    pub host: HostId,
    pub incarnation: Incarnation,
    /// Time by the sender's clock; the leader's answer echoes it.
    pub sent_at: Millis,
    pub config_version: u64,
    pub view_revision: ViewRevision,
    /// Address at which other entry hosts reach the host.
    pub bus_addr: String,
    pub domain: FailureDomain,
    /// The host is about to stop and must not own targets.
    pub leaving: bool,
    /// Callers' operations since the last report.
    pub usage: Vec<Usage>,
    pub targets: Vec<TargetHealth>,
    /// Newest commit of each service whose acknowledgement the host has seen.
    pub acknowledged: Vec<(Service, Mark)>,
    /// Targets that the host knows; sent to a new leader, which may have received no
    /// announcements yet.
    pub known_targets: Vec<Announcement>,
    /// Allocations that the host applies; `None` if its build knows no allocations.
    #[serde(skip)]
    pub limits: Option<LimitReport>,
    /// Load of a busy host; `None` from one that is not, or whose build does not tell. It is
    /// only sent with the limits.
    #[serde(skip)]
    pub load: Option<LoadReport>,
}

/// Entry host's state of its allocations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Newest allocations that the host has applied completely.
    pub revision: AllocationRevision,
    /// Tokens that the host gave up when it applied them.
    pub released: Vec<(Workspace, u32)>,
}

/// Revision of the allocations of one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AllocationRevision {
    /// Term of the leader.
    pub term: u64,
    pub number: u64,
}

/// Operations of a workspace on one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub workspace: Workspace,
    /// Operations that callers sent.
    pub offered: u32,
    /// Operations that the host admitted.
    pub admitted: u32,
}

/// Recent health of a target as seen by one entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    Answering,
    /// Requests have been unanswered for the given time.
    Failing(Millis),
}

/// Health of a target as seen by one entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHealth {
    pub id: InstanceId,
    pub health: Health,
}

/// Revision of the leader's view. Numbers of different terms cannot be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ViewRevision {
    pub term: u64,
    pub number: u64,
}

/// Leader's answer to a report, or a change that it pushes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostUpdate {
    /// `sent_at` of the host's newest report.
    pub echo: Millis,
    /// Duration of the lease, which starts at `echo`; zero if none is granted.
    pub lease: Millis,
    pub config: Option<ConfigDocument>,
    pub view: Option<FleetView>,
    /// For hosts whose build knows no allocations: shares of all workspaces, if they
    /// changed.
    pub shares: Option<Vec<Share>>,
    /// For hosts whose build knows no allocations: fractions of the limits that they may use
    /// without contact.
    pub demand_fractions: Option<Vec<(Workspace, f32)>>,
    /// `None` from a leader whose build knows no allocations.
    #[serde(skip)]
    pub limits: Option<LimitUpdate>,
    /// Status of the configuration in the report of `echo`; `None` in an update that answers no
    /// report, and from a leader whose build does not send it.
    #[serde(skip)]
    pub config_status: Option<ConfigStatus>,
}

/// Whether the configuration that a host has reported is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigStatus {
    /// Time since a newer one was committed; zero if there is none.
    SupersededFor(Millis),
    /// Superseded before the leader can tell.
    Outdated,
}

/// Leader's update of a host's allocations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Revision that the host should have; the lease of older ones is not extended.
    pub revision: AllocationRevision,
    /// Allocations of this host, if they changed; it may use nothing of other workspaces.
    pub allocations: Option<Vec<Allocation>>,
}

/// Part of a workspace's limit that a host may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    pub workspace: Workspace,
    pub fraction: Fraction,
    /// Tokens that other hosts have given up for this one; they count once per revision.
    pub tokens: u32,
}

/// Request of an entry host for tokens that another one holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    pub request_id: u64,
    pub workspace: Workspace,
    pub wanted: u32,
}

/// Commit that a host is about to acknowledge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitNotice {
    pub service: Service,
    pub position: Mark,
}

/// Answer to a [`TokenRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    pub request_id: u64,
    /// Tokens that the requesting host may use until they expire.
    pub tokens: u32,
    /// Time until a further token is expected, if the request was not met.
    pub retry_after: Millis,
}

/// Operator's configuration document as it was sent, compressed with DEFLATE.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    pub version: u64,
    pub deflated: Bytes,
}

/// Share of a workspace's rate that a host may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub workspace: Workspace,
    pub rate: f32,
    pub burst: f32,
}

/// Leader's view of hosts, targets and primaries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    pub revision: ViewRevision,
    /// Entry hosts that may own targets.
    pub hosts: Vec<EntryHost>,
    pub targets: Vec<Announcement>,
    pub primaries: Vec<Primary>,
    /// Bus addresses of the control hosts.
    pub control_addrs: Vec<String>,
    /// Targets that may be promoted at any time.
    #[serde(skip)]
    pub successors: Vec<Successor>,
    /// Failure domains that are out of use: their targets get no statements.
    #[serde(skip)]
    pub evacuated: Vec<FailureDomain>,
}

/// Target that may be promoted at any time: a commit of its service is acknowledged only once it
/// holds the commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Successor {
    pub service: Service,
    pub id: InstanceId,
}

/// Entry host as other entry hosts see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    pub id: HostId,
    pub addr: String,
    pub domain: FailureDomain,
}

/// Primary of a service, if it is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Primary {
    pub service: Service,
    pub id: Option<InstanceId>,
    /// Whether the primary may be changing: a host must then query its role before a read
    /// that needs the latest state.
    pub changing: bool,
}

/// Announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    pub id: InstanceId,
    pub service: Service,
    pub addr: String,
    pub domain: FailureDomain,
    pub draining: bool,
    pub role: TargetRole,
    pub slots: u32,
    /// Unix time in milliseconds at which the process started; orders processes that use the
    /// same id or address.
    pub started_at_ms: u64,
    /// Sequence number of the announcement within one process.
    pub sequence: u64,
    /// Remaining time for which the target is slow after its start.
    pub warmup_remaining: Millis,
}

/// Role that a target reports for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetRole {
    Primary,
    Replica,
}
