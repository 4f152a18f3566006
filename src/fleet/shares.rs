//! Division of a workspace's rate and burst between entry hosts.
//!
//! Each host gets a part in proportion to its demand, and a small part without any,
//! so that the parts add up to the whole and a host with new callers can begin.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{config::FleetWorkspace, messages::Share},
    ids::{HostId, Workspace},
};

/// Weight of the newest report in the smoothed demand.
const SMOOTHING: f32 = 0.35;

/// Part of the rate that all hosts get without any demand.
const IDLE_PART: f32 = 0.15;

/// Shortest span between two reports over which a demand is computed.
const SHORTEST_SPAN: Millis = Millis(100);

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
    pub fn note(&mut self, now: Millis, operations: &[(Workspace, u32)]) {
        for (workspace, count) in operations {
            *self.pending.entry(workspace.clone()).or_default() += count;
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
            let current = count as f32 * 1_000.0 / span.0 as f32;
            *smoothed += SMOOTHING * (current - *smoothed);
        }
    }

    fn of(&self, workspace: &Workspace) -> f32 {
        self.per_second.get(workspace).copied().unwrap_or_default()
    }
}

/// Shares of all `workspaces` for the host `host` of `hosts`.
pub fn shares_of<'a>(
    host: &HostId,
    hosts: impl Iterator<Item = (&'a HostId, &'a Demand)> + Clone,
    workspaces: &IndexMap<Workspace, FleetWorkspace>,
) -> Vec<Share> {
    let share = |(workspace, limits): (&Workspace, &FleetWorkspace)| {
        let part = part_of(host, hosts.clone(), workspace, limits.rate as f32);
        Share {
            workspace: workspace.clone(),
            rate: limits.rate as f32 * part,
            burst: limits.burst as f32 * part,
        }
    };
    workspaces.iter().map(share).collect()
}

fn part_of<'a>(
    host: &HostId,
    hosts: impl Iterator<Item = (&'a HostId, &'a Demand)> + Clone,
    workspace: &Workspace,
    rate: f32,
) -> f32 {
    let count = hosts.clone().count().max(1) as f32;
    let idle = (rate * IDLE_PART / count).max(f32::MIN_POSITIVE);
    let mut total = 0.0;
    let mut own = 0.0;
    for (id, demand) in hosts {
        let weight = demand.of(workspace) + idle;
        total += weight;
        if id == host {
            own = weight;
        }
    }
    if total > 0.0 { own / total } else { 0.0 }
}
