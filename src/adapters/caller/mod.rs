//! Server side of the PostgreSQL protocol v3, for callers.
//!
//! The protocol is implemented by `pgwire`; statements are passed to a
//! [`CallerHandler`]. A cancel request is signalled to the handler instead of dropping
//! the running statement, because the outcome of a dropped write would be unknown.

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

/// Result of one statement and the parameter changes to report.
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
    Rows(Rows),
    /// Tag of a command that returns no rows.
    Command(String),
    /// Tag of the command that started a transaction.
    TransactionStarted(String),
    /// Tag of the command that ended a transaction.
    TransactionEnded(String),
    /// Response to an empty query.
    Empty,
    /// Error; an open transaction is now failed until it is rolled back.
    Error(Failure),
    /// Error that has also ended the transaction.
    TransactionFailed(Failure),
}

/// Handler of callers' logins and statements.
pub trait CallerHandler: Send + Sync + 'static {
    /// State of one caller's connection.
    type Session: Send + Sync;

    /// Whether `user` may log in without a password.
    fn allows_anonymous(&self, user: &str) -> bool;

    /// Authenticates a caller and opens its session.
    fn login(&self, login: Login) -> impl Future<Output = Result<Self::Session, Failure>> + Send;

    /// Runs a statement; `cancel` fires on a cancel request.
    fn run(
        &self,
        session: &Self::Session,
        statement: Statement,
        cancel: &CancelSignal,
    ) -> impl Future<Output = Reply> + Send;

    /// Fetches the types of a statement's parameters and columns.
    fn describe(
        &self,
        session: &Self::Session,
        sql: &str,
    ) -> impl Future<Output = Result<Description, Failure>> + Send;

    /// Ends a session whose connection has closed and rolls back its transaction.
    fn on_disconnect(&self, session: &Self::Session);
}
