//! Open-loop schedule of a caller's operations.

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Schedule of one caller, with one operation at a random time in each interval.
///
/// The times do not depend on the answers, so a slow answer does not postpone later operations
/// in the schedule, and the latencies of those include the delay it causes.
#[derive(Debug)]
pub struct Schedule {
    interval_us: f64,
    end_us: u64,
    next_index: u64,
    rng: SmallRng,
}

impl Schedule {
    /// Schedules `rate` operations per second until `end_us`.
    pub fn new(rate: f64, end_us: u64, seed: u64) -> Self {
        let interval_us = if rate > 0.0 { 1_000_000.0 / rate } else { f64::INFINITY };
        Self { interval_us, end_us, next_index: 0, rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Iterator for Schedule {
    type Item = u64;

    /// Time of the next operation in microseconds since the start of the run.
    fn next(&mut self) -> Option<u64> {
        let at = (self.next_index as f64 + self.rng.random::<f64>()) * self.interval_us;
        self.next_index += 1;
        (at < self.end_us as f64).then_some(at as u64)
    }
}
