//! Replicated allocation of the workspaces' limits to the entry hosts.
//!
//! An allocation is the fraction of a workspace's rate and burst that a host may use. The
//! fractions of a workspace never add up to more than the whole, because a batch that is
//! applied raises a fraction only by what is free. Two rules of the
//! [leader](crate::fleet::rate_allocator) make this a bound on what the hosts use:
//!
//! - a host is sent a larger fraction only after it is committed, and
//! - a smaller fraction is committed only after the host has confirmed that it uses no
//!   more, or when it can use none: its lease has ended or its process was replaced.
//!
//! A host with fraction f keeps a bucket of at most `f * burst` tokens that starts empty and
//! gains `f * rate` tokens per second; tokens that it has lent, or that belong to operations
//! which may still be refunded, count into the capacity. Every operation takes a token. So
//! all hosts together hold at most `burst` tokens at any time and gain at most `rate * t`
//! tokens in a window of length t: at most `rate * t + burst` operations start in it,
//! whoever is in contact with whom.

use derive_more::{Add, AddAssign, Display, Sub, Sum};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    fleet::config::FleetWorkspace,
    ids::{HostId, Workspace},
    limits::token_bucket::BucketShape,
};

const MS_PER_SECOND: u64 = 1_000;

/// Fraction of a limit, in millionths.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    Add,
    AddAssign,
    Sub,
    Sum,
)]
pub struct Fraction(pub u32);

impl Fraction {
    pub const NONE: Self = Self(0);
    pub const WHOLE: Self = Self(1_000_000);

    /// Fraction that corresponds to `value`, rounded down and at most the whole.
    pub fn from_f64(value: f64) -> Self {
        Self((value.clamp(0.0, 1.0) * f64::from(Self::WHOLE.0)) as u32)
    }

    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }

    /// Difference, or nothing if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Bucket of a host with this fraction of `limits`.
    pub fn bucket(self, limits: &FleetWorkspace) -> BucketShape {
        // A whole fraction is as many millionths as a token has micro-tokens.
        let depth = u64::from(limits.burst) * u64::from(self.0);
        let refill = u64::from(limits.rate) * u64::from(self.0) / MS_PER_SECOND;
        BucketShape { depth, refill }
    }
}

/// Change of one allocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationChange {
    pub workspace: Workspace,
    pub host: HostId,
    pub fraction: Fraction,
}

/// Log entry of a leader. Its first batch is empty: all batches of earlier leaders precede
/// it in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationBatch {
    pub proposer: BatchId,
    /// Changes in the order in which they are applied.
    pub changes: Vec<AllocationChange>,
}

/// Identifies a batch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchId {
    /// Random number of one leader.
    pub leader: u64,
    pub number: u64,
}

/// Allocations by workspace and host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocations {
    workspaces: IndexMap<Workspace, IndexMap<HostId, Fraction>>,
}

impl Allocations {
    /// Applies a committed batch.
    pub fn apply(&mut self, batch: &AllocationBatch) {
        for change in &batch.changes {
            let current = self.of(&change.workspace, &change.host);
            let limit = current + self.free(&change.workspace);
            self.set(change, change.fraction.min(limit));
        }
    }

    fn set(&mut self, change: &AllocationChange, fraction: Fraction) {
        let hosts = self.workspaces.entry(change.workspace.clone()).or_default();
        if fraction == Fraction::NONE {
            hosts.shift_remove(&change.host);
        } else {
            hosts.insert(change.host.clone(), fraction);
        }
        if hosts.is_empty() {
            self.workspaces.shift_remove(&change.workspace);
        }
    }

    /// Allocation of `host`.
    pub fn of(&self, workspace: &Workspace, host: &HostId) -> Fraction {
        let hosts = self.workspaces.get(workspace);
        hosts.and_then(|hosts| hosts.get(host)).copied().unwrap_or_default()
    }

    /// Part of a workspace's limit that no host has.
    pub fn free(&self, workspace: &Workspace) -> Fraction {
        let used: Fraction = self.of_workspace(workspace).map(|(_, fraction)| fraction).sum();
        Fraction::WHOLE.saturating_sub(used)
    }

    /// Workspaces of which some host has a part.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.keys()
    }

    /// Allocations of a workspace.
    pub fn of_workspace(&self, workspace: &Workspace) -> impl Iterator<Item = (&HostId, Fraction)> {
        let hosts = self.workspaces.get(workspace).into_iter().flatten();
        hosts.map(|(host, fraction)| (host, *fraction))
    }

    /// Allocations of a host.
    pub fn of_host<'a>(
        &'a self,
        host: &'a HostId,
    ) -> impl Iterator<Item = (&'a Workspace, Fraction)> {
        let of_host = |(workspace, hosts): (&'a Workspace, &'a IndexMap<HostId, Fraction>)| {
            hosts.get(host).map(|fraction| (workspace, *fraction))
        };
        self.workspaces.iter().filter_map(of_host)
    }
}
