//! Limits of the workspaces at one entry host: a token bucket for each share of a
//! rate that the control leader grants.

use indexmap::IndexMap;

use crate::{clock::Millis, fleet::messages::Share, ids::Workspace};

/// Milliseconds per second.
const SECOND_MS: f32 = 1_000.0;

/// Longest advice to a caller when to come back.
const LONGEST_RETRY: Millis = Millis(1_000);

/// Buckets of the workspaces.
#[derive(Debug, Default)]
pub struct Quota {
    buckets: IndexMap<Workspace, Bucket>,
    demand: IndexMap<Workspace, u32>,
}

#[derive(Debug)]
struct Bucket {
    rate: f32,
    burst: f32,
    tokens: f32,
    at: Millis,
}

impl Bucket {
    fn refill(&mut self, now: Millis) {
        let earned = self.rate * now.since(self.at).0 as f32 / SECOND_MS;
        self.tokens = (self.tokens + earned).min(self.burst.max(1.0));
        self.at = self.at.max(now);
    }
}

impl Quota {
    /// Takes over the shares that control grants.
    pub fn set_shares(&mut self, now: Millis, shares: &[Share]) {
        self.buckets.retain(|workspace, _| shares.iter().any(|it| it.workspace == *workspace));
        for share in shares {
            let new = || Bucket { rate: 0.0, burst: 0.0, tokens: share.burst / 2.0, at: now };
            let bucket = self.buckets.entry(share.workspace.clone()).or_insert_with(new);
            bucket.refill(now);
            bucket.rate = share.rate;
            bucket.burst = share.burst;
            bucket.refill(now);
        }
    }

    /// Counts an operation and takes a token for it; otherwise returns when the next
    /// one is due. A workspace without a share is admitted: control has not yet
    /// divided its rate.
    pub fn admit(&mut self, now: Millis, workspace: &Workspace) -> Result<(), Millis> {
        *self.demand.entry(workspace.clone()).or_default() += 1;
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Ok(()) };
        bucket.refill(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing_ms = (1.0 - bucket.tokens) * SECOND_MS / bucket.rate.max(0.1);
        Err(Millis(missing_ms as u64 + 1).min(LONGEST_RETRY))
    }

    /// Operations since the last call.
    pub fn take_demand(&mut self) -> Vec<(Workspace, u32)> {
        self.demand.drain(..).collect()
    }
}
