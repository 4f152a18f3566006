//! Time in milliseconds.
//!
//! Decision code receives [`Millis`] values and never reads a clock itself. The
//! runtime reads them from a [`Clock`], and tests advance a [`ManualClock`].

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use derive_more::{Add, AddAssign, Display, From, Into, Sub};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Point in time or duration on a monotonic clock, in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    From,
    Into,
    Add,
    AddAssign,
    Sub,
)]
#[display("{_0} ms")]
pub struct Millis(pub u64);

impl Millis {
    /// Time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Same value as a standard duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Source of monotonic time.
pub trait Clock {
    /// Current time.
    fn now(&self) -> Millis;
}

/// Monotonic clock that starts at zero. Time in which the machine is suspended counts
/// too, so a lease does not outlive a suspension.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Millis,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: time_since_boot() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        time_since_boot().since(self.start)
    }
}

fn time_since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Millis(seconds * 1_000 + u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000_000)
}

/// Clock for tests; its time changes only in [`ManualClock::advance`].
#[derive(Debug, Default)]
pub struct ManualClock {
    now: AtomicU64,
}

impl ManualClock {
    /// Advances the time by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::SeqCst))
    }
}
