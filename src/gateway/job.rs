//! Unit of work of a session for one target, as it is sent to the target's owner.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    gateway::{
        statement::{Answer, PreparedStatement, Request},
        urgency::Urgency,
    },
    ids::{InstanceId, Mark, Workspace},
};

/// What to do at the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    Statement {
        request: Request,
        /// Statement to execute, if the request names a prepared one.
        prepared: Option<PreparedStatement>,
        after: Option<Mark>,
        /// Whether the statement belongs to the transaction open on its stream.
        in_transaction: bool,
    },
    Begin {
        read_only: bool,
        after: Option<Mark>,
    },
    Rollback,
    /// Queries the target's role.
    Status,
}

/// Unit of work with everything that its execution depends on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub target: InstanceId,
    pub workspace: Option<Workspace>,
    /// Session variables.
    pub variables: IndexMap<String, String>,
    /// Priority of the route; 0 is served first.
    pub priority: u32,
    /// Longest wait for a slot and for a connection.
    pub max_wait: Millis,
    /// Longest time until the answer.
    pub timeout: Millis,
    pub kind: JobKind,
    /// `None` from a host whose build does not send it.
    #[serde(skip)]
    pub urgency: Option<Urgency>,
    /// First statement of the transaction that the job begins, to be run if it has begun. Saves
    /// a round trip to the owner; only sent with the urgency.
    #[serde(skip)]
    pub then: Option<Box<JobKind>>,
}

/// Results of a job, and of the statement that it carries; the latter is `None` if the job has
/// not begun a transaction, or if the owner's build does not run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    pub result: Result<Answer, JobError>,
    pub then: Option<Result<Answer, JobError>>,
}

impl From<Result<Answer, JobError>> for Execution {
    fn from(result: Result<Answer, JobError>) -> Self {
        Self { result, then: None }
    }
}

impl JobKind {
    /// Whether the job may run only on the connection of an open transaction.
    pub fn needs_transaction(&self) -> bool {
        matches!(self, Self::Statement { in_transaction: true, .. })
    }
}

/// Why a job got no answer from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobError {
    /// Nothing ran; the caller may retry after the given time.
    Rejected(Millis, RejectReason),
    /// Target cannot be reached from the host that tried. Nothing ran.
    Unreachable,
    /// Job was sent but got no answer, so whether it ran is unknown.
    Lost,
}

/// Why a job was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// Expected wait for a slot is too long.
    Queue,
    /// All connections are in use.
    Connections,
    /// No target can be used.
    NoTarget,
    /// Target had no free slot.
    Busy,
    /// An earlier commit is not confirmed yet.
    Unconfirmed,
    /// Failure domain of the primary is out of use. Never sent to other hosts, of which older
    /// builds do not know it.
    DomainOutOfUse,
}

impl RejectReason {
    /// Error message for callers.
    pub fn text(self) -> &'static str {
        match self {
            Self::Queue => "the wait for a slot would be too long",
            Self::Connections => "all connections are in use",
            Self::NoTarget => "no target can be used",
            Self::Busy => "the target has no free slot",
            Self::Unconfirmed => "an earlier commit is not confirmed yet",
            Self::DomainOutOfUse => "the failure domain of the primary is out of use",
        }
    }
}
