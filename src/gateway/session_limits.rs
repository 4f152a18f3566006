//! Limits on what one session may hold, and why a session ends that exceeds them.
//!
//! Load: callers that store many or large values and prepared statements, and callers that
//! send or read very slowly.

use derive_more::{Display, Error};
use indexmap::IndexMap;

use crate::{
    adapters::byte_budget::{BudgetExhausted, ByteHolder, Reservation},
    clock::Millis,
    gateway::{
        session::Session,
        statement::{Answer, ErrorCode, Request, Statement, StatementError, TransactionState},
    },
    settings::session_limits::SessionLimits,
};

/// Why the host ends a session that its caller has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SessionEnd {
    #[display("too many sessions")]
    TooManySessions,
    #[display("the session was not started in time")]
    SlowStart,
    #[display("the message did not arrive in time")]
    SlowMessage,
    #[display("the message is too long")]
    LongMessage,
    #[display("the answer was not read in time")]
    UnreadAnswer,
    #[display("the host is short of memory")]
    Memory,
}

impl SessionEnd {
    /// Value of the metric label `reason`.
    pub fn label(self) -> &'static str {
        match self {
            Self::TooManySessions => "sessions",
            Self::SlowStart => "slow_start",
            Self::SlowMessage => "slow_message",
            Self::LongMessage => "long_message",
            Self::UnreadAnswer => "unread_answer",
            Self::Memory => "memory",
        }
    }

    /// Error to send before the connection is closed; no statement is under way then.
    pub fn error(self) -> StatementError {
        let code = match self {
            Self::TooManySessions | Self::Memory => ErrorCode::Busy,
            Self::LongMessage => ErrorCode::TooBig,
            Self::SlowStart | Self::SlowMessage | Self::UnreadAnswer => ErrorCode::Timeout,
        };
        let text = match self {
            Self::TooManySessions | Self::Memory => {
                format!("{self}; nothing ran; retry after {RETRY_AFTER_FULL}")
            }
            _ => format!("{self}; nothing ran"),
        };
        StatementError::new(code, text)
    }
}

/// Retry delay that is reported to callers when the memory or the sessions are used up.
const RETRY_AFTER_FULL: Millis = Millis(500);

/// Copies of a message while its statement is handled: the request, its parsed fields, the job
/// and the message to the target.
const COPIES_PER_REQUEST: usize = 4;

/// Copies of the session's values that a statement makes: in the job and in the message to the
/// target.
const COPIES_PER_VALUE: usize = 2;

/// Bytes that an entry of a map takes beside its name and value.
const ENTRY_OVERHEAD_BYTES: usize = 128;

/// Reserves the bytes that a request needs until it is answered.
pub async fn reserve_request(
    bytes: Option<&ByteHolder>,
    session: &Session,
    request: &Request,
) -> Result<Option<Reservation>, BudgetExhausted> {
    let Some(bytes) = bytes else { return Ok(None) };
    let needed = request.text.len() * COPIES_PER_REQUEST + values_size(session) * COPIES_PER_VALUE;
    bytes.reserve_scoped(needed as u64).await.map(Some)
}

/// Refusal of a request that the host has no memory for.
pub fn no_memory(state: TransactionState) -> Answer {
    let text = format!("the host is short of memory; retry after {RETRY_AFTER_FULL}");
    Answer::error(ErrorCode::Busy, text, state)
}

/// Refusal of a request that would exceed the limits of its session.
pub fn check_stored(
    session: &Session,
    statement: &Statement,
    limits: &SessionLimits,
) -> Result<(), StatementError> {
    let (is_new, count, max_count, kind, size, replaced) = match statement {
        Statement::Set { name, value } => (
            !session.variables.contains_key(name),
            session.variables.len(),
            limits.max_values,
            "values",
            entry_size(name, value),
            session.variables.get(name).map_or(0, |old| entry_size(name, old)),
        ),
        Statement::Prepare { name, statement } => (
            !session.prepared.contains_key(name),
            session.prepared.len(),
            limits.max_prepared_statements,
            "prepared statements",
            entry_size(name, &statement.text),
            session.prepared.get(name).map_or(0, |old| entry_size(name, &old.text)),
        ),
        _ => return Ok(()),
    };
    if is_new && count >= max_count {
        let text = format!("a session may have {max_count} {kind}");
        return Err(StatementError::new(ErrorCode::TooBig, text));
    }
    let max_bytes = limits.max_stored_bytes;
    if (stored_size(session) - replaced + size) as u64 > max_bytes {
        let text =
            format!("values and prepared statements of a session may take {max_bytes} bytes");
        return Err(StatementError::new(ErrorCode::TooBig, text));
    }
    Ok(())
}

/// Bytes of the session's values and prepared statements, counted in the budget of the process.
#[derive(Debug, Default)]
pub struct StoredBytes(u64);

impl StoredBytes {
    /// Reserves room for a statement that stores something. [`Self::settle`] returns what is
    /// not used.
    pub async fn reserve(
        &mut self,
        bytes: Option<&ByteHolder>,
        statement: &Statement,
    ) -> Result<(), BudgetExhausted> {
        let size = match statement {
            Statement::Set { name, value } => entry_size(name, value),
            Statement::Prepare { name, statement } => entry_size(name, &statement.text),
            _ => return Ok(()),
        } as u64;
        if let Some(bytes) = bytes {
            bytes.reserve(size).await?;
            self.0 += size;
        }
        Ok(())
    }

    /// Releases what the session does not hold.
    pub fn settle(&mut self, bytes: Option<&ByteHolder>, session: &Session) {
        let held = stored_size(session) as u64;
        if let Some(bytes) = bytes {
            bytes.release(self.0.saturating_sub(held));
            self.0 = self.0.min(held);
        }
    }
}

fn entry_size(name: &str, value: &str) -> usize {
    name.len() + value.len() + ENTRY_OVERHEAD_BYTES
}

fn values_size(session: &Session) -> usize {
    sum(&session.variables, |value| value)
}

fn stored_size(session: &Session) -> usize {
    values_size(session) + sum(&session.prepared, |statement| &statement.text)
}

fn sum<V>(entries: &IndexMap<String, V>, text: impl Fn(&V) -> &str) -> usize {
    entries.iter().map(|(name, value)| entry_size(name, text(value))).sum()
}
