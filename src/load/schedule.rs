//! Times at which a caller starts its operations.

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Schedule of one caller: one operation at a random time in each interval.
///
/// The times do not depend on answers, so a slow answer delays no later operation
/// in the schedule and latencies include the delay that a slow answer causes.
#[derive(Debug)]
pub struct Schedule {
    interval_us: f64,
    end_us: u64,
    next_index: u64,
    rng: SmallRng,
}

impl Schedule {
    /// Schedule of `rate` operations per second until `end_us`.
    pub fn new(rate: f64, end_us: u64, seed: u64) -> Self {
        let interval_us = if rate > 0.0 { 1_000_000.0 / rate } else { f64::INFINITY };
        Self { interval_us, end_us, next_index: 0, rng: SmallRng::seed_from_u64(seed) }
    }
}

impl Iterator for Schedule {
    type Item = u64;

    /// Time of the next operation in microseconds since the start.
    fn next(&mut self) -> Option<u64> {
        let at = (self.next_index as f64 + self.rng.random::<f64>()) * self.interval_us;
        self.next_index += 1;
        (at < self.end_us as f64).then_some(at as u64)
    }
}
