//! Promotions that the leader runs, and the conditions that they wait for.

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

/// Time after which the first observed primary of a group is proposed again.
const OBSERVATION_RETRY: Millis = Millis(1_000);

/// Failure detector and running promotions of a leader.
#[derive(Debug)]
pub struct Promotions {
    settings: PromotionSettings,
    detector: FailureDetector,
    runs: BTreeMap<Service, PromotionRun>,
    /// Term and revision at which the start of each promotion was committed.
    start_revisions: BTreeMap<Service, (Term, Revision)>,
    observation_proposed_at: BTreeMap<Service, Millis>,
}

impl Promotions {
    pub fn new(settings: PromotionSettings) -> Self {
        Self {
            detector: FailureDetector::new(settings),
            settings,
            runs: BTreeMap::new(),
            start_revisions: BTreeMap::new(),
            observation_proposed_at: BTreeMap::new(),
        }
    }

    /// Processes an observation; returns a command if it shows the first primary of a
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
        let has_no_primary = group.is_none_or(|it| it.primary.is_none() && it.promotion.is_none());
        let recently_proposed = self
            .observation_proposed_at
            .get(service)
            .is_some_and(|at| now.since(*at) < OBSERVATION_RETRY);
        if *role != Role::Primary
            || !has_no_primary
            || recently_proposed
            || !view.instances.contains_key(instance)
        {
            return None;
        }
        self.observation_proposed_at.insert(service.clone(), now);
        Some(Command::PrimaryObserved {
            service: service.clone(),
            term: position.term,
            primary: instance.clone(),
        })
    }

    /// Starts and advances promotions.
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
            let owner_stopped = run.step() == &Step::Fencing
                && old_owner_has_stopped(
                    now,
                    run,
                    self.start_revisions.get(run.service()),
                    view,
                    leases,
                );
            if owner_stopped {
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

    /// Passes an event to the running promotion of `service`.
    pub fn handle_event(&mut self, now: Millis, service: &Service, event: Event) -> Vec<Action> {
        self.runs.get_mut(service).map_or_else(Vec::new, |run| run.handle(now, event))
    }

    /// Processes a committed command; `view` already includes its changes.
    pub fn committed(&mut self, now: Millis, command: &Command, view: &ClusterView) -> Vec<Action> {
        match command {
            Command::PromotionStarted { service, term, .. } => {
                let group = view.groups.get(service);
                let running = group.and_then(|group| group.promotion.as_ref());
                if running.is_none_or(|promotion| promotion.term != *term) {
                    return Vec::new();
                }
                self.start_revisions.insert(service.clone(), (*term, view.revision));
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

/// Whether every host that may hold connections to the old primary has acknowledged the
/// start of the promotion or holds no lease.
fn old_owner_has_stopped(
    now: Millis,
    run: &PromotionRun,
    start_revision: Option<&(Term, Revision)>,
    view: &ClusterView,
    leases: &LeaseTable,
) -> bool {
    let Some((_, revision)) = start_revision.filter(|(term, _)| *term == run.term()) else {
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
