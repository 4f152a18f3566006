//! Settings of statement classification and replica selection.

use crate::clock::Millis;

/// Limits of the classification cache and parameters of replica selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Maximum number of classified statements in the cache.
    pub max_cached_statements: usize,
    /// Maximum length of a cached statement in bytes; longer ones are classified each
    /// time.
    pub max_cached_statement_bytes: usize,
    /// Maximum wait for a replica to catch up.
    pub replica_wait: Millis,
    /// Time after which the penalty for a failure is halved.
    pub penalty_half_life: Millis,
    /// Minimum time between two probes of an instance whose hint is missing or outdated.
    pub probe_interval: Millis,
    /// Assumed latency of an instance in the local failure domain without samples, in
    /// microseconds.
    pub local_latency_us: u64,
    /// Assumed latency of an instance in another failure domain without samples, in
    /// microseconds.
    pub remote_latency_us: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            max_cached_statements: 4_096,
            max_cached_statement_bytes: 4_096,
            replica_wait: Millis(50),
            penalty_half_life: Millis(1_000),
            probe_interval: Millis(20),
            local_latency_us: 1_000,
            remote_latency_us: 8_000,
        }
    }
}
