//! Settings of rates and bursts.

use crate::clock::Millis;

/// Times of grants and bounds of the queue at an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Longest lifetime of a grant.
    pub max_ttl: Millis,
    /// Shortest lifetime of a grant; must exceed the round trip to the limiter owner.
    pub min_ttl: Millis,
    /// Longest time for which another host may act on a replaced view: lease of
    /// 2,000 ms plus 10 % clock drift.
    pub view_overlap: Millis,
    /// Time for which a host that asked counts in the division of tokens.
    pub requester_timeout: Millis,
    /// Longest interval at which an entry is told to ask again for missing tokens.
    pub max_retry_interval: Millis,
    /// Requests of one workspace that may wait at one entry.
    pub queue_length: usize,
    /// Longest wait for a token.
    pub queue_wait: Millis,
    /// Longest wait while no limiter owner grants; below the request deadline.
    pub owner_loss_wait: Millis,
    /// Longest time after the owner's return for which requests may still wait as
    /// long, so that the backlog is served and not refused.
    pub max_recovery: Millis,
    /// A limiter owner without an answer for this time counts as lost.
    pub owner_timeout: Millis,
    /// Interval between repeated requests for tokens without an answer.
    pub request_timeout: Millis,
    /// Span for which an entry asks for expected requests in advance.
    pub forecast_span: Millis,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_ttl: Millis(100),
            min_ttl: Millis(20),
            view_overlap: Millis(2_200),
            requester_timeout: Millis(60),
            max_retry_interval: Millis(20),
            queue_length: 1_024,
            queue_wait: Millis(200),
            owner_loss_wait: Millis(4_500),
            max_recovery: Millis(20_000),
            owner_timeout: Millis(100),
            request_timeout: Millis(40),
            forecast_span: Millis(50),
        }
    }
}
