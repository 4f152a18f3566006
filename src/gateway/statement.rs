//! Statements of callers and answers of targets, independent of the wire protocol.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::Mark;

/// Parsed statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Statement {
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    Read,
    Write,
    Set {
        name: String,
        value: String,
    },
    Prepare {
        name: String,
        statement: PreparedStatement,
    },
    /// Execution of a prepared statement; `arguments` is the text after its name.
    Execute {
        name: String,
        arguments: String,
    },
    Deallocate {
        name: String,
    },
    /// Text that is not a valid statement.
    Invalid,
}

/// Prepared statement without its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedStatement {
    pub writes: bool,
    pub text: String,
}

/// Caller's statement with its id and original text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    pub id: String,
    pub text: String,
    pub statement: Statement,
}

/// Cause of a failed statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum ErrorCode {
    /// Statement was not run because of a lack of capacity or a rate limit.
    Busy,
    /// Transaction was rolled back.
    Aborted,
    /// Target's log has not reached the required position.
    Lagging,
    /// Target is not a primary.
    ReadOnly,
    /// Connection reached a different target than intended.
    Misrouted,
    /// Target has too many connections.
    TooMany,
    /// Whether the statement ran is unknown.
    Unknown,
    /// Statement took too long.
    Timeout,
    /// Statement ran and failed.
    Failed,
    /// Prepared statement does not exist.
    NoStatement,
    /// Request is invalid, or not allowed in the current state.
    Malformed,
    /// Key is unknown.
    NoAuth,
    /// Database does not exist.
    NoDatabase,
    TooBig,
    /// Code unknown to this version.
    Other,
}

/// Error code with a message.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{code}: {text}")]
pub struct StatementError {
    pub code: ErrorCode,
    pub text: String,
}

impl StatementError {
    pub fn new(code: ErrorCode, text: impl Into<String>) -> Self {
        Self { code, text: text.into() }
    }
}

/// Transaction state of a session.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    #[default]
    Idle,
    Open,
    Failed,
}

/// Answer to one statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub rows: Vec<String>,
    /// Signature of the answering target, or the error.
    pub result: Result<String, StatementError>,
    pub state: TransactionState,
    /// Position of the target's log after the statement.
    pub position: Option<Mark>,
}

/// Signature of answers that the gateway gives without a target.
pub const LOCAL_SIGNATURE: &str = "-";

impl Answer {
    /// Success without a target.
    pub fn local(state: TransactionState) -> Self {
        Self { rows: Vec::new(), result: Ok(LOCAL_SIGNATURE.to_owned()), state, position: None }
    }

    /// Error without a target.
    pub fn error(code: ErrorCode, text: impl Into<String>, state: TransactionState) -> Self {
        let result = Err(StatementError::new(code, text));
        Self { rows: Vec::new(), result, state, position: None }
    }

    /// Error code, if the statement failed.
    pub fn code(&self) -> Option<ErrorCode> {
        self.result.as_ref().err().map(|error| error.code)
    }
}
