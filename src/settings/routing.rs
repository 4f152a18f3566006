//! Settings of statement classification and replica choice.

use crate::clock::Millis;

/// Limits of classification and weights of replica choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Classified statements kept in memory.
    pub max_cached_statements: usize,
    /// Longer statements are classified each time, in bytes.
    pub max_cached_statement_bytes: usize,
    /// Longest wait for a replica that lags slightly.
    pub replica_wait: Millis,
    /// Time after which the penalty for a failure has halved.
    pub penalty_half_life: Millis,
    /// Least time between two probes of an instance whose hint is missing or old.
    pub probe_interval: Millis,
    /// Assumed latency of an instance of the local failure domain without samples, in microseconds.
    pub local_latency_us: u64,
    /// Assumed latency of other instances without samples, in microseconds.
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
