//! Log lines that tell why a promotion waits or what it rests on.

use crate::{
    clock::Millis,
    fleet::{
        candidate_proof::CandidateProof, failover::Cx, promotion_safety::Safety,
        service_failover::ServiceState,
    },
    ids::Service,
};

/// Interval between log lines on a promotion that waits.
const WAIT_LOG_INTERVAL: Millis = Millis(1_000);

impl ServiceState {
    /// Logs once per interval why no candidate is promoted.
    pub(super) fn log_wait(&mut self, cx: &Cx<'_>, service: &Service, safety: Safety) {
        let Some(change) = &self.change else { return };
        if self.wait_logged_at.is_some_and(|at| cx.now.since(at) < WAIT_LOG_INTERVAL) {
            return;
        }
        self.wait_logged_at = Some(cx.now);
        let candidate = change.candidate.as_ref();
        let received = candidate.and_then(|id| change.statuses.get(id)).map(|it| it.received);
        let acknowledged = cx.hosts.acknowledged(service).unwrap_or_default();
        let silent =
            cx.registry.of_service(service).filter(|it| !change.statuses.contains_key(&it.id));
        let silent: Vec<&str> = silent.map(|it| it.id.as_str()).collect();
        spdlog::info!("promotion waits", kv: {
            service = service.as_str(),
            safety = format!("{safety:?}").as_str(),
            candidate = candidate.map_or("none", |id| id.as_str()),
            received = received.unwrap_or_default().to_string().as_str(),
            acknowledged = acknowledged.to_string().as_str(),
            paused = change.paused.len(),
            silent = silent.join(" ").as_str(),
            reports_complete = cx.hosts.reports_are_complete(cx.now),
            unreported_until = cx.hosts.unreported_until().0,
            evidence = self.evidence.to_string().as_str()
        });
    }

    /// Logs what a promotion rests on, when it becomes safe and whenever that changes.
    pub(super) fn log_premises(&mut self, cx: &Cx<'_>, service: &Service, safety: Safety) {
        let Some(change) = &mut self.change else { return };
        if change.logged_safety.replace(safety) == Some(safety) {
            return;
        }
        let candidate = change.candidate.as_ref();
        let received = change.proof.as_ref().and_then(CandidateProof::candidate);
        let paused: Vec<&str> = change.paused.keys().map(|id| id.as_str()).collect();
        spdlog::info!("promotion may be requested", kv: {
            service = service.as_str(),
            candidate = candidate.map_or("none", |id| id.as_str()),
            safety = format!("{safety:?}").as_str(),
            received = received.unwrap_or_default().to_string().as_str(),
            acknowledged = cx.hosts.acknowledged(service).unwrap_or_default().to_string().as_str(),
            paused = paused.join(" ").as_str(),
            positions = change.proof.as_ref().map(ToString::to_string).unwrap_or_default().as_str(),
            targets = cx.registry.of_service(service).count(),
            hosts = cx.hosts.len(),
            reports_complete = cx.hosts.reports_are_complete(cx.now),
            unreported_until = cx.hosts.unreported_until().0,
            evidence = self.evidence.to_string().as_str()
        });
    }
}
