//! Rate limit checks: detects statements admitted above the limit and wrong refusals.

use std::str::FromStr;

use derive_more::Display;

/// Window over which admitted statements are counted.
const WINDOW_US: u64 = 1_000_000;

/// A refusal is wrong only if the load offered in each of these windows before the request
/// was within the rate.
const RATE_WINDOWS_US: [u64; 2] = [1_000_000, 3_000_000];

/// Window in which half of the burst is allowed on top of the rate.
///
/// It is as long as requests may wait for a token. The proxy reserves at least half of the
/// burst for simultaneous requests.
const BURST_WINDOW_US: u64 = 200_000;

/// Rate limit of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{rate}/{burst}")]
pub struct Limit {
    /// Statements per second.
    pub rate: u32,
    /// Statements allowed at once above the rate.
    pub burst: u32,
}

/// Error for text that is not of the form `RATE/BURST`.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("`{_0}` is not of the form RATE/BURST")]
pub struct ParseLimitError(pub String);

impl std::error::Error for ParseLimitError {}

impl FromStr for Limit {
    type Err = ParseLimitError;

    fn from_str(text: &str) -> Result<Self, ParseLimitError> {
        let error = || ParseLimitError(text.to_owned());
        let (rate, burst) = text.split_once('/').ok_or_else(error)?;
        let rate = rate.parse().map_err(|_| error())?;
        let burst = burst.parse().map_err(|_| error())?;
        Ok(Limit { rate, burst })
    }
}

/// Interval between sending a statement and its answer, in microseconds since the start of
/// the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    pub sent: u64,
    pub done: u64,
}

/// Largest number of statements above rate and burst in any window of 1 s.
///
/// A statement counts in a window only if it was both sent and answered within it. The proxy
/// admitted it at some time in between, so a counted statement was certainly admitted within
/// the window, and slow answers cause no false violations.
pub fn over_rate(limit: Limit, spans: &[Span]) -> u64 {
    let allowed = u64::from(limit.rate) * WINDOW_US / 1_000_000 + u64::from(limit.burst);
    densest_window(spans, WINDOW_US).saturating_sub(allowed)
}

/// Largest number of spans that lie within one window of `window` microseconds.
pub fn densest_window(spans: &[Span], window: u64) -> u64 {
    let mut by_end: Vec<u64> = spans.iter().map(|span| span.done).collect();
    by_end.sort_unstable();
    let mut by_start = spans.to_vec();
    by_start.sort_unstable();
    let mut ends = FenwickTree::new(by_end.len());
    let mut densest = 0;
    // In descending order of start, `ends` holds exactly the spans that start at or after the
    // start of the current window.
    for span in by_start.iter().rev() {
        ends.add(by_end.partition_point(|end| *end < span.done));
        let within = by_end.partition_point(|end| *end <= span.sent + window);
        densest = densest.max(ends.sum(within));
    }
    densest
}

/// Counters with prefix sums in logarithmic time.
struct FenwickTree {
    tree: Vec<u64>,
}

impl FenwickTree {
    fn new(len: usize) -> Self {
        Self { tree: vec![0; len + 1] }
    }

    /// Increments the counter at `index`.
    fn add(&mut self, index: usize) {
        let mut node = index + 1;
        while node < self.tree.len() {
            self.tree[node] += 1;
            node += node & node.wrapping_neg();
        }
    }

    /// Sum of the counters before `end`.
    fn sum(&self, end: usize) -> u64 {
        let mut node = end;
        let mut sum = 0;
        while node > 0 {
            sum += self.tree[node];
            node -= node & node.wrapping_neg();
        }
        sum
    }
}

/// Whether the load offered up to a request sent at `at` was within the rate limit.
///
/// `offered` holds the sorted send times of all requests in microseconds, including this one.
pub fn inside_rate(limit: Limit, offered: &[u64], at: u64) -> bool {
    let upto = offered.partition_point(|time| *time <= at);
    let inside = |window: u64, burst: u64| {
        let from = offered.partition_point(|time| *time + window <= at);
        let allowed = u64::from(limit.rate) * window + burst * 1_000_000;
        (upto - from) as u64 * 1_000_000 <= allowed
    };
    let rate = RATE_WINDOWS_US.iter().all(|window| inside(*window, 0));
    rate && inside(BURST_WINDOW_US, (u64::from(limit.burst) / 2).max(1))
}
