//! Primary of one service and the change in progress: when it starts, whom it promotes, and
//! when it has ended. [`failover`](crate::fleet::failover) says why no commit is lost.

use indexmap::IndexSet;

use crate::{
    clock::Millis,
    fleet::{
        candidate_proof::CandidateProof,
        commit_evidence::CommitEvidence,
        deposed::DeposedPrimaries,
        failover::{Action, Cx, Reason, TargetStatus},
        failure_evidence::{FailureEvidence, Overview},
        messages::{TargetRole, ViewRevision},
        outstanding_calls::OutstandingCalls,
        primary_change::{
            PROMOTION_RETRY_INTERVAL, PrimaryChange, SILENT_REPLICA_TIMEOUT, Step,
            has_non_draining, is_failing, is_reachable,
        },
        promotion_safety::Safety,
        unfinished::UnfinishedPromotions,
    },
    ids::{InstanceId, Service},
};

/// Time for which a new leader observes before it changes primaries, as a percentage of the
/// announcement interval: long enough for an announcement of every target and a report of
/// every host.
const OBSERVATION_PERCENT: u64 = 150;

/// Time without progress after which a change is restarted.
const CHANGE_TIMEOUT: Millis = Millis(5_000);

/// Minimum time between two primary changes of one service.
const CHANGE_COOLDOWN: Millis = Millis(1_000);

/// Low bits of a fencing token, which count the promotions sent by one leader.
const TOKEN_COUNTER_BITS: u32 = 20;

/// Primary of one service, and the change in progress.
#[derive(Debug, Default)]
pub struct ServiceState {
    pub primary: Option<InstanceId>,
    /// Another target announced itself as the primary.
    pub(super) disputed: bool,
    pub(super) change: Option<PrimaryChange>,
    last_change_ended: Option<Millis>,
    pub(super) deposed: DeposedPrimaries,
    pub(super) calls: OutstandingCalls,
    pub(super) evidence: CommitEvidence,
    pub(super) failure: FailureEvidence,
    /// Targets of the unfinished promotions that this leader has logged.
    logged: IndexSet<InstanceId>,
    /// A call may have been sent for one of the unfinished promotions.
    called: bool,
    /// A change has ended, but calls to promote the primary may still be carried out, so the
    /// promotion stays unfinished in the log for the next leader.
    completed: Option<InstanceId>,
    pub(super) wait_logged_at: Option<Millis>,
}

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
        let known = self.primary.as_ref().and_then(|id| cx.registry.get(id));
        let Some(primary) = known else { return Some(Reason::Gone) };
        if primary.role != TargetRole::Primary {
            return Some(Reason::Gone);
        }
        if primary.draining {
            return has_non_draining(cx, service).then_some(Reason::Draining);
        }
        // A target that the hosts cannot reach either is no better primary.
        let has_better = cx
            .registry
            .of_service(service)
            .any(|it| it.id != primary.id && !it.draining && is_reachable(cx, &it.id));
        let is_failing = has_better && self.failure.suffices(cx, service, &primary.id, overview);
        is_failing.then_some(Reason::Failing)
    }

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
                if self.has_recovered(cx) {
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
        target: &InstanceId,
        sent_at: Millis,
        status: &TargetStatus,
    ) {
        let promotion_sent = self.change.as_ref().is_some_and(PrimaryChange::promotion_sent);
        match status.role {
            TargetRole::Primary if self.primary.as_ref() == Some(target) && !promotion_sent => {
                self.evidence.record_primary(sent_at, status.received);
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

    /// Whether the primary answers again while no candidate could be chosen.
    fn has_recovered(&self, cx: &Cx<'_>) -> bool {
        let (Some(change), Some(primary)) = (&self.change, &self.primary) else { return false };
        change.reason == Reason::Failing
            && cx.now.since(change.started_at) >= SILENT_REPLICA_TIMEOUT
            && cx.registry.get(primary).is_some()
            && !is_failing(cx, primary)
    }

    /// Ends a change for which nothing was logged; the primary stays.
    fn cancel(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        let Some(change) = self.change.take() else { return };
        spdlog::info!("primary change cancelled, the primary answers again", kv: {service = service.as_str(), took_ms = cx.now.since(change.started_at).0});
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
        let serving = change.serving_primary(cx, service, primary.as_ref());
        if let Some(current) = serving.filter(|id| required.as_ref().is_none_or(|it| it == id)) {
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

    /// Gives up promotions for which no call was ever sent, so that another candidate can be chosen;
    /// returns whether it did. The present primary is logged last, which keeps it.
    fn abort_without_calls(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        unfinished: &UnfinishedPromotions,
        out: &mut Vec<Action>,
    ) -> bool {
        let is_own = |id: &InstanceId| self.logged.contains(id);
        let Some(change) = &self.change else { return false };
        let Some(primary) = self.primary.clone() else { return false };
        let was_logged = matches!(change.step, Step::Logging | Step::Proving);
        if !was_logged || self.called || !unfinished.targets(service).all(is_own) {
            return false;
        }
        self.resume(service, change, out);
        self.change = None;
        self.last_change_ended = Some(cx.now);
        self.logged.insert(primary.clone());
        let service = service.clone();
        out.push(Action::LogPromotionBegan { service: service.clone(), target: primary });
        out.push(Action::LogPromotionEnded { service });
        out.push(Action::ViewChanged);
        true
    }

    /// Restarts a change that makes no progress, for example because the candidate was
    /// lost as well. Once a promotion was sent, the time counts from the candidate's last
    /// answer, so that promotions of a candidate that answers are retried instead. Replicas
    /// paused while choosing are resumed.
    fn restart_if_stuck(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        unfinished: &UnfinishedPromotions,
        out: &mut Vec<Action>,
    ) {
        let Some(change) = &self.change else { return };
        let promotion_sent = change.promotion_sent();
        let stuck_since =
            if promotion_sent { change.candidate_heard_at } else { change.started_at };
        let is_gone = |id: &InstanceId| cx.registry.get(id).is_none();
        let has_regressed = change.proof.as_ref().is_some_and(CandidateProof::has_regressed);
        let is_lost =
            has_regressed || (promotion_sent && change.candidate.as_ref().is_some_and(is_gone));
        if cx.now.since(stuck_since) < CHANGE_TIMEOUT && !is_lost {
            return;
        }
        spdlog::warn!("primary change made no progress, restarting it", kv: {service = service.as_str(), step = format!("{:?}", change.step).as_str()});
        if self.abort_without_calls(cx, service, unfinished, out) {
            return;
        }
        let Some(change) = &self.change else { return };
        if change.step == Step::Choosing {
            self.resume(service, change, out);
        }
        let stuck = self.change.take().filter(|_| promotion_sent);
        self.last_change_ended = Some(cx.now);
        // Replicas that were paused for the promotion are still paused.
        self.change = stuck.map(|stuck| PrimaryChange {
            paused: stuck.paused,
            ..PrimaryChange::new(cx.now, Reason::Unfinished, stuck.candidate)
        });
        out.push(Action::ViewChanged);
    }
}

/// Whether the leader has led for long enough to know all targets and hosts.
fn has_observed(cx: &Cx<'_>) -> bool {
    let observation = Millis(cx.registry.interval().0 * OBSERVATION_PERCENT / 100);
    cx.now.since(cx.leader_since) >= observation
}

/// Fencing token of the leader's call with the given number, counted from 1.
pub(super) fn fencing_token(term: u64, call: u64) -> u64 {
    (term << TOKEN_COUNTER_BITS) | call
}

/// Revision of the next view.
fn next_revision(cx: &Cx<'_>) -> ViewRevision {
    ViewRevision { number: cx.view_revision.number + 1, ..cx.view_revision }
}
