//! Settings of rate limiting.

use crate::clock::Millis;

/// Timing of token grants and limits of the queue at an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum lifetime of a grant.
    pub max_ttl: Millis,
    /// Minimum lifetime of a grant; must exceed the round trip to the limiter owner.
    pub min_ttl: Millis,
    /// Maximum time for which another host may act on an outdated view: lease of
    /// 2,000 ms plus 10 % clock drift.
    pub view_overlap: Millis,
    /// Time since its last request after which a host no longer gets a share of the
    /// tokens.
    pub requester_timeout: Millis,
    /// Maximum interval at which an entry host is told to request missing tokens again.
    pub max_retry_interval: Millis,
    /// Maximum number of requests of one workspace that wait at one entry host.
    pub queue_length: usize,
    /// Maximum wait for a token.
    pub queue_wait: Millis,
    /// Maximum wait while no limiter owner grants tokens; less than the request deadline.
    pub owner_loss_wait: Millis,
    /// Maximum time after the limiter owner's return for which `owner_loss_wait` still
    /// applies, so that the backlog is served and not refused.
    pub max_recovery: Millis,
    /// Time without a response after which the limiter owner counts as lost.
    pub owner_timeout: Millis,
    /// Time after which an unanswered request for tokens is repeated.
    pub request_timeout: Millis,
    /// How far ahead an entry host requests tokens for expected requests.
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
