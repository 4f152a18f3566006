//! Time that a control host's event loop spends on its work, for the log.

use std::time::{Duration, Instant};

/// Length of the windows in which work is added up.
const WINDOW: Duration = Duration::from_secs(1);

/// Share of a window, in percent, from which its work is logged.
const LOGGED_PERCENT: u32 = 50;

/// Work of the event loop within one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Time spent on all work.
    pub busy: Duration,
    /// Longest time without looking at new events.
    pub longest: Duration,
    /// Time spent on planning and sending allocations.
    pub limits: Duration,
    /// Time spent on building and sending views.
    pub views: Duration,
    /// Time spent on checks of the primaries.
    pub failover: Duration,
    /// Time spent on reports of entry hosts, with the views and allocations that they cause.
    pub reporting: Duration,
    /// Reports of entry hosts.
    pub reports: u32,
}

/// Adds up the work of the event loop.
#[derive(Debug)]
pub struct LoopLoad {
    window_began: Instant,
    load: Load,
}

impl Default for LoopLoad {
    fn default() -> Self {
        Self { window_began: Instant::now(), load: Load::default() }
    }
}

impl LoopLoad {
    /// Records work on the events since `began`; returns the load of a window that has ended
    /// and in which the loop was busy most of the time.
    pub fn record(&mut self, began: Instant) -> Option<Load> {
        let spent = began.elapsed();
        self.load.busy += spent;
        self.load.longest = self.load.longest.max(spent);
        let window = self.window_began.elapsed();
        if window < WINDOW {
            return None;
        }
        let load = std::mem::take(&mut self.load);
        self.window_began = Instant::now();
        (load.busy * 100 >= window * LOGGED_PERCENT).then_some(load)
    }

    /// Records the work on one report since `began`.
    pub fn record_report(&mut self, began: Instant) {
        self.load.reports += 1;
        self.load.reporting += began.elapsed();
    }

    /// Records work on the primaries since `began`.
    pub fn record_failover(&mut self, began: Instant) {
        self.load.failover += began.elapsed();
    }

    /// Records work on allocations since `began`.
    pub fn record_limits(&mut self, began: Instant) {
        self.load.limits += began.elapsed();
    }

    /// Records work on views since `began`.
    pub fn record_views(&mut self, began: Instant) {
        self.load.views += began.elapsed();
    }
}
