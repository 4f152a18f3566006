//! Change of a service's primary as a state machine without I/O.
//!
//! A commit is acknowledged once one replica holds it. The change therefore pauses
//! all replicas but the candidate, so that nothing can be acknowledged that the
//! candidate lacks, and goes on only if the candidate holds at least what every
//! other replica had received. Entry hosts first stop relying on the old primary.
//! The intent is in the log before the first call; each call has a higher number
//! than all earlier ones, so that a call that is carried out late has no effect
//! after a newer one.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        change::{
            ASK_INTERVAL, Change, GIVE_UP_ON_SILENT, REPEAT_CALL, Step, has_staying, is_failing,
            is_reachable,
        },
        hosts::Hosts,
        messages::{TargetRole, ViewRevision},
        registry::Registry,
    },
    ids::{InstanceId, Mark, Service},
};

/// Percentage of the interval between announcements for which a leader listens before
/// it judges targets: every target announces itself once, and every host reports.
const LISTEN_PERCENT: u64 = 150;

/// Time after which a change without a result begins anew.
const RESTART_AFTER: Millis = Millis(5_000);

/// Pause between two changes of one service.
const PAUSE_BETWEEN: Millis = Millis(1_000);

/// Question or command to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetCommand {
    Status,
    /// Stop receiving, under a term above all others.
    Pause(u64),
    Resume,
}

/// Answer of a target to an [`Order`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetStatus {
    pub role: TargetRole,
    /// Newest term that the target knows.
    pub term: u64,
    /// Position up to which it has received the log.
    pub received: Mark,
}

/// Result of a call that promotes a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionOutcome {
    Accepted,
    /// A higher number was used, or the target is not running.
    Refused,
    /// No answer; the call may still be carried out.
    Unknown,
}

/// Event for one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    Answered {
        target: InstanceId,
        command: TargetCommand,
        status: Option<TargetStatus>,
    },
    Called {
        token: u64,
        outcome: PromotionOutcome,
    },
    /// The intent is committed.
    Logged,
}

/// What the runtime must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Ask {
        service: Service,
        target: InstanceId,
        command: TargetCommand,
    },
    /// Add the intent to the log.
    LogBegin {
        service: Service,
        target: InstanceId,
    },
    Call {
        service: Service,
        target: InstanceId,
        token: u64,
    },
    LogEnd {
        service: Service,
    },
    /// The view differs: hosts must learn of the primary or of a change.
    ViewChanged,
}

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    Draining,
    Failing,
    Gone,
    /// An earlier leader began a promotion whose end is not known.
    Unfinished,
    /// Another target says that it is the primary. The announcement may be old.
    Disputed,
}

/// What the decisions look at.
pub struct Cx<'a> {
    pub now: Millis,
    /// Term of the leader; calls of a later leader have higher numbers.
    pub term: u64,
    /// When this host became the leader.
    pub since: Millis,
    pub registry: &'a Registry,
    pub hosts: &'a Hosts,
    pub view: ViewRevision,
}

/// Primary of one service and its change.
#[derive(Debug, Default)]
pub struct ServiceState {
    pub primary: Option<InstanceId>,
    /// Another target has said that it is the primary.
    disputed: bool,
    change: Option<Change>,
    ended: Option<Millis>,
}

/// Changes of all services.
#[derive(Debug, Default)]
pub struct Failover {
    services: IndexMap<Service, ServiceState>,
    calls: u64,
}

/// Bits of a call's number that count the calls of one leader.
const CALL_BITS: u32 = 20;

impl Failover {
    /// Primary of `service` and whether it is about to change; a promotion that an
    /// earlier leader began may be carried out at any time.
    pub fn primary(
        &self,
        service: &Service,
        unfinished: &IndexMap<Service, InstanceId>,
    ) -> Option<(Option<&InstanceId>, bool)> {
        let state = self.services.get(service)?;
        let changing = state.change.is_some() || unfinished.contains_key(service);
        Some((state.primary.as_ref(), changing))
    }

    /// Whether a primary of `service` is known.
    pub fn knows(&self, service: &Service) -> bool {
        self.services.get(service).is_some_and(|state| state.primary.is_some())
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&Service, &ServiceState)> {
        self.services.iter()
    }

    /// Notes that `target` says it is the primary; returns whether the view differs. An
    /// announcement may have been on its way for seconds, so another target than the
    /// known primary is asked first.
    pub fn claimed(&mut self, service: &Service, target: &InstanceId) -> bool {
        let state = self.services.entry(service.clone()).or_default();
        if state.primary.as_ref() == Some(target) {
            return false;
        }
        let is_candidate = state
            .change
            .as_ref()
            .is_some_and(|it| it.candidate.as_ref() == Some(target) && it.was_called());
        if state.primary.is_none() || is_candidate {
            state.primary = Some(target.clone());
            return true;
        }
        state.disputed = state.change.is_none();
        false
    }

    /// Regular work: starts changes and repeats what got no answer.
    pub fn tick(
        &mut self,
        cx: &Cx<'_>,
        services: impl Iterator<Item = Service>,
        unfinished: &IndexMap<Service, InstanceId>,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        for service in services {
            let state = self.services.entry(service.clone()).or_default();
            if state.change.is_none()
                && let Some(reason) = state.trouble(cx, &service, unfinished)
            {
                spdlog::warn!("change of a primary begins", kv: {service = service.as_str(), reason = format!("{reason:?}").as_str(), primary = state.primary.as_ref().map_or("none", |id| id.as_str())});
                state.disputed = false;
                state.change = Some(Change::new(cx.now, reason));
                out.push(Action::ViewChanged);
            }
            state.advance(cx, &service, &mut self.calls, &mut out);
        }
        out
    }

    /// Handles an event of `service`.
    pub fn handle(&mut self, cx: &Cx<'_>, service: &Service, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(state) = self.services.get_mut(service) else { return out };
        let Some(change) = &mut state.change else { return out };
        match event {
            Event::Answered { target, command, status: Some(status) } => {
                match command {
                    TargetCommand::Pause(_) => {
                        change.paused.insert(target.clone(), status.received);
                    }
                    TargetCommand::Resume => {
                        change.paused.shift_remove(&target);
                    }
                    TargetCommand::Status => {}
                }
                if change.candidate.as_ref() == Some(&target) {
                    change.heard = cx.now;
                }
                change.statuses.insert(target, status);
            }
            Event::Answered { status: None, .. } => {}
            Event::Logged if change.step == Step::Logging => change.step = Step::Revoking,
            Event::Logged => {}
            Event::Called { token, outcome } => change.called(cx.now, token, outcome),
        }
        state.advance(cx, service, &mut self.calls, &mut out);
        out
    }
}

impl ServiceState {
    /// Why the primary must be replaced, if it must.
    fn trouble(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        unfinished: &IndexMap<Service, InstanceId>,
    ) -> Option<Reason> {
        if self.disputed && !unfinished.contains_key(service) {
            return Some(Reason::Disputed);
        }
        let listen = Millis(cx.registry.interval().0 * LISTEN_PERCENT / 100);
        if cx.now.since(cx.since) < listen || cx.registry.of(service).count() < 2 {
            return None;
        }
        if self.ended.is_some_and(|at| cx.now.since(at) < PAUSE_BETWEEN) {
            return None;
        }
        if unfinished.contains_key(service) {
            return Some(Reason::Unfinished);
        }
        let known = self.primary.as_ref().and_then(|id| cx.registry.get(id));
        let Some(primary) = known else { return Some(Reason::Gone) };
        if primary.role != TargetRole::Primary {
            return Some(Reason::Gone);
        }
        if primary.draining {
            return has_staying(cx, service).then_some(Reason::Draining);
        }
        // Another target that hosts cannot reach either would serve no better.
        let has_better = cx
            .registry
            .of(service)
            .any(|it| it.id != primary.id && !it.draining && is_reachable(cx, &it.id));
        (has_better && is_failing(cx, &primary.id)).then_some(Reason::Failing)
    }

    fn advance(&mut self, cx: &Cx<'_>, service: &Service, calls: &mut u64, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else { return };
        if change.view.is_none() {
            // The view with the change has the next number.
            change.view = Some(ViewRevision { number: cx.view.number + 1, ..cx.view });
        }
        match change.step {
            Step::Choosing => self.choose(cx, service, out),
            Step::Logging => {}
            Step::Revoking => {
                let is_known = change.view.is_some_and(|view| cx.hosts.have_view(cx.now, view));
                if is_known && change.may_call(cx, service, self.primary.as_ref()) {
                    self.call(cx, service, calls, out);
                } else {
                    self.ask(cx, service, out);
                }
            }
            Step::Calling { sent, .. } => {
                if self.has_taken_effect(cx) {
                    self.finish(cx, service, out);
                } else if cx.now.since(sent) >= REPEAT_CALL {
                    self.call(cx, service, calls, out);
                } else {
                    self.ask(cx, service, out);
                }
            }
        }
        self.restart_if_stuck(cx, service, out);
    }

    /// Collects statuses until a candidate is known to hold all acknowledged commits.
    fn choose(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        let primary = self.primary.clone();
        self.ask(cx, service, out);
        let Some(change) = &mut self.change else { return };
        if let Some(current) = change.settled_by(cx, service) {
            change.candidate = Some(current.clone());
            change.stays = true;
            if change.reason != Reason::Unfinished {
                self.finish(cx, service, out);
                return;
            }
            change.step = Step::Logging;
            out.push(Action::LogBegin { service: service.clone(), target: current });
            return;
        }
        if change.reason == Reason::Disputed && cx.now.since(change.since) < GIVE_UP_ON_SILENT {
            return;
        }
        let Some(candidate) = change.best(cx, service, primary.as_ref()) else { return };
        if change.candidate.as_ref() != Some(&candidate) {
            change.candidate = Some(candidate.clone());
            change.asked = None;
            self.ask(cx, service, out);
            return;
        }
        if change.is_safe(cx, service, &candidate, primary.as_ref()) {
            spdlog::info!("candidate chosen", kv: {service = service.as_str(), candidate = candidate.as_str(), after_ms = cx.now.since(change.since).0});
            change.step = Step::Logging;
            out.push(Action::LogBegin { service: service.clone(), target: candidate });
        }
    }

    /// Asks all targets of the service for their status; replicas other than the
    /// candidate are paused.
    fn ask(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else { return };
        if change.asked.is_some_and(|at| cx.now.since(at) < ASK_INTERVAL) {
            return;
        }
        change.asked = Some(cx.now);
        let term = change.statuses.values().map(|status| status.term).max().unwrap_or_default();
        for target in cx.registry.of(service) {
            let is_candidate = change.candidate.as_ref() == Some(&target.id);
            let is_primary = self.primary.as_ref() == Some(&target.id);
            let pauses = change.candidate.is_some() && !change.was_called();
            // A paused candidate would lack what the primary goes on to acknowledge.
            let command = if is_candidate && change.paused.contains_key(&target.id) {
                TargetCommand::Resume
            } else if pauses && !is_candidate && !is_primary {
                TargetCommand::Pause(term + 1)
            } else {
                TargetCommand::Status
            };
            out.push(Action::Ask { service: service.clone(), target: target.id.clone(), command });
        }
    }

    fn call(&mut self, cx: &Cx<'_>, service: &Service, calls: &mut u64, out: &mut Vec<Action>) {
        let Some(change) = &mut self.change else { return };
        let Some(target) = change.candidate.clone() else { return };
        *calls += 1;
        let token = (cx.term << CALL_BITS) | *calls;
        change.step = Step::Calling { sent: cx.now, token };
        change.statuses.clear();
        out.push(Action::Call { service: service.clone(), target, token });
    }

    fn has_taken_effect(&self, cx: &Cx<'_>) -> bool {
        let Some(change) = &self.change else { return false };
        let Some(candidate) = &change.candidate else { return false };
        let says_so = |status: &TargetStatus| status.role == TargetRole::Primary;
        change.statuses.get(candidate).is_some_and(says_so)
            || (self.primary.as_ref() == Some(candidate)
                && change.reason != Reason::Unfinished
                && cx.registry.get(candidate).is_some_and(|it| it.role == TargetRole::Primary))
    }

    fn finish(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        let Some(change) = self.change.take() else { return };
        let Some(candidate) = change.candidate else { return };
        spdlog::info!("change of a primary ends", kv: {service = service.as_str(), primary = candidate.as_str(), took_ms = cx.now.since(change.since).0});
        for target in change.paused.keys().filter(|id| **id != candidate) {
            let (service, target) = (service.clone(), target.clone());
            out.push(Action::Ask { service, target, command: TargetCommand::Resume });
        }
        self.primary = Some(candidate);
        self.ended = Some(cx.now);
        out.push(Action::LogEnd { service: service.clone() });
        out.push(Action::ViewChanged);
    }

    /// Begins anew when nothing was decided for long, for example because the
    /// candidate was lost as well. Calls for a candidate that answers are repeated
    /// instead. Paused replicas are resumed if no call is under way.
    fn restart_if_stuck(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        let Some(change) = &self.change else { return };
        let called = change.was_called();
        let waits_since = if called { change.heard } else { change.since };
        let is_gone = |id: &InstanceId| cx.registry.get(id).is_none();
        let is_lost = called && change.candidate.as_ref().is_some_and(is_gone);
        if cx.now.since(waits_since) < RESTART_AFTER && !is_lost {
            return;
        }
        spdlog::warn!("change of a primary begins again", kv: {service = service.as_str(), step = format!("{:?}", change.step).as_str()});
        if change.step == Step::Choosing {
            for target in change.paused.keys() {
                let (service, target) = (service.clone(), target.clone());
                out.push(Action::Ask { service, target, command: TargetCommand::Resume });
            }
        }
        let stuck = self.change.take().filter(|_| called);
        self.ended = Some(cx.now);
        // Replicas that were paused for the call still are.
        self.change = stuck.map(|stuck| Change {
            paused: stuck.paused,
            ..Change::new(cx.now, Reason::Unfinished)
        });
        out.push(Action::ViewChanged);
    }
}
