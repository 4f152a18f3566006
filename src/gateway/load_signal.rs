//! Load of this process: how late its event loop wakes up.
//!
//! Handles the load at which a host is late because it is itself busy. Timers that exist for other
//! purposes tell their delay, so that measuring causes no wake-ups. A busy host says so in its
//! reports and answers, and refuses a share of the least urgent new work.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Length of the windows over which delays are averaged.
const WINDOW: Millis = Millis(500);

/// Average delay from which a host is busy. A statement waits for about three wake-ups at two
/// hosts, so that one with a latency target of 120 ms is late.
const BUSY_DELAY: Millis = Millis(40);

/// Average delay from which a share of the least urgent work is refused; the share grows to all
/// of it at twice this delay, and then to the next level.
const REFUSAL_DELAY: Millis = Millis(80);

/// Delay after which a refused caller may retry: the next window has begun by then.
pub const RETRY_AFTER: Millis = WINDOW;

/// Load of a process, as it tells it to others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Average delay of the event loop.
    pub loop_delay: Millis,
}

impl LoadReport {
    pub fn is_busy(self) -> bool {
        self.loop_delay >= BUSY_DELAY
    }
}

/// Delays of the event loop.
#[derive(Debug, Default)]
pub struct LoadSignal {
    window_start: Millis,
    sum: Millis,
    count: u64,
    /// Averages of the last two windows, the newer one first.
    averages: [Millis; 2],
    /// Work to refuse, in percent of a request, that was not refused yet.
    refusal_credit: u64,
}

impl LoadSignal {
    /// Records the time from an expected wake-up to the actual one.
    pub fn record(&mut self, now: Millis, delay: Millis) {
        self.roll(now);
        self.sum += delay;
        self.count += 1;
    }

    fn roll(&mut self, now: Millis) {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let average = Millis(self.sum.0.checked_div(self.count).unwrap_or(0));
        // Nothing is known of windows without samples.
        let is_recent = elapsed.0 < 2 * WINDOW.0 + average.0;
        self.averages = if is_recent { [average, self.averages[0]] } else { [Millis(0); 2] };
        self.window_start = now;
        self.sum = Millis(0);
        self.count = 0;
    }

    /// Load to tell others. A single late window does not count.
    pub fn report(&mut self, now: Millis) -> LoadReport {
        self.roll(now);
        LoadReport { loop_delay: self.averages[0].min(self.averages[1]) }
    }

    /// Load to tell others if this process is busy.
    pub fn busy_report(&mut self, now: Millis) -> Option<LoadReport> {
        Some(self.report(now)).filter(|load| load.is_busy())
    }

    /// Whether to refuse a new operation of `priority`; `priorities` are those of all routes. The
    /// most urgent ones are never refused.
    pub fn refuses(
        &mut self,
        now: Millis,
        priority: u32,
        priorities: impl Iterator<Item = u32>,
    ) -> bool {
        let delay = self.report(now).loop_delay;
        if delay < REFUSAL_DELAY {
            return false;
        }
        let mut less_urgent = Vec::new();
        let mut is_most_urgent = true;
        for other in priorities {
            is_most_urgent &= other >= priority;
            if other > priority && !less_urgent.contains(&other) {
                less_urgent.push(other);
            }
        }
        if is_most_urgent {
            return false;
        }
        let level = less_urgent.len() as u64;
        let percent = (delay.0 * 100 / REFUSAL_DELAY.0).saturating_sub(100 * (level + 1));
        self.refusal_credit += percent.min(100);
        let refuses = self.refusal_credit >= 100;
        if refuses {
            self.refusal_credit -= 100;
        }
        refuses
    }
}
