//! Forecast of the requests of a workspace at one entry.

use crate::clock::Millis;

/// Length of the intervals whose arrivals are averaged.
const INTERVAL: Millis = Millis(50);

/// Intervals after which an old average no longer counts.
const FORGOTTEN_INTERVALS: u64 = 64;

/// Thousandths of a request, the unit of the average.
const MILLI: u64 = 1_000;

/// Least expectation for which a token is worth holding, in thousandths: at 2.5
/// requests per second and the usual lifetime of a grant, one in four is used.
const WORTH_HOLDING: u64 = 125;

/// Moving average of arrivals; a new interval counts one quarter.
#[derive(Debug, Clone, Default)]
pub struct ArrivalForecast {
    interval: u64,
    arrived: u64,
    average: u64,
}

impl ArrivalForecast {
    /// Counts one arrival.
    pub fn arrived(&mut self, now: Millis) {
        self.roll(now);
        self.arrived += 1;
    }

    /// Requests expected within `span`, rounded up unless they are rare.
    pub fn expected(&mut self, now: Millis, span: Millis) -> u64 {
        self.roll(now);
        let expected = self.average * span.0 / INTERVAL.0;
        if expected < WORTH_HOLDING { 0 } else { expected.div_ceil(MILLI) }
    }

    fn roll(&mut self, now: Millis) {
        let interval = now.0 / INTERVAL.0;
        let passed = interval.saturating_sub(self.interval);
        if passed > FORGOTTEN_INTERVALS {
            (self.average, self.arrived) = (0, 0);
        }
        for _ in 0..passed.min(FORGOTTEN_INTERVALS) {
            self.average = (self.average * 3 + self.arrived * MILLI) / 4;
            self.arrived = 0;
        }
        self.interval = self.interval.max(interval);
    }
}
