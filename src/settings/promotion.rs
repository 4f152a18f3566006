//! Settings of failure detection and promotion of primaries.

use crate::clock::Millis;

/// Timing of failure detection and promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromotionSettings {
    /// Time without contact with the primary after which an instance suspects it.
    pub suspicion_timeout: Millis,
    /// Age from which an observation is discarded. Owners repeat a suspicion every
    /// 500 ms, so two lost messages are tolerated.
    pub observation_expiry: Millis,
    /// Time after a change of term in which suspicions are ignored, because the replicas
    /// may not have received anything from the new primary yet.
    pub grace_period: Millis,
    /// Minimum time between two planned promotions in one group. A drained primary gets
    /// no new work after 1,500 ms, so a long pause would interrupt the service.
    pub min_planned_interval: Millis,
    /// Interval at which an unanswered step is repeated.
    pub retry_interval: Millis,
    /// Time for which a planned promotion waits for the preferred instance to be fenced
    /// once a majority is fenced.
    pub preferred_wait: Millis,
    /// Time for which a failover waits for a successor other than the old primary once a
    /// majority is fenced. Longer than `retry_interval` to tolerate a lost message.
    pub successor_wait: Millis,
    /// Time after which an unanswered promotion restarts with a higher term.
    pub promote_timeout: Millis,
}

impl Default for PromotionSettings {
    fn default() -> Self {
        Self {
            suspicion_timeout: Millis(1_000),
            observation_expiry: Millis(1_500),
            grace_period: Millis(1_500),
            min_planned_interval: Millis(2_000),
            retry_interval: Millis(200),
            preferred_wait: Millis(150),
            successor_wait: Millis(400),
            promote_timeout: Millis(1_000),
        }
    }
}
