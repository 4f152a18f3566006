//! Short-term forecast of a workspace's request arrivals at one entry host.

use crate::clock::Millis;

/// Length of the intervals whose arrival counts are averaged.
const SAMPLE_INTERVAL: Millis = Millis(50);

/// Intervals without an update after which the average is reset.
const RESET_INTERVALS: u64 = 64;

/// Fixed-point scale of the average: thousandths of a request.
const SCALE: u64 = 1_000;

/// Expected requests below which no token is requested in advance, in thousandths.
/// At 2.5 requests per second and the usual grant lifetime, one in four such tokens
/// is used.
const MIN_EXPECTED: u64 = 125;

/// Exponential moving average of arrivals per interval, with a weight of one quarter
/// for the newest interval.
#[derive(Debug, Clone, Default)]
pub struct ArrivalForecast {
    /// Number of the current interval.
    interval: u64,
    /// Arrivals in the current interval.
    arrivals: u64,
    /// Arrivals per interval, scaled by `SCALE`.
    average: u64,
}

impl ArrivalForecast {
    pub fn record_arrival(&mut self, now: Millis) {
        self.advance(now);
        self.arrivals += 1;
    }

    /// Requests expected within `span`: rounded up, or zero below `MIN_EXPECTED`.
    pub fn expected_within(&mut self, now: Millis, span: Millis) -> u64 {
        self.advance(now);
        let expected = self.average * span.0 / SAMPLE_INTERVAL.0;
        if expected < MIN_EXPECTED { 0 } else { expected.div_ceil(SCALE) }
    }

    fn advance(&mut self, now: Millis) {
        let interval = now.0 / SAMPLE_INTERVAL.0;
        let elapsed = interval.saturating_sub(self.interval);
        if elapsed > RESET_INTERVALS {
            (self.average, self.arrivals) = (0, 0);
        }
        for _ in 0..elapsed.min(RESET_INTERVALS) {
            self.average = (self.average * 3 + self.arrivals * SCALE) / 4;
            self.arrivals = 0;
        }
        self.interval = self.interval.max(interval);
    }
}
