//! Time in milliseconds.
//!
//! Decision code receives [`Millis`] values and never reads a clock itself. The
//! runtime reads them from a [`Clock`], and tests advance a [`ManualClock`].

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use derive_more::{Add, AddAssign, Display, From, Into, Sub};
use serde::{Deserialize, Serialize};

/// Point in time or span on a monotonic clock, in milliseconds.
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
    /// Span since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Equivalent standard duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Source of monotonic time.
pub trait Clock {
    /// Current time.
    fn now(&self) -> Millis;
}

/// Monotonic clock of the process, starting at zero.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Clock that only moves when a test advances it.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::SeqCst))
    }
}
