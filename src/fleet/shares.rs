//! Limits of the workspaces, counted over all entry hosts.
//!
//! Hosts admit operations and report them; the leader subtracts them from a bucket for
//! each workspace. As long as the bucket and the rate cover the demand, hosts admit
//! everything: a host with few callers of a workspace would otherwise refuse for want
//! of a small part of the rate. When they do not, each host gets a part of what is
//! left in proportion to its demand. Operations that were admitted before the hosts
//! learned of a limit leave the bucket below zero, and the parts are smaller until it
//! has recovered.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        config::FleetWorkspace,
        messages::{Share, Usage},
    },
    ids::{HostId, Workspace},
};

/// Weight of the newest report in the smoothed demand.
const SMOOTHING: f32 = 0.35;

/// Part of the rate that all hosts get without any demand.
const IDLE_PART: f32 = 0.15;

/// Shortest span between two reports over which a demand is computed.
const SHORTEST_SPAN: Millis = Millis(100);

/// Interval between two computations of the demands' sums.
const PLAN_INTERVAL: Millis = Millis(150);

/// Time over which the content of a bucket is given out or missing tokens are saved.
const SPREAD_S: f32 = 1.0;

/// Part of the allowance from which a demand is limited.
const LIMIT_FROM: f32 = 0.9;

/// Time that a host's own bucket holds at most, in seconds of its part.
const DEPTH_S: f32 = 0.4;

const SECOND_MS: f32 = 1_000.0;

/// Smoothed demand of one host, in operations per second.
#[derive(Debug, Default)]
pub struct Demand {
    per_second: IndexMap<Workspace, f32>,
    reported: Option<Millis>,
    /// Operations of reports that followed each other too closely.
    pending: IndexMap<Workspace, u32>,
}

impl Demand {
    /// Notes the operations since the last report.
    pub fn note(&mut self, now: Millis, usage: &[Usage]) {
        for used in usage {
            *self.pending.entry(used.workspace.clone()).or_default() += used.offered;
        }
        let span = self.reported.map(|at| now.since(at));
        if span.is_some_and(|span| span < SHORTEST_SPAN) {
            return;
        }
        self.reported = Some(now);
        let Some(span) = span else {
            self.pending.clear();
            return;
        };
        let pending = std::mem::take(&mut self.pending);
        for workspace in pending.keys() {
            self.per_second.entry(workspace.clone()).or_default();
        }
        for (workspace, smoothed) in &mut self.per_second {
            let count = pending.get(workspace).copied().unwrap_or_default();
            let current = count as f32 * SECOND_MS / span.0 as f32;
            *smoothed += SMOOTHING * (current - *smoothed);
        }
    }

    fn of(&self, workspace: &Workspace) -> f32 {
        self.per_second.get(workspace).copied().unwrap_or_default()
    }
}

/// Bucket of one workspace and the sum of its demands.
#[derive(Debug)]
struct Bucket {
    tokens: f32,
    at: Millis,
    demand: f32,
    allowance: f32,
    limited: bool,
}

/// Buckets of all workspaces.
#[derive(Debug, Default)]
pub struct Rates {
    buckets: IndexMap<Workspace, Bucket>,
    planned: Millis,
    hosts: usize,
}

impl Rates {
    /// Subtracts admitted operations.
    pub fn note(&mut self, usage: &[Usage]) {
        for used in usage {
            if let Some(bucket) = self.buckets.get_mut(&used.workspace) {
                bucket.tokens -= used.admitted as f32;
            }
        }
    }

    /// Computes anew which workspaces are limited, at intervals; returns whether that
    /// changed for any.
    pub fn plan<'a>(
        &mut self,
        now: Millis,
        workspaces: &IndexMap<Workspace, FleetWorkspace>,
        hosts: impl Iterator<Item = (&'a HostId, &'a Demand)>,
    ) -> bool {
        if now.since(self.planned) < PLAN_INTERVAL && !self.buckets.is_empty() {
            return false;
        }
        self.planned = now;
        self.buckets.retain(|workspace, _| workspaces.contains_key(workspace));
        for (workspace, limits) in workspaces {
            let burst = limits.burst as f32;
            let new =
                || Bucket { tokens: burst, at: now, demand: 0.0, allowance: 0.0, limited: false };
            let bucket = self.buckets.entry(workspace.clone()).or_insert_with(new);
            let earned = limits.rate as f32 * now.since(bucket.at).0 as f32 / SECOND_MS;
            bucket.tokens = (bucket.tokens + earned).min(burst);
            bucket.at = now;
            bucket.demand = 0.0;
        }
        self.hosts = 0;
        for (_, demand) in hosts {
            self.hosts += 1;
            for (workspace, per_second) in &demand.per_second {
                if let Some(bucket) = self.buckets.get_mut(workspace) {
                    bucket.demand += per_second;
                }
            }
        }
        let mut changed = false;
        for (workspace, bucket) in &mut self.buckets {
            let rate = workspaces.get(workspace).map_or(0.0, |limits| limits.rate as f32);
            bucket.allowance = (rate + bucket.tokens / SPREAD_S).max(0.0);
            let limited = bucket.demand > bucket.allowance * LIMIT_FROM;
            changed |= limited != bucket.limited;
            bucket.limited = limited;
        }
        changed
    }

    /// Limits of the host with `demand`.
    pub fn shares(
        &self,
        demand: &Demand,
        workspaces: &IndexMap<Workspace, FleetWorkspace>,
    ) -> Vec<Share> {
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.limited);
        limited
            .map(|(workspace, bucket)| {
                let rate = workspaces.get(workspace).map_or(0.0, |limits| limits.rate as f32);
                let part = self.part(demand, workspace, bucket, rate);
                let rate = bucket.allowance * part;
                Share { workspace: workspace.clone(), rate, burst: rate * DEPTH_S }
            })
            .collect()
    }

    /// Part of each workspace's demand that comes from the host with `demand`, for the
    /// time when the host has no contact to the leader.
    pub fn parts(&self, demand: &Demand) -> Vec<(Workspace, f32)> {
        let with_part = |(workspace, bucket): (&Workspace, &Bucket)| {
            let part = demand.of(workspace) / bucket.demand.max(f32::MIN_POSITIVE);
            (part > 0.0).then(|| (workspace.clone(), part.min(1.0)))
        };
        self.buckets.iter().filter_map(with_part).collect()
    }

    fn part(&self, demand: &Demand, workspace: &Workspace, bucket: &Bucket, rate: f32) -> f32 {
        let hosts = self.hosts.max(1) as f32;
        let idle = rate * IDLE_PART / hosts;
        let total = bucket.demand + idle * hosts;
        if total > 0.0 { (demand.of(workspace) + idle) / total } else { 1.0 / hosts }
    }
}
