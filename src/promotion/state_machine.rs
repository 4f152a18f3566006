//! Promotion of a replica as an event and action machine of the control leader.
//!
//! A run logs its term, fences a majority at that term, waits until the owner of
//! the old primary has stopped, promotes and logs the end. Any majority of fenced
//! instances shares an instance with the majority that held an acknowledged write,
//! so the most advanced of them holds every acknowledged write. A failover chooses
//! the old primary only if no other instance is known to hold them: a primary that is
//! cut off from its replicas has the longest log and would be chosen again and again.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::Millis,
    ids::{InstanceId, Mark, Service, Term},
    promotion::detector::{is_drained, majority},
    settings::promotion::PromotionSettings,
    state::model::ClusterView,
    wire::control::FenceResponse,
};

/// What a promotion needs to know of its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    pub service: Service,
    /// Announced instances of the group.
    pub instances: Vec<InstanceId>,
    /// Number of instances that must be fenced.
    pub majority: usize,
    /// Largest term that the log has used for the group.
    pub term: Term,
    pub old_primary: Option<InstanceId>,
    /// Instance that a planned change prefers.
    pub preferred: Option<InstanceId>,
    /// Instances that are drained or leaving, and the old primary of a planned
    /// change. They are chosen only if no other instance is safe.
    pub avoided: BTreeSet<InstanceId>,
    pub reason: String,
}

impl Plan {
    /// Plan for a service of the view. A started promotion in the view is resumed:
    /// its term counts as used, because its leader may have promoted under it.
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
            term: started.map_or(group.term, |promotion| promotion.term.max(group.term)),
            old_primary: group.primary.clone(),
            preferred,
            reason: reason.into(),
        })
    }
}

/// Input of a [`PromotionRun`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// `PromotionStarted` with this term is committed.
    StartCommitted { term: Term },
    /// Answer to a fence request for `term`.
    FenceResponse { instance: InstanceId, term: Term, response: FenceResponse },
    /// Each host that holds connections to the old primary (its owner and its
    /// previous owner) has acknowledged the revision of the committed start, or
    /// its lease has ended.
    OwnerStopped { term: Term },
    /// Answer to a promote request for `term`.
    PromoteResponse { instance: InstanceId, term: Term, response: FenceResponse },
    /// `PromotionFinished` with this term is committed.
    FinishCommitted { term: Term },
}

/// Output of a [`PromotionRun`]. Each action may be repeated.
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

/// Step that a run is in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The start is proposed.
    Starting,
    /// Instances are being fenced, or the old primary's owner has not stopped.
    Fencing,
    /// The chosen instance is being promoted.
    Promoting(InstanceId),
    /// The end is proposed.
    Finishing(InstanceId),
    Finished(InstanceId),
}

/// One promotion, from the decision to the logged end.
#[derive(Debug)]
pub struct PromotionRun {
    settings: PromotionSettings,
    plan: Plan,
    term: Term,
    step: Step,
    fenced: BTreeMap<InstanceId, Mark>,
    owner_stopped: bool,
    /// When the current step began.
    entered_at: Millis,
    majority_at: Option<Millis>,
    sent_at: Millis,
}

impl PromotionRun {
    /// Starts a promotion with the first unused term.
    pub fn start(now: Millis, plan: Plan, settings: PromotionSettings) -> (Self, Vec<Action>) {
        let mut run = Self {
            settings,
            term: plan.term,
            owner_stopped: plan.old_primary.is_none(),
            plan,
            step: Step::Starting,
            fenced: BTreeMap::new(),
            entered_at: now,
            majority_at: None,
            sent_at: now,
        };
        let actions = run.restart(now, run.term);
        (run, actions)
    }

    /// Service of the group.
    pub fn service(&self) -> &Service {
        &self.plan.service
    }

    /// Term of the current attempt.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Step of the current attempt.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Takes an event; events of earlier terms are ignored.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::StartCommitted { term } if term == self.term && self.step == Step::Starting => {
                self.enter(now, Step::Fencing)
            }
            Event::FenceResponse { instance, term, response } if term == self.term => {
                self.fenced(now, instance, &response)
            }
            Event::OwnerStopped { term } if term == self.term => {
                self.owner_stopped = true;
                self.promote_if_ready(now)
            }
            Event::PromoteResponse { instance, term, response } if term == self.term => {
                self.promoted(now, &instance, &response)
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

    fn enter(&mut self, now: Millis, step: Step) -> Vec<Action> {
        self.step = step;
        self.entered_at = now;
        self.send(now)
    }

    /// Begins again with a term larger than `used`.
    fn restart(&mut self, now: Millis, used: Term) -> Vec<Action> {
        self.term = used.next();
        self.fenced.clear();
        self.majority_at = None;
        self.enter(now, Step::Starting)
    }

    fn tick(&mut self, now: Millis) -> Vec<Action> {
        let late = now.since(self.entered_at) >= self.settings.promote_timeout;
        if late && matches!(self.step, Step::Promoting(_)) {
            // The chosen instance may be the primary of this term without having
            // answered, so no other instance can be promoted under it.
            return self.restart(now, self.term);
        }
        let mut actions = self.promote_if_ready(now);
        if actions.is_empty() && now.since(self.sent_at) >= self.settings.retry {
            actions = self.send(now);
        }
        actions
    }

    fn fenced(
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
        // A fenced primary commits nothing more, whatever its owner does.
        self.owner_stopped |= self.plan.old_primary.as_ref() == Some(&instance);
        self.fenced.insert(instance, response.last);
        if self.has_majority() {
            self.majority_at.get_or_insert(now);
        }
        self.promote_if_ready(now)
    }

    fn promoted(
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
        self.enter(now, Step::Finishing(instance.clone()))
    }

    fn has_majority(&self) -> bool {
        self.fenced.len() >= self.plan.majority
    }

    fn promote_if_ready(&mut self, now: Millis) -> Vec<Action> {
        if self.step != Step::Fencing || !self.owner_stopped {
            return Vec::new();
        }
        match self.choice(now) {
            Some(chosen) => self.enter(now, Step::Promoting(chosen)),
            None => Vec::new(),
        }
    }

    /// Instance to promote, or `None` while the run must wait.
    fn choice(&self, now: Millis) -> Option<InstanceId> {
        let majority_at = self.majority_at?;
        let (wanted, wait) = match &self.plan.preferred {
            Some(preferred) => (Some(preferred.clone()), self.settings.preferred_wait),
            None => (self.successor(), self.settings.successor_wait),
        };
        if let Some(wanted) = wanted.filter(|wanted| self.is_safe(wanted)) {
            return Some(wanted);
        }
        let all = self.fenced.len() == self.plan.instances.len();
        if !all && now.since(majority_at) < wait {
            return None;
        }
        let best = self.fenced.iter().max_by_key(|(id, last)| {
            let wanted = self.is_safe(id) && !self.plan.avoided.contains(*id);
            (wanted, **last, *id)
        });
        best.map(|(id, _)| id.clone())
    }

    /// Most advanced fenced instance that is neither the old primary nor avoided.
    fn successor(&self) -> Option<InstanceId> {
        let old = self.plan.old_primary.as_ref();
        let others = self.fenced.iter().filter(|(id, _)| Some(*id) != old);
        most_advanced(others.filter(|(id, _)| !self.plan.avoided.contains(*id)))
    }

    /// Whether the instance is as advanced as every member of some fenced majority.
    fn is_safe(&self, instance: &InstanceId) -> bool {
        let Some(own) = self.fenced.get(instance) else { return false };
        self.fenced.values().filter(|last| *last <= own).count() >= self.plan.majority
    }

    /// Requests of the current step that have no answer yet.
    fn send(&mut self, now: Millis) -> Vec<Action> {
        self.sent_at = now;
        let (service, term) = (self.plan.service.clone(), self.term);
        match &self.step {
            Step::Starting => vec![Action::ProposeStart {
                service,
                term,
                preferred: self.plan.preferred.clone(),
                reason: self.plan.reason.clone(),
            }],
            Step::Fencing => {
                let missing = self.plan.instances.iter();
                let missing = missing.filter(|id| !self.fenced.contains_key(*id));
                missing.map(|id| Action::Fence { instance: id.clone(), term }).collect()
            }
            Step::Promoting(chosen) => vec![Action::Promote { instance: chosen.clone(), term }],
            Step::Finishing(primary) => {
                vec![Action::ProposeFinish { service, term, primary: primary.clone() }]
            }
            Step::Finished(_) => Vec::new(),
        }
    }
}

/// Instance with the largest position; the larger name decides between equal ones.
fn most_advanced<'a>(
    fenced: impl Iterator<Item = (&'a InstanceId, &'a Mark)>,
) -> Option<InstanceId> {
    fenced.max_by_key(|(id, last)| (**last, *id)).map(|(id, _)| id.clone())
}
