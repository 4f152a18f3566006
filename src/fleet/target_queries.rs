//! Commands to the targets of a service: status queries, and the pauses of a primary change.

use crate::{
    clock::Millis,
    fleet::{
        failover::{Action, Cx, TargetCommand},
        primary_change::{PrimaryChange, STATUS_QUERY_INTERVAL},
        service_failover::ServiceState,
    },
    ids::Service,
};

impl ServiceState {
    /// Queries the status of all targets of the service. Once there is a candidate, the
    /// other replicas are paused.
    pub(super) fn query_targets(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else { return };
        if change.queried_at.is_some_and(|at| cx.now.since(at) < STATUS_QUERY_INTERVAL) {
            return;
        }
        change.queried_at = Some(cx.now);
        let term = change.newest_term;
        for target in cx.registry.of_service(service) {
            let is_candidate = change.candidate.as_ref() == Some(&target.id);
            let is_primary = self.primary.as_ref() == Some(&target.id);
            // While the promotion is carried out, replicas that join or restart are not paused
            // yet. The others are only queried, since they may already follow the candidate.
            let pauses = change.candidate.is_some()
                && !change.already_primary
                && (!change.promotion_sent() || !change.paused.contains_key(&target.id));
            // A paused candidate would miss commits that the primary still acknowledges.
            let command = if is_candidate && change.paused.contains_key(&target.id) {
                TargetCommand::Resume
            } else if pauses && !is_candidate && !is_primary {
                TargetCommand::Pause(term + 1)
            } else {
                TargetCommand::Status
            };
            out.push(Action::SendCommand {
                service: service.clone(),
                target: target.id.clone(),
                command,
            });
        }
    }

    /// Resumes the replicas that `change` has paused.
    pub(super) fn resume(&self, service: &Service, change: &PrimaryChange, out: &mut Vec<Action>) {
        for target in change.paused.keys().filter(|id| Some(*id) != self.primary.as_ref()) {
            let (service, target) = (service.clone(), target.clone());
            out.push(Action::SendCommand { service, target, command: TargetCommand::Resume });
        }
    }

    /// Queries the primary, and the replicas if necessary, to close gaps in the evidence. During
    /// a change they are queried anyway.
    pub(super) fn query_for_evidence(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        out: &mut Vec<Action>,
    ) {
        let Some(primary) = &self.primary else { return };
        let awaits_replicas = self.evidence.awaits_replicas(cx.hosts.lost_until());
        let mut is_due = |until: Millis| self.evidence.query_is_due(cx.now, until, awaits_replicas);
        if self.change.is_some()
            || cx.registry.get(primary).is_none()
            || !(is_due(cx.hosts.newest_loss(cx.now)) || is_due(cx.hosts.unreported_until()))
        {
            return;
        }
        let targets = cx.registry.of_service(service).map(|target| &target.id);
        let queried = targets.filter(|id| awaits_replicas || *id == primary);
        out.extend(queried.map(|target| Action::SendCommand {
            service: service.clone(),
            target: target.clone(),
            command: TargetCommand::Status,
        }));
    }
}
