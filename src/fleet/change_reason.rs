//! When a primary change starts, and when its reason has passed.
//!
//! Handles a failure domain that is taken out of use with many primaries at once: they are replaced
//! by planned changes, a bounded number at a time, and only where a target outside of evacuated
//! domains can lead. What an earlier promotion or a failure requires goes first.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        failover::{Cx, Reason},
        failure_evidence::Overview,
        messages::{Announcement, TargetRole},
        primary_change::{
            PrimaryChange, SILENT_REPLICA_TIMEOUT, has_non_draining, is_failing, is_reachable,
        },
        service_failover::ServiceState,
        unfinished::UnfinishedPromotions,
    },
    ids::{InstanceId, Service},
};

/// Time for which a new leader observes before it changes primaries, as a percentage of the
/// announcement interval: long enough for an announcement of every target and a report of
/// every host.
const OBSERVATION_PERCENT: u64 = 150;

/// Minimum time between two primary changes of one service.
const CHANGE_COOLDOWN: Millis = Millis(1_000);

/// Number of changes that may run at a time because the domains of the primaries are evacuated.
/// Each delays the statements of its service, and queries and pauses its targets.
const MAX_EVACUATED_CHANGES: usize = 8;

impl ServiceState {
    /// Reason to start a primary change, if there is one.
    pub(super) fn reason_to_change(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        unfinished: &UnfinishedPromotions,
        overview: &Overview,
    ) -> Option<Reason> {
        let is_unfinished = unfinished.newest(service).is_some_and(|id| !self.is_completed(id));
        if self.disputed && !is_unfinished {
            return Some(Reason::Disputed);
        }
        if cx.registry.of_service(service).count() < 2 || (!is_unfinished && !has_observed(cx)) {
            return None;
        }
        if self.last_change_ended.is_some_and(|at| cx.now.since(at) < CHANGE_COOLDOWN) {
            return None;
        }
        if is_unfinished {
            return Some(Reason::Unfinished);
        }
        let Some(primary) = self.announced_primary(cx) else { return Some(Reason::Gone) };
        if primary.draining {
            return has_non_draining(cx, service).then_some(Reason::Draining);
        }
        if has_better(cx, service, primary)
            && self.failure.suffices(cx, service, &primary.id, overview)
        {
            return Some(Reason::Failing);
        }
        // A call without an answer may still replace the primary.
        let is_settled = self.calls.required_target(cx).is_none();
        (is_settled && must_move(cx, service, primary)).then_some(Reason::Evacuated)
    }

    /// Announcement of the primary, if it still announces itself as one.
    fn announced_primary<'a>(&self, cx: &Cx<'a>) -> Option<&'a Announcement> {
        let known = self.primary.as_ref().and_then(|id| cx.registry.get(id));
        known.filter(|primary| primary.role == TargetRole::Primary)
    }

    /// A primary that is lost while its planned change has no candidate is replaced like any other
    /// lost one: replicas in evacuated domains may hold the only copies of commits.
    pub(super) fn update_reason(&mut self, cx: &Cx<'_>) {
        let reason = match self.announced_primary(cx) {
            None => Reason::Gone,
            Some(primary) if is_failing(cx, &primary.id) => Reason::Failing,
            Some(_) => return,
        };
        if let Some(change) = &mut self.change
            && change.reason == Reason::Evacuated
        {
            change.reason = reason;
        }
    }

    /// Whether the reason for the change has passed while no candidate could be chosen.
    pub(super) fn reason_has_passed(&self, cx: &Cx<'_>, service: &Service) -> bool {
        let (Some(change), Some(primary)) = (&self.change, &self.primary) else { return false };
        let Some(target) = cx.registry.get(primary) else { return false };
        match change.reason {
            Reason::Failing => {
                cx.now.since(change.started_at) >= SILENT_REPLICA_TIMEOUT
                    && !is_failing(cx, primary)
            }
            Reason::Evacuated => !must_move(cx, service, target),
            _ => false,
        }
    }

    /// Whether a change runs because the domain of the primary is evacuated.
    fn is_evacuating(&self) -> bool {
        self.change.as_ref().is_some_and(|change| change.reason == Reason::Evacuated)
    }
}

impl PrimaryChange {
    /// Whether `primary` is in an evacuated domain, and a replica has answered that can lead
    /// instead.
    pub(super) fn has_replacement(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        primary: &InstanceId,
    ) -> bool {
        let answered = |it: &Announcement| {
            self.statuses.get(&it.id).is_some_and(|status| status.role == TargetRole::Replica)
        };
        cx.registry.get(primary).is_some_and(|it| is_evacuated(cx, it))
            && usable_others(cx, service, primary).any(answered)
    }

    /// Whether the change may promote `target`. A change that moves the primary out of an evacuated
    /// domain promotes no target that is about to leave or is in an evacuated domain.
    pub(super) fn may_lead(&self, cx: &Cx<'_>, target: &Announcement) -> bool {
        self.reason != Reason::Evacuated || is_usable(cx, target)
    }

    /// Whether targets outside of evacuated domains come before those that have received more: a
    /// primary that answers sends them what they lack.
    pub(super) fn prefers_usable(&self) -> bool {
        self.statuses.values().any(|status| status.role == TargetRole::Primary)
    }
}

/// Services whose primaries leave evacuated domains next. Those whose last change ended first come
/// first: one that cannot succeed for now must not keep the others waiting.
pub(super) fn next_to_leave(
    cx: &Cx<'_>,
    services: &[Service],
    states: &IndexMap<Service, ServiceState>,
    unfinished: &UnfinishedPromotions,
    overview: &Overview,
) -> Vec<Service> {
    if cx.evacuations.is_empty() {
        return Vec::new();
    }
    let running = states.values().filter(|state| state.is_evacuating()).count();
    let known = services.iter().filter_map(|service| Some((service, states.get(service)?)));
    let mut due: Vec<(&Service, &ServiceState)> = known
        .filter(|(service, state)| {
            state.change.is_none()
                && state.reason_to_change(cx, service, unfinished, overview)
                    == Some(Reason::Evacuated)
        })
        .collect();
    due.sort_by_key(|(_, state)| state.last_change_ended);
    let free = MAX_EVACUATED_CHANGES.saturating_sub(running);
    due.into_iter().take(free).map(|(service, _)| service.clone()).collect()
}

/// Whether the leader has led for long enough to know all targets and hosts.
pub(super) fn has_observed(cx: &Cx<'_>) -> bool {
    let observation = Millis(cx.registry.interval().0 * OBSERVATION_PERCENT / 100);
    cx.now.since(cx.leader_since) >= observation
}

/// Whether the domain of `target` is evacuated.
pub(super) fn is_evacuated(cx: &Cx<'_>, target: &Announcement) -> bool {
    cx.evacuations.contains(&target.domain)
}

/// Whether `target` is neither about to leave nor in an evacuated domain.
fn is_usable(cx: &Cx<'_>, target: &Announcement) -> bool {
    !target.draining && !is_evacuated(cx, target)
}

/// Usable targets of `service` that hosts can reach, except for `primary`.
fn usable_others<'a>(
    cx: &'a Cx<'_>,
    service: &'a Service,
    primary: &'a InstanceId,
) -> impl Iterator<Item = &'a Announcement> {
    let others = cx.registry.of_service(service).filter(move |it| it.id != *primary);
    others.filter(|it| is_usable(cx, it) && is_reachable(cx, &it.id))
}

/// Whether another target can replace a primary that fails: it is not draining, hosts can reach it,
/// and it is outside of evacuated domains unless the primary is in one as well.
fn has_better(cx: &Cx<'_>, service: &Service, primary: &Announcement) -> bool {
    cx.registry.of_service(service).any(|it| {
        it.id != primary.id
            && !it.draining
            && (!is_evacuated(cx, it) || is_evacuated(cx, primary))
            && is_reachable(cx, &it.id)
    })
}

/// Whether `primary` is in an evacuated domain and another target can lead.
fn must_move(cx: &Cx<'_>, service: &Service, primary: &Announcement) -> bool {
    is_evacuated(cx, primary) && usable_others(cx, service, &primary.id).next().is_some()
}
