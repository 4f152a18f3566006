//! Messages between control hosts and the entries of their log.

use std::collections::BTreeMap;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{clock::Millis, ids::ControlId};

/// Term of the control group, not of a target group.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
)]
pub struct GroupTerm(pub u64);

/// Index and term of a log entry; orders logs by how recent they are.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
)]
#[display("{term}/{index}")]
pub struct LogId {
    /// Compared first: a log with a newer last term is more recent.
    pub term: GroupTerm,
    pub index: u64,
}

/// Entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    pub term: GroupTerm,
    pub payload: Payload,
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader; commits the entries of earlier terms.
    Noop,
    /// Bytes for the state machine.
    Command(Bytes),
    /// Voters from this entry on.
    Members(Members),
}

/// Control hosts with a vote.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<ControlId, Member>);

/// Names and addresses of a control host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Configured name; unlike the id it survives the loss of the disk.
    pub name: String,
    pub bus_addr: String,
    pub http_addr: String,
    /// Index of the entry that added the host; 0 before that.
    pub added_index: u64,
}

/// Message between two control hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMessage {
    pub from: ControlId,
    /// `None` if the sender knows only the address.
    pub to: Option<ControlId>,
    /// Term of the sender; for `PreVote`, the term that it would use.
    pub term: GroupTerm,
    pub body: GroupBody,
}

/// Content of a [`GroupMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupBody {
    /// Sent by a host that is no voter, and answered with the same.
    Hello(Hello),
    /// Asks whether a vote would be granted, without raising terms.
    PreVote {
        last: LogId,
        /// Number of the question, returned with the answer.
        round: u64,
    },
    PreVoteResponse {
        result: PreVoteResult,
        round: u64,
        /// Number of the process that answers.
        process: u64,
    },
    Vote {
        last: LogId,
        /// Process of the receiver that has answered with [`PreVoteResult::Starting`] in a
        /// round in which no voter follows a leader.
        released: Option<u64>,
    },
    VoteResponse {
        granted: bool,
    },
    Append(Append),
    AppendResponse(AppendResponse),
    InstallSnapshot(InstallSnapshot),
    InstallSnapshotResponse(InstallSnapshotResponse),
}

impl GroupBody {
    /// Whether the message promises what must be synced before it leaves: a vote,
    /// given to another host or to the sender itself, or a snapshot. Answers to
    /// entries claim only what is synced.
    pub fn needs_sync(&self) -> bool {
        matches!(
            self,
            Self::Vote { .. } | Self::VoteResponse { .. } | Self::InstallSnapshotResponse(_)
        )
    }
}

/// Why a pre-vote was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PreVoteResult {
    /// The pre-vote was granted.
    Granted,
    /// A leader is alive, or the sender's log is behind.
    Rejected,
    /// The sender is no member of the group any more.
    Removed,
    /// The process has just started and has heard no leader. An earlier one may have
    /// promised not to vote; the promise is void if no voter leads.
    Starting,
}

/// Introduction of a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub member: Member,
    /// Whether the sender holds a log.
    pub initialized: bool,
    /// Whether the receiver should send its own introduction.
    pub reply_requested: bool,
    /// Number of the asking process, repeated in the answer. It tells an answer
    /// from one to an earlier process of the same host.
    pub nonce: u64,
}

/// Entries of the leader's log; without entries it is a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Entry before the first one of `entries`.
    pub previous: LogId,
    pub entries: Vec<LogEntry>,
    pub commit: u64,
    /// Sender's monotonic time; the answer echoes it.
    pub sent_at: Millis,
}

/// Answer to an [`Append`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    pub echo: Millis,
    pub result: AppendResult,
}

/// Whether the entries fit the receiver's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// Log is synced and equal to the leader's up to `index`.
    Matched { index: u64 },
    /// Log lacks the previous entry; the logs may agree at most up to `hint`.
    Mismatch { hint: u64 },
}

/// Part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// Last entry that the snapshot covers.
    pub last: LogId,
    pub members: Members,
    pub offset: u64,
    pub total: u64,
    pub data: Bytes,
    pub sent_at: Millis,
}

/// Answer to an [`InstallSnapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshotResponse {
    pub echo: Millis,
    pub last: LogId,
    /// Bytes received so far; equal to the total once the snapshot is synced.
    pub received: u64,
}
