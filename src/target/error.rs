//! Errors that a connection reports.

use std::borrow::Cow;

use derive_more::Display;

/// Error with its SQLSTATE.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{message} ({code})")]
pub struct SqlError {
    /// SQLSTATE.
    pub code: &'static str,
    pub message: Cow<'static, str>,
}

impl std::error::Error for SqlError {}

impl SqlError {
    /// Error with any SQLSTATE.
    pub fn new(code: &'static str, message: impl Into<Cow<'static, str>>) -> Self {
        Self { code, message: message.into() }
    }

    /// Statement outside the supported subset.
    pub fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new("0A000", format!("not supported: {what}"))
    }

    /// Write on an instance that is not the primary.
    pub fn read_only() -> Self {
        Self::new("25006", "cannot write: this instance is not the primary")
    }

    /// Statement in a failed transaction.
    pub fn failed_transaction() -> Self {
        Self::new("25P02", "current transaction is aborted; only ROLLBACK is accepted")
    }

    /// Row lock not obtained in time.
    pub fn lock_timeout() -> Self {
        Self::new("55P03", "could not obtain the lock on a row in time")
    }

    /// Second row with the same key.
    pub fn duplicate(table: &str, id: &str) -> Self {
        Self::new("23505", format!("duplicate key `{id}` in table `{table}`"))
    }

    /// Message that breaks the protocol.
    pub fn protocol(message: impl Into<Cow<'static, str>>) -> Self {
        Self::new("08P01", message)
    }
}
