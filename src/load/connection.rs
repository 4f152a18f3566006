//! Connections of callers and the meaning of their errors.

use std::{net::SocketAddr, time::Duration};

use tokio::time::timeout;
use tokio_postgres::{Client, Config, Error, NoTls};

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for a statement; the proxy's own deadline is 5 s.
pub const STATEMENT_TIMEOUT: Duration = Duration::from_secs(8);

/// SQLSTATE of a refusal because of the rate.
pub const RATE_LIMITED: &str = "53400";

/// SQLSTATE of a second row with the same key.
pub const UNIQUE_VIOLATION: &str = "23505";

/// SQLSTATE of a host that is stopping.
pub const ADMIN_SHUTDOWN: &str = "57P01";

/// SQLSTATEs of statements that were refused before they ran: over the rate, no
/// lease or primary, stopping, not allowed, too many connections.
const REFUSED_CODES: [&str; 7] =
    [RATE_LIMITED, "57P03", ADMIN_SHUTDOWN, "28000", "28P01", "42501", "53300"];

/// SQLSTATE of an unknown outcome.
const OUTCOME_UNKNOWN: &str = "08007";

/// Why a statement did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryError {
    pub kind: ErrorKind,
    /// SQLSTATE or cause.
    pub code: String,
}

/// Whether a statement that did not succeed has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorKind {
    /// It did not run.
    Refused,
    /// It ran and had no effect.
    Failed,
    /// It may or may not have run.
    Unknown,
}

impl QueryError {
    /// QueryError before the statement was sent.
    pub fn not_sent(code: impl Into<String>) -> Self {
        Self { kind: ErrorKind::Refused, code: code.into() }
    }

    /// QueryError that an error of a sent statement reports.
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

    /// Statement without an answer in time.
    pub fn timeout() -> Self {
        Self { kind: ErrorKind::Unknown, code: "timeout".to_owned() }
    }

    /// Whether the same connection must not be used again.
    pub fn ends_connection(&self) -> bool {
        self.kind == ErrorKind::Unknown || self.code == ADMIN_SHUTDOWN
    }
}

/// Waits for a statement, at most for the statement timeout.
pub async fn with_timeout<T>(
    statement: impl Future<Output = Result<T, Error>>,
) -> Result<T, QueryError> {
    match timeout(STATEMENT_TIMEOUT, statement).await {
        Ok(result) => result.map_err(|error| QueryError::from_postgres(&error)),
        Err(_) => Err(QueryError::timeout()),
    }
}

/// Opens a connection.
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

/// Quotes a text for SQL.
pub fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
