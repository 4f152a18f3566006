//! Primary of one service and the change in progress: whom it promotes, and when it has ended.
//! [`failover`](crate::fleet::failover) says why no commit is lost,
//! `fleet::change_reason` when a change starts.

use indexmap::IndexSet;

use crate::{
    clock::Millis,
    fleet::{
        candidate_proof::CandidateProof,
        change_reason::has_observed,
        commit_evidence::CommitEvidence,
        deposed::DeposedPrimaries,
        failover::{Action, Cx, Reason, TargetStatus},
        failure_evidence::FailureEvidence,
        messages::{TargetRole, ViewRevision},
        outstanding_calls::OutstandingCalls,
        primary_change::{PROMOTION_RETRY_INTERVAL, PrimaryChange, SILENT_REPLICA_TIMEOUT, Step},
        promotion_safety::Safety,
        unfinished::UnfinishedPromotions,
    },
    ids::{InstanceId, Service, Term},
};

/// Low bits of a fencing token, which count the promotions sent by one leader.
const TOKEN_COUNTER_BITS: u32 = 20;

/// Primary of one service, and the change in progress.
#[derive(Debug, Default)]
pub struct ServiceState {
    pub primary: Option<InstanceId>,
    /// Another target announced itself as the primary.
    pub(super) disputed: bool,
    pub(super) change: Option<PrimaryChange>,
    pub(super) last_change_ended: Option<Millis>,
    pub(super) deposed: DeposedPrimaries,
    pub(super) calls: OutstandingCalls,
    pub(super) evidence: CommitEvidence,
    pub(super) failure: FailureEvidence,
    /// Targets of the unfinished promotions that this leader has logged.
    pub(super) logged: IndexSet<InstanceId>,
    /// A call may have been sent for one of the unfinished promotions.
    pub(super) called: bool,
    /// A change has ended, but calls to promote the primary may still be carried out, so the
    /// promotion stays unfinished in the log for the next leader.
    completed: Option<InstanceId>,
    pub(super) wait_logged_at: Option<Millis>,
}

impl ServiceState {
    pub(super) fn advance(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        unfinished: &UnfinishedPromotions,
        promotions_sent: &mut u64,
        out: &mut Vec<Action>,
    ) {
        let Some(change) = &mut self.change else { return };
        if change.view_revision.is_none() {
            // The next view is the first one that shows the change.
            change.view_revision = Some(next_revision(cx));
        }
        match change.step {
            Step::Choosing => {
                self.update_reason(cx);
                if self.reason_has_passed(cx, service) {
                    self.cancel(cx, service, out);
                } else {
                    self.choose_candidate(cx, service, out);
                }
            }
            Step::Logging => {}
            Step::Proving => {
                if self.may_promote(cx, service, unfinished, out) {
                    self.send_promotion(cx, service, promotions_sent, out);
                } else {
                    self.query_targets(cx, service, out);
                }
            }
            Step::Calling { sent, .. } => {
                if self.promotion_took_effect(cx) {
                    self.finish(cx, service, out);
                } else if cx.now.since(sent) >= PROMOTION_RETRY_INTERVAL {
                    self.send_promotion(cx, service, promotions_sent, out);
                } else {
                    self.query_targets(cx, service, out);
                }
            }
        }
        self.restart_if_stuck(cx, service, unfinished, out);
    }

    /// Notes which replicas the registry holds.
    pub(super) fn update_replicas(&mut self, cx: &Cx<'_>, service: &Service) {
        let targets = cx.registry.of_service(service).map(|target| &target.id);
        let replicas: Vec<&InstanceId> =
            targets.filter(|id| Some(*id) != self.primary.as_ref()).collect();
        self.evidence.update_replicas(cx.now, &replicas);
    }

    /// Records the position in a target's answer to a command that was sent at `sent_at`.
    pub(super) fn record_evidence(
        &mut self,
        cx: &Cx<'_>,
        target: &InstanceId,
        sent_at: Millis,
        status: &TargetStatus,
    ) {
        let promotion_sent = self.change.as_ref().is_some_and(PrimaryChange::promotion_sent);
        match status.role {
            TargetRole::Primary if self.primary.as_ref() == Some(target) && !promotion_sent => {
                let newest_loss = cx.hosts.newest_loss(cx.now);
                self.evidence.record_primary(sent_at, status.received, newest_loss);
                self.evidence.settle_losses(sent_at, status.received, cx.hosts.lost_until());
            }
            TargetRole::Replica => self.evidence.record_replica(target, status.received),
            TargetRole::Primary => {}
        }
    }

    /// Logs the promotion of `target`, and names it as a successor in the next view.
    fn log_began(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        target: InstanceId,
        out: &mut Vec<Action>,
    ) {
        if let Some(change) = &mut self.change {
            change.step = Step::Logging;
            change.successor_revision = Some(next_revision(cx));
        }
        self.completed = None;
        self.logged.insert(target.clone());
        out.push(Action::LogPromotionBegan { service: service.clone(), target });
        out.push(Action::ViewChanged);
    }

    /// Targets that may be promoted at any time, by a call of this leader or of an earlier one.
    pub(super) fn successors<'a>(
        &'a self,
        service: &'a Service,
        unfinished: &'a UnfinishedPromotions,
    ) -> impl Iterator<Item = &'a InstanceId> {
        let change = self.change.as_ref().filter(|change| change.step != Step::Choosing);
        let candidate = change.and_then(|change| change.candidate.as_ref());
        let logged = unfinished.targets(service).filter(move |id| Some(*id) != candidate);
        logged.chain(candidate)
    }

    /// Records that an earlier leader may have called for `target`, unless this leader has logged
    /// the promotion and knows its calls.
    pub(super) fn assume_called(&mut self, now: Millis, target: &InstanceId, newest_token: u64) {
        if !self.logged.contains(target) {
            self.called = true;
            self.calls.assume_sent(now, target, newest_token);
        }
    }

    /// Ends a change for which nothing was logged; the primary stays.
    fn cancel(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        let Some(change) = self.change.take() else { return };
        let passed = match change.reason {
            Reason::Evacuated => "the primary may stay where it is",
            _ => "the primary answers again",
        };
        spdlog::info!("primary change cancelled, {passed}", kv: {service = service.as_str(), took_ms = cx.now.since(change.started_at).0});
        self.resume(service, &change, out);
        self.last_change_ended = Some(cx.now);
        out.push(Action::ViewChanged);
    }

    /// Queries the targets until a candidate is proven to hold every acknowledged commit,
    /// or a target reports that it is already the primary.
    fn choose_candidate(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        let primary = self.primary.clone();
        self.query_targets(cx, service, out);
        let required = self.calls.required_target(cx).cloned();
        let Some(change) = &mut self.change else { return };
        let required = required.or_else(|| change.target_to_complete(cx).cloned());
        let may_stay = |id: &InstanceId| match &required {
            Some(required) => required == id,
            None => !change.has_replacement(cx, service, id),
        };
        let serving = change.serving_primary(cx, service, primary.as_ref());
        if let Some(current) = serving.filter(may_stay) {
            self.keep_primary(cx, service, current, out);
            return;
        }
        if change.reason == Reason::Disputed
            && cx.now.since(change.started_at) < SILENT_REPLICA_TIMEOUT
        {
            return;
        }
        if required.is_some() && required == primary {
            return;
        }
        let best = change.best_candidate(cx, service, primary.as_ref(), required.as_ref());
        let Some(candidate) = best else { return };
        if change.candidate.as_ref() != Some(&candidate) {
            change.candidate = Some(candidate.clone());
            change.queried_at = None;
            self.query_targets(cx, service, out);
            return;
        }
        let safety =
            change.safety_of_choice(cx, service, &candidate, primary.as_ref(), &self.evidence);
        if self.is_acceptable(cx, service, safety) {
            let Some(change) = &self.change else { return };
            spdlog::info!("promotion candidate chosen", kv: {service = service.as_str(), candidate = candidate.as_str(), after_ms = cx.now.since(change.started_at).0});
            self.log_began(cx, service, candidate, out);
        }
    }

    /// Keeps `current`, which leads already. An unfinished promotion of another target is
    /// invalidated by promoting `current` again.
    fn keep_primary(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        current: InstanceId,
        out: &mut Vec<Action>,
    ) {
        let Some(change) = &mut self.change else { return };
        change.candidate = Some(current.clone());
        change.already_primary = true;
        if change.reason == Reason::Unfinished {
            self.log_began(cx, service, current, out);
        } else {
            self.finish(cx, service, out);
        }
    }

    /// Whether a candidate is safe enough. If it is not, the change waits for as long as it
    /// takes: a target that holds the missing commits may come back.
    fn is_acceptable(&mut self, cx: &Cx<'_>, service: &Service, safety: Safety) -> bool {
        let acceptable = matches!(safety, Safety::Covered | Safety::Reported);
        if !acceptable {
            self.log_wait(cx, service, safety);
        }
        acceptable
    }

    /// Whether the candidate holds every commit that was acknowledged, and hosts acknowledge none
    /// that it lacks. If that rests on host reports, the primary is first withdrawn from the view.
    fn may_promote(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        unfinished: &UnfinishedPromotions,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(change) = &mut self.change else { return false };
        if !has_observed(cx) {
            return false;
        }
        if change.proof.is_none() {
            if change.all_hosts_require_candidate(cx) {
                change.proof = Some(CandidateProof::new(cx.now));
                change.queried_at = None;
            }
            return false;
        }
        let Some(change) = &self.change else { return false };
        let successors = self.successors(service, unfinished);
        let safety = change.safety(cx, service, self.primary.as_ref(), successors, &self.evidence);
        if !self.is_acceptable(cx, service, safety) {
            self.request_reports(cx, safety, out);
            return false;
        }
        self.log_premises(cx, service, safety);
        let Some(change) = &mut self.change else { return false };
        if safety == Safety::Covered {
            return true;
        }
        if change.withdrawn_revision.is_none() {
            change.withdrawn_revision = Some(next_revision(cx));
            out.push(Action::ViewChanged);
        }
        change.withdrawn_revision.is_some_and(|view| cx.hosts.all_have_view(cx.now, view))
    }

    /// Asks all hosts for reports if hosts are out of contact: the others know what those have
    /// acknowledged.
    fn request_reports(&mut self, cx: &Cx<'_>, safety: Safety, out: &mut Vec<Action>) {
        if safety != Safety::Unreported {
            return;
        }
        if let Some(change) = &mut self.change
            && change.request_reports(cx, next_revision(cx))
        {
            out.push(Action::ViewChanged);
        }
    }

    fn send_promotion(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        promotions_sent: &mut u64,
        out: &mut Vec<Action>,
    ) {
        let Some(change) = &mut self.change else { return };
        let Some(target) = change.candidate.clone() else { return };
        *promotions_sent += 1;
        let token = fencing_token(cx.term, *promotions_sent);
        change.step = Step::Calling { sent: cx.now, token };
        change.statuses.clear();
        self.called = true;
        self.calls.record_sent(cx.now, &target, token);
        out.push(Action::Promote { service: service.clone(), target, token });
    }

    fn promotion_took_effect(&self, cx: &Cx<'_>) -> bool {
        let Some(change) = &self.change else { return false };
        let Some(candidate) = &change.candidate else { return false };
        // Only an accepted request rejects late ones of others.
        let must_be_accepted = change.already_primary
            || (cx.promotions_are_fenced && self.calls.may_replace(cx, candidate));
        if must_be_accepted && !change.accepted {
            return false;
        }
        let is_primary = |status: &TargetStatus| status.role == TargetRole::Primary;
        change.statuses.get(candidate).is_some_and(is_primary)
            || (self.primary.as_ref() == Some(candidate)
                && change.reason != Reason::Unfinished
                && cx.registry.get(candidate).is_some_and(|it| it.role == TargetRole::Primary))
    }

    fn finish(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        let Some(change) = self.change.take() else { return };
        let Some(candidate) = change.candidate.clone() else { return };
        spdlog::info!("primary change completed", kv: {
            service = service.as_str(),
            primary = candidate.as_str(),
            took_ms = cx.now.since(change.started_at).0,
            acknowledged = cx.hosts.acknowledged(service).unwrap_or_default().to_string().as_str()
        });
        let replaced = self.primary.replace(candidate.clone()).filter(|id| *id != candidate);
        if change.reason == Reason::Failing && replaced.is_some() {
            self.failure.record_promotion(cx.now);
        }
        if let Some(status) = change.statuses.get(&candidate)
            && status.role == TargetRole::Primary
        {
            self.evidence.record_term_start(Term(status.term), status.received);
        }
        let claimants = change
            .statuses
            .iter()
            .filter(|(id, status)| **id != candidate && status.role == TargetRole::Primary);
        let deposed = claimants.map(|(id, _)| id.clone()).chain(replaced);
        self.deposed.replace(&candidate, deposed);
        self.resume(service, &change, out);
        self.last_change_ended = Some(cx.now);
        self.completed = self.primary.clone();
        self.end_completed(cx, service, out);
        out.push(Action::ViewChanged);
    }

    pub(super) fn is_completed(&self, target: &InstanceId) -> bool {
        self.completed.as_ref() == Some(target)
    }

    /// Logs the end of a completed change once no call to promote its target can be carried
    /// out any more.
    pub(super) fn end_completed(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        if self.completed.is_some()
            && self.change.is_none()
            && !self.calls.must_be_remembered(cx, self.primary.as_ref())
        {
            self.completed = None;
            self.called = false;
            out.push(Action::LogPromotionEnded { service: service.clone() });
        }
    }
}

/// Fencing token of the leader's call with the given number, counted from 1.
pub(super) fn fencing_token(term: u64, call: u64) -> u64 {
    (term << TOKEN_COUNTER_BITS) | call
}

/// Revision of the next view.
fn next_revision(cx: &Cx<'_>) -> ViewRevision {
    ViewRevision { number: cx.view_revision.number + 1, ..cx.view_revision }
}
