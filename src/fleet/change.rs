//! Change of a primary that is under way: what the targets have answered, and which of
//! them may lead.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        failover::{Cx, PromotionOutcome, Reason, TargetStatus},
        messages::{Announcement, TargetRole, ViewRevision},
    },
    ids::{InstanceId, Mark, Service},
};

/// Time for which a target's failure must last before its primary is replaced.
const FAILING_AT_LEAST: Millis = Millis(500);

/// Announcements that a target which hosts do not use may miss before it counts as lost.
const SILENT_INTERVALS: u64 = 4;

/// Part of the hosts that must report a failure while others get answers.
const FAILING_PERCENT: usize = 30;

/// Time after which every host has reported what was acknowledged: one interval between
/// reports and the way to the leader.
const REPORTED_AFTER: Millis = Millis(600);

/// Interval between questions to the targets during a change.
pub(super) const ASK_INTERVAL: Millis = Millis(100);

/// Time after which a target that does not answer is left out of the comparison, if
/// the hosts' reports prove that the candidate holds all that was acknowledged.
pub(super) const GIVE_UP_ON_SILENT: Millis = Millis(700);

/// Time after which a promotion without effect is sent again.
pub(super) const REPEAT_CALL: Millis = Millis(1_500);

/// Change of one service's primary that is under way.
#[derive(Debug)]
pub(super) struct Change {
    pub(super) reason: Reason,
    pub(super) since: Millis,
    /// View that tells hosts of the change.
    pub(super) view: Option<ViewRevision>,
    pub(super) asked: Option<Millis>,
    pub(super) statuses: IndexMap<InstanceId, TargetStatus>,
    pub(super) paused: IndexMap<InstanceId, Mark>,
    pub(super) candidate: Option<InstanceId>,
    /// The candidate leads already; a call makes late calls for others void.
    pub(super) stays: bool,
    /// When the change began or the candidate last answered.
    pub(super) heard: Millis,
    pub(super) step: Step,
}

/// How far a change has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Statuses are collected and replicas are paused.
    Choosing,
    Logging,
    /// Hosts still may rely on the old primary.
    Revoking,
    Calling {
        sent: Millis,
        token: u64,
    },
}

impl Change {
    pub(super) fn new(now: Millis, reason: Reason) -> Self {
        Self {
            reason,
            since: now,
            view: None,
            asked: None,
            statuses: IndexMap::new(),
            paused: IndexMap::new(),
            candidate: None,
            stays: false,
            heard: now,
            step: Step::Choosing,
        }
    }

    pub(super) fn called(&mut self, now: Millis, token: u64, outcome: PromotionOutcome) {
        let Step::Calling { token: current, .. } = self.step else { return };
        if token != current {
            return;
        }
        match outcome {
            // The next call follows at once, with a higher number. One that got no answer
            // may be carried out late, and is void then.
            PromotionOutcome::Refused | PromotionOutcome::Unknown => {
                let sent = Millis(now.0.saturating_sub(REPEAT_CALL.0 - ASK_INTERVAL.0));
                self.step = Step::Calling { sent, token };
            }
            PromotionOutcome::Accepted => {}
        }
    }

    /// Whether a promotion was called.
    pub(super) fn was_called(&self) -> bool {
        matches!(self.step, Step::Calling { .. })
    }

    /// Primary that still serves although a promotion may be under way or was
    /// suspected to be needed: calling it again makes late calls void. One that leaves is
    /// replaced instead.
    pub(super) fn settled_by(&self, cx: &Cx<'_>, service: &Service) -> Option<InstanceId> {
        if !matches!(self.reason, Reason::Unfinished | Reason::Disputed | Reason::Gone) {
            return None;
        }
        let leads = |status: &&TargetStatus| status.role == TargetRole::Primary;
        let serving = self.statuses.iter().filter(|(_, status)| leads(status));
        let (id, _) = serving.max_by_key(|(_, status)| status.term)?;
        let leaves = cx.registry.get(id).is_some_and(|it| it.draining);
        (!leaves || !has_staying(cx, service)).then(|| id.clone())
    }

    /// Replica that should become the primary: of those that have received most, the
    /// first that is not leaving.
    pub(super) fn best(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        primary: Option<&InstanceId>,
    ) -> Option<InstanceId> {
        let replicas = || others(cx, service, primary);
        let waited = cx.now.since(self.since) >= GIVE_UP_ON_SILENT;
        let all_known = replicas().all(|it| self.statuses.contains_key(&it.id));
        if !all_known && !waited {
            return None;
        }
        if let Some(candidate) = &self.candidate
            && self.holds_most(candidate)
            && cx.registry.get(candidate).is_some_and(|it| !it.draining)
        {
            return Some(candidate.clone());
        }
        let rank = |it: &&Announcement| {
            let received = self.statuses.get(&it.id).map(|status| status.received);
            (is_reachable(cx, &it.id), received, !it.draining)
        };
        let staying = replicas().filter(|it| !it.draining && self.statuses.contains_key(&it.id));
        let best = staying.max_by_key(rank);
        best.or_else(|| replicas().filter(|it| self.statuses.contains_key(&it.id)).max_by_key(rank))
            .map(|it| it.id.clone())
    }

    fn holds_most(&self, candidate: &InstanceId) -> bool {
        let Some(own) = self.statuses.get(candidate) else { return false };
        self.paused.values().all(|received| own.received >= *received)
    }

    /// Whether the candidate may be promoted now: targets that have joined meanwhile may
    /// have acknowledged commits that it lacks. A primary that stays needs no proof.
    pub(super) fn may_call(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        primary: Option<&InstanceId>,
    ) -> bool {
        let Some(candidate) = &self.candidate else { return false };
        self.stays || self.is_safe(cx, service, candidate, primary)
    }

    /// Whether the candidate holds everything that was or can be acknowledged.
    pub(super) fn is_safe(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        candidate: &InstanceId,
        primary: Option<&InstanceId>,
    ) -> bool {
        if !self.holds_most(candidate) || self.paused.contains_key(candidate) {
            return false;
        }
        let unpaused = others(cx, service, primary)
            .filter(|it| it.id != *candidate && !self.paused.contains_key(&it.id));
        let silent = unpaused.count();
        if silent == 0 {
            return true;
        }
        // A replica that does not answer may hold more. The hosts know what was
        // acknowledged to callers.
        let waited = cx.now.since(self.since) >= GIVE_UP_ON_SILENT;
        let Some(own) = self.statuses.get(candidate) else { return false };
        let is_silent = primary.is_none_or(|id| acknowledges_nothing(cx, id));
        waited
            && is_silent
            && cx.hosts.acknowledged(service).is_none_or(|newest| own.received >= newest)
    }
}

/// Targets of the service other than the primary.
fn others<'a>(
    cx: &'a Cx<'_>,
    service: &'a Service,
    primary: Option<&'a InstanceId>,
) -> impl Iterator<Item = &'a Announcement> {
    cx.registry.of(service).filter(move |it| Some(&it.id) != primary)
}

/// Whether a target of the service is not about to leave.
pub(super) fn has_staying(cx: &Cx<'_>, service: &Service) -> bool {
    cx.registry.of(service).any(|it| !it.draining)
}

/// Whether at least half of the hosts can use a target, as far as they have tried.
pub(super) fn is_reachable(cx: &Cx<'_>, id: &InstanceId) -> bool {
    cx.hosts.opinions(cx.now, id).failing * 2 <= cx.hosts.len()
}

/// Whether no host has got an answer of the target for longer than the interval between
/// reports, so that the hosts' reports hold all that it has acknowledged.
fn acknowledges_nothing(cx: &Cx<'_>, id: &InstanceId) -> bool {
    let opinions = cx.hosts.opinions(cx.now, id);
    opinions.answering == 0 && opinions.shortest.is_none_or(|span| span >= REPORTED_AFTER)
}

/// Whether a primary answers too few hosts.
pub(super) fn is_failing(cx: &Cx<'_>, id: &InstanceId) -> bool {
    let opinions = cx.hosts.opinions(cx.now, id);
    let total = opinions.answering + opinions.failing;
    if total == 0 {
        let silent_at_least = Millis(cx.registry.interval().0 * SILENT_INTERVALS);
        return cx.registry.silence(cx.now, id).is_some_and(|span| span > silent_at_least);
    }
    opinions.failing * 100 >= total * FAILING_PERCENT && opinions.longest >= FAILING_AT_LEAST
}
