//! Rate limits at the control hosts: replicates the allocations, and sends them to the
//! entry hosts.

use std::time::Instant;

use crate::{
    clock::{Clock, Millis},
    fleet::{
        allocation::{AllocationBatch, Fraction},
        control::ControlLoop,
        leader_state::LeaderState,
        messages::{HostReport, HostUpdate, Share},
        rate_allocator::PlanCx,
        runtime::Ports,
        state::allocation_entry,
    },
    gateway::log_limit::LogDecision,
    ids::{HostId, Workspace},
};

/// Interval between log lines on a workspace whose demand exceeds most of its limit.
const LIMIT_LOG_INTERVAL: Millis = Millis(1_000);

/// Demand as a fraction of the rate from which a workspace is logged.
const LOGGED_DEMAND: f64 = 0.9;

impl<P: Ports> ControlLoop<P> {
    /// Applies a committed batch of allocations.
    pub(super) fn apply_allocations(&mut self, index: u64, batch: &AllocationBatch) {
        if self.leader_state.is_some() {
            self.log_batch(index, batch);
        }
        self.state.allocations.apply(batch);
        self.metrics.allocation_batches.inc();
        if let Some(leader) = &mut self.leader_state {
            leader.rate_allocator.record_applied(batch.proposer);
        }
    }

    fn log_batch(&mut self, index: u64, batch: &AllocationBatch) {
        let now = self.clock.now();
        for change in &batch.changes {
            let LogDecision::Write { suppressed } = self.allocation_log.check(now) else {
                continue;
            };
            let before = self.state.allocations.of(&change.workspace, &change.host);
            spdlog::info!("workspace allocation changed", kv: {workspace = change.workspace.as_str(), host = change.host.as_str(), before = before.0, fraction = change.fraction.0, index, left_out = suppressed});
        }
    }

    /// Proposes due changes of the allocations, and sends them to hosts once committed.
    pub(super) fn advance_limits(&mut self) {
        let began = Instant::now();
        self.plan_and_send_limits();
        self.load.record_limits(began);
    }

    fn plan_and_send_limits(&mut self) {
        let now = self.clock.now();
        if !self.group.node.is_serving(now) {
            return;
        }
        let Some(leader) = &mut self.leader_state else { return };
        let cx = PlanCx {
            now,
            allocations: &self.state.allocations,
            workspaces: &self.config.workspaces,
            hosts: &leader.view.hosts,
        };
        if let Some(batch) = leader.rate_allocator.advance(&cx) {
            self.group.propose(&allocation_entry(&batch));
        }
        if now.since(leader.limits_logged_at) >= LIMIT_LOG_INTERVAL {
            leader.limits_logged_at = now;
            leader.log_limits(&cx);
        }
        for host in leader.rate_allocator.outdated(now, &self.state.allocations) {
            self.send_update(now, &host, false);
        }
    }

    /// Records what a host reports of its limits.
    pub(super) fn record_limits(&mut self, now: Millis, report: &HostReport) {
        let Some(leader) = &mut self.leader_state else { return };
        leader.rate_allocator.record(
            now,
            &report.host,
            report.incarnation,
            &report.usage,
            report.limits.as_ref(),
        );
    }

    /// Adds the host's allocations to an update.
    pub(super) fn add_limits(&mut self, now: Millis, host: &HostId, update: &mut HostUpdate) {
        let Some(leader) = &mut self.leader_state else { return };
        let limits = leader.rate_allocator.update(
            now,
            host,
            &self.state.allocations,
            &self.config.workspaces,
        );
        if leader.rate_allocator.knows_allocations(host) {
            update.limits = Some(limits);
            return;
        }
        // Builds that know no allocations limit a workspace only if it has a share.
        let Some(allocations) = limits.allocations else { return };
        let fraction = |workspace: &Workspace| {
            let allocation = allocations.iter().find(|it| it.workspace == *workspace);
            allocation.map_or(Fraction::NONE, |it| it.fraction).as_f64() as f32
        };
        let shares = self.config.workspaces.iter().map(|(workspace, limits)| Share {
            workspace: workspace.clone(),
            rate: limits.rate as f32 * fraction(workspace),
            burst: limits.burst as f32 * fraction(workspace),
        });
        update.shares = Some(shares.collect());
        let fractions =
            allocations.iter().map(|it| (it.workspace.clone(), it.fraction.as_f64() as f32));
        update.demand_fractions = Some(fractions.collect());
    }
}

impl LeaderState {
    fn log_limits(&self, cx: &PlanCx) {
        let term = self.view.revision.term;
        for state in self.rate_allocator.states(cx) {
            let rate = cx.workspaces.get(&state.workspace).map_or(0, |limits| limits.rate);
            if state.demand < f64::from(rate) * LOGGED_DEMAND {
                continue;
            }
            spdlog::info!("workspace limit divided", kv: {workspace = state.workspace.as_str(), demand = state.demand, rate, in_contact = state.in_contact.0, silent = state.silent.0, free = state.free.0, hosts = self.hosts.len(), term});
        }
    }
}
