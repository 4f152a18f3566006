//! Detection of failed primaries by several observers.
//!
//! An instance is suspicious when it has not heard from its primary for a while;
//! the primary itself is suspicious when its owner gets no answer from it. A slow
//! primary still answers replication, so slowness alone raises no suspicion.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    ids::{InstanceId, Mark, Service, Term},
    settings::promotion::PromotionSettings,
    state::model::{ClusterView, Drain, Group, Role},
    wire::control::Observation,
};

/// Latest observations of all instances, held by the control leader.
#[derive(Debug, Default)]
pub struct FailureDetector {
    settings: PromotionSettings,
    seen: BTreeMap<InstanceId, Seen>,
    groups: BTreeMap<Service, GroupSeen>,
}

#[derive(Debug)]
struct Seen {
    at: Millis,
    service: Service,
    role: Role,
    position: Mark,
    silent: Millis,
}

/// When the detector first saw the group's current term.
#[derive(Debug)]
struct GroupSeen {
    term: Term,
    changed_at: Millis,
    /// The first term seen needs no time to settle.
    first: bool,
}

impl FailureDetector {
    /// FailureDetector without observations.
    pub fn new(settings: PromotionSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Stores an observation; it replaces the earlier one of the same instance.
    pub fn observe(&mut self, now: Millis, observation: &Observation) {
        let seen = Seen {
            at: now,
            service: observation.service.clone(),
            role: observation.role,
            position: observation.position,
            silent: Millis(observation.silent_ms),
        };
        self.seen.insert(observation.instance.clone(), seen);
    }

    /// Services whose primary is suspected by a majority of their instances and
    /// for which no promotion runs.
    pub fn suspects(&mut self, now: Millis, view: &ClusterView) -> Vec<Service> {
        self.note_terms(now, view);
        let expiry = self.settings.observation_expiry;
        self.seen.retain(|_, seen| now.since(seen.at) < expiry);
        let running = view.groups.iter().filter(|(_, group)| group.promotion.is_none());
        running
            .filter(|(service, group)| {
                group.primary.is_some()
                    && self.has_settled(now, service)
                    && self.suspicious(service, group, view) >= majority(service, view)
            })
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Groups whose primary is drained or leaving, with the instance that should
    /// take over: the one with the largest observed position.
    pub fn planned_promotions(
        &mut self,
        now: Millis,
        view: &ClusterView,
    ) -> Vec<(Service, InstanceId)> {
        self.note_terms(now, view);
        let candidates = view.groups.iter().filter(|(service, group)| {
            group.promotion.is_none()
                && group.primary.as_ref().is_some_and(|primary| is_drained(view, primary))
                && self.planned_is_due(now, service)
        });
        candidates
            .filter_map(|(service, group)| {
                Some((service.clone(), self.successor(service, group, view)?))
            })
            .collect()
    }

    fn note_terms(&mut self, now: Millis, view: &ClusterView) {
        for (service, group) in &view.groups {
            match self.groups.get_mut(service) {
                Some(seen) if seen.term == group.term => {}
                Some(seen) => *seen = GroupSeen { term: group.term, changed_at: now, first: false },
                None => {
                    let seen = GroupSeen { term: group.term, changed_at: now, first: true };
                    self.groups.insert(service.clone(), seen);
                    continue;
                }
            }
        }
        self.groups.retain(|service, _| view.groups.contains_key(service));
    }

    fn has_settled(&self, now: Millis, service: &Service) -> bool {
        self.groups
            .get(service)
            .is_some_and(|group| group.first || now.since(group.changed_at) >= self.settings.settle)
    }

    fn planned_is_due(&self, now: Millis, service: &Service) -> bool {
        self.groups.get(service).is_some_and(|group| {
            group.first || now.since(group.changed_at) >= self.settings.planned_interval
        })
    }

    fn suspicious(&self, service: &Service, group: &Group, view: &ClusterView) -> usize {
        // The silence of a replaced primary says nothing about its successor.
        let concerns_primary = |id: &InstanceId, seen: &Seen| {
            seen.role == Role::Replica || group.primary.as_ref() == Some(id)
        };
        let silent = self.seen.iter().filter(|(id, seen)| {
            seen.service == *service
                && seen.silent >= self.settings.silence
                && concerns_primary(id, seen)
                && view.instances.get(*id).is_some_and(|instance| instance.spec.service == *service)
        });
        silent.count()
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
        let position = |id: &InstanceId| self.seen.get(id).map(|seen| seen.position);
        instances.max_by_key(|(id, _)| (position(id), *id)).map(|(id, _)| id.clone())
    }
}

/// Number of instances of `service` that form a majority.
///
/// The configured number counts, not the announced one: instances that are not
/// announced may hold acknowledged writes. A service that is not configured counts
/// its announced instances.
pub fn majority(service: &Service, view: &ClusterView) -> usize {
    let announced = || view.instances.values().filter(|i| i.spec.service == *service).count();
    let configured = view.desired.services.get(service).map(|spec| spec.instances as usize);
    configured.unwrap_or_else(announced) / 2 + 1
}

/// Whether the instance is drained or leaving.
pub fn is_drained(view: &ClusterView, id: &InstanceId) -> bool {
    let leaving = view.instances.get(id).is_some_and(|instance| instance.spec.leaving);
    leaving || view.desired.drains.contains(&Drain::Instance(id.clone()))
}
