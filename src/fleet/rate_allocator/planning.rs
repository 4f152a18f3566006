//! Plan of the allocations, and the changes that lead to it.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        allocation::{AllocationChange, Fraction},
        rate_allocator::{LEASE_EXPIRY, PlanCx, RateAllocator},
        rate_plan::{HostNeed, plan},
    },
    ids::{HostId, Workspace},
};

/// Smallest raise of an allocation that is worth a log entry and a message.
const MIN_RAISE: Fraction = Fraction(2_000);

impl RateAllocator {
    /// Sets the targets of all hosts in contact.
    pub(super) fn plan(&mut self, cx: &PlanCx) {
        self.planned_at = Some(cx.now);
        self.plan_is_urgent = false;
        self.generation += 1;
        self.has_changes = true;
        self.has_updates = true;
        self.lenders.set_hosts(cx.hosts);
        self.hosts.retain(|_, host| cx.now.since(host.heard_at) < LEASE_EXPIRY);
        for host in self.hosts.values_mut() {
            host.is_planned = host.is_live(cx.now);
            host.targets.clear();
        }
        let mut concerned = self.concerned_hosts(cx.now);
        self.planned_pairs = 0;
        for (workspace, limits) in cx.workspaces {
            let lenders = self.lenders.of(workspace, cx.hosts);
            let with_parts = cx.allocations.of_workspace(workspace).map(|(id, _)| id);
            let mut concerned = concerned.swap_remove(workspace).unwrap_or_default();
            let others = with_parts.chain(lenders).filter_map(|id| self.hosts.get_index_of(id));
            concerned.extend(others);
            concerned.sort_unstable();
            concerned.dedup();
            let hosts = concerned.iter().filter_map(|index| self.hosts.get_index(*index));
            let needs: Vec<HostNeed> = hosts
                .filter(|(_, host)| host.is_live(cx.now))
                .map(|(id, host)| HostNeed {
                    host: id,
                    demand: host.demand.of(workspace),
                    current: cx.allocations.of(workspace, id),
                    last_part: host.parts.get(workspace).copied(),
                    is_lender: lenders.contains(id),
                    is_new: host.is_new(cx.now, workspace),
                })
                .filter(HostNeed::is_relevant)
                .collect();
            self.planned_pairs += needs.len();
            let plans = plan(limits, self.available(cx, workspace), &needs);
            let ids: Vec<HostId> = needs.iter().map(|it| it.host.clone()).collect();
            for (id, planned) in ids.iter().zip(plans) {
                self.hosts[id].set_planned(workspace, planned);
            }
        }
    }

    /// Positions of the hosts in contact that are asked for operations of a workspace, or that had
    /// a part of it in the last plan. In a large fleet these are few of all.
    fn concerned_hosts(&self, now: Millis) -> IndexMap<Workspace, Vec<usize>> {
        let mut concerned: IndexMap<Workspace, Vec<usize>> = IndexMap::new();
        for (index, host) in self.hosts.values().enumerate().filter(|(_, it)| it.is_live(now)) {
            for workspace in host.demand.workspaces().chain(host.parts.keys()) {
                match concerned.get_mut(workspace) {
                    Some(hosts) => hosts.push(index),
                    None => {
                        concerned.insert(workspace.clone(), vec![index]);
                    }
                }
            }
        }
        concerned
    }

    /// Part of a workspace's limit that the hosts in contact may have.
    pub(super) fn available(&self, cx: &PlanCx, workspace: &Workspace) -> Fraction {
        let silent = cx.allocations.of_workspace(workspace).filter(|(id, _)| !self.is_live(cx, id));
        Fraction::WHOLE.saturating_sub(silent.map(|(_, fraction)| fraction).sum())
    }

    fn is_live(&self, cx: &PlanCx, id: &HostId) -> bool {
        self.hosts.get(id).is_some_and(|host| host.is_live(cx.now))
    }

    /// Changes that may be proposed now: first what becomes free, then who gets it.
    pub(super) fn changes(&self, cx: &PlanCx) -> Vec<AllocationChange> {
        let mut changes = Vec::new();
        let mut freed: IndexMap<&Workspace, Fraction> = IndexMap::new();
        for workspace in cx.allocations.workspaces() {
            for (id, current) in cx.allocations.of_workspace(workspace) {
                let kept = self.kept(cx, workspace, id, current);
                if kept < current {
                    *freed.entry(workspace).or_default() += current.saturating_sub(kept);
                    changes.push(change(workspace, id, kept));
                }
            }
        }
        let targets = self.targets_by_workspace(cx.now);
        for workspace in cx.workspaces.keys() {
            let Some(targets) = targets.get(workspace) else { continue };
            let freed = freed.get(workspace).copied().unwrap_or_default();
            let mut free = cx.allocations.free(workspace) + freed;
            for (id, target) in targets {
                let current = cx.allocations.of(workspace, id);
                let raise = target.saturating_sub(current).min(free);
                if raise >= MIN_RAISE {
                    free = free.saturating_sub(raise);
                    changes.push(change(workspace, id, current + raise));
                }
            }
        }
        changes
    }

    /// Targets of the hosts in contact, in the order of the hosts.
    fn targets_by_workspace(&self, now: Millis) -> IndexMap<&Workspace, Vec<(&HostId, Fraction)>> {
        let mut targets: IndexMap<&Workspace, Vec<(&HostId, Fraction)>> = IndexMap::new();
        for (id, host) in self.hosts.iter().filter(|(_, host)| host.is_live(now)) {
            for (workspace, target) in &host.targets {
                targets.entry(workspace).or_default().push((id, *target));
            }
        }
        targets
    }

    /// What a host with the allocation `current` must keep: the larger of its target and
    /// what it may still use.
    fn kept(&self, cx: &PlanCx, workspace: &Workspace, id: &HostId, current: Fraction) -> Fraction {
        let Some(host) = self.hosts.get(id) else {
            let is_expired = cx.now.since(self.since) >= LEASE_EXPIRY;
            return if is_expired { Fraction::NONE } else { current };
        };
        if cx.now.since(host.heard_at) >= LEASE_EXPIRY {
            return Fraction::NONE;
        }
        if !host.is_live(cx.now) {
            return current;
        }
        let target = host.target(workspace);
        match &host.sent {
            Some(sent) if sent.confirmed => {
                sent.table.get(workspace).copied().unwrap_or_default().max(target).min(current)
            }
            _ => current,
        }
    }
}

fn change(workspace: &Workspace, host: &HostId, fraction: Fraction) -> AllocationChange {
    AllocationChange { workspace: workspace.clone(), host: host.clone(), fraction }
}
