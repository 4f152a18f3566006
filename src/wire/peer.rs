//! Messages between entry hosts.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{
        Epoch, HostId, Incarnation, InstanceId, Mark, RequestKey, Service, SessionId, Term,
        Workspace,
    },
    wire::announcement::Announcement,
};

/// Request of one entry host to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Runs a statement on an instance that the receiver owns.
    Execute(Box<Execute>),
    /// Column and parameter types of a statement.
    Describe { instance: InstanceId, epoch: Epoch, sql: String },
    /// Cancels what runs for the transaction.
    Cancel { transaction: TransactionId },
    /// Asks the limiter owner for tokens.
    Grant(GrantRequest),
    /// Stores a session mark.
    PutMark { session: SessionId, workspace: Workspace, service: Service, mark: Mark },
    /// Reads a session mark.
    GetMark { session: SessionId, workspace: Workspace, service: Service },
    /// Announcement that concerns an instance of the receiver.
    Announce(Announcement),
}

/// Answer to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    Executed(Outcome),
    Described(Result<Description, Failure>),
    Granted(Grant),
    /// Answer to `PutMark`, and to requests without a result.
    Done,
    Mark(Option<Mark>),
}

/// Transaction of one caller, unique over restarts of its entry host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{host}.{incarnation}.{number}")]
pub struct TransactionId {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub number: u64,
}

/// Statement with everything its owner needs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execute {
    pub instance: InstanceId,
    /// Epoch under which the sender believes the receiver to be the owner.
    pub epoch: Epoch,
    /// Workspace whose key was checked; `None` on open routes.
    pub workspace: Option<Workspace>,
    /// Weight of the workspace in the fair queue.
    pub weight: u32,
    pub statement: Statement,
    pub mode: Mode,
    /// Remaining time in milliseconds.
    pub deadline_ms: u64,
}

/// Statement as the caller sent it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Statement {
    pub sql: String,
    /// Parameters of an extended query; `None` for a simple query.
    pub bind: Option<Bind>,
}

/// Parameters of an extended query in wire format.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Bind {
    pub types: Vec<u32>,
    pub formats: Vec<i16>,
    pub values: Vec<Option<Bytes>>,
    pub result_formats: Vec<i16>,
}

/// How a statement must run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Mode {
    /// Read outside a transaction.
    Read(ReadBound),
    /// Write outside a transaction.
    Write { term: Term, record: Option<RequestRecord> },
    /// Starts a transaction; the statement is the caller's `BEGIN`.
    Begin { transaction: TransactionId, term: Term },
    /// Statement inside a transaction.
    InTransaction { transaction: TransactionId },
    /// Commits a transaction.
    Commit { transaction: TransactionId, record: Option<RequestRecord> },
    /// Rolls a transaction back.
    Rollback { transaction: TransactionId },
    /// Reads the request record of an earlier attempt.
    ReadRecord { term: Term, record: RequestRecord },
}

/// What the answer of a read must satisfy.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ReadBound {
    /// Write that the instance must hold.
    pub mark: Option<Mark>,
    /// Largest accepted age; `None` requires the primary of `term`.
    pub max_staleness_ms: Option<u64>,
    pub term: Term,
}

/// Idempotency key with the digest of what it stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    pub key: RequestKey,
    /// Hexadecimal digest of the statements.
    pub digest: String,
}

/// Result of an [`Execute`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Outcome {
    /// Target ran the statement.
    Done(Rows),
    /// Nothing was sent to a target.
    Refused(Refusal),
    /// Target ran the statement and reported an error, or rolled it back.
    Failed(Failure),
    /// Statement may or may not have run.
    Unknown { reason: String },
}

/// Why nothing was sent to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum Refusal {
    #[display("this host is not the owner of the instance")]
    NotOwner,
    #[display("the instance is draining")]
    Draining,
    #[display("the instance has no free connection")]
    NoConnection,
    #[display("the queue of the instance is full")]
    QueueFull,
    #[display("the deadline has passed")]
    Deadline,
    /// Instance does not satisfy the read bound.
    #[display("the instance is at {position}, {age_ms} ms old")]
    Behind { position: Mark, age_ms: u64 },
    #[display("the instance is not the primary of the term")]
    NotPrimary,
    #[display("the owner cannot be reached")]
    Unreachable,
    #[display("the transaction is not known")]
    UnknownTransaction,
    /// Answer to [`Mode::ReadRecord`]: the earlier attempt has not committed.
    #[display("the request has no record")]
    NoRecord,
}

/// Error that a caller sees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[display("{message} ({code})")]
pub struct Failure {
    /// SQLSTATE.
    pub code: String,
    pub message: String,
}

/// Rows of an answer with the command tag.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Rows {
    pub fields: Vec<Field>,
    /// Bodies of DataRow messages: column count, then columns with their lengths.
    pub rows: Vec<Bytes>,
    pub tag: String,
    /// Position of the instance: of the write, or before the read.
    pub mark: Option<Mark>,
    pub age_ms: u64,
}

/// Column of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    pub name: String,
    pub type_oid: u32,
    pub format: i16,
}

/// Types of a statement's parameters and columns.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Description {
    pub parameters: Vec<u32>,
    pub fields: Vec<Field>,
}

/// Demand for tokens of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    pub workspace: Workspace,
    pub host: HostId,
    /// Requests that wait now.
    pub waiting: u32,
    /// Further requests that are expected soon; served only while tokens are plentiful,
    /// because unused tokens are lost.
    pub expected: u32,
}

/// Tokens that may be used until the grant ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub tokens: u32,
    /// Lifetime in milliseconds, counted from when the request was sent.
    pub ttl_ms: u64,
    /// When asking again is useful, in milliseconds from now; more than the longest
    /// wait in a queue if the owner does not grant yet.
    pub retry_after_ms: u64,
}
