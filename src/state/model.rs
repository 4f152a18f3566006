//! Types of the replicated state.
//!
//! [`ClusterView`] is the part that entry hosts receive too; [`ClusterState`] adds what
//! only control hosts need. Only the state machine changes them.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{
    ApplyId, ControlId, Epoch, FailureDomain, HostId, Incarnation, InstanceId, KeyId, Revision,
    Service, Term, Workspace,
};

/// Desired state, as described by an operator's configuration file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    pub services: IndexMap<Service, ServiceSpec>,
    pub routes: Vec<Route>,
    pub workspaces: IndexMap<Workspace, WorkspaceSpec>,
    pub hosts: IndexMap<HostId, HostSpec>,
    pub drains: Vec<Drain>,
}

/// Database that is replicated over several instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Number of instances; a majority of them must hold a write.
    pub instances: u32,
}

/// Kind of statement to which a route applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    #[display("select")]
    Select,
    #[display("insert")]
    Insert,
    #[display("update")]
    Update,
    #[display("delete")]
    Delete,
}

impl Action {
    /// Whether statements of this kind change data.
    pub fn is_write(self) -> bool {
        self != Action::Select
    }
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Callers with a key of a workspace that may use the service.
    #[display("keyed")]
    Keyed,
    /// All callers, also those without a key.
    #[display("open")]
    Open,
}

/// Rules for one kind of statement on one table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub service: Service,
    pub table: String,
    pub action: Action,
    pub access: Access,
    /// Whether running the statement twice has the same effect as running it once.
    pub idempotent: bool,
    /// Maximum age of data read from a replica; `None` reads from the primary only.
    pub max_staleness_ms: Option<u64>,
}

/// Workspace with its limits and keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceSpec {
    /// Statements per second, over all hosts together.
    pub rate: u32,
    /// Number of statements that may run at once in excess of the rate.
    pub burst: u32,
    pub services: Vec<Service>,
    pub keys: IndexMap<KeyId, KeySpec>,
}

/// Verifier and state of a key; contains no secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySpec {
    /// Salted hash of the secret, in hexadecimal.
    pub verifier: String,
    pub state: KeyState,
}

/// Whether a key may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "lowercase")]
pub enum KeyState {
    #[display("active")]
    Active,
    #[display("withdrawn")]
    Withdrawn,
}

/// Expected entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSpec {
    pub failure_domain: FailureDomain,
}

/// Host or target instance that must not get new work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum Drain {
    #[display("host {_0}")]
    Host(HostId),
    #[display("instance {_0}")]
    Instance(InstanceId),
}

/// Live entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    pub id: HostId,
    pub incarnation: Incarnation,
    pub failure_domain: FailureDomain,
    /// Address on which the host listens for other entry hosts.
    pub peer_addr: String,
    /// Address on which the host listens for control messages.
    pub bus_addr: String,
    /// Whether the host is stopping and must not get ownership.
    pub leaving: bool,
}

/// Permission of a host to open connections to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub epoch: Epoch,
    /// Maximum number of connections that the host may hold.
    pub connections: u32,
}

/// Role that an instance reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    #[display("primary")]
    Primary,
    #[display("replica")]
    Replica,
}

/// Announced properties of an instance that rarely change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceSpec {
    pub id: InstanceId,
    pub service: Service,
    pub failure_domain: FailureDomain,
    pub incarnation: Incarnation,
    pub sql_addr: String,
    pub http_addr: String,
    pub slots: u32,
    /// Maximum number of connections that the instance accepts.
    pub connections: u32,
    /// Whether the instance has announced that it is leaving.
    pub leaving: bool,
}

/// Instance with its current and earlier owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    pub spec: InstanceSpec,
    pub owner: Option<Assignment>,
    /// Earlier owner that still holds connections. The connections of both assignments
    /// together stay within the instance's limit.
    pub previous: Option<Assignment>,
}

/// Replication group of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    pub term: Term,
    pub primary: Option<InstanceId>,
    pub promotion: Option<Promotion>,
}

/// Promotion that was started and not yet finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promotion {
    pub term: Term,
    /// Instance to prefer as the primary in a planned promotion.
    pub preferred: Option<InstanceId>,
}

/// State that is replicated to every entry host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    pub revision: Revision,
    /// Version of the accepted file.
    pub version: u64,
    pub desired: DesiredState,
    pub hosts: IndexMap<HostId, Host>,
    pub instances: IndexMap<InstanceId, Instance>,
    pub groups: IndexMap<Service, Group>,
}

/// State that control hosts replicate among themselves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    pub view: ClusterView,
    /// Largest epoch of all assignments so far.
    pub epoch: Epoch,
    pub audit: Vec<AuditEntry>,
    /// Answers to recent apply requests, oldest first.
    pub answers: IndexMap<ApplyId, ApplyAnswer>,
    /// Text of the accepted file.
    pub file: String,
}

/// Change of one item in the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    pub revision: Revision,
    /// Wall-clock time of the proposal, as a Unix timestamp in milliseconds; 0 if
    /// the change has no time, such as a promotion.
    pub at_unix_ms: u64,
    /// Operator or component that made the change.
    pub actor: String,
    /// What changed, without secrets.
    pub item: String,
    pub before: String,
    pub after: String,
}

/// Answer to an apply request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "lowercase")]
pub enum ApplyAnswer {
    /// The file takes effect at `revision`.
    #[display("accepted as version {version} at revision {revision}")]
    Accepted { version: u64, revision: Revision },
    /// Another file was accepted first.
    #[display("conflict: version {expected} was expected, version {current} is in force")]
    Conflict { expected: u64, current: u64 },
}

/// Command in the replicated log of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Has no effect; a new leader uses it to commit the entries of earlier leaders.
    Noop,
    Apply(Box<ApplyCommand>),
    HostJoined(Host),
    HostLeaving {
        host: HostId,
        incarnation: Incarnation,
    },
    /// The host has stopped or its lease has expired.
    HostLeft {
        host: HostId,
        incarnation: Incarnation,
    },
    InstanceAnnounced(InstanceSpec),
    /// The earlier owner holds at most `kept` connections from now on.
    OwnershipReleased {
        instance: InstanceId,
        epoch: Epoch,
        kept: u32,
    },
    PromotionStarted {
        service: Service,
        term: Term,
        preferred: Option<InstanceId>,
        reason: String,
    },
    PromotionFinished {
        service: Service,
        term: Term,
        primary: InstanceId,
    },
    /// An instance has announced itself as the first primary of a group.
    PrimaryObserved {
        service: Service,
        term: Term,
        primary: InstanceId,
    },
    /// Adds a control host whose log has caught up, or removes one.
    Membership {
        add: Option<(ControlId, String)>,
        remove: Option<ControlId>,
    },
}

/// Apply request of an operator. Its id and expected version ensure that it is accepted
/// at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyCommand {
    pub id: ApplyId,
    pub operator: String,
    pub at_unix_ms: u64,
    pub expected_version: u64,
    pub file: String,
    pub desired: DesiredState,
}

/// Change of one item of the view, sent to entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Version(u64),
    Service(Service, Option<ServiceSpec>),
    /// All routes of one service, in the order of the file.
    Routes(Service, Vec<Route>),
    Workspace(Workspace, Option<WorkspaceSpec>),
    ExpectedHost(HostId, Option<HostSpec>),
    Drains(Vec<Drain>),
    Host(HostId, Option<Host>),
    Instance(InstanceId, Option<Instance>),
    Group(Service, Group),
}
