//! Request deadlines and the jittered backoff between attempts.

use rand::Rng;

use crate::{clock::Millis, settings::retry::RetrySettings};

/// Time by which a request must have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Millis);

impl Deadline {
    /// Deadline of a request that arrives now.
    pub fn for_request(now: Millis, settings: &RetrySettings) -> Self {
        Self(now + settings.deadline)
    }

    /// Time left; zero after the deadline.
    pub fn remaining(self, now: Millis) -> Millis {
        self.0.since(now)
    }

    /// Whether the deadline passes within `span` from `now`.
    pub fn expires_within(self, now: Millis, span: Millis) -> bool {
        self.remaining(now) <= span
    }

    pub fn at(self) -> Millis {
        self.0
    }
}

/// Delay before retry number `attempt`, counted from 1.
///
/// The delay is uniform between zero and an exponentially growing bound, so that
/// callers do not retry at the same time.
pub fn backoff(attempt: u32, settings: &RetrySettings, rng: &mut impl Rng) -> Millis {
    let doublings = attempt.saturating_sub(1).min(u64::BITS - 1);
    let bound = settings.backoff_base.0.saturating_mul(1 << doublings);
    Millis(rng.random_range(0..=bound.min(settings.backoff_cap.0)))
}
