//! Operators' evacuation orders at a control host; [`evacuation_rollout`] says when an evacuation
//! is acknowledged.
//!
//! Every order is proposed to the log, also one that seems to be in force: an opposite one may be
//! on its way. So the log alone decides the order of operators that act at the same time.
//!
//! [`evacuation_rollout`]: crate::fleet::evacuation_rollout

use tokio::sync::oneshot;

use crate::{
    clock::Clock,
    fleet::{
        control::{ControlLoop, ControlResponse},
        evacuation::{EvacuationOrder, Evacuations, InvalidOrder},
        evacuation_rollout::EvacuationRollout,
        leader_state::LeaderState,
        runtime::Ports,
        state::evacuation_entry,
    },
    gateway::log_limit::LogDecision,
};

/// Evacuation that an operator waits for.
pub(super) struct PendingEvacuation {
    rollout: EvacuationRollout,
    pub(super) reply: oneshot::Sender<ControlResponse>,
}

/// Effect of a committed order.
pub(super) struct AppliedOrder {
    order: EvacuationOrder,
    result: Result<bool, InvalidOrder>,
}

impl<P: Ports> ControlLoop<P> {
    pub(super) fn handle_evacuation_order(
        &mut self,
        order: &EvacuationOrder,
        reply: oneshot::Sender<ControlResponse>,
    ) {
        if let Err(error) = self.state.evacuations.check(order) {
            let _ = reply.send(ControlResponse::Rejected(error.to_string()));
            return;
        }
        let id = self.group.propose(&evacuation_entry(order));
        self.pending_proposals.insert(id, reply);
    }

    /// Applies a committed order.
    pub(super) fn apply_evacuation(&mut self, index: u64, order: EvacuationOrder) -> AppliedOrder {
        let result = self.state.evacuations.apply(&order);
        self.metrics.evacuation_orders.inc();
        self.log_order(index, &order, result);
        if let Some(leader) = &mut self.leader_state {
            leader.view_push_urgent |= result == Ok(true);
        }
        if !order.evacuated {
            self.give_up_evacuations(&order);
        }
        AppliedOrder { order, result }
    }

    fn log_order(
        &mut self,
        index: u64,
        order: &EvacuationOrder,
        result: Result<bool, InvalidOrder>,
    ) {
        let LogDecision::Write { suppressed } = self.evacuation_log.check(self.clock.now()) else {
            return;
        };
        let (domain, evacuated) = (order.domain.as_str(), order.evacuated);
        let domains = self.state.evacuations.len();
        match result {
            Ok(changed) => {
                spdlog::info!("evacuation order applied", kv: {domain, evacuated, changed, domains, index, left_out = suppressed});
            }
            Err(error) => {
                spdlog::warn!("evacuation order has no effect: {error}", kv: {domain, evacuated, domains, index, left_out = suppressed});
            }
        }
    }

    /// Answers the pending evacuations of a readmitted domain with `Unavailable`, because hosts may
    /// send statements to its targets again.
    fn give_up_evacuations(&mut self, withdrawal: &EvacuationOrder) {
        let is_withdrawn = |it: &mut PendingEvacuation| it.rollout.domain == withdrawal.domain;
        for pending in self.pending_evacuations.extract_if(.., is_withdrawn) {
            let _ = pending.reply.send(ControlResponse::Unavailable);
        }
    }

    /// Answers the operator of a committed order: at once, or when its promise holds.
    pub(super) fn acknowledge_order(
        &mut self,
        applied: &AppliedOrder,
        reply: oneshot::Sender<ControlResponse>,
    ) {
        let AppliedOrder { order, result } = applied;
        let response = match (result, &self.leader_state) {
            (Err(error), _) => ControlResponse::Rejected(error.to_string()),
            (Ok(_), _) if !order.evacuated => ControlResponse::Done,
            (Ok(_), None) => ControlResponse::Unavailable,
            (Ok(_), Some(leader)) => {
                let (now, domain) = (self.clock.now(), order.domain.clone());
                let rollout = EvacuationRollout::new(
                    now,
                    domain,
                    &leader.named_domains,
                    leader.view.revision,
                );
                self.pending_evacuations.push(PendingEvacuation { rollout, reply });
                return;
            }
        };
        // The operator may have stopped waiting.
        let _ = reply.send(response);
    }

    /// Acknowledges the evacuations whose rollout is complete.
    pub(super) fn acknowledge_evacuations(&mut self) {
        let Some(leader) = &self.leader_state else { return };
        let (now, max_delay) = (self.clock.now(), self.max_evacuation_delay);
        let hosts = &leader.hosts;
        self.pending_evacuations.retain(|it| !it.reply.is_closed());
        let is_complete =
            |it: &mut PendingEvacuation| it.rollout.is_complete(now, hosts, max_delay);
        for pending in self.pending_evacuations.extract_if(.., is_complete) {
            let PendingEvacuation { rollout, reply } = pending;
            // The operator may have stopped waiting; it sends the order again.
            let _ = reply.send(ControlResponse::Done);
            let took_ms = now.since(rollout.committed_at).0;
            spdlog::info!("evacuation acknowledged", kv: {domain = rollout.domain.as_str(), took_ms, hosts = hosts.len()});
        }
    }
}

impl LeaderState {
    /// Number of services whose primary is in an evacuated domain.
    pub(super) fn count_evacuated_primaries(&self, evacuations: &Evacuations) -> usize {
        let primaries = self.failover.services().filter_map(|(_, state)| state.primary.as_ref());
        let targets = primaries.filter_map(|id| self.registry.get(id));
        targets.filter(|target| evacuations.contains(&target.domain)).count()
    }
}
