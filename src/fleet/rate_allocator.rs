//! Leader's side of the rate limits: plans the allocations, moves them between hosts, and
//! knows what each host may still use.
//!
//! [`Allocations`] says why the hosts never use more than the limit if two rules are kept.
//! Here, a host is only ever sent what is committed, and a smaller fraction is proposed
//! only for hosts that
//!
//! - have confirmed allocations without the difference, which this leader sent them, or
//! - have been silent for longer than their lease.
//!
//! A leader starts with an empty batch. Once that is applied, no batch of an earlier leader
//! can follow, and the leader may send allocations. It does not know what hosts were sent
//! before, but that is at most what is committed.

mod planning;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        allocated_host::{Credits, Host, Sent, Table},
        allocation::{AllocationBatch, AllocationChange, Allocations, BatchId, Fraction},
        config::FleetWorkspace,
        lender_cache::LenderCache,
        messages::{AllocationRevision, EntryHost, LimitReport, LimitUpdate, Usage},
    },
    ids::{HostId, Incarnation, Workspace},
};

/// Time for which a host may use its allocations after it sent a report that the leader
/// answered. Longer than any outage of control that callers should not notice.
pub const ALLOCATION_LEASE: Millis = Millis(60_000);

/// Time from the receipt of a host's last report until its lease has surely ended: the
/// lease, 10 % for clock drift, and rounding.
const LEASE_EXPIRY: Millis = Millis(66_010);

/// Interval between two plans.
const PLAN_INTERVAL: Millis = Millis(500);

/// Shortest interval between two plans, after a host has joined or returned.
const MIN_PLAN_INTERVAL: Millis = Millis(50);

/// Up to so many hosts, the allocations of all are compared after each report that may change
/// them.
const MAX_HOSTS_COMPARED_AT_ONCE: usize = 50;

/// Interval between two comparisons per host, if there are more hosts. A comparison costs as
/// much as there are hosts times workspaces, and each host's report may ask for one.
const COMPARE_INTERVAL_PER_HOST: Millis = Millis(1);

/// Time after which unconfirmed allocations are sent again.
const RESEND_INTERVAL: Millis = Millis(1_000);

/// Revisions that one leader uses at most in a millisecond: after a reset, its numbers go on
/// above the earlier ones.
const REVISIONS_PER_MS: u64 = 1_000;

/// Time without the commit of a proposed batch after which the allocator starts anew.
const COMMIT_TIMEOUT: Millis = Millis(3_000);

/// Inputs of a plan.
pub struct PlanCx<'a> {
    pub now: Millis,
    pub allocations: &'a Allocations,
    pub workspaces: &'a IndexMap<Workspace, FleetWorkspace>,
    /// Hosts in the view, from which the lenders are chosen.
    pub hosts: &'a [EntryHost],
}

/// State of the allocations at the leader.
#[derive(Debug)]
pub struct RateAllocator {
    since: Millis,
    /// Batch that was proposed and is not applied yet.
    pending: Option<(BatchId, Millis)>,
    last_batch: BatchId,
    last_revision: AllocationRevision,
    /// Whether the first batch is applied.
    is_active: bool,
    hosts: IndexMap<HostId, Host>,
    lenders: LenderCache,
    planned_at: Option<Millis>,
    /// Tokens that hosts gave up with a part of their allocation. They go to the hosts that
    /// get this part.
    released: IndexMap<Workspace, u32>,
    /// A host must be included in a plan soon.
    plan_is_urgent: bool,
    /// Batches may have to be proposed.
    has_changes: bool,
    changes_compared_at: Millis,
    /// Hosts may have to be sent allocations.
    has_updates: bool,
    updates_compared_at: Millis,
    comparisons: u64,
    /// Hosts that the last plan looked at, summed over the workspaces.
    planned_pairs: usize,
    /// Counts plans and applied batches, by which the allocations to send may change.
    generation: u64,
}

/// State of a workspace's limit, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitState {
    pub workspace: Workspace,
    /// Operations per second that the hosts in contact were asked for.
    pub demand: f64,
    /// Fraction that the hosts in contact have.
    pub in_contact: Fraction,
    /// Fraction that silent hosts may still use.
    pub silent: Fraction,
    pub free: Fraction,
}

impl RateAllocator {
    /// Allocator of a leader with a `term` since `now`. `leader` is a random number.
    pub fn new(now: Millis, term: u64, leader: u64) -> Self {
        Self {
            since: now,
            pending: None,
            last_batch: BatchId { leader, number: 0 },
            last_revision: AllocationRevision { term, number: now.0 * REVISIONS_PER_MS },
            is_active: false,
            hosts: IndexMap::new(),
            lenders: LenderCache::default(),
            planned_at: None,
            released: IndexMap::new(),
            plan_is_urgent: false,
            has_changes: false,
            changes_compared_at: Millis(0),
            has_updates: false,
            updates_compared_at: Millis(0),
            comparisons: 0,
            planned_pairs: 0,
            generation: 0,
        }
    }

    /// Records the report of a host.
    pub fn record(
        &mut self,
        now: Millis,
        id: &HostId,
        incarnation: Incarnation,
        usage: &[Usage],
        report: Option<&LimitReport>,
    ) {
        let known = self.hosts.get(id).is_some_and(|host| host.incarnation == incarnation);
        if !known {
            self.hosts.insert(id.clone(), Host::new(now, incarnation));
        }
        let host = &mut self.hosts[id];
        host.heard_at = now;
        host.knows_allocations = report.is_some();
        host.demand.record(now, usage);
        self.plan_is_urgent |= !host.is_planned;
        if let (Some(sent), Some(report)) = (&mut host.sent, report)
            && !sent.confirmed
            && report.revision == sent.revision
        {
            sent.confirmed = true;
            for (workspace, tokens) in &report.released {
                *self.released.entry(workspace.clone()).or_default() += tokens;
            }
            self.has_changes = true;
            self.has_updates = true;
        }
    }

    /// Records that a batch was applied.
    pub fn record_applied(&mut self, batch: BatchId) {
        self.generation += 1;
        if self.pending.is_some_and(|(pending, _)| pending == batch) {
            self.pending = None;
            self.is_active = true;
            self.has_changes = true;
            self.has_updates = true;
        }
    }

    /// Plans anew if that is due; returns a batch to propose.
    pub fn advance(&mut self, cx: &PlanCx) -> Option<AllocationBatch> {
        if let Some((_, proposed_at)) = self.pending {
            if cx.now.since(proposed_at) < COMMIT_TIMEOUT {
                return None;
            }
            self.is_active = false;
        }
        if !self.is_active {
            return Some(self.batch(cx.now, Vec::new()));
        }
        let interval = if self.plan_is_urgent { MIN_PLAN_INTERVAL } else { PLAN_INTERVAL };
        if self.planned_at.is_none_or(|at| cx.now.since(at) >= interval) {
            self.plan(cx);
        }
        if !self.has_changes || !self.may_compare(cx.now, self.changes_compared_at) {
            return None;
        }
        self.has_changes = false;
        self.changes_compared_at = cx.now;
        self.comparisons += 1;
        let changes = self.changes(cx);
        (!changes.is_empty()).then(|| self.batch(cx.now, changes))
    }

    /// Number of comparisons of the allocations of all hosts.
    pub fn comparisons(&self) -> u64 {
        self.comparisons
    }

    /// Pairs of a workspace and a host that the last plan looked at.
    pub fn planned_pairs(&self) -> usize {
        self.planned_pairs
    }

    /// Whether the allocations of all hosts may be compared again.
    fn may_compare(&self, now: Millis, compared_at: Millis) -> bool {
        let hosts = self.hosts.len();
        let interval = Millis(COMPARE_INTERVAL_PER_HOST.0 * hosts as u64);
        hosts <= MAX_HOSTS_COMPARED_AT_ONCE || now.since(compared_at) >= interval
    }

    fn batch(&mut self, now: Millis, changes: Vec<AllocationChange>) -> AllocationBatch {
        self.last_batch.number += 1;
        self.pending = Some((self.last_batch, now));
        AllocationBatch { proposer: self.last_batch, changes }
    }

    /// Update of a host's allocations.
    pub fn update(
        &mut self,
        now: Millis,
        id: &HostId,
        allocations: &Allocations,
        workspaces: &IndexMap<Workspace, FleetWorkspace>,
    ) -> LimitUpdate {
        let Some(host) = self.hosts.get_mut(id) else { return LimitUpdate::default() };
        let may_change = self.is_active && self.pending.is_none() && host.is_planned;
        let is_first = host.sent.is_none();
        let is_confirmed = host.sent.as_ref().is_some_and(|sent| sent.confirmed);
        let may_differ = is_first || host.compared != Some(self.generation);
        if may_change && (is_first || is_confirmed) && may_differ {
            host.compared = Some(self.generation);
            let table = host.table(id, allocations);
            if host.sent.as_ref().is_none_or(|sent| sent.table != table) {
                self.last_revision.number += 1;
                let revision = self.last_revision;
                let previous = host.sent.take().map(|sent| sent.table);
                let tokens = previous.map_or_else(Credits::default, |previous| {
                    take_released(&mut self.released, &previous, &table, workspaces)
                });
                let confirmed = !host.knows_allocations;
                let sent = Sent { revision, at: now, table, tokens, confirmed };
                let allocations = Some(sent.allocations());
                host.sent = Some(sent);
                return LimitUpdate { revision, allocations };
            }
        }
        let Some(sent) = &mut host.sent else { return LimitUpdate::default() };
        let is_overdue = !sent.confirmed && now.since(sent.at) >= RESEND_INTERVAL;
        let allocations = is_overdue.then(|| {
            sent.at = now;
            sent.allocations()
        });
        LimitUpdate { revision: sent.revision, allocations }
    }

    /// Whether a host's build knows allocations.
    pub fn knows_allocations(&self, id: &HostId) -> bool {
        self.hosts.get(id).is_some_and(|host| host.knows_allocations)
    }

    /// Hosts whose allocations have changed since they were last sent.
    pub fn outdated(&mut self, now: Millis, allocations: &Allocations) -> Vec<HostId> {
        if !self.is_active
            || self.pending.is_some()
            || !self.has_updates
            || !self.may_compare(now, self.updates_compared_at)
        {
            return Vec::new();
        }
        self.has_updates = false;
        self.updates_compared_at = now;
        self.comparisons += 1;
        let generation = self.generation;
        let is_outdated = |(id, host): &(&HostId, &Host)| {
            let sent = host.sent.as_ref();
            let differs = |sent: &Sent| {
                host.compared != Some(generation)
                    && sent.confirmed
                    && sent.table != host.table(id, allocations)
            };
            host.is_planned && sent.is_none_or(differs)
        };
        self.hosts.iter().filter(is_outdated).map(|(id, _)| id.clone()).collect()
    }

    /// State of the workspaces' limits.
    pub fn states<'a>(&'a self, cx: &'a PlanCx<'a>) -> impl Iterator<Item = LimitState> + 'a {
        let mut demands: IndexMap<&Workspace, f64> = IndexMap::new();
        for host in self.hosts.values().filter(|host| host.is_live(cx.now)) {
            for workspace in host.demand.workspaces() {
                *demands.entry(workspace).or_default() += host.demand.of(workspace);
            }
        }
        cx.workspaces.keys().map(move |workspace| {
            let available = self.available(cx, workspace);
            let free = cx.allocations.free(workspace);
            LimitState {
                workspace: workspace.clone(),
                demand: demands.get(workspace).copied().unwrap_or_default(),
                in_contact: available.saturating_sub(free),
                silent: Fraction::WHOLE.saturating_sub(available),
                free,
            }
        })
    }
}

/// Takes as many released tokens as fit into what `table` adds to `previous`.
fn take_released(
    released: &mut Credits,
    previous: &Table,
    table: &Table,
    workspaces: &IndexMap<Workspace, FleetWorkspace>,
) -> Credits {
    let mut taken = Credits::new();
    for (workspace, fraction) in table {
        let Some(available) = released.get_mut(workspace) else { continue };
        let before = previous.get(workspace).copied().unwrap_or_default();
        let limits = workspaces.get(workspace).cloned().unwrap_or_default();
        let room = fraction.saturating_sub(before).bucket(&limits).whole_tokens();
        let tokens = (*available).min(u32::try_from(room).unwrap_or(u32::MAX));
        *available -= tokens;
        if tokens > 0 {
            taken.insert(workspace.clone(), tokens);
        }
    }
    released.retain(|_, tokens| *tokens > 0);
    taken
}
