//! A primary change in progress: the targets' status answers, and the choice of the
//! candidate that may be promoted.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        candidate_proof::CandidateProof,
        change_reason::is_evacuated,
        failover::{Cx, PromotionOutcome, Reason, TargetStatus},
        messages::{Announcement, TargetRole, ViewRevision},
        promotion_safety::{ReportRequest, Safety},
    },
    ids::{InstanceId, Mark, Service},
};

/// Minimum time for which a host must see a primary fail before it is replaced.
const MIN_FAILING_TIME: Millis = Millis(500);

/// Missed announcements after which a primary that no host uses counts as failing.
const SILENT_AFTER_MISSED: u64 = 4;

/// Percentage of reporting hosts that must see a primary fail before it is replaced.
pub(super) const FAILING_HOSTS_PERCENT: usize = 30;

/// Interval between status queries to the targets during a change.
pub(super) const STATUS_QUERY_INTERVAL: Millis = Millis(100);

/// Time after which a replica that does not answer is left out of the comparison, if the
/// host reports prove that the candidate holds every acknowledged commit.
pub(super) const SILENT_REPLICA_TIMEOUT: Millis = Millis(700);

/// Time after which a promotion that has not taken effect is sent again.
pub(super) const PROMOTION_RETRY_INTERVAL: Millis = Millis(1_500);

/// Primary change in progress for one service.
#[derive(Debug)]
pub(super) struct PrimaryChange {
    pub(super) reason: Reason,
    pub(super) started_at: Millis,
    /// First view that marks the primary as changing.
    pub(super) view_revision: Option<ViewRevision>,
    /// First view that names the candidate as a successor.
    pub(super) successor_revision: Option<ViewRevision>,
    /// Positions since all hosts acknowledge only commits that the candidate holds.
    pub(super) proof: Option<CandidateProof>,
    /// View by which the hosts are asked for reports, since hosts are out of contact.
    pub(super) report_request: Option<ReportRequest>,
    /// First view without a primary, which no host may use any more.
    pub(super) withdrawn_revision: Option<ViewRevision>,
    pub(super) queried_at: Option<Millis>,
    pub(super) statuses: IndexMap<InstanceId, TargetStatus>,
    /// Newest term in an answer, including the terms of pauses.
    pub(super) newest_term: u64,
    /// Replicas that have answered that they are paused, with the position they had received.
    pub(super) paused: IndexMap<InstanceId, Mark>,
    pub(super) candidate: Option<InstanceId>,
    /// The platform has accepted a promotion of the candidate.
    pub(super) accepted: bool,
    /// The candidate is already the primary; promoting it again invalidates late
    /// promotions of other targets.
    pub(super) already_primary: bool,
    /// When the candidate last answered; initially the start of the change.
    pub(super) candidate_heard_at: Millis,
    pub(super) step: Step,
    /// Target of an earlier promotion that may still be carried out.
    pub(super) unfinished: Option<InstanceId>,
    /// Safety of the candidate when it was last logged.
    pub(super) logged_safety: Option<Safety>,
}

/// Phase of a primary change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Collecting statuses, pausing replicas and choosing the candidate.
    Choosing,
    /// Waiting for the intent to be committed to the log.
    Logging,
    /// Waiting until all hosts acknowledge only commits that the candidate holds, and until it is
    /// proven to hold those from before.
    Proving,
    /// Promotion sent, waiting until it takes effect.
    Calling { sent: Millis, token: u64 },
}

impl PrimaryChange {
    pub(super) fn new(now: Millis, reason: Reason, unfinished: Option<InstanceId>) -> Self {
        Self {
            reason,
            started_at: now,
            view_revision: None,
            successor_revision: None,
            proof: None,
            report_request: None,
            withdrawn_revision: None,
            queried_at: None,
            statuses: IndexMap::new(),
            newest_term: 0,
            paused: IndexMap::new(),
            candidate: None,
            accepted: false,
            already_primary: false,
            candidate_heard_at: now,
            step: Step::Choosing,
            unfinished,
            logged_safety: None,
        }
    }

    pub(super) fn handle_promotion_outcome(
        &mut self,
        now: Millis,
        token: u64,
        outcome: PromotionOutcome,
    ) {
        let Step::Calling { token: current, .. } = self.step else { return };
        if token != current {
            return;
        }
        match outcome {
            // Retry one query interval from now with a higher fencing token, which also
            // voids an unanswered request that the platform carries out late.
            PromotionOutcome::Refused | PromotionOutcome::Unknown => {
                let sent = Millis(
                    now.0.saturating_sub(PROMOTION_RETRY_INTERVAL.0 - STATUS_QUERY_INTERVAL.0),
                );
                self.step = Step::Calling { sent, token };
            }
            PromotionOutcome::Accepted => self.accepted = true,
        }
    }

    /// Goes on once the promotion of the candidate is in the log.
    pub(super) fn handle_logged(&mut self, target: &InstanceId) {
        if self.step == Step::Logging && self.candidate.as_ref() == Some(target) {
            self.step = Step::Proving;
        }
    }

    /// Records the answer of a target to a command that was sent at `sent_at`.
    pub(super) fn record_status(
        &mut self,
        now: Millis,
        sent_at: Millis,
        target: InstanceId,
        status: TargetStatus,
    ) {
        if let Some(proof) = &mut self.proof {
            proof.record(self.candidate.as_ref(), &target, sent_at, status.received);
        }
        match status.paused_under {
            Some(_) => {
                self.paused.entry(target.clone()).or_insert(status.received);
            }
            None => self.record_end_of_pause(&target, &status),
        }
        if self.candidate.as_ref() == Some(&target) {
            self.candidate_heard_at = now;
        }
        let paused_under = status.paused_under.unwrap_or_default();
        self.newest_term = self.newest_term.max(status.term).max(paused_under);
        self.statuses.insert(target, status);
    }

    fn record_end_of_pause(&mut self, target: &InstanceId, status: &TargetStatus) {
        let Some(paused_at) = self.paused.shift_remove(target) else { return };
        spdlog::info!("replica is no longer paused", kv: {target = target.as_str(), paused_at = paused_at.to_string().as_str(), received = status.received.to_string().as_str(), step = format!("{:?}", self.step).as_str()});
    }

    /// Whether a promotion request was sent.
    pub(super) fn promotion_sent(&self) -> bool {
        matches!(self.step, Step::Calling { .. })
    }

    /// Target that reports itself as the primary, if it can stay the primary. It is
    /// promoted again to invalidate late promotions of others. A draining primary is
    /// replaced instead, if a target that is not draining exists.
    ///
    /// A replaced primary reports itself as the primary as well. So no target may know of a
    /// later term, and those that may have replaced it must have answered.
    pub(super) fn serving_primary(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        known: Option<&InstanceId>,
    ) -> Option<InstanceId> {
        if !matches!(self.reason, Reason::Unfinished | Reason::Disputed | Reason::Gone) {
            return None;
        }
        let is_primary = |status: &&TargetStatus| status.role == TargetRole::Primary;
        let primaries = self.statuses.iter().filter(|(_, status)| is_primary(status));
        let (id, newest) = primaries.max_by_key(|(_, status)| status.term)?;
        if self.statuses.values().any(|status| status.term > newest.term)
            || self.may_be_replaced(cx, service, known)
        {
            return None;
        }
        let is_draining = cx.registry.get(id).is_some_and(|it| it.draining);
        (!is_draining || !has_non_draining(cx, service)).then(|| id.clone())
    }

    /// Target of an earlier leader's promotion, if it answers and can be promoted. The call may
    /// be carried out at any time until the platform has got a later one. Until then the target
    /// must not be paused, and no other one may lead: either would lose commits. It must be able
    /// to receive all that other targets have.
    pub(super) fn target_to_complete(&self, cx: &Cx<'_>) -> Option<&InstanceId> {
        let target = self.unfinished.as_ref()?;
        let own = self.statuses.get(target).filter(|it| it.role == TargetRole::Replica)?;
        let drains = cx.registry.get(target).is_none_or(|it| it.draining);
        let others = || self.statuses.values();
        let can_cover_all = others().any(|it| it.role == TargetRole::Primary)
            || others().all(|it| it.received <= own.received);
        (!drains && can_cover_all).then_some(target)
    }

    /// Whether a target that has not answered may have replaced those that have.
    fn may_be_replaced(&self, cx: &Cx<'_>, service: &Service, known: Option<&InstanceId>) -> bool {
        let timed_out = cx.now.since(self.started_at) >= SILENT_REPLICA_TIMEOUT;
        let mut silent = cx
            .registry
            .of_service(service)
            .filter(|it| !self.statuses.contains_key(&it.id))
            .map(|it| &it.id);
        silent.any(|id| !timed_out || Some(id) == known || Some(id) == self.unfinished.as_ref())
    }

    /// Replica to promote; `None` until all replicas have answered or the timeout for
    /// silent ones has passed. The current candidate is kept while it is not draining and
    /// covers all paused replicas. Otherwise targets that are not draining come first, then
    /// those that hosts can reach, then those outside of evacuated domains if a primary answers,
    /// then those with the highest received position. No other target than `required` may be
    /// chosen.
    pub(super) fn best_candidate(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        primary: Option<&InstanceId>,
        required: Option<&InstanceId>,
    ) -> Option<InstanceId> {
        let replicas = || replicas_of(cx, service, primary);
        let timed_out = cx.now.since(self.started_at) >= SILENT_REPLICA_TIMEOUT;
        let all_answered = replicas().all(|it| self.statuses.contains_key(&it.id));
        if !all_answered && !timed_out {
            return None;
        }
        if let Some(required) = required {
            return self.statuses.contains_key(required).then(|| required.clone());
        }
        if let Some(candidate) = &self.candidate
            && self.covers_paused(candidate)
            && cx.registry.get(candidate).is_some_and(|it| !it.draining && self.may_lead(cx, it))
        {
            return Some(candidate.clone());
        }
        let prefers_usable = self.prefers_usable();
        let rank = |it: &&Announcement| {
            let received = self.statuses.get(&it.id).map(|status| status.received);
            let is_in_use = !is_evacuated(cx, it);
            let is_preferred = prefers_usable && is_in_use;
            let is_old = cx.registry.joined_at(&it.id).is_none();
            (is_reachable(cx, &it.id), is_preferred, received, !it.draining, is_in_use, is_old)
        };
        let is_replica = |it: &&Announcement| {
            let status = self.statuses.get(&it.id);
            status.is_some_and(|status| status.role == TargetRole::Replica) && self.may_lead(cx, it)
        };
        let active = replicas().filter(|it| !it.draining && is_replica(it));
        let best = active.max_by_key(rank);
        best.or_else(|| replicas().filter(is_replica).max_by_key(rank)).map(|it| it.id.clone())
    }

    /// Whether the candidate has received all that the paused replicas had received.
    pub(super) fn covers_paused(&self, candidate: &InstanceId) -> bool {
        let Some(own) = self.statuses.get(candidate) else { return false };
        self.paused.values().all(|received| own.received >= *received)
    }
}

/// Targets of the service other than the primary.
pub(super) fn replicas_of<'a>(
    cx: &'a Cx<'_>,
    service: &'a Service,
    primary: Option<&'a InstanceId>,
) -> impl Iterator<Item = &'a Announcement> {
    cx.registry.of_service(service).filter(move |it| Some(&it.id) != primary)
}

/// Whether the service has a target that is not draining.
pub(super) fn has_non_draining(cx: &Cx<'_>, service: &Service) -> bool {
    cx.registry.of_service(service).any(|it| !it.draining)
}

/// Whether at most half of the hosts report a target as failing; hosts that have not tried
/// it count as reaching it.
pub(super) fn is_reachable(cx: &Cx<'_>, id: &InstanceId) -> bool {
    cx.hosts.health_summary(cx.now, id).failing * 2 <= cx.hosts.len()
}

/// Whether too many hosts report a primary as failing. If no host reports on it, missed
/// announcements decide.
pub(super) fn is_failing(cx: &Cx<'_>, id: &InstanceId) -> bool {
    let summary = cx.hosts.health_summary(cx.now, id);
    let total = summary.answering + summary.failing;
    if total == 0 {
        return is_silent(cx, id);
    }
    summary.failing * 100 >= total * FAILING_HOSTS_PERCENT
        && summary.longest_failure >= MIN_FAILING_TIME
}

/// Whether a target has missed several announcements.
pub(super) fn is_silent(cx: &Cx<'_>, id: &InstanceId) -> bool {
    let max_silence = Millis(cx.registry.interval().0 * SILENT_AFTER_MISSED);
    cx.registry.silence(cx.now, id).is_some_and(|span| span > max_silence)
}
