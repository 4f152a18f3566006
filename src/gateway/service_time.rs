//! Measured service times and drain rates of the queue for one target.
//!
//! A target's statements differ in length by route, so a mean over all of them says little on
//! the wait behind a given queue. Requests that arrive later may overtake one that waits; its
//! part of the recent starts tells how fast its place in the queue advances.

use crate::{clock::Millis, gateway::class_queue::CLASSES};

/// Weight of the newest sample in the moving average of a service time.
const SERVICE_TIME_WEIGHT: f32 = 0.1;

/// Service time assumed before the first sample, in milliseconds.
const INITIAL_SERVICE_TIME_MS: f32 = 15.0;

/// Weight of the newest start in the moving average of a lane's part of all starts. The average
/// covers some dozen starts, about a tenth of a second at a busy target.
const START_WEIGHT: f32 = 0.03;

/// Lower bound of a lane's part of all starts. A lane may go without a start while it is short.
const MIN_PART: f32 = 0.02;

/// Service times by class, in milliseconds.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    by_class: [Option<f32>; CLASSES],
    overall: Option<f32>,
}

impl ServiceTimes {
    /// Records the time for which an answered request held its slot.
    pub fn record(&mut self, class: usize, held: Millis) {
        for mean in [&mut self.by_class[class], &mut self.overall] {
            let held_ms = held.0 as f32;
            *mean = Some(mean.map_or(held_ms, |it| it + SERVICE_TIME_WEIGHT * (held_ms - it)));
        }
    }

    /// Mean service time of a class; that of all requests before its first sample.
    pub fn of(&self, class: usize) -> f32 {
        self.by_class[class].unwrap_or_else(|| self.overall())
    }

    /// Mean service time of all requests.
    pub fn overall(&self) -> f32 {
        self.overall.unwrap_or(INITIAL_SERVICE_TIME_MS)
    }

    /// Service time of the given numbers of requests of each class together.
    pub fn of_all(&self, counts: &[usize; CLASSES]) -> f32 {
        let times = counts.iter().enumerate().filter(|(_, count)| **count > 0);
        times.map(|(class, count)| *count as f32 * self.of(class)).sum()
    }
}

/// Part of all starts that one lane of the queue gets while it has waiting requests.
#[derive(Debug, Clone, Copy)]
pub struct StartShare(f32);

impl Default for StartShare {
    fn default() -> Self {
        Self(1.0)
    }
}

impl StartShare {
    /// Records a start while the lane had waiting requests; `own` if it was one of them.
    pub fn record(&mut self, own: bool) {
        let part = if own { 1.0 } else { 0.0 };
        self.0 += START_WEIGHT * (part - self.0);
    }

    /// Starts of all lanes until `ahead` requests of this lane have been started.
    pub fn starts_until(self, ahead: usize) -> f32 {
        ahead as f32 / self.0.max(MIN_PART)
    }
}
