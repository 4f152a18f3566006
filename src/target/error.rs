//! SQL errors returned to clients.

use std::borrow::Cow;

use derive_more::Display;

/// Error response with an SQLSTATE code.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{message} ({code})")]
pub struct SqlError {
    pub code: &'static str,
    pub message: Cow<'static, str>,
}

impl std::error::Error for SqlError {}

impl SqlError {
    pub fn new(code: &'static str, message: impl Into<Cow<'static, str>>) -> Self {
        Self { code, message: message.into() }
    }

    /// Statement outside the supported SQL subset.
    pub fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new("0A000", format!("not supported: {what}"))
    }

    /// Write sent to an instance that is not the primary.
    pub fn read_only() -> Self {
        Self::new("25006", "cannot write: this instance is not the primary")
    }

    /// Statement in a failed transaction.
    pub fn failed_transaction() -> Self {
        Self::new("25P02", "current transaction is aborted; only ROLLBACK is accepted")
    }

    /// Row lock not acquired within the lock timeout.
    pub fn lock_timeout() -> Self {
        Self::new("55P03", "could not obtain the lock on a row in time")
    }

    /// INSERT of a row whose key already exists.
    pub fn duplicate(table: &str, id: &str) -> Self {
        Self::new("23505", format!("duplicate key `{id}` in table `{table}`"))
    }

    /// Violation of the wire protocol.
    pub fn protocol(message: impl Into<Cow<'static, str>>) -> Self {
        Self::new("08P01", message)
    }
}
