//! Token bucket in integer micro-tokens.

use crate::clock::Millis;

/// Micro-tokens per token, the fixed-point scale of the bucket.
pub const TOKEN_SCALE: u64 = 1_000_000;

/// Capacity and refill rate of a bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BucketShape {
    /// Capacity in micro-tokens.
    pub depth: u64,
    /// Refill rate in micro-tokens per millisecond.
    pub refill: u64,
}

impl BucketShape {
    /// Whole tokens that fit into the bucket.
    pub fn whole_tokens(self) -> u64 {
        self.depth / TOKEN_SCALE
    }
}

/// Bucket that starts empty.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    shape: BucketShape,
    /// Part of the capacity that must stay free, in micro-tokens.
    reserved: u64,
    /// Level in micro-tokens.
    level: u64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Empty bucket that refills from `start` on.
    pub fn empty(start: Millis, shape: BucketShape) -> Self {
        Self { shape, reserved: 0, level: 0, refilled_at: start }
    }

    pub fn shape(&self) -> BucketShape {
        self.shape
    }

    /// Level in micro-tokens.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Changes the shape; tokens above the new capacity are discarded.
    pub fn set_shape(&mut self, now: Millis, shape: BucketShape) {
        if shape != self.shape {
            self.refill(now);
            self.shape = shape;
            self.discard_excess();
        }
    }

    /// Sets the part of the capacity that must stay free, in whole tokens.
    pub fn set_reserved(&mut self, now: Millis, tokens: u64) {
        self.refill(now);
        self.reserved = tokens * TOKEN_SCALE;
        self.discard_excess();
    }

    /// Whole tokens in the bucket.
    pub fn available(&mut self, now: Millis) -> u64 {
        self.refill(now);
        self.level / TOKEN_SCALE
    }

    /// Takes up to `wanted` whole tokens; returns the number taken.
    pub fn take(&mut self, now: Millis, wanted: u64) -> u64 {
        let taken = wanted.min(self.available(now));
        self.level -= taken * TOKEN_SCALE;
        taken
    }

    /// Adds tokens; those that do not fit are discarded.
    pub fn put(&mut self, now: Millis, tokens: u64) {
        self.refill(now);
        self.level += tokens * TOKEN_SCALE;
        self.discard_excess();
    }

    /// Time until the bucket has refilled to `wanted` tokens; `None` if it never does.
    pub fn time_until(&mut self, now: Millis, wanted: u64) -> Option<Millis> {
        self.refill(now);
        let missing = (wanted * TOKEN_SCALE).saturating_sub(self.level);
        match (missing, self.shape.refill) {
            (0, _) => Some(Millis(0)),
            (_, 0) => None,
            (missing, refill) => Some(Millis(missing.div_ceil(refill))),
        }
    }

    /// Adds the tokens of the time since the last call.
    pub fn refill(&mut self, now: Millis) {
        let gained = now.since(self.refilled_at).0.saturating_mul(self.shape.refill);
        self.level = self.level.saturating_add(gained);
        self.refilled_at = self.refilled_at.max(now);
        self.discard_excess();
    }

    fn discard_excess(&mut self) {
        self.level = self.level.min(self.shape.depth.saturating_sub(self.reserved));
    }
}
