//! A primary change in progress: the targets' status answers, and the choice of the
//! candidate that may be promoted.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        failover::{Cx, PromotionOutcome, Reason, TargetStatus},
        messages::{Announcement, TargetRole, ViewRevision},
    },
    ids::{InstanceId, Mark, Service},
};

/// Minimum time for which a host must see a primary fail before it is replaced.
const MIN_FAILING_TIME: Millis = Millis(500);

/// Missed announcements after which a primary that no host uses counts as failing.
const SILENT_AFTER_MISSED: u64 = 4;

/// Percentage of reporting hosts that must see a primary fail before it is replaced.
const FAILING_HOSTS_PERCENT: usize = 30;

/// Time within which every acknowledged commit reaches the leader in a host report: one
/// report interval plus the network delay.
const MAX_REPORT_DELAY: Millis = Millis(600);

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
    pub(super) queried_at: Option<Millis>,
    pub(super) statuses: IndexMap<InstanceId, TargetStatus>,
    /// Paused replicas with the position they had received when they were paused.
    pub(super) paused: IndexMap<InstanceId, Mark>,
    pub(super) candidate: Option<InstanceId>,
    /// The candidate is already the primary; promoting it again invalidates late
    /// promotions of other targets.
    pub(super) already_primary: bool,
    /// When the candidate last answered; initially the start of the change.
    pub(super) candidate_heard_at: Millis,
    pub(super) step: Step,
}

/// Phase of a primary change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Collecting statuses, pausing replicas and choosing the candidate.
    Choosing,
    /// Waiting for the intent to be committed to the log.
    Logging,
    /// Waiting until no host relies on the old primary.
    Revoking,
    /// Promotion sent, waiting until it takes effect.
    Calling { sent: Millis, token: u64 },
}

impl PrimaryChange {
    pub(super) fn new(now: Millis, reason: Reason) -> Self {
        Self {
            reason,
            started_at: now,
            view_revision: None,
            queried_at: None,
            statuses: IndexMap::new(),
            paused: IndexMap::new(),
            candidate: None,
            already_primary: false,
            candidate_heard_at: now,
            step: Step::Choosing,
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
            PromotionOutcome::Accepted => {}
        }
    }

    /// Whether a promotion request was sent.
    pub(super) fn promotion_sent(&self) -> bool {
        matches!(self.step, Step::Calling { .. })
    }

    /// Target that reports itself as the primary, if it can stay the primary. It is
    /// promoted again to invalidate late promotions of others. A draining primary is
    /// replaced instead, if a target that is not draining exists.
    pub(super) fn serving_primary(&self, cx: &Cx<'_>, service: &Service) -> Option<InstanceId> {
        if !matches!(self.reason, Reason::Unfinished | Reason::Disputed | Reason::Gone) {
            return None;
        }
        let is_primary = |status: &&TargetStatus| status.role == TargetRole::Primary;
        let primaries = self.statuses.iter().filter(|(_, status)| is_primary(status));
        let (id, _) = primaries.max_by_key(|(_, status)| status.term)?;
        let is_draining = cx.registry.get(id).is_some_and(|it| it.draining);
        (!is_draining || !has_non_draining(cx, service)).then(|| id.clone())
    }

    /// Replica to promote; `None` until all replicas have answered or the timeout for
    /// silent ones has passed. The current candidate is kept while it is not draining and
    /// covers all paused replicas. Otherwise targets that are not draining come first, then
    /// those that hosts can reach, then those with the highest received position.
    pub(super) fn best_candidate(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        primary: Option<&InstanceId>,
    ) -> Option<InstanceId> {
        let replicas = || replicas_of(cx, service, primary);
        let timed_out = cx.now.since(self.started_at) >= SILENT_REPLICA_TIMEOUT;
        let all_answered = replicas().all(|it| self.statuses.contains_key(&it.id));
        if !all_answered && !timed_out {
            return None;
        }
        if let Some(candidate) = &self.candidate
            && self.covers_paused(candidate)
            && cx.registry.get(candidate).is_some_and(|it| !it.draining)
        {
            return Some(candidate.clone());
        }
        let rank = |it: &&Announcement| {
            let received = self.statuses.get(&it.id).map(|status| status.received);
            (is_reachable(cx, &it.id), received, !it.draining)
        };
        let active = replicas().filter(|it| !it.draining && self.statuses.contains_key(&it.id));
        let best = active.max_by_key(rank);
        best.or_else(|| replicas().filter(|it| self.statuses.contains_key(&it.id)).max_by_key(rank))
            .map(|it| it.id.clone())
    }

    /// Whether the candidate has received all that the paused replicas had received.
    fn covers_paused(&self, candidate: &InstanceId) -> bool {
        let Some(own) = self.statuses.get(candidate) else { return false };
        self.paused.values().all(|received| own.received >= *received)
    }

    /// Whether the candidate may be promoted now. It is checked again because targets that
    /// joined during the change may have acknowledged commits that it lacks. A candidate
    /// that is already the primary needs no check.
    pub(super) fn may_promote(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        primary: Option<&InstanceId>,
    ) -> bool {
        let Some(candidate) = &self.candidate else { return false };
        self.already_primary || self.is_safe_candidate(cx, service, candidate, primary)
    }

    /// Whether the candidate holds every commit that was or can still be acknowledged.
    pub(super) fn is_safe_candidate(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        candidate: &InstanceId,
        primary: Option<&InstanceId>,
    ) -> bool {
        if !self.covers_paused(candidate) || self.paused.contains_key(candidate) {
            return false;
        }
        let unpaused = replicas_of(cx, service, primary)
            .filter(|it| it.id != *candidate && !self.paused.contains_key(&it.id));
        let unpaused_count = unpaused.count();
        if unpaused_count == 0 {
            return true;
        }
        // A replica that does not answer may hold more than the candidate. The host reports
        // tell which commits were acknowledged to callers.
        let timed_out = cx.now.since(self.started_at) >= SILENT_REPLICA_TIMEOUT;
        let Some(own) = self.statuses.get(candidate) else { return false };
        let primary_silent = primary.is_none_or(|id| is_silent_to_hosts(cx, id));
        timed_out
            && primary_silent
            && cx.hosts.acknowledged(service).is_none_or(|newest| own.received >= newest)
    }
}

/// Targets of the service other than the primary.
fn replicas_of<'a>(
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

/// Whether no host has got an answer from the target for at least the report delay, so that
/// the host reports include all that it has acknowledged.
fn is_silent_to_hosts(cx: &Cx<'_>, id: &InstanceId) -> bool {
    let summary = cx.hosts.health_summary(cx.now, id);
    summary.answering == 0 && summary.shortest_failure.is_none_or(|span| span >= MAX_REPORT_DELAY)
}

/// Whether too many hosts report a primary as failing. If no host reports on it, missed
/// announcements decide.
pub(super) fn is_failing(cx: &Cx<'_>, id: &InstanceId) -> bool {
    let summary = cx.hosts.health_summary(cx.now, id);
    let total = summary.answering + summary.failing;
    if total == 0 {
        let max_silence = Millis(cx.registry.interval().0 * SILENT_AFTER_MISSED);
        return cx.registry.silence(cx.now, id).is_some_and(|span| span > max_silence);
    }
    summary.failing * 100 >= total * FAILING_HOSTS_PERCENT
        && summary.longest_failure >= MIN_FAILING_TIME
}
