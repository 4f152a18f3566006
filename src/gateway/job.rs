//! Work of a session for one target, as it travels to the target's owner.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    gateway::statement::{PreparedStatement, Request},
    ids::{InstanceId, Mark, Workspace},
};

/// What a target is asked to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    Statement {
        request: Request,
        /// Prepared statement that an execution names.
        shape: Option<PreparedStatement>,
        after: Option<Mark>,
        /// Statement belongs to the transaction that is open on its stream.
        in_transaction: bool,
    },
    Begin {
        read_only: bool,
        after: Option<Mark>,
    },
    Rollback,
    /// Asks for the target's role.
    Status,
}

/// Work with what its execution depends on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub target: InstanceId,
    pub workspace: Option<Workspace>,
    /// Values of the session.
    pub variables: IndexMap<String, String>,
    /// Rank of the route; 0 is served first.
    pub priority: u32,
    /// Longest wait for a slot and a connection.
    pub wait: Millis,
    /// Longest time until the answer.
    pub limit: Millis,
    pub work: JobKind,
}

impl JobKind {
    /// Whether the work may run only on the connection of an open transaction.
    pub fn needs_transaction(&self) -> bool {
        matches!(self, Self::Statement { in_transaction: true, .. })
    }
}

/// Why there is no answer of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobError {
    /// Nothing ran; the caller may come back after the span.
    Rejected(Millis, Reason),
    /// Target cannot be reached from where the work was. Nothing ran.
    Unreachable,
    /// Work was sent and no answer came.
    Lost,
}

/// Why work was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// Expected wait for a slot is too long.
    Queue,
    /// All connections are in use.
    Connections,
    /// No target can be used.
    NoTarget,
    /// Target refused the work for want of a slot.
    Busy,
}

impl Reason {
    /// Explanation for callers.
    pub fn text(self) -> &'static str {
        match self {
            Self::Queue => "the wait for a slot would be too long",
            Self::Connections => "all connections are in use",
            Self::NoTarget => "no target can be used",
            Self::Busy => "the target has no free slot",
        }
    }
}
