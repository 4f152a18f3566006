//! Token bucket of a workspace, kept by its limiter owner.
//!
//! A token granted at time g may be used until g + max_token_age, which is the lifetime
//! of the grant plus clock drift and rounding. Requests that run within a window of
//! length t used tokens granted within t + max_token_age, so at most
//! `depth + refill * (t + max_token_age)` of them run. With
//! `depth = burst - rate * max_token_age` this is the limit, `rate * t + burst`.
//!
//! A bucket shallower than one token could never grant. If
//! `burst - rate * max_token_age` is less than 1, the depth is 1 and the refill rate is
//! reduced instead. The limit counts only whole requests: request number burst + 1 of a
//! window is allowed from `t >= 1 / rate` on. With depth 1, its token is granted at
//! least `burst / refill` after the first one, so it is sufficient that
//! `burst / refill >= max_token_age + 1 / rate`, which also implies the limit for all
//! later requests. This gives `refill = rate * burst / (1 + rate * max_token_age)`.
//!
//! A workspace therefore gets its full rate if `burst >= 1 + rate * max_token_age`,
//! about 1 + 2.4 % of its rate with the shortest lifetime of 20 ms.

use crate::{
    clock::Millis,
    limits::token_bucket::{BucketShape, TOKEN_SCALE, TokenBucket},
    settings::limits::LimitSettings,
};

const MS_PER_SECOND: u64 = 1_000;

/// Monotonic clocks are specified to drift by at most one tenth.
const DRIFT_DIVISOR: u64 = 10;

/// Rounding error of the clock readings at the limiter owner and the entry host.
const CLOCK_ROUNDING_MS: u64 = 2;

/// Token bucket parameters derived from a rate and a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketParams {
    /// Lifetime of a grant on the clock of the requesting host.
    pub ttl: Millis,
    /// Maximum time from a grant to the use of its tokens.
    pub max_token_age: Millis,
    shape: BucketShape,
}

impl BucketParams {
    /// Parameters for `rate` requests per second and bursts of `burst` requests.
    pub fn new(rate: u32, burst: u32, settings: &LimitSettings) -> Self {
        let (rate, burst) = (u64::from(rate), u64::from(burst));
        let half_burst_ms = (burst * MS_PER_SECOND).checked_div(2 * rate).unwrap_or(u64::MAX);
        let ttl = Millis(half_burst_ms).clamp(settings.min_ttl, settings.max_ttl);
        let max_token_age = ttl.0 + ttl.0.div_ceil(DRIFT_DIVISOR) + CLOCK_ROUNDING_MS;
        // One request per second is 1,000 micro-tokens per millisecond.
        let full_refill = rate * (TOKEN_SCALE / MS_PER_SECOND);
        let outstanding = full_refill * max_token_age;
        let remaining = (burst * TOKEN_SCALE).saturating_sub(outstanding);
        let (depth, refill) = match burst {
            0 => (0, 0),
            _ if remaining >= TOKEN_SCALE => (remaining, full_refill),
            _ => (TOKEN_SCALE, full_refill * burst * TOKEN_SCALE / (TOKEN_SCALE + outstanding)),
        };
        Self { ttl, max_token_age: Millis(max_token_age), shape: BucketShape { depth, refill } }
    }

    /// Whether a workspace with these limits can use its full rate.
    pub fn allows_full_rate(&self, rate: u32) -> bool {
        self.shape.refill == u64::from(rate) * (TOKEN_SCALE / MS_PER_SECOND)
    }
}

/// Token bucket with the parameters of a workspace.
#[derive(Debug, Clone)]
pub struct Bucket {
    params: BucketParams,
    tokens: TokenBucket,
}

impl Bucket {
    /// Empty bucket that refills from `start` on.
    pub fn empty(start: Millis, params: BucketParams) -> Self {
        Self { params, tokens: TokenBucket::empty(start, params.shape) }
    }

    /// Current parameters.
    pub fn params(&self) -> &BucketParams {
        &self.params
    }

    /// Changes the parameters; tokens above the new depth are discarded.
    pub fn set_params(&mut self, now: Millis, params: BucketParams) {
        self.params = params;
        self.tokens.set_shape(now, params.shape);
    }

    /// Whole tokens that can be granted now.
    pub fn available(&mut self, now: Millis) -> u64 {
        self.tokens.available(now)
    }

    /// Whole tokens that may be granted in advance for expected requests.
    ///
    /// Keeps the larger of two reserves for bursts: half of the depth, and the depth
    /// less the refill of two grant lifetimes, the most that unused tokens may waste.
    pub fn surplus(&mut self, now: Millis) -> u64 {
        self.tokens.refill(now);
        let BucketShape { depth, refill } = self.params.shape;
        let max_wasted = 2 * refill * self.params.ttl.0;
        let reserve = depth.saturating_sub(max_wasted).max(depth / 2);
        self.tokens.level().saturating_sub(reserve) / TOKEN_SCALE
    }

    /// Takes up to `wanted` whole tokens; returns the number taken.
    pub fn take(&mut self, now: Millis, wanted: u64) -> u64 {
        self.tokens.take(now, wanted)
    }

    /// Time until the bucket has refilled to `wanted` tokens; `None` if it never refills.
    pub fn time_until(&mut self, now: Millis, wanted: u64) -> Option<Millis> {
        self.tokens.time_until(now, wanted)
    }
}
