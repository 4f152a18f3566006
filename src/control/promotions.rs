//! Promotions that the leader runs, and what they wait for.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    control::leases::LeaseTable,
    ids::{InstanceId, Revision, Service, Term},
    promotion::{
        detector::FailureDetector,
        state_machine::{Action, Event, Plan, PromotionRun, Step},
    },
    settings::promotion::PromotionSettings,
    state::model::{ClusterView, Command, Role},
    wire::control::Observation,
};

/// Time after which the observation of a first primary is proposed again.
const REPEAT_OBSERVED: Millis = Millis(1_000);

/// Failure detector and running promotions of a leader.
#[derive(Debug)]
pub struct Promotions {
    settings: PromotionSettings,
    detector: FailureDetector,
    runs: BTreeMap<Service, PromotionRun>,
    /// Revision at which the start of a term was committed.
    started: BTreeMap<Service, (Term, Revision)>,
    observed: BTreeMap<Service, Millis>,
}

impl Promotions {
    /// No promotions yet.
    pub fn new(settings: PromotionSettings) -> Self {
        Self {
            detector: FailureDetector::new(settings),
            settings,
            runs: BTreeMap::new(),
            started: BTreeMap::new(),
            observed: BTreeMap::new(),
        }
    }

    /// Takes an observation; returns a command if it shows the first primary of a
    /// group.
    pub fn observe(
        &mut self,
        now: Millis,
        observation: &Observation,
        view: &ClusterView,
    ) -> Option<Command> {
        self.detector.observe(now, observation);
        let Observation { service, instance, role, position, .. } = observation;
        let group = view.groups.get(service);
        let vacant = group.is_none_or(|it| it.primary.is_none() && it.promotion.is_none());
        let recent = self.observed.get(service).is_some_and(|at| now.since(*at) < REPEAT_OBSERVED);
        if *role != Role::Primary || !vacant || recent || !view.instances.contains_key(instance) {
            return None;
        }
        self.observed.insert(service.clone(), now);
        Some(Command::PrimaryObserved {
            service: service.clone(),
            term: position.term,
            primary: instance.clone(),
        })
    }

    /// Starts and continues promotions.
    pub fn tick(&mut self, now: Millis, view: &ClusterView, leases: &LeaseTable) -> Vec<Action> {
        let mut actions = Vec::new();
        for service in self.detector.suspects(now, view) {
            let reason = "a majority does not hear the primary";
            actions.extend(self.start(now, view, &service, None, reason));
        }
        for (service, successor) in self.detector.planned_promotions(now, view) {
            let reason = "the primary is drained";
            actions.extend(self.start(now, view, &service, Some(successor), reason));
        }
        let unfinished = view.groups.iter().filter(|(_, group)| group.promotion.is_some());
        for (service, _) in unfinished {
            actions.extend(self.start(now, view, service, None, "resumed by a new leader"));
        }
        for run in self.runs.values_mut() {
            let stopped = run.step() == &Step::Fencing
                && has_stopped(now, run, self.started.get(run.service()), view, leases);
            if stopped {
                let term = run.term();
                actions.extend(run.handle(now, Event::OwnerStopped { term }));
            }
            actions.extend(run.handle(now, Event::Tick));
        }
        actions
    }

    fn start(
        &mut self,
        now: Millis,
        view: &ClusterView,
        service: &Service,
        preferred: Option<InstanceId>,
        reason: &str,
    ) -> Vec<Action> {
        if self.runs.contains_key(service) {
            return Vec::new();
        }
        let Some(plan) = Plan::from_view(view, service, preferred, reason) else {
            return Vec::new();
        };
        let (run, actions) = PromotionRun::start(now, plan, self.settings);
        self.runs.insert(service.clone(), run);
        actions
    }

    /// Takes the answer of an instance.
    pub fn handle_event(&mut self, now: Millis, service: &Service, event: Event) -> Vec<Action> {
        self.runs.get_mut(service).map_or_else(Vec::new, |run| run.handle(now, event))
    }

    /// Follows a committed command; `view` is the view after it.
    pub fn committed(&mut self, now: Millis, command: &Command, view: &ClusterView) -> Vec<Action> {
        match command {
            Command::PromotionStarted { service, term, .. } => {
                let group = view.groups.get(service);
                let running = group.and_then(|group| group.promotion.as_ref());
                if running.is_none_or(|promotion| promotion.term != *term) {
                    return Vec::new();
                }
                self.started.insert(service.clone(), (*term, view.revision));
                self.handle_event(now, service, Event::StartCommitted { term: *term })
            }
            Command::PromotionFinished { service, term, .. } => {
                let actions =
                    self.handle_event(now, service, Event::FinishCommitted { term: *term });
                self.runs.retain(|_, run| !matches!(run.step(), Step::Finished(_)));
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Number of running promotions.
    pub fn running(&self) -> usize {
        self.runs.len()
    }
}

/// Whether every host that may hold connections to the old primary knows of the
/// started promotion or has no lease.
fn has_stopped(
    now: Millis,
    run: &PromotionRun,
    started: Option<&(Term, Revision)>,
    view: &ClusterView,
    leases: &LeaseTable,
) -> bool {
    let Some((_, revision)) = started.filter(|(term, _)| *term == run.term()) else {
        return false;
    };
    let primary = view.groups.get(run.service()).and_then(|group| group.primary.as_ref());
    let Some(instance) = primary.and_then(|primary| view.instances.get(primary)) else {
        return true;
    };
    let mut assignments = instance.owner.iter().chain(&instance.previous);
    assignments
        .all(|it| leases.is_acknowledged_or_expired(now, &it.host, it.incarnation, *revision))
}
