//! Deadline of a request and jittered backoff between attempts.

use rand::Rng;

use crate::{clock::Millis, settings::retry::RetrySettings};

/// Time at which a request must have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Millis);

impl Deadline {
    /// Deadline of a request that arrives now.
    pub fn of_request(now: Millis, settings: &RetrySettings) -> Self {
        Self(now + settings.deadline)
    }

    /// Time that is left.
    pub fn remaining(self, now: Millis) -> Millis {
        self.0.since(now)
    }

    /// Whether the deadline comes before `span` has passed.
    pub fn is_within(self, now: Millis, span: Millis) -> bool {
        self.remaining(now) <= span
    }

    /// Point in time of the deadline.
    pub fn at(self) -> Millis {
        self.0
    }
}

/// Wait before repeated attempt number `attempt` (from 1): uniform between zero
/// and an exponentially growing bound, so that callers do not repeat in step.
pub fn backoff(attempt: u32, settings: &RetrySettings, rng: &mut impl Rng) -> Millis {
    let doublings = attempt.saturating_sub(1).min(u64::BITS - 1);
    let bound = settings.backoff_base.0.saturating_mul(1 << doublings);
    Millis(rng.random_range(0..=bound.min(settings.backoff_cap.0)))
}
