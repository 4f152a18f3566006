//! Types of the replicated state.
//!
//! [`ClusterView`] is the part that entry hosts receive; [`ClusterState`] adds
//! what only control hosts need. Only the state machine changes either.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{
    ApplyId, ControlId, Epoch, FailureDomain, HostId, Incarnation, InstanceId, KeyId, Revision,
    Service, Term, Workspace,
};

/// Desired state described by an operator's file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    pub services: IndexMap<Service, ServiceSpec>,
    pub routes: Vec<Route>,
    pub workspaces: IndexMap<Workspace, WorkspaceSpec>,
    pub hosts: IndexMap<HostId, HostSpec>,
    pub drains: Vec<Drain>,
}

/// Replicated database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Number of instances; a majority of them must hold a write.
    pub instances: u32,
}

/// Kind of statement that a route covers.
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
    /// Callers with a key of a workspace that has the service.
    #[display("keyed")]
    Keyed,
    /// All callers.
    #[display("open")]
    Open,
}

/// Rule for one kind of statement on one table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub service: Service,
    pub table: String,
    pub action: Action,
    pub access: Access,
    /// Whether running the statement twice has the effect of running it once.
    pub idempotent: bool,
    /// Accepted age of data read from a replica; `None` reads from the primary.
    pub max_staleness_ms: Option<u64>,
}

/// Workspace with its limits and keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceSpec {
    /// Statements per second over all hosts together.
    pub rate: u32,
    /// Statements above the rate that may run at once.
    pub burst: u32,
    pub services: Vec<Service>,
    pub keys: IndexMap<KeyId, KeySpec>,
}

/// Verifier of a key; holds nothing that opens a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySpec {
    /// Hexadecimal verifier.
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

/// Host or target that must get no new work.
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
    /// Address of the listener for other entry hosts.
    pub peer_addr: String,
    /// Address of the listener for control messages.
    pub bus_addr: String,
    /// Host is stopping and must get no ownership.
    pub leaving: bool,
}

/// Right of a host to open connections to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub epoch: Epoch,
    /// Connections that the host may hold.
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

/// Properties of an instance that rarely change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceSpec {
    pub id: InstanceId,
    pub service: Service,
    pub failure_domain: FailureDomain,
    pub incarnation: Incarnation,
    pub sql_addr: String,
    pub http_addr: String,
    pub slots: u32,
    /// Connections that the instance accepts.
    pub connections: u32,
    /// Instance has announced that it is leaving.
    pub leaving: bool,
}

/// Instance with its owners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    pub spec: InstanceSpec,
    pub owner: Option<Assignment>,
    /// Earlier owner that still holds connections; both sums stay within the limit.
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
    /// Preferred instance of a planned change.
    pub preferred: Option<InstanceId>,
}

/// State that every entry host holds.
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

/// State that control hosts replicate.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    pub view: ClusterView,
    /// Largest epoch assigned so far.
    pub epoch: Epoch,
    pub audit: Vec<AuditEntry>,
    /// Answers to recent apply requests, oldest first.
    pub answers: IndexMap<ApplyId, ApplyAnswer>,
    /// Text of the accepted file.
    pub file: String,
}

/// One change of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    pub revision: Revision,
    /// Wall-clock time of the proposal in milliseconds since 1970.
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
    /// File is in force from `revision` on.
    #[display("accepted as version {version} at revision {revision}")]
    Accepted { version: u64, revision: Revision },
    /// Another file was accepted first.
    #[display("conflict: version {expected} was expected, version {current} is in force")]
    Conflict { expected: u64, current: u64 },
}

/// Proposal that the control group replicates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Does nothing; commits the entries of earlier leaders.
    Noop,
    Apply(Box<ApplyCommand>),
    HostJoined(Host),
    HostLeaving {
        host: HostId,
        incarnation: Incarnation,
    },
    /// Lease of the host has ended or it has stopped.
    HostLeft {
        host: HostId,
        incarnation: Incarnation,
    },
    InstanceAnnounced(InstanceSpec),
    /// Owner holds at most `kept` connections from now on.
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
    /// First primary of a group, as announced.
    PrimaryObserved {
        service: Service,
        term: Term,
        primary: InstanceId,
    },
    /// Adds a caught-up control host or removes one.
    Membership {
        add: Option<(ControlId, String)>,
        remove: Option<ControlId>,
    },
}

/// Operator's file with what is needed to accept it once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyCommand {
    pub id: ApplyId,
    pub operator: String,
    pub at_unix_ms: u64,
    pub expected_version: u64,
    pub file: String,
    pub desired: DesiredState,
}

/// Change of the view that entry hosts apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Version(u64),
    Service(Service, Option<ServiceSpec>),
    /// All routes of one service; the file order within the service is kept.
    Routes(Service, Vec<Route>),
    Workspace(Workspace, Option<WorkspaceSpec>),
    ExpectedHost(HostId, Option<HostSpec>),
    Drains(Vec<Drain>),
    Host(HostId, Option<Host>),
    Instance(InstanceId, Option<Instance>),
    Group(Service, Group),
}
