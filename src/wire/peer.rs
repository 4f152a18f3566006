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

/// Request from one entry host to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Runs a statement on an instance that the receiver owns.
    Execute(Box<Execute>),
    /// Determines a statement's parameter and column types.
    Describe { instance: InstanceId, epoch: Epoch, sql: String },
    /// Cancels the running statement of a transaction.
    Cancel { transaction: TransactionId },
    /// Requests tokens from the host that owns the workspace's rate limiter.
    Grant(GrantRequest),
    /// Raises a session mark, the position that the session's reads must have reached.
    PutMark { session: SessionId, workspace: Workspace, service: Service, mark: Mark },
    /// Looks up a session mark.
    GetMark { session: SessionId, workspace: Workspace, service: Service },
    /// Forwards an announcement to the owner of the instance.
    Announce(Announcement),
}

/// Response to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    Executed(Outcome),
    Described(Result<Description, Failure>),
    Granted(Grant),
    /// Response to `PutMark` and other requests without a result.
    Done,
    Mark(Option<Mark>),
}

/// Identifier of a caller's transaction, unique across restarts of its entry host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{host}.{incarnation}.{number}")]
pub struct TransactionId {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub number: u64,
}

/// Statement with all that the instance's owner needs to run it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execute {
    pub instance: InstanceId,
    /// Ownership epoch of the receiver in the sender's view.
    pub epoch: Epoch,
    /// Authenticated workspace; `None` on routes without authentication.
    pub workspace: Option<Workspace>,
    /// Weight of the workspace in fair queueing.
    pub weight: u32,
    pub statement: Statement,
    pub mode: Mode,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Statement as sent by the caller.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Statement {
    pub sql: String,
    /// Parameters of an extended query; `None` for a simple query.
    pub bind: Option<Bind>,
}

/// Parameters of an extended query, encoded as in the PostgreSQL protocol.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Bind {
    pub types: Vec<u32>,
    pub formats: Vec<i16>,
    pub values: Vec<Option<Bytes>>,
    pub result_formats: Vec<i16>,
}

/// How a statement is run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Mode {
    /// Read outside a transaction.
    Read(ReadBound),
    /// Write outside a transaction.
    Write { term: Term, record: Option<RequestRecord> },
    /// Begins a transaction; the statement is the caller's `BEGIN`.
    Begin { transaction: TransactionId, term: Term },
    /// Statement in an open transaction.
    InTransaction { transaction: TransactionId },
    /// Commits a transaction.
    Commit { transaction: TransactionId, record: Option<RequestRecord> },
    /// Rolls a transaction back.
    Rollback { transaction: TransactionId },
    /// Reads the request record of an earlier attempt.
    ReadRecord { term: Term, record: RequestRecord },
}

/// Freshness that a read requires.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ReadBound {
    /// Position that the instance must have reached.
    pub mark: Option<Mark>,
    /// Largest accepted staleness; `None` requires the primary of `term`.
    pub max_staleness_ms: Option<u64>,
    pub term: Term,
}

/// Idempotency key and digest of the request that it identifies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    pub key: RequestKey,
    /// Hexadecimal digest of the statements.
    pub digest: String,
}

/// Result of an [`Execute`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Outcome {
    /// The target ran the statement.
    Done(Rows),
    /// The statement was not sent to a target.
    Refused(Refusal),
    /// The target reported an error or rolled the statement back.
    Failed(Failure),
    /// The statement may or may not have run.
    Unknown { reason: String },
}

/// Why a statement was not sent to a target.
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
    /// The instance does not satisfy the [`ReadBound`].
    #[display("the instance is at {position}, {age_ms} ms old")]
    Behind { position: Mark, age_ms: u64 },
    #[display("the instance is not the primary of the term")]
    NotPrimary,
    #[display("the owner cannot be reached")]
    Unreachable,
    #[display("the transaction is not known")]
    UnknownTransaction,
    /// Response to [`Mode::ReadRecord`]: the earlier attempt has not committed.
    #[display("the request has no record")]
    NoRecord,
}

/// Error that is reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[display("{message} ({code})")]
pub struct Failure {
    /// SQLSTATE code.
    pub code: String,
    pub message: String,
}

/// Result of a statement.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Rows {
    pub fields: Vec<Field>,
    /// Bodies of `DataRow` messages: column count, then each column with its length.
    pub rows: Vec<Bytes>,
    /// Command tag.
    pub tag: String,
    /// Position of the write, or of the instance before the read.
    pub mark: Option<Mark>,
    pub age_ms: u64,
}

/// Column of a result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    pub name: String,
    pub type_oid: u32,
    pub format: i16,
}

/// Parameter types and columns of a statement.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Description {
    pub parameters: Vec<u32>,
    pub fields: Vec<Field>,
}

/// Request of an entry host for tokens of a workspace's rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    pub workspace: Workspace,
    pub host: HostId,
    /// Number of requests that are queued now.
    pub waiting: u32,
    /// Number of further requests forecast for the near future. They get tokens only
    /// while tokens are plentiful, because unused tokens are lost.
    pub expected: u32,
}

/// Tokens that may be used until the grant expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub tokens: u32,
    /// Lifetime in milliseconds, from the time at which the request was sent.
    pub ttl_ms: u64,
    /// Delay in milliseconds before the next request is useful; larger than the longest
    /// wait in a queue if the owner does not grant tokens yet.
    pub retry_after_ms: u64,
}
