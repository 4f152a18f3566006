//! Client connections and the classification of their errors.

use std::{net::SocketAddr, time::Duration};

use tokio::time::timeout;
use tokio_postgres::{Client, Config, Error, NoTls};

/// Limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Limit for a statement; longer than the proxy's own deadline of 5 s.
pub const STATEMENT_TIMEOUT: Duration = Duration::from_secs(8);

/// SQLSTATE of a statement refused by the workspace's rate limit.
pub const RATE_LIMITED: &str = "53400";

/// SQLSTATE of an insert whose key exists already.
pub const UNIQUE_VIOLATION: &str = "23505";

/// SQLSTATE of a host that is shutting down.
pub const ADMIN_SHUTDOWN: &str = "57P01";

/// SQLSTATEs of statements refused before execution: rate limit, no lease or primary,
/// shutdown, failed authentication or authorization, too many connections.
const REFUSED_CODES: [&str; 7] =
    [RATE_LIMITED, "57P03", ADMIN_SHUTDOWN, "28000", "28P01", "42501", "53300"];

/// SQLSTATE of a statement whose outcome is unknown.
const OUTCOME_UNKNOWN: &str = "08007";

/// Error of a statement or a connection attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryError {
    pub kind: ErrorKind,
    /// SQLSTATE, or a short description of the cause.
    pub code: String,
}

/// Whether an unsuccessful statement was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// It was not executed.
    Refused,
    /// It was executed and had no effect.
    Failed,
    /// It may have been executed.
    Unknown,
}

impl QueryError {
    /// Error that occurred before the statement was sent.
    pub fn not_sent(code: impl Into<String>) -> Self {
        Self { kind: ErrorKind::Refused, code: code.into() }
    }

    /// Classifies the error of a sent statement.
    pub fn from_postgres(error: &Error) -> Self {
        let Some(code) = error.code().map(|code| code.code()) else {
            return Self { kind: ErrorKind::Unknown, code: "connection lost".to_owned() };
        };
        let kind = if code == OUTCOME_UNKNOWN {
            ErrorKind::Unknown
        } else if REFUSED_CODES.contains(&code) {
            ErrorKind::Refused
        } else {
            ErrorKind::Failed
        };
        Self { kind, code: code.to_owned() }
    }

    /// Error of a statement that was not answered in time.
    pub fn timeout() -> Self {
        Self { kind: ErrorKind::Unknown, code: "timeout".to_owned() }
    }

    /// Whether the connection must not be reused.
    pub fn ends_connection(&self) -> bool {
        self.kind == ErrorKind::Unknown || self.code == ADMIN_SHUTDOWN
    }
}

/// Awaits a statement for at most `STATEMENT_TIMEOUT`.
pub async fn with_timeout<T>(
    statement: impl Future<Output = Result<T, Error>>,
) -> Result<T, QueryError> {
    match timeout(STATEMENT_TIMEOUT, statement).await {
        Ok(result) => result.map_err(|error| QueryError::from_postgres(&error)),
        Err(_) => Err(QueryError::timeout()),
    }
}

/// Opens a connection within `CONNECT_TIMEOUT`.
pub async fn connect(
    entry: SocketAddr,
    database: &str,
    user: &str,
    password: &str,
) -> Result<Client, QueryError> {
    let mut config = Config::new();
    config
        .host(entry.ip().to_string())
        .port(entry.port())
        .dbname(database)
        .user(user)
        .password(password);
    match timeout(CONNECT_TIMEOUT, config.connect(NoTls)).await {
        Err(_) => Err(QueryError::not_sent("connect timeout")),
        Ok(Err(error)) => {
            let code = error.code().map_or("cannot connect", |code| code.code());
            Err(QueryError::not_sent(code))
        }
        Ok(Ok((client, connection))) => {
            tokio::spawn(connection);
            Ok(client)
        }
    }
}

/// Quotes a text as an SQL string literal.
pub fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
