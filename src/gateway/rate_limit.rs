//! Limits of the workspaces at one entry host.
//!
//! A workspace that the leader limits gets a bucket of its part of the rate. Any other
//! one is bounded by its whole rate and burst, or, without contact to the leader, by
//! the part of its demand that this host had.

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

/// Longest advice to a caller when to come back.
const LONGEST_RETRY: Millis = Millis(1_000);

/// Smallest depth of a bucket without contact, in operations: a host with few callers
/// would otherwise refuse two operations that happen to coincide.
const LEAST_DEPTH: f32 = 2.0;

/// Part of a second's rate after which a host reports what it has admitted before its
/// usual time.
const URGENT_PART: f32 = 0.1;

/// Operations that are worth a report of their own.
const URGENT_LEAST: f32 = 4.0;

/// Buckets of the workspaces.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: IndexMap<Workspace, Bucket>,
    limited: IndexMap<Workspace, Share>,
    parts: IndexMap<Workspace, f32>,
    usage: IndexMap<Workspace, (u32, u32)>,
    urgent: bool,
}

#[derive(Debug)]
struct Bucket {
    tokens: f32,
    at: Millis,
}

impl RateLimiter {
    /// Takes over the workspaces that the leader limits; all others are not. A limit
    /// begins without the operations that the bucket had saved: with many hosts they
    /// would add up to more than a burst.
    pub fn set_shares(&mut self, shares: Vec<Share>) {
        for share in shares.iter().filter(|it| !self.limited.contains_key(&it.workspace)) {
            if let Some(bucket) = self.buckets.get_mut(&share.workspace) {
                bucket.tokens = bucket.tokens.min(share.burst);
            }
        }
        self.limited = shares.into_iter().map(|it| (it.workspace.clone(), it)).collect();
    }

    /// Takes over the parts of the demands that this host has.
    pub fn set_parts(&mut self, parts: Vec<(Workspace, f32)>) {
        self.parts = parts.into_iter().collect();
    }

    /// Counts an operation and takes a token for it; otherwise returns when the next
    /// one is due. `in_contact` tells whether the leader would have said that the
    /// workspace is limited.
    pub fn admit(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        limits: &FleetWorkspace,
        in_contact: bool,
    ) -> Result<(), Millis> {
        let (rate, depth) = self.terms(workspace, limits, in_contact);
        let usage = self.usage.entry(workspace.clone()).or_default();
        usage.0 += 1;
        let new = || Bucket { tokens: depth, at: now };
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(new);
        let earned = rate * now.since(bucket.at).0 as f32 / SECOND_MS;
        bucket.tokens = (bucket.tokens + earned).min(depth.max(1.0));
        bucket.at = now;
        if bucket.tokens < 1.0 {
            let missing_ms = (1.0 - bucket.tokens) * SECOND_MS / rate.max(0.1);
            return Err(Millis(missing_ms as u64 + 1).min(LONGEST_RETRY));
        }
        bucket.tokens -= 1.0;
        usage.1 += 1;
        self.urgent |= usage.1 as f32 >= (limits.rate as f32 * URGENT_PART).max(URGENT_LEAST);
        Ok(())
    }

    fn terms(
        &self,
        workspace: &Workspace,
        limits: &FleetWorkspace,
        in_contact: bool,
    ) -> (f32, f32) {
        // A limit that the leader cannot lift any more would hold for as long as it is
        // away.
        if in_contact && let Some(share) = self.limited.get(workspace) {
            return (share.rate, share.burst);
        }
        let (rate, burst) = (limits.rate as f32, limits.burst as f32);
        if in_contact {
            return (rate, burst);
        }
        let part = self.parts.get(workspace).copied().unwrap_or_default();
        (rate * part, (burst * part).max(LEAST_DEPTH))
    }

    /// Takes back an operation that no target has run. The caller will send it again;
    /// counted each time, repetitions would use up the rate while a service is away.
    pub fn refund(&mut self, workspace: &Workspace) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.tokens += 1.0;
        }
        if let Some((offered, admitted)) = self.usage.get_mut(workspace) {
            *offered = offered.saturating_sub(1);
            *admitted = admitted.saturating_sub(1);
        }
    }

    /// Number of workspaces that the leader limits.
    pub fn limited(&self) -> usize {
        self.limited.len()
    }

    /// Whether so much was admitted since the last report that the leader should know.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Operations since the last call.
    pub fn take_usage(&mut self) -> Vec<Usage> {
        self.urgent = false;
        let usage = self.usage.drain(..);
        usage
            .map(|(workspace, (offered, admitted))| Usage { workspace, offered, admitted })
            .collect()
    }
}
