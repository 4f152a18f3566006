//! Rate limits of the workspaces at one entry host, enforced with token buckets.
//!
//! A workspace that the control leader limits gets the share of its rate that the leader
//! assigns to this host. Any other workspace may use its full rate and burst. Without
//! contact to the leader, a workspace gets the fraction of its rate that corresponds to the
//! fraction of its demand at this host.

use derive_more::Display;
use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        config::FleetWorkspace,
        messages::{Share, Usage},
    },
    ids::Workspace,
};

/// Milliseconds per second.
const SECOND_MS: f32 = 1_000.0;

/// Longest retry delay reported to a caller.
const MAX_RETRY_AFTER: Millis = Millis(1_000);

/// Smallest burst without contact to the leader, in operations: a host with few callers
/// would otherwise refuse two operations that happen to coincide.
const MIN_BURST: f32 = 2.0;

/// Fraction of a second's rate that triggers an early report once it is admitted.
const EARLY_REPORT_FRACTION: f32 = 0.1;

/// Smallest number of admitted operations that triggers an early report.
const EARLY_REPORT_MIN: f32 = 4.0;

/// Token buckets and limits of the workspaces.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: IndexMap<Workspace, Bucket>,
    limited: IndexMap<Workspace, Share>,
    /// Fraction of each workspace's demand that arrives at this host.
    demand_fractions: IndexMap<Workspace, f32>,
    /// Offered and admitted operations since the last report.
    usage: IndexMap<Workspace, (u32, u32)>,
    report_due: bool,
    /// When the leader's shares were last received.
    received_at: Millis,
    /// Decisions since the last summary.
    uses: IndexMap<Workspace, LimitUse>,
}

/// Where the limit of a workspace at this host comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LimitSource {
    /// Full limit of the workspace.
    #[display("full")]
    Full,
    /// Share that the leader assigned.
    #[display("share")]
    Share,
    /// Fraction of the limit that applies without contact to the leader.
    #[display("no_contact")]
    NoContact,
}

/// Limit of a workspace at this host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    pub source: LimitSource,
    /// Operations per second.
    pub rate: f32,
    /// Operations.
    pub burst: f32,
}

/// Decisions about a workspace's operations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitUse {
    pub admitted: u32,
    pub refused: u32,
    /// Admitted operations that no target ran.
    pub refunded: u32,
}

impl LimitUse {
    /// Adds the decisions of another interval.
    pub fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        self.refused += other.refused;
        self.refunded += other.refunded;
    }
}

#[derive(Debug)]
struct Bucket {
    tokens: f32,
    updated_at: Millis,
}

impl RateLimiter {
    /// Replaces the shares of the workspaces that the leader limits; all others are not
    /// limited. When a limit begins, the bucket keeps at most the share's burst: with many
    /// hosts, full buckets would add up to more than the workspace's burst.
    pub fn set_shares(&mut self, shares: Vec<Share>) {
        for share in shares.iter().filter(|it| !self.limited.contains_key(&it.workspace)) {
            if let Some(bucket) = self.buckets.get_mut(&share.workspace) {
                bucket.tokens = bucket.tokens.min(share.burst);
            }
        }
        self.limited = shares.into_iter().map(|it| (it.workspace.clone(), it)).collect();
    }

    /// Replaces the fractions of the workspaces' demands that arrive at this host.
    pub fn set_demand_fractions(&mut self, fractions: Vec<(Workspace, f32)>) {
        self.demand_fractions = fractions.into_iter().collect();
    }

    /// Records that the leader confirmed the current shares.
    pub fn confirm(&mut self, now: Millis) {
        self.received_at = now;
    }

    /// Time since the leader confirmed the current shares.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.received_at)
    }

    /// Counts an operation and takes a token for it, or returns the time until the next
    /// token. `in_contact` is whether a limit set by the leader would have reached this
    /// host.
    pub fn admit(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        limits: &FleetWorkspace,
        in_contact: bool,
    ) -> Result<(), Millis> {
        let Limit { rate, burst, .. } = self.limit(workspace, limits, in_contact);
        let used = self.uses.entry(workspace.clone()).or_default();
        let usage = self.usage.entry(workspace.clone()).or_default();
        usage.0 += 1;
        let new = || Bucket { tokens: burst, updated_at: now };
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(new);
        let refill = rate * now.since(bucket.updated_at).0 as f32 / SECOND_MS;
        bucket.tokens = (bucket.tokens + refill).min(burst.max(1.0));
        bucket.updated_at = now;
        if bucket.tokens < 1.0 {
            used.refused += 1;
            let missing_ms = (1.0 - bucket.tokens) * SECOND_MS / rate.max(0.1);
            return Err(Millis(missing_ms as u64 + 1).min(MAX_RETRY_AFTER));
        }
        bucket.tokens -= 1.0;
        usage.1 += 1;
        used.admitted += 1;
        self.report_due |=
            usage.1 as f32 >= (limits.rate as f32 * EARLY_REPORT_FRACTION).max(EARLY_REPORT_MIN);
        Ok(())
    }

    /// Limit that applies to the workspace.
    pub fn limit(&self, workspace: &Workspace, limits: &FleetWorkspace, in_contact: bool) -> Limit {
        // Out of contact, shares do not apply: the leader could not lift them.
        if in_contact && let Some(share) = self.limited.get(workspace) {
            return Limit { source: LimitSource::Share, rate: share.rate, burst: share.burst };
        }
        let (rate, burst) = (limits.rate as f32, limits.burst as f32);
        if in_contact {
            return Limit { source: LimitSource::Full, rate, burst };
        }
        let fraction = self.demand_fractions.get(workspace).copied().unwrap_or_default();
        let burst = (burst * fraction).max(MIN_BURST);
        Limit { source: LimitSource::NoContact, rate: rate * fraction, burst }
    }

    /// Returns the token of an operation that no target has run. Callers retry such
    /// operations; if each attempt counted, retries would use up the rate while a service
    /// is unavailable.
    pub fn refund(&mut self, workspace: &Workspace) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.tokens += 1.0;
        }
        self.uses.entry(workspace.clone()).or_default().refunded += 1;
        if let Some((offered, admitted)) = self.usage.get_mut(workspace) {
            *offered = offered.saturating_sub(1);
            *admitted = admitted.saturating_sub(1);
        }
    }

    /// Number of workspaces that the leader limits.
    pub fn limited(&self) -> usize {
        self.limited.len()
    }

    /// Whether enough operations were admitted since the last report for an early one.
    pub fn is_report_due(&self) -> bool {
        self.report_due
    }

    /// Returns and resets the operations since the last call.
    pub fn take_usage(&mut self) -> Vec<Usage> {
        self.report_due = false;
        let usage = self.usage.drain(..);
        usage
            .map(|(workspace, (offered, admitted))| Usage { workspace, offered, admitted })
            .collect()
    }

    /// Returns and resets the decisions since the last call.
    pub fn take_uses(&mut self) -> Vec<(Workspace, LimitUse)> {
        self.uses.drain(..).collect()
    }
}
