//! PostgreSQL protocol v3 towards callers.
//!
//! The adapter speaks the protocol through `pgwire` and hands typed statements to a
//! [`CallerHandler`]. Cancel requests are passed on instead of dropping the running
//! statement, because a dropped write would leave its outcome unknown.

mod connection;
mod convert;
mod handlers;
mod registry;

pub use connection::{CallerListener, serve};
pub use registry::CancelSignal;

use std::future::Future;

use indexmap::IndexMap;

use crate::wire::peer::{Description, Failure, Rows, Statement};

/// Credentials and startup options of a caller.
pub struct Login {
    pub user: String,
    pub database: String,
    pub password: String,
    /// Options given as `-c name=value` or as startup parameters.
    pub options: IndexMap<String, String>,
}

/// Result of one statement with the parameters to report.
#[derive(Debug)]
pub struct Reply {
    pub result: ReplyResult,
    /// ParameterStatus messages to send before the result.
    pub parameters: Vec<(&'static str, String)>,
}

impl From<ReplyResult> for Reply {
    fn from(result: ReplyResult) -> Self {
        Self { result, parameters: Vec::new() }
    }
}

/// Result of one statement.
#[derive(Debug)]
pub enum ReplyResult {
    /// Rows with their columns.
    Rows(Rows),
    /// Command without rows.
    Command(String),
    TransactionStarted(String),
    TransactionEnded(String),
    Empty,
    /// Error; an open transaction has failed and waits for its rollback.
    Error(Failure),
    /// Error that has also ended the transaction.
    TransactionFailed(Failure),
}

/// Receiver of callers' statements.
pub trait CallerHandler: Send + Sync + 'static {
    /// State of one caller's connection.
    type Session: Send + Sync;

    /// Whether `user` connects without a password.
    fn allows_anonymous(&self, user: &str) -> bool;

    /// Checks the credentials.
    fn login(&self, login: Login) -> impl Future<Output = Result<Self::Session, Failure>> + Send;

    /// Runs a statement.
    fn run(
        &self,
        session: &Self::Session,
        statement: Statement,
        cancel: &CancelSignal,
    ) -> impl Future<Output = Reply> + Send;

    /// Types of a statement's parameters and columns.
    fn describe(
        &self,
        session: &Self::Session,
        sql: &str,
    ) -> impl Future<Output = Result<Description, Failure>> + Send;

    /// Ends a session whose connection closed; rolls back its transaction.
    fn on_disconnect(&self, session: &Self::Session);
}
