//! Statements of callers and answers of targets, independent of a wire protocol.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::Mark;

/// What a statement does.
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
    /// Runs a prepared statement; `arguments` is what follows its name.
    Execute {
        name: String,
        arguments: String,
    },
    Deallocate {
        name: String,
    },
    /// Text that is no statement.
    Invalid,
}

/// Prepared statement without its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedStatement {
    pub writes: bool,
    pub text: String,
}

/// Statement of a caller with its id and text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    pub id: String,
    pub text: String,
    pub statement: Statement,
}

/// Why a statement failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum ErrorCode {
    /// Not run for want of capacity or because of a limit.
    Busy,
    /// Transaction was rolled back.
    Aborted,
    /// Target's log lacks a position.
    Lagging,
    /// Target is no primary.
    ReadOnly,
    /// Connection reached another target than expected.
    Misrouted,
    /// Target has too many connections.
    TooMany,
    /// Whether the statement ran is not known.
    Unknown,
    /// Statement ran for too long.
    Timeout,
    /// Statement ran and failed.
    Failed,
    /// Prepared statement is unknown.
    NoStatement,
    /// Request is invalid in this state.
    Malformed,
    /// Key is unknown.
    NoAuth,
    /// Database is unknown.
    NoDatabase,
    TooBig,
    /// Code that this version does not know.
    Other,
}

/// Error with its explanation.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{code}: {text}")]
pub struct StatementError {
    pub code: ErrorCode,
    pub text: String,
}

impl StatementError {
    /// Error with a text.
    pub fn new(code: ErrorCode, text: impl Into<String>) -> Self {
        Self { code, text: text.into() }
    }
}

/// Where a session stands.
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
    /// Signature of the target, or why the statement failed.
    pub result: Result<String, StatementError>,
    pub state: TransactionState,
    /// Position of the target's log.
    pub position: Option<Mark>,
}

/// Signature of answers that no target gave.
pub const LOCAL_SIGNATURE: &str = "-";

impl Answer {
    /// Answer that the gateway gives itself.
    pub fn local(state: TransactionState) -> Self {
        Self { rows: Vec::new(), result: Ok(LOCAL_SIGNATURE.to_owned()), state, position: None }
    }

    /// Error that the gateway gives itself.
    pub fn error(code: ErrorCode, text: impl Into<String>, state: TransactionState) -> Self {
        let result = Err(StatementError::new(code, text));
        Self { rows: Vec::new(), result, state, position: None }
    }

    /// Code of a failed statement.
    pub fn code(&self) -> Option<ErrorCode> {
        self.result.as_ref().err().map(|error| error.code)
    }
}
