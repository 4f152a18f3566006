//! Messages between control hosts and the entries of their replicated log.
//!
//! The protocol is Raft with pre-votes.

use std::collections::BTreeMap;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{clock::Millis, ids::ControlId};

/// Election term of the control group; unrelated to the terms of target groups.
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

/// Term and index of a log entry; the order tells which of two logs is more recent.
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
    /// First entry of a new leader; committing it commits the entries of earlier terms.
    Noop,
    /// Encoded command for the state machine.
    Command(Bytes),
    /// New set of voters, which takes effect with this entry.
    Members(Members),
}

/// Voting members of the control group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<ControlId, Member>);

/// Name and addresses of a control host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Configured name; unlike the id, it stays the same when the host loses its disk.
    pub name: String,
    pub bus_addr: String,
    pub http_addr: String,
    /// Index of the log entry that added the host; 0 before that.
    pub added_index: u64,
}

/// Message between two control hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMessage {
    pub from: ControlId,
    /// `None` if the sender knows only the receiver's address.
    pub to: Option<ControlId>,
    /// Current term of the sender; for `PreVote`, the term of the intended election.
    pub term: GroupTerm,
    pub body: GroupBody,
}

impl GroupMessage {
    /// Whether another host than the sender delivered the message: only a hello that is passed on
    /// requests a reply and is addressed to an id.
    pub fn is_passed_on(&self) -> bool {
        let requests_reply = matches!(&self.body, GroupBody::Hello(hello) if hello.reply_requested);
        requests_reply && self.to.is_some()
    }
}

/// Content of a [`GroupMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupBody {
    /// Sent by a host that is not a voter; the reply is a `Hello` as well.
    Hello(Hello),
    /// Asks whether a vote would be granted; does not raise the receiver's term.
    PreVote {
        last: LogId,
        /// Number of the pre-vote round, echoed in the response.
        round: u64,
    },
    PreVoteResponse {
        result: PreVoteResult,
        round: u64,
        /// Number that identifies the responding process.
        process: u64,
    },
    Vote {
        last: LogId,
        /// Process of the receiver that replied [`PreVoteResult::Starting`] in a pre-vote
        /// round in which no voter follows a leader. That process need not withhold its
        /// vote on behalf of an earlier one.
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
    /// Whether the sender's earlier writes must be synced to disk before the message is
    /// sent. This holds for votes, for another host or the sender itself, and for
    /// installed snapshots. An [`AppendResponse`] reports only entries that are synced.
    pub fn needs_sync(&self) -> bool {
        matches!(
            self,
            Self::Vote { .. } | Self::VoteResponse { .. } | Self::InstallSnapshotResponse(_)
        )
    }
}

/// Result of a pre-vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PreVoteResult {
    Granted,
    /// A leader is alive, or the sender's term or log is behind.
    Rejected,
    /// The sender is no longer a member of the group: the responder's log is newer, and the sender
    /// is not among its voters. Older builds also say so if their log is not newer.
    Removed,
    /// The process has just started and has not heard from a leader. It withholds its
    /// vote, because an earlier process of the host may have followed a leader, unless no
    /// voter follows one.
    Starting,
}

/// Introduction of a control host to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub member: Member,
    /// Whether the sender has log entries.
    pub initialized: bool,
    /// Whether the receiver should reply with its own introduction.
    pub reply_requested: bool,
    /// Number of the requesting process, echoed in the reply, so that a reply to an
    /// earlier process of the same host is recognized.
    pub nonce: u64,
}

/// Request of the leader to append entries; without entries it is a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Entry before the first one of `entries`.
    pub previous: LogId,
    pub entries: Vec<LogEntry>,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Sender's monotonic time, echoed in the response.
    pub sent_at: Millis,
}

/// Response to an [`Append`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    pub echo: Millis,
    pub result: AppendResult,
}

/// Whether the receiver's log contains the entry before the appended ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The log is synced and matches the leader's up to `index`.
    Matched { index: u64 },
    /// The log lacks the previous entry; it matches the leader's at most up to `hint`.
    Mismatch { hint: u64 },
}

/// Chunk of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// Last entry that the snapshot covers.
    pub last: LogId,
    pub members: Members,
    /// Offset of `data` in the snapshot, in bytes.
    pub offset: u64,
    /// Size of the snapshot in bytes.
    pub total: u64,
    pub data: Bytes,
    pub sent_at: Millis,
}

/// Response to an [`InstallSnapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshotResponse {
    pub echo: Millis,
    pub last: LogId,
    /// Bytes received so far; equal to `total` only once the snapshot is synced.
    pub received: u64,
}
