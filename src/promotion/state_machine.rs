//! State machine that promotes a replica, driven by the control leader.
//!
//! A run commits its term, fences a majority of the instances at that term, waits
//! until the owner of the old primary has stopped, promotes one instance and commits
//! the new primary. Any majority of fenced instances overlaps with the majority that
//! acknowledged a write, so the most advanced fenced instance holds every
//! acknowledged write. A failover chooses the old primary only if no other instance
//! is known to hold these writes: a primary that is partitioned from its replicas
//! has the longest log and would be chosen again and again.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::Millis,
    ids::{InstanceId, Mark, Service, Term},
    promotion::detector::{is_drained, majority},
    settings::promotion::PromotionSettings,
    state::model::ClusterView,
    wire::control::FenceResponse,
};

/// Parameters of a promotion, taken from the cluster view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    pub service: Service,
    /// Announced instances of the group.
    pub instances: Vec<InstanceId>,
    /// Number of instances that must be fenced.
    pub majority: usize,
    /// Largest term that the control log contains for the group.
    pub last_used_term: Term,
    pub old_primary: Option<InstanceId>,
    /// Instance that should become primary in a planned change.
    pub preferred: Option<InstanceId>,
    /// Instances that are drained or leaving, and the old primary of a planned
    /// change. They are chosen only if no other instance is up to date.
    pub avoided: BTreeSet<InstanceId>,
    pub reason: String,
}

impl Plan {
    /// Plan for a service of the view; `None` if the service has no group. The plan
    /// resumes an unfinished promotion. That promotion's term counts as used, because
    /// the earlier leader may have promoted an instance at it.
    pub fn from_view(
        view: &ClusterView,
        service: &Service,
        preferred: Option<InstanceId>,
        reason: impl Into<String>,
    ) -> Option<Self> {
        let group = view.groups.get(service)?;
        let started = group.promotion.as_ref();
        let preferred = preferred.or_else(|| started.and_then(|p| p.preferred.clone()));
        let instances: Vec<_> = view
            .instances
            .values()
            .filter(|instance| instance.spec.service == *service)
            .map(|instance| instance.spec.id.clone())
            .collect();
        let drained = instances.iter().filter(|id| is_drained(view, id));
        let replaced = group.primary.iter().filter(|_| preferred.is_some());
        Some(Self {
            service: service.clone(),
            avoided: drained.chain(replaced).cloned().collect(),
            instances,
            majority: majority(service, view),
            last_used_term: started.map_or(group.term, |promotion| promotion.term.max(group.term)),
            old_primary: group.primary.clone(),
            preferred,
            reason: reason.into(),
        })
    }
}

/// Input of a [`PromotionRun`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Periodic check of timeouts.
    Tick,
    /// `PromotionStarted` with this term is committed.
    StartCommitted { term: Term },
    /// Response to `POST /fence`, accepted or not.
    FenceResponse { instance: InstanceId, term: Term, response: FenceResponse },
    /// Each host that holds connections to the old primary (its owner and its
    /// previous owner) has acknowledged the revision of the committed start, or
    /// its lease has expired.
    OwnerStopped { term: Term },
    /// Response to `POST /promote`, accepted or not.
    PromoteResponse { instance: InstanceId, term: Term, response: FenceResponse },
    /// `PromotionFinished` with this term is committed.
    FinishCommitted { term: Term },
}

/// Output of a [`PromotionRun`]. Actions may be repeated, so they must be idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Propose `PromotionStarted`.
    ProposeStart { service: Service, term: Term, preferred: Option<InstanceId>, reason: String },
    /// Send `POST /fence`.
    Fence { instance: InstanceId, term: Term },
    /// Send `POST /promote`.
    Promote { instance: InstanceId, term: Term },
    /// Propose `PromotionFinished`.
    ProposeFinish { service: Service, term: Term, primary: InstanceId },
}

/// Progress of a [`PromotionRun`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Waits for the start to be committed.
    Starting,
    /// Fences instances and waits for the old primary's owner to stop.
    Fencing,
    /// Promotes the chosen instance.
    Promoting(InstanceId),
    /// Waits for the new primary to be committed.
    Finishing(InstanceId),
    Finished(InstanceId),
}

/// One promotion, from the decision to the committed new primary.
#[derive(Debug)]
pub struct PromotionRun {
    settings: PromotionSettings,
    plan: Plan,
    term: Term,
    step: Step,
    /// Fenced instances with the last position in their logs.
    fenced: BTreeMap<InstanceId, Mark>,
    owner_stopped: bool,
    step_started_at: Millis,
    majority_fenced_at: Option<Millis>,
    last_sent_at: Millis,
}

impl PromotionRun {
    /// Starts a promotion with the first unused term.
    pub fn start(now: Millis, plan: Plan, settings: PromotionSettings) -> (Self, Vec<Action>) {
        let mut run = Self {
            settings,
            term: plan.last_used_term,
            owner_stopped: plan.old_primary.is_none(),
            plan,
            step: Step::Starting,
            fenced: BTreeMap::new(),
            step_started_at: now,
            majority_fenced_at: None,
            last_sent_at: now,
        };
        let actions = run.restart(now, run.term);
        (run, actions)
    }

    pub fn service(&self) -> &Service {
        &self.plan.service
    }

    /// Term of the current attempt.
    pub fn term(&self) -> Term {
        self.term
    }

    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Processes an event; events of other terms are ignored.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::StartCommitted { term } if term == self.term && self.step == Step::Starting => {
                self.enter_step(now, Step::Fencing)
            }
            Event::FenceResponse { instance, term, response } if term == self.term => {
                self.on_fence_response(now, instance, &response)
            }
            Event::OwnerStopped { term } if term == self.term => {
                self.owner_stopped = true;
                self.promote_if_ready(now)
            }
            Event::PromoteResponse { instance, term, response } if term == self.term => {
                self.on_promote_response(now, &instance, &response)
            }
            Event::FinishCommitted { term } if term == self.term => match &self.step {
                Step::Finishing(primary) => {
                    self.step = Step::Finished(primary.clone());
                    Vec::new()
                }
                _ => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    fn enter_step(&mut self, now: Millis, step: Step) -> Vec<Action> {
        self.step = step;
        self.step_started_at = now;
        self.send_pending(now)
    }

    /// Starts over with the term after `used`.
    fn restart(&mut self, now: Millis, used: Term) -> Vec<Action> {
        self.term = used.next();
        self.fenced.clear();
        self.majority_fenced_at = None;
        self.enter_step(now, Step::Starting)
    }

    fn tick(&mut self, now: Millis) -> Vec<Action> {
        let timed_out = now.since(self.step_started_at) >= self.settings.promote_timeout;
        if timed_out && matches!(self.step, Step::Promoting(_)) {
            // The chosen instance may have become the primary of this term although no
            // response arrived, so no other instance may be promoted at this term.
            return self.restart(now, self.term);
        }
        let mut actions = self.promote_if_ready(now);
        if actions.is_empty() && now.since(self.last_sent_at) >= self.settings.retry_interval {
            actions = self.send_pending(now);
        }
        actions
    }

    fn on_fence_response(
        &mut self,
        now: Millis,
        instance: InstanceId,
        response: &FenceResponse,
    ) -> Vec<Action> {
        if self.step != Step::Fencing || !self.plan.instances.contains(&instance) {
            return Vec::new();
        }
        if response.term > self.term {
            return self.restart(now, response.term);
        }
        if !response.accepted || response.term != self.term {
            return Vec::new();
        }
        // A fenced primary commits no further writes, whatever its owner does.
        self.owner_stopped |= self.plan.old_primary.as_ref() == Some(&instance);
        self.fenced.insert(instance, response.last);
        if self.has_fenced_majority() {
            self.majority_fenced_at.get_or_insert(now);
        }
        self.promote_if_ready(now)
    }

    fn on_promote_response(
        &mut self,
        now: Millis,
        instance: &InstanceId,
        response: &FenceResponse,
    ) -> Vec<Action> {
        if !matches!(&self.step, Step::Promoting(chosen) if chosen == instance) {
            return Vec::new();
        }
        if response.term > self.term {
            return self.restart(now, response.term);
        }
        if !response.accepted || response.term != self.term {
            return Vec::new();
        }
        self.enter_step(now, Step::Finishing(instance.clone()))
    }

    fn has_fenced_majority(&self) -> bool {
        self.fenced.len() >= self.plan.majority
    }

    fn promote_if_ready(&mut self, now: Millis) -> Vec<Action> {
        if self.step != Step::Fencing || !self.owner_stopped {
            return Vec::new();
        }
        match self.select_candidate(now) {
            Some(chosen) => self.enter_step(now, Step::Promoting(chosen)),
            None => Vec::new(),
        }
    }

    /// Instance to promote; `None` while further fence responses are awaited.
    fn select_candidate(&self, now: Millis) -> Option<InstanceId> {
        let majority_fenced_at = self.majority_fenced_at?;
        let (candidate, wait) = match &self.plan.preferred {
            Some(preferred) => (Some(preferred.clone()), self.settings.preferred_wait),
            None => (self.successor(), self.settings.successor_wait),
        };
        if let Some(candidate) = candidate.filter(|id| self.is_up_to_date(id)) {
            return Some(candidate);
        }
        let all_fenced = self.fenced.len() == self.plan.instances.len();
        if !all_fenced && now.since(majority_fenced_at) < wait {
            return None;
        }
        let best = self.fenced.iter().max_by_key(|(id, last)| {
            let eligible = self.is_up_to_date(id) && !self.plan.avoided.contains(*id);
            (eligible, **last, *id)
        });
        best.map(|(id, _)| id.clone())
    }

    /// Most advanced fenced instance that is neither the old primary nor avoided.
    fn successor(&self) -> Option<InstanceId> {
        let old = self.plan.old_primary.as_ref();
        let others = self.fenced.iter().filter(|(id, _)| Some(*id) != old);
        most_advanced(others.filter(|(id, _)| !self.plan.avoided.contains(*id)))
    }

    /// Whether the instance is at least as advanced as each member of some fenced
    /// majority, so that it holds every acknowledged write.
    fn is_up_to_date(&self, instance: &InstanceId) -> bool {
        let Some(own) = self.fenced.get(instance) else { return false };
        self.fenced.values().filter(|last| *last <= own).count() >= self.plan.majority
    }

    /// Requests of the current step that have not been answered yet.
    fn send_pending(&mut self, now: Millis) -> Vec<Action> {
        self.last_sent_at = now;
        let (service, term) = (self.plan.service.clone(), self.term);
        match &self.step {
            Step::Starting => vec![Action::ProposeStart {
                service,
                term,
                preferred: self.plan.preferred.clone(),
                reason: self.plan.reason.clone(),
            }],
            Step::Fencing => {
                let unfenced = self.plan.instances.iter();
                let unfenced = unfenced.filter(|id| !self.fenced.contains_key(*id));
                unfenced.map(|id| Action::Fence { instance: id.clone(), term }).collect()
            }
            Step::Promoting(chosen) => vec![Action::Promote { instance: chosen.clone(), term }],
            Step::Finishing(primary) => {
                vec![Action::ProposeFinish { service, term, primary: primary.clone() }]
            }
            Step::Finished(_) => Vec::new(),
        }
    }
}

/// Instance with the largest position; ties are broken by the larger name.
fn most_advanced<'a>(
    fenced: impl Iterator<Item = (&'a InstanceId, &'a Mark)>,
) -> Option<InstanceId> {
    fenced.max_by_key(|(id, last)| (**last, *id)).map(|(id, _)| id.clone())
}
