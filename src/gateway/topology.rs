//! What an entry host has learned from control: configuration, targets, primaries.

use std::rc::Rc;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        config::FleetConfig,
        messages::{Announcement, EntryHost, FleetView, TargetRole, ViewRevision},
    },
    gateway::ownership::rank_owners,
    ids::{InstanceId, Service},
};

/// View of the fleet, indexed by service.
#[derive(Debug, Default)]
pub struct Topology {
    pub config: Rc<FleetConfig>,
    pub view: FleetView,
    services: IndexMap<Service, ServiceView>,
    /// Primaries that a target's answer has disproved.
    disproved: IndexMap<Service, (InstanceId, Millis)>,
    /// Primaries that this host has found by asking the targets, newer than the view.
    found: IndexMap<Service, InstanceId>,
    /// Hosts by target in the order in which they own it, computed when first needed.
    ranked: IndexMap<InstanceId, Rc<[EntryHost]>>,
}

/// Targets of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceView {
    pub targets: Vec<Rc<Announcement>>,
    pub primary: Option<Rc<Announcement>>,
    /// Whether the primary is about to change.
    pub changing: bool,
}

/// Time for which an answer that disproves the primary is believed over the view.
const DISPROVED_FOR: Millis = Millis(200);

impl Topology {
    /// Takes over a newer configuration; returns whether it is newer.
    pub fn set_config(&mut self, config: FleetConfig) -> bool {
        let newer = config.version > self.config.version;
        if newer {
            self.config = Rc::new(config);
        }
        newer
    }

    /// Takes over a view. A leader's first views may lack targets that have not yet
    /// announced themselves to it; the host's own report makes them complete.
    pub fn set_view(&mut self, view: FleetView) {
        self.services.clear();
        self.found.clear();
        self.ranked.clear();
        for target in &view.targets {
            let service = self.services.entry(target.service.clone()).or_default();
            service.targets.push(Rc::new(target.clone()));
        }
        for primary in &view.primaries {
            let service = self.services.entry(primary.service.clone()).or_default();
            service.changing = primary.changing;
            let is_primary = |it: &&Rc<Announcement>| Some(&it.id) == primary.id.as_ref();
            service.primary = service.targets.iter().find(is_primary).cloned();
        }
        self.view = view;
    }

    /// Hosts in the order in which they own `target`.
    pub fn ranked(&mut self, target: &Announcement) -> Rc<[EntryHost]> {
        if let Some(ranked) = self.ranked.get(&target.id) {
            return ranked.clone();
        }
        let ranked: Rc<[EntryHost]> =
            rank_owners(target, &self.view.hosts).into_iter().cloned().collect();
        self.ranked.insert(target.id.clone(), ranked.clone());
        ranked
    }

    /// Revision of the view.
    pub fn revision(&self) -> ViewRevision {
        self.view.revision
    }

    /// Targets of `service`.
    pub fn service(&self, service: &Service) -> Option<&ServiceView> {
        self.services.get(service)
    }

    /// Target by id.
    pub fn target(&self, id: &InstanceId) -> Option<Rc<Announcement>> {
        let mut all = self.services.values().flat_map(|service| &service.targets);
        all.find(|target| target.id == *id).cloned()
    }

    /// Notes that `target` refused a write because it does not lead.
    pub fn disprove(&mut self, now: Millis, service: &Service, target: &InstanceId) {
        self.disproved.insert(service.clone(), (target.clone(), now));
    }

    /// Notes that `target` has said that it leads. It counts until the next view.
    pub fn find(&mut self, service: &Service, target: &InstanceId) {
        self.found.insert(service.clone(), target.clone());
        self.disproved.shift_remove(service);
    }

    fn known_primary(&self, service: &Service) -> Option<Rc<Announcement>> {
        let view = self.services.get(service)?;
        let found = self
            .found
            .get(service)
            .and_then(|id| view.targets.iter().find(|target| target.id == *id).cloned());
        found.or_else(|| view.primary.clone())
    }

    /// Primary of `service`, unless it has just said that it does not lead.
    pub fn primary(&self, now: Millis, service: &Service) -> Option<Rc<Announcement>> {
        let primary = self.known_primary(service)?;
        let disproved = self
            .disproved
            .get(service)
            .is_some_and(|(id, at)| *id == primary.id && now.since(*at) < DISPROVED_FOR);
        (!disproved).then_some(primary)
    }

    /// Whether the target is the primary of its service.
    pub fn is_primary(&self, id: &InstanceId) -> bool {
        let mut primaries = self.services.values().filter_map(|service| service.primary.as_ref());
        primaries.any(|primary| primary.id == *id)
    }

    /// Whether there are a configuration and targets.
    pub fn is_complete(&self) -> bool {
        self.config.version > 0 && !self.services.is_empty()
    }

    /// Targets for the report to a new leader, with the primaries as they are known.
    pub fn known_targets(&self) -> Vec<Announcement> {
        let with_role = |target: &Announcement| {
            let service = self.services.get(&target.service);
            let primary = service.and_then(|service| service.primary.as_ref());
            let leads = primary.is_some_and(|primary| primary.id == target.id);
            let role = if leads { TargetRole::Primary } else { TargetRole::Replica };
            Announcement { role, ..target.clone() }
        };
        self.view.targets.iter().map(with_role).collect()
    }
}
