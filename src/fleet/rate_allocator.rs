//! Divides the workspaces' rate limits among the entry hosts.
//!
//! Hosts admit operations and report them; the leader subtracts them from a token bucket per
//! workspace. While the bucket and the rate cover the demand, hosts admit every operation:
//! fixed shares of the rate would be too small for hosts with few callers of a workspace,
//! which would refuse operations within the rate. Once they do not cover it, each host
//! gets a share of the allowance in proportion to its demand. Operations that were admitted
//! before the hosts learned of a limit leave the bucket below zero, which reduces the shares
//! until it has recovered.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        config::FleetWorkspace,
        messages::{Share, Usage},
    },
    ids::{HostId, Workspace},
};

/// Weight of the newest sample in the moving average of the demand.
const SMOOTHING_FACTOR: f32 = 0.35;

/// Fraction of the rate that is divided equally among the hosts regardless of demand.
const IDLE_FRACTION: f32 = 0.15;

/// Minimum time between two reports from which a demand is computed.
const MIN_SAMPLE_INTERVAL: Millis = Millis(100);

/// Minimum interval between two computations of the total demands and the limits.
const UPDATE_INTERVAL: Millis = Millis(150);

/// Time in seconds over which the tokens of a bucket are granted, or a deficit is recovered.
const BUCKET_SPREAD_S: f32 = 1.0;

/// Fraction of the allowance above which a demand is limited.
const LIMIT_THRESHOLD: f32 = 0.9;

/// Capacity of a host's own bucket, in seconds of its share of the rate.
const HOST_BURST_S: f32 = 0.4;

const SECOND_MS: f32 = 1_000.0;

/// Smoothed demand of one host, in operations per second.
#[derive(Debug, Default)]
pub struct Demand {
    per_second: IndexMap<Workspace, f32>,
    reported_at: Option<Millis>,
    /// Operations not yet averaged, as their reports followed each other too closely.
    pending: IndexMap<Workspace, u32>,
}

impl Demand {
    /// Adds the operations since the last report.
    pub fn record(&mut self, now: Millis, usage: &[Usage]) {
        for used in usage {
            *self.pending.entry(used.workspace.clone()).or_default() += used.offered;
        }
        let span = self.reported_at.map(|at| now.since(at));
        if span.is_some_and(|span| span < MIN_SAMPLE_INTERVAL) {
            return;
        }
        self.reported_at = Some(now);
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
            *smoothed += SMOOTHING_FACTOR * (current - *smoothed);
        }
    }

    fn of(&self, workspace: &Workspace) -> f32 {
        self.per_second.get(workspace).copied().unwrap_or_default()
    }
}

/// Token bucket of one workspace.
#[derive(Debug)]
struct Bucket {
    tokens: f32,
    refilled_at: Millis,
    /// Demand of all hosts, in operations per second.
    demand: f32,
    /// Rate that all hosts together may use, in operations per second.
    allowance: f32,
    limited: bool,
}

/// State of a workspace's limit at the leader.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitState {
    pub workspace: Workspace,
    /// Tokens in the bucket; below zero if more was admitted than allowed.
    pub tokens: f32,
    /// Demand that hosts in contact reported, in operations per second.
    pub demand: f32,
    /// Operations per second that the hosts in contact may use together.
    pub allowance: f32,
    pub limited: bool,
}

/// Token buckets of all workspaces.
#[derive(Debug, Default)]
pub struct RateAllocator {
    buckets: IndexMap<Workspace, Bucket>,
    updated_at: Millis,
    host_count: usize,
}

impl RateAllocator {
    /// Subtracts admitted operations.
    pub fn record(&mut self, usage: &[Usage]) {
        for used in usage {
            if let Some(bucket) = self.buckets.get_mut(&used.workspace) {
                bucket.tokens -= used.admitted as f32;
            }
        }
    }

    /// Refills the buckets and determines which workspaces are limited, unless this was done
    /// within the minimum interval; returns whether that changed for any workspace.
    pub fn update<'a>(
        &mut self,
        now: Millis,
        workspaces: &IndexMap<Workspace, FleetWorkspace>,
        hosts: impl Iterator<Item = (&'a HostId, &'a Demand)>,
    ) -> bool {
        if now.since(self.updated_at) < UPDATE_INTERVAL && !self.buckets.is_empty() {
            return false;
        }
        self.updated_at = now;
        self.buckets.retain(|workspace, _| workspaces.contains_key(workspace));
        for (workspace, limits) in workspaces {
            let burst = limits.burst as f32;
            let new = || Bucket {
                tokens: burst,
                refilled_at: now,
                demand: 0.0,
                allowance: 0.0,
                limited: false,
            };
            let bucket = self.buckets.entry(workspace.clone()).or_insert_with(new);
            let refill = limits.rate as f32 * now.since(bucket.refilled_at).0 as f32 / SECOND_MS;
            bucket.tokens = (bucket.tokens + refill).min(burst);
            bucket.refilled_at = now;
            bucket.demand = 0.0;
        }
        self.host_count = 0;
        for (_, demand) in hosts {
            self.host_count += 1;
            for (workspace, per_second) in &demand.per_second {
                if let Some(bucket) = self.buckets.get_mut(workspace) {
                    bucket.demand += per_second;
                }
            }
        }
        let mut changed = false;
        for (workspace, bucket) in &mut self.buckets {
            let rate = workspaces.get(workspace).map_or(0.0, |limits| limits.rate as f32);
            bucket.allowance = (rate + bucket.tokens / BUCKET_SPREAD_S).max(0.0);
            let limited = bucket.demand > bucket.allowance * LIMIT_THRESHOLD;
            changed |= limited != bucket.limited;
            bucket.limited = limited;
        }
        changed
    }

    /// Limits of the host with `demand`, for the limited workspaces.
    pub fn shares(
        &self,
        demand: &Demand,
        workspaces: &IndexMap<Workspace, FleetWorkspace>,
    ) -> Vec<Share> {
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.limited);
        limited
            .map(|(workspace, bucket)| {
                let rate = workspaces.get(workspace).map_or(0.0, |limits| limits.rate as f32);
                let fraction = self.share_fraction(demand, workspace, bucket, rate);
                let rate = bucket.allowance * fraction;
                Share { workspace: workspace.clone(), rate, burst: rate * HOST_BURST_S }
            })
            .collect()
    }

    /// Workspaces that are limited or whose bucket is less than half full.
    pub fn strained<'a>(
        &'a self,
        workspaces: &'a IndexMap<Workspace, FleetWorkspace>,
    ) -> impl Iterator<Item = LimitState> + 'a {
        let is_strained = |(workspace, bucket): &(&Workspace, &Bucket)| {
            let burst = workspaces.get(*workspace).map_or(0.0, |limits| limits.burst as f32);
            bucket.limited || bucket.tokens < burst / 2.0
        };
        self.buckets.iter().filter(is_strained).map(|(workspace, bucket)| LimitState {
            workspace: workspace.clone(),
            tokens: bucket.tokens,
            demand: bucket.demand,
            allowance: bucket.allowance,
            limited: bucket.limited,
        })
    }

    /// Fraction of each workspace's demand that comes from the host with `demand`. The host
    /// applies them to the limits while it has no contact with the leader.
    pub fn demand_fractions(&self, demand: &Demand) -> Vec<(Workspace, f32)> {
        let with_fraction = |(workspace, bucket): (&Workspace, &Bucket)| {
            let fraction = demand.of(workspace) / bucket.demand.max(f32::MIN_POSITIVE);
            (fraction > 0.0).then(|| (workspace.clone(), fraction.min(1.0)))
        };
        self.buckets.iter().filter_map(with_fraction).collect()
    }

    /// Fraction of a workspace's allowance for the host with `demand`.
    fn share_fraction(
        &self,
        demand: &Demand,
        workspace: &Workspace,
        bucket: &Bucket,
        rate: f32,
    ) -> f32 {
        let hosts = self.host_count.max(1) as f32;
        let idle = rate * IDLE_FRACTION / hosts;
        let total = bucket.demand + idle * hosts;
        if total > 0.0 { (demand.of(workspace) + idle) / total } else { 1.0 / hosts }
    }
}
