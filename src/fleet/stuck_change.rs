//! End of a primary change that makes no progress.

use crate::{
    clock::Millis,
    fleet::{
        candidate_proof::CandidateProof,
        failover::{Action, Cx, Reason},
        primary_change::{PrimaryChange, Step},
        service_failover::ServiceState,
        unfinished::UnfinishedPromotions,
    },
    ids::{InstanceId, Service},
};

/// Time without progress after which a change is restarted.
const CHANGE_TIMEOUT: Millis = Millis(5_000);

impl ServiceState {
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
    pub(super) fn restart_if_stuck(
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
