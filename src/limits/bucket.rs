//! Token bucket of a workspace at its limiter owner.
//!
//! A token granted at time g may be used until g + reach, where reach is the
//! lifetime of the grant with clock drift and rounding. Requests in a window of
//! length t were granted in a window of length t + reach, hence at most
//! `depth + refill * (t + reach)` of them run. With `depth = burst - rate * reach`
//! this is `rate * t + burst`.
//!
//! A depth below one token could never grant. If `burst - rate * reach` is less
//! than 1, the depth is 1 and the refill is reduced instead. Only whole requests
//! count: the (burst + 1)-th request of a window needs `t >= 1 / rate`, and with
//! depth 1 it is granted at least `burst / refill` after the first, so
//! `burst / refill >= reach + 1 / rate` suffices, and it implies the bound for all
//! later requests. The refill is then `rate * burst / (1 + rate * reach)`. A
//! workspace gets its full rate if `burst >= 1 + rate * reach`, which is about
//! 1 + 2.4 % of its rate with the shortest lifetime of 20 ms.

use crate::{clock::Millis, settings::limits::LimitSettings};

/// Micro-tokens per token.
const TOKEN: u64 = 1_000_000;

/// Milliseconds per second.
const SECOND_MS: u64 = 1_000;

/// Stated drift of a monotonic clock: one tenth.
const DRIFT_DIVISOR: u64 = 10;

/// Rounding of the owner's and the entry's clock readings, in milliseconds.
const CLOCK_ROUNDING_MS: u64 = 2;

/// Lifetime, depth and refill that follow from a rate and a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketParams {
    /// Lifetime of a grant on the clock of the entry that asked.
    pub ttl: Millis,
    /// Longest time from a grant to the use of its tokens.
    pub reach: Millis,
    depth: u64,
    /// Micro-tokens per millisecond.
    refill: u64,
}

impl BucketParams {
    /// BucketParams for `rate` requests per second and `burst` requests.
    pub fn new(rate: u32, burst: u32, settings: &LimitSettings) -> Self {
        let (rate, burst) = (u64::from(rate), u64::from(burst));
        let half_burst_ms = (burst * SECOND_MS).checked_div(2 * rate).unwrap_or(u64::MAX);
        let ttl = Millis(half_burst_ms).clamp(settings.shortest_ttl, settings.longest_ttl);
        let reach = ttl.0 + ttl.0.div_ceil(DRIFT_DIVISOR) + CLOCK_ROUNDING_MS;
        // One request per second is 1,000 micro-tokens per millisecond.
        let full = rate * (TOKEN / SECOND_MS);
        let late_use = full * reach;
        let spare = (burst * TOKEN).saturating_sub(late_use);
        let (depth, refill) = match burst {
            0 => (0, 0),
            _ if spare >= TOKEN => (spare, full),
            _ => (TOKEN, full * burst * TOKEN / (TOKEN + late_use)),
        };
        Self { ttl, reach: Millis(reach), depth, refill }
    }

    /// Whether a workspace with these limits can use its full rate.
    pub fn allows_full_rate(&self, rate: u32) -> bool {
        self.refill == u64::from(rate) * (TOKEN / SECOND_MS)
    }
}

/// Bucket with integer micro-tokens.
#[derive(Debug, Clone)]
pub struct Bucket {
    terms: BucketParams,
    tokens: u64,
    at: Millis,
}

impl Bucket {
    /// Bucket without tokens that fills from `start` on.
    pub fn empty(start: Millis, terms: BucketParams) -> Self {
        Self { terms, tokens: 0, at: start }
    }

    /// BucketParams in force.
    pub fn params(&self) -> &BucketParams {
        &self.terms
    }

    /// Changes the terms; tokens above the new depth are dropped.
    pub fn set_params(&mut self, now: Millis, terms: BucketParams) {
        if terms != self.terms {
            self.refill(now);
            self.terms = terms;
            self.tokens = self.tokens.min(terms.depth);
        }
    }

    /// Whole tokens that can be granted now.
    pub fn available(&mut self, now: Millis) -> u64 {
        self.refill(now);
        self.tokens / TOKEN
    }

    /// Whole tokens that may be spent on forecasts: those above half of the depth,
    /// and above what a burst should find while forecasts waste two lifetimes' refill.
    pub fn surplus(&mut self, now: Millis) -> u64 {
        self.refill(now);
        let wasted = 2 * self.terms.refill * self.terms.ttl.0;
        let kept = self.terms.depth.saturating_sub(wasted).max(self.terms.depth / 2);
        self.tokens.saturating_sub(kept) / TOKEN
    }

    /// Takes up to `wanted` tokens.
    pub fn take(&mut self, now: Millis, wanted: u64) -> u64 {
        let taken = wanted.min(self.available(now));
        self.tokens -= taken * TOKEN;
        taken
    }

    /// Time until `wanted` tokens are available, if they ever are.
    pub fn time_until(&mut self, now: Millis, wanted: u64) -> Option<Millis> {
        self.refill(now);
        let missing = (wanted * TOKEN).saturating_sub(self.tokens);
        match (missing, self.terms.refill) {
            (0, _) => Some(Millis(0)),
            (_, 0) => None,
            (missing, refill) => Some(Millis(missing.div_ceil(refill))),
        }
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.at).0.saturating_mul(self.terms.refill);
        self.tokens = self.tokens.saturating_add(gained).min(self.terms.depth);
        self.at = self.at.max(now);
    }
}
