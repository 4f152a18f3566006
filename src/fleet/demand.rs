//! Demand of entry hosts for the operations of each workspace, as the leader sees it.

use indexmap::IndexMap;

use crate::{clock::Millis, fleet::messages::Usage, ids::Workspace};

/// Weight of a sample of [`SAMPLE_S`] in the moving average, if the demand is large. Other
/// samples have weights in proportion to their length.
const LARGE_DEMAND_WEIGHT: f64 = 0.4;

/// The same for other demands. Lower, as the number of operations is mostly chance.
const SMALL_DEMAND_WEIGHT: f64 = 0.1;

/// Length of a usual sample, in seconds.
const SAMPLE_S: f64 = 0.4;

/// Operations in a usual sample from which the demand is large.
const LARGE_SAMPLE: f64 = 8.0;

/// Minimum time between two reports from which a demand is computed.
const MIN_SAMPLE_INTERVAL: Millis = Millis(100);

/// Operations per second below which a demand is forgotten.
const MIN_DEMAND: f64 = 0.01;

const SECOND_MS: f64 = 1_000.0;

/// Smoothed demand of one host, in operations per second.
#[derive(Debug, Default)]
pub struct Demand {
    per_second: IndexMap<Workspace, f64>,
    reported_at: Option<Millis>,
    /// Length of all samples in seconds; the average of the first ones is weighted by length.
    sampled_s: f64,
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
        let seconds = span.0 as f64 / SECOND_MS;
        self.sampled_s += seconds;
        for (workspace, smoothed) in &mut self.per_second {
            let count = f64::from(pending.get(workspace).copied().unwrap_or_default());
            let is_large = count.max(*smoothed * SAMPLE_S) >= LARGE_SAMPLE;
            let weight = if is_large { LARGE_DEMAND_WEIGHT } else { SMALL_DEMAND_WEIGHT };
            let weight = (weight * seconds / SAMPLE_S).max(seconds / self.sampled_s).min(1.0);
            *smoothed += weight * (count / seconds - *smoothed);
        }
        self.per_second.retain(|_, per_second| *per_second >= MIN_DEMAND);
    }

    /// Workspaces for which there is a demand.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.per_second.keys()
    }

    /// Operations per second of a workspace.
    pub fn of(&self, workspace: &Workspace) -> f64 {
        self.per_second.get(workspace).copied().unwrap_or_default()
    }
}
