//! Settings of retries, deadlines and the queue for a new primary.

use crate::clock::Millis;

/// Bounds of repeated attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetrySettings {
    /// Repeated attempts permitted per 1,000 requests of a workspace.
    pub retries_per_thousand: u64,
    /// Repeated attempts that a workspace may make without earlier requests; one
    /// is regained per second.
    pub min_retries: u64,
    /// Largest number of repeated attempts saved up.
    pub max_saved_retries: u64,
    /// Deadline of a request.
    pub deadline: Millis,
    /// Upper bound of the first backoff; it doubles with each attempt.
    pub backoff_base: Millis,
    /// Upper bound of every backoff.
    pub backoff_cap: Millis,
    /// Requests of one service that may wait for a new primary.
    pub max_waiting_requests: usize,
    /// Interval at which one waiting request tests a primary that seemed lost.
    pub probe_interval: Millis,
    /// Span over which waiting requests are released to a new primary.
    pub release_spread: Millis,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            retries_per_thousand: 100,
            min_retries: 10,
            max_saved_retries: 1_000,
            deadline: Millis(5_000),
            backoff_base: Millis(20),
            backoff_cap: Millis(500),
            max_waiting_requests: 4_096,
            probe_interval: Millis(100),
            release_spread: Millis(100),
        }
    }
}
