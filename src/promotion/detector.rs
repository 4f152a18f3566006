//! Detection of failed primaries by a majority of observers.
//!
//! A replica is suspicious when it has not heard from its primary for a while; the
//! primary itself counts as suspicious when its owner gets no response from it. A slow
//! primary still answers replication requests, so slowness alone raises no suspicion.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    ids::{InstanceId, Mark, Service, Term},
    settings::promotion::PromotionSettings,
    state::model::{ClusterView, Drain, Group, Role},
    wire::control::Observation,
};

/// Failure detector of the control leader, over all target groups.
#[derive(Debug, Default)]
pub struct FailureDetector {
    settings: PromotionSettings,
    /// Latest observation of each instance.
    observations: BTreeMap<InstanceId, Observed>,
    terms: BTreeMap<Service, ObservedTerm>,
}

#[derive(Debug)]
struct Observed {
    observed_at: Millis,
    service: Service,
    role: Role,
    position: Mark,
    silent: Millis,
}

/// Current term of a group and when the detector first saw it.
#[derive(Debug)]
struct ObservedTerm {
    term: Term,
    changed_at: Millis,
    /// The first term that the detector sees needs no settling time.
    is_first: bool,
}

impl FailureDetector {
    /// Creates a detector without observations.
    pub fn new(settings: PromotionSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Stores an observation in place of the earlier one of the same instance.
    pub fn observe(&mut self, now: Millis, observation: &Observation) {
        let observed = Observed {
            observed_at: now,
            service: observation.service.clone(),
            role: observation.role,
            position: observation.position,
            silent: Millis(observation.silent_ms),
        };
        self.observations.insert(observation.instance.clone(), observed);
    }

    /// Services without a running promotion whose primary is suspected by a majority
    /// of their instances.
    pub fn suspects(&mut self, now: Millis, view: &ClusterView) -> Vec<Service> {
        self.track_terms(now, view);
        let expiry = self.settings.observation_expiry;
        self.observations.retain(|_, observed| now.since(observed.observed_at) < expiry);
        let stable = view.groups.iter().filter(|(_, group)| group.promotion.is_none());
        stable
            .filter(|(service, group)| {
                group.primary.is_some()
                    && self.has_settled(now, service)
                    && self.suspicion_count(service, group, view) >= majority(service, view)
            })
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Groups whose primary is drained or leaving, each with the instance to promote:
    /// the one with the largest observed position.
    pub fn planned_promotions(
        &mut self,
        now: Millis,
        view: &ClusterView,
    ) -> Vec<(Service, InstanceId)> {
        self.track_terms(now, view);
        let candidates = view.groups.iter().filter(|(service, group)| {
            group.promotion.is_none()
                && group.primary.as_ref().is_some_and(|primary| is_drained(view, primary))
                && self.planned_promotion_due(now, service)
        });
        candidates
            .filter_map(|(service, group)| {
                Some((service.clone(), self.successor(service, group, view)?))
            })
            .collect()
    }

    fn track_terms(&mut self, now: Millis, view: &ClusterView) {
        for (service, group) in &view.groups {
            match self.terms.get_mut(service) {
                Some(observed) if observed.term == group.term => {}
                Some(observed) => {
                    *observed = ObservedTerm { term: group.term, changed_at: now, is_first: false }
                }
                None => {
                    let observed =
                        ObservedTerm { term: group.term, changed_at: now, is_first: true };
                    self.terms.insert(service.clone(), observed);
                    continue;
                }
            }
        }
        self.terms.retain(|service, _| view.groups.contains_key(service));
    }

    fn has_settled(&self, now: Millis, service: &Service) -> bool {
        self.terms.get(service).is_some_and(|term| {
            term.is_first || now.since(term.changed_at) >= self.settings.grace_period
        })
    }

    fn planned_promotion_due(&self, now: Millis, service: &Service) -> bool {
        self.terms.get(service).is_some_and(|term| {
            term.is_first || now.since(term.changed_at) >= self.settings.min_planned_interval
        })
    }

    fn suspicion_count(&self, service: &Service, group: &Group, view: &ClusterView) -> usize {
        // The silence of a replaced primary says nothing about its successor.
        let concerns_primary = |id: &InstanceId, observed: &Observed| {
            observed.role == Role::Replica || group.primary.as_ref() == Some(id)
        };
        let suspicious = self.observations.iter().filter(|(id, observed)| {
            observed.service == *service
                && observed.silent >= self.settings.suspicion_timeout
                && concerns_primary(id, observed)
                && view.instances.get(*id).is_some_and(|instance| instance.spec.service == *service)
        });
        suspicious.count()
    }

    fn successor(
        &self,
        service: &Service,
        group: &Group,
        view: &ClusterView,
    ) -> Option<InstanceId> {
        let instances = view.instances.iter().filter(|(id, instance)| {
            instance.spec.service == *service
                && group.primary.as_ref() != Some(*id)
                && !is_drained(view, id)
        });
        let position =
            |id: &InstanceId| self.observations.get(id).map(|observed| observed.position);
        instances.max_by_key(|(id, _)| (position(id), *id)).map(|(id, _)| id.clone())
    }
}

/// Number of instances of `service` that form a majority.
///
/// The configured number counts, not the announced one: instances that are not
/// announced may hold acknowledged writes. For a service that is not configured, the
/// announced instances count.
pub fn majority(service: &Service, view: &ClusterView) -> usize {
    let announced = || view.instances.values().filter(|i| i.spec.service == *service).count();
    let configured = view.desired.services.get(service).map(|spec| spec.instances as usize);
    configured.unwrap_or_else(announced) / 2 + 1
}

/// Whether the instance is drained by the operator or leaving.
pub fn is_drained(view: &ClusterView, id: &InstanceId) -> bool {
    let leaving = view.instances.get(id).is_some_and(|instance| instance.spec.leaving);
    leaving || view.desired.drains.contains(&Drain::Instance(id.clone()))
}
