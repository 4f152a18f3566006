//! Connections of callers and the meaning of their errors.

use std::{net::SocketAddr, time::Duration};

use tokio::time::timeout;
use tokio_postgres::{Client, Config, Error, NoTls};

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for a statement; the proxy's own deadline is 5 s.
pub const STATEMENT_TIMEOUT: Duration = Duration::from_secs(8);

/// SQLSTATE of a refusal because of the rate.
pub const OVER_RATE: &str = "53400";

/// SQLSTATE of a second row with the same key.
pub const DUPLICATE: &str = "23505";

/// SQLSTATE of a host that is stopping.
pub const STOPPING: &str = "57P01";

/// SQLSTATEs of statements that were refused before they ran: over the rate, no
/// lease or primary, stopping, not allowed, too many connections.
const REFUSED: [&str; 7] = [OVER_RATE, "57P03", STOPPING, "28000", "28P01", "42501", "53300"];

/// SQLSTATE of an unknown outcome.
const UNKNOWN: &str = "08007";

/// Why a statement did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trouble {
    pub fate: Fate,
    /// SQLSTATE or cause.
    pub code: String,
}

/// Whether a statement that did not succeed has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It did not run.
    Refused,
    /// It ran and had no effect.
    Failed,
    /// It may or may not have run.
    Unknown,
}

impl Trouble {
    /// Trouble before the statement was sent.
    pub fn before(code: impl Into<String>) -> Self {
        Self { fate: Fate::Refused, code: code.into() }
    }

    /// Trouble that an error of a sent statement reports.
    pub fn of(error: &Error) -> Self {
        let Some(code) = error.code().map(|code| code.code()) else {
            return Self { fate: Fate::Unknown, code: "connection lost".to_owned() };
        };
        let fate = if code == UNKNOWN {
            Fate::Unknown
        } else if REFUSED.contains(&code) {
            Fate::Refused
        } else {
            Fate::Failed
        };
        Self { fate, code: code.to_owned() }
    }

    /// Statement without an answer in time.
    pub fn timeout() -> Self {
        Self { fate: Fate::Unknown, code: "timeout".to_owned() }
    }

    /// Whether the same connection must not be used again.
    pub fn ends_connection(&self) -> bool {
        self.fate == Fate::Unknown || self.code == STOPPING
    }
}

/// Waits for a statement, at most for the statement timeout.
pub async fn within<T>(statement: impl Future<Output = Result<T, Error>>) -> Result<T, Trouble> {
    match timeout(STATEMENT_TIMEOUT, statement).await {
        Ok(result) => result.map_err(|error| Trouble::of(&error)),
        Err(_) => Err(Trouble::timeout()),
    }
}

/// Opens a connection.
pub async fn connect(
    entry: SocketAddr,
    database: &str,
    user: &str,
    password: &str,
) -> Result<Client, Trouble> {
    let mut config = Config::new();
    config
        .host(entry.ip().to_string())
        .port(entry.port())
        .dbname(database)
        .user(user)
        .password(password);
    match timeout(CONNECT_TIMEOUT, config.connect(NoTls)).await {
        Err(_) => Err(Trouble::before("connect timeout")),
        Ok(Err(error)) => {
            let code = error.code().map_or("cannot connect", |code| code.code());
            Err(Trouble::before(code))
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
