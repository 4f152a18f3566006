//! Settings of failure detection and promotion.

use crate::clock::Millis;

/// Times that bound detection and promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromotionSettings {
    /// Silence of the primary from which an instance counts as suspicious.
    pub suspicion_timeout: Millis,
    /// Age from which an observation no longer counts. Owners repeat a suspicion
    /// every 500 ms, so this tolerates two lost messages.
    pub observation_expiry: Millis,
    /// Time after a change of term in which suspicions don't count, because the
    /// replicas have yet to hear from the new primary.
    pub grace_period: Millis,
    /// Least time between two planned changes of one group. A drained primary gets
    /// no new work after 1,500 ms, so a long pause would be a gap in service.
    pub min_planned_interval: Millis,
    /// Interval between attempts of an unanswered step.
    pub retry_interval: Millis,
    /// Time that a planned change waits for the preferred instance to be fenced
    /// after a majority is fenced.
    pub preferred_wait: Millis,
    /// Time that a failover waits for a successor other than the old primary after a
    /// majority is fenced. It is longer than `retry_interval`, to tolerate a lost message.
    pub successor_wait: Millis,
    /// Time after which an unanswered promotion starts over with a higher term.
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
