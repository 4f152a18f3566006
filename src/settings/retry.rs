//! Settings of retries, deadlines and the queue of requests that wait for a new primary.

use crate::clock::Millis;

/// Retry budget, backoff and limits of the wait queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries permitted per 1,000 requests of a workspace.
    pub retries_per_thousand: u64,
    /// Retries permitted to a workspace regardless of its number of requests; the budget
    /// for them refills by one per second.
    pub min_retries: u64,
    /// Maximum number of unused retries that a workspace accumulates.
    pub max_saved_retries: u64,
    /// Deadline of a request.
    pub deadline: Millis,
    /// Upper bound of the first backoff; it doubles with each attempt.
    pub backoff_base: Millis,
    /// Upper bound of any backoff.
    pub backoff_cap: Millis,
    /// Maximum number of requests of one service that wait for a new primary.
    pub max_waiting_requests: usize,
    /// Interval at which one request is sent as a probe to a primary presumed lost.
    pub probe_interval: Millis,
    /// Time over which the release of waiting requests to a primary is spread.
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
