//! Limits on what callers may hold in a process, derived from the limits of its machine.

use crate::clock::Millis;

/// Memory and descriptors of a process's machine; `None` if they are not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineLimits {
    pub memory_mb: Option<u64>,
    pub descriptors: Option<usize>,
}

const MEGABYTE: u64 = 1_000_000;

const KIBIBYTE: u64 = 1_024;

/// Least memory from which limits can be derived: a third of it holds four copies of a message
/// of 1 MiB beside the share for small holders.
pub const MIN_MEMORY_MB: u64 = 18;

/// Least number of descriptors from which limits can be derived: half of them remain for
/// targets, other hosts and files.
pub const MIN_DESCRIPTORS: usize = 100;

/// Limits of a [`crate::adapters::byte_budget::ByteBudget`], in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ByteLimits {
    pub total: u64,
    /// Part of `total` that only holders of at most `small_holder` bytes may use.
    pub reserved_for_small: u64,
    pub small_holder: u64,
}

/// Least budget of a control host, so that one configuration document of 8 MiB is accepted and
/// another one read at the same time.
const MIN_DOCUMENT_BYTES: u64 = 24 * KIBIBYTE * KIBIBYTE;

impl ByteLimits {
    /// Limits for the documents that a control host receives and sends.
    pub fn for_documents(machine: MachineLimits) -> Option<Self> {
        let limits = Self::for_machine(machine)?;
        let total = limits.total.max(MIN_DOCUMENT_BYTES);
        Some(Self { total, reserved_for_small: total / 4, ..limits })
    }

    /// Limits for callers' bytes: a third of the memory of the machine.
    pub fn for_machine(machine: MachineLimits) -> Option<Self> {
        let total = machine.memory_mb? * MEGABYTE / 3;
        Some(Self {
            total,
            reserved_for_small: total / 4,
            // Four copies of a message of 4 KiB while it is handled, and as much read ahead.
            small_holder: 24 * KIBIBYTE,
        })
    }
}

/// Limits of callers' sessions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionLimits {
    pub max_sessions: usize,
    /// Maximum number of values of one session.
    pub max_values: usize,
    /// Maximum number of prepared statements of one session.
    pub max_prepared_statements: usize,
    /// Maximum size of the values and prepared statements of one session with their names;
    /// a value of the largest message fits.
    pub max_stored_bytes: u64,
    /// Time from the connection to the message that starts the session.
    pub start_timeout: Millis,
    /// Time from the first byte of a message to its end.
    pub message_timeout: Millis,
    /// Time for a caller to read an answer.
    pub answer_timeout: Millis,
}

impl Default for SessionLimits {
    fn default() -> Self {
        Self {
            max_sessions: usize::MAX,
            max_values: 1_024,
            max_prepared_statements: 1_024,
            max_stored_bytes: 2 * KIBIBYTE * KIBIBYTE,
            start_timeout: Millis(10_000),
            message_timeout: Millis(10_000),
            answer_timeout: Millis(10_000),
        }
    }
}

impl SessionLimits {
    /// Limits for a machine: half of its descriptors may be sessions.
    pub fn for_machine(machine: MachineLimits) -> Self {
        let max_sessions = machine.descriptors.map_or(usize::MAX, |descriptors| descriptors / 2);
        Self { max_sessions, ..Self::default() }
    }
}

/// Limits of an HTTP listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpListenerLimits {
    pub max_connections: usize,
    /// Time from the connection, or the end of the last request, to the end of the header.
    pub header_timeout: Millis,
    /// Time from the end of the header to the end of the body.
    pub body_timeout: Millis,
    /// Time for a client to read a response.
    pub response_timeout: Millis,
}

impl Default for HttpListenerLimits {
    fn default() -> Self {
        Self {
            max_connections: usize::MAX,
            header_timeout: Millis(10_000),
            body_timeout: Millis(10_000),
            // 8 MiB at 0.3 MB/s.
            response_timeout: Millis(30_000),
        }
    }
}

/// Least number of connections of an HTTP listener.
const MIN_HTTP_CONNECTIONS: usize = 8;

impl HttpListenerLimits {
    /// Limits for probes and metrics, which have few clients.
    pub fn for_probes(machine: MachineLimits) -> Self {
        Self::with_share(machine, 32)
    }

    /// Limits for operators and for the announcements of all targets.
    pub fn for_operators(machine: MachineLimits) -> Self {
        Self::with_share(machine, 2)
    }

    fn with_share(machine: MachineLimits, divisor: usize) -> Self {
        let max_connections = machine
            .descriptors
            .map_or(usize::MAX, |descriptors| (descriptors / divisor).max(MIN_HTTP_CONNECTIONS));
        Self { max_connections, ..Self::default() }
    }
}
