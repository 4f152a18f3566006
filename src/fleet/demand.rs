//! Demand of entry hosts for the operations of each workspace, as the leader sees it.

use indexmap::IndexMap;

use crate::{clock::Millis, fleet::messages::Usage, ids::Workspace};

/// Weight of the newest sample in the moving average, if it holds many operations.
const LARGE_SAMPLE_WEIGHT: f64 = 0.4;

/// Weight of other samples. Lower, as the number of operations in them is mostly chance.
const SMALL_SAMPLE_WEIGHT: f64 = 0.1;

/// Number of operations from which a sample is large.
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
    /// Samples so far; the first ones have equal weights.
    samples: u32,
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
        self.samples += 1;
        let seconds = span.0 as f64 / SECOND_MS;
        for (workspace, smoothed) in &mut self.per_second {
            let count = f64::from(pending.get(workspace).copied().unwrap_or_default());
            let is_large = count.max(*smoothed * seconds) >= LARGE_SAMPLE;
            let weight = if is_large { LARGE_SAMPLE_WEIGHT } else { SMALL_SAMPLE_WEIGHT };
            let weight = weight.max(1.0 / f64::from(self.samples));
            *smoothed += weight * (count / seconds - *smoothed);
        }
        self.per_second.retain(|_, per_second| *per_second >= MIN_DEMAND);
    }

    /// Operations per second of a workspace.
    pub fn of(&self, workspace: &Workspace) -> f64 {
        self.per_second.get(workspace).copied().unwrap_or_default()
    }
}
