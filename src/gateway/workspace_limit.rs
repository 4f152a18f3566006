//! One workspace's rate limit at an entry host.

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    fleet::messages::Usage,
    ids::Workspace,
    limits::token_bucket::{BucketShape, TokenBucket},
};

/// Time from a loan until it can surely not be used any more: its lifetime, 10 % for clock
/// drift, and rounding.
pub(super) const LOAN_EXPIRY: Millis = Millis(68);

const SECOND: Millis = Millis(1_000);

/// Decisions about a workspace's operations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitUse {
    /// Operations admitted with this host's own tokens.
    pub admitted: u32,
    /// Operations admitted with borrowed tokens.
    pub borrowed: u32,
    pub refused: u32,
    /// Refused operations for which no lender answered.
    pub no_lender: u32,
    /// Admitted operations that no target ran.
    pub refunded: u32,
    /// Tokens lent to other hosts.
    pub lent: u32,
}

impl LimitUse {
    /// Adds the decisions of another interval.
    pub fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        self.borrowed += other.borrowed;
        self.refused += other.refused;
        self.no_lender += other.no_lender;
        self.refunded += other.refunded;
        self.lent += other.lent;
    }
}

/// Count over the current and the previous second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentCount {
    second: u64,
    current: u32,
    previous: u32,
}

impl RecentCount {
    pub fn record(&mut self, now: Millis, count: u32) {
        let second = now.0 / SECOND.0;
        if second != self.second {
            self.previous = if second == self.second + 1 { self.current } else { 0 };
            (self.second, self.current) = (second, 0);
        }
        self.current += count;
    }

    pub fn recent(self) -> u64 {
        u64::from(self.current.max(self.previous))
    }
}

/// State of one workspace.
#[derive(Debug)]
pub(super) struct Limit {
    pub bucket: TokenBucket,
    /// Admitted operations that may still be refunded.
    pub refundable: u32,
    /// Loans that may still be used: when they expire, and their tokens.
    pub lent: VecDeque<(Millis, u32)>,
    /// Requests for loans that were not met.
    pub unmet: RecentCount,
    /// Until when lenders have no tokens.
    pub exhausted_until: Millis,
    pub usage: Usage,
    pub used: LimitUse,
}

impl Limit {
    /// `start` is when the bucket begins to refill: loans of an earlier process of this host
    /// have expired by then.
    pub fn new(start: Millis, workspace: Workspace) -> Self {
        Self {
            bucket: TokenBucket::empty(start, BucketShape::default()),
            refundable: 0,
            lent: VecDeque::new(),
            unmet: RecentCount::default(),
            exhausted_until: Millis(0),
            usage: Usage { workspace, offered: 0, admitted: 0 },
            used: LimitUse::default(),
        }
    }

    /// Refills the bucket, no further than the end of the lease, and changes its shape.
    pub fn set_shape(&mut self, now: Millis, shape: BucketShape, expires_at: Millis) {
        while let Some(&(ended_at, _)) = self.lent.front()
            && ended_at <= now
        {
            self.lent.pop_front();
            self.reserve(ended_at);
        }
        self.bucket.refill(now.min(expires_at));
        self.bucket.set_shape(now, shape);
        let unlent = shape.whole_tokens().saturating_sub(self.lent_tokens());
        self.refundable = self.refundable.min(u32::try_from(unlent).unwrap_or(u32::MAX));
        self.reserve(now);
    }

    /// Keeps capacity free for what is lent or may be refunded.
    pub fn reserve(&mut self, now: Millis) {
        self.bucket.set_reserved(now, self.lent_tokens() + u64::from(self.refundable));
    }

    pub fn lent_tokens(&self) -> u64 {
        self.lent.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    pub fn record_refund(&mut self) {
        self.used.refunded += 1;
        self.usage.offered = self.usage.offered.saturating_sub(1);
        self.usage.admitted = self.usage.admitted.saturating_sub(1);
    }
}
