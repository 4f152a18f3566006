//! Fleet topology as an entry host knows it: configuration, targets and primaries.

use std::rc::Rc;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        config::FleetConfig,
        messages::{Announcement, EntryHost, FleetView, TargetRole, ViewRevision},
    },
    gateway::{
        evacuation::EvacuatedDomains,
        ownership::{Shard, rank_owners, shard_count},
    },
    ids::{HostId, InstanceId, Service},
};

/// Configuration and view received from control, with the primaries that answers of
/// targets have confirmed or contradicted since.
#[derive(Debug, Default)]
pub struct Topology {
    pub config: Rc<FleetConfig>,
    pub view: FleetView,
    services: IndexMap<Service, ServiceView>,
    /// Targets that have answered that they are not the primary, and when.
    not_primary: IndexMap<Service, (InstanceId, Millis)>,
    /// Primaries that this host has discovered by querying the targets under the current view.
    discovered: IndexMap<Service, InstanceId>,
    /// Since when this host knows that a target is leaving.
    draining_since: IndexMap<InstanceId, Millis>,
    pub evacuated: EvacuatedDomains,
    /// Cache of [`rank_owners`] by target and shard.
    ranked_owners: IndexMap<(InstanceId, Shard), Rc<[EntryHost]>>,
}

/// Targets of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceView {
    pub targets: Vec<Rc<Announcement>>,
    pub primary: Option<Rc<Announcement>>,
    /// Whether the primary is about to change.
    pub changing: bool,
    /// Targets that may be promoted at any time.
    pub successors: Vec<InstanceId>,
}

/// Time for which a target's answer that it is not the primary overrides the view.
const NOT_PRIMARY_TTL: Millis = Millis(200);

/// Time for which a primary that is leaving gets new work. Usually another target leads by then; if
/// calls that promote one get no answer, statements are refused instead.
const MAX_DRAINING_TIME: Millis = Millis(4_000);

impl Topology {
    /// Replaces the configuration if `config` is newer; returns whether it is.
    pub fn set_config(&mut self, config: FleetConfig) -> bool {
        let is_newer = config.version > self.config.version;
        if is_newer {
            self.config = Rc::new(config);
        }
        is_newer
    }

    /// Replaces the view. The first views of a new leader may lack targets that have not
    /// yet announced themselves to it; the host's report of its known targets completes
    /// them.
    pub fn set_view(&mut self, view: FleetView) {
        self.services.clear();
        self.discovered.clear();
        self.ranked_owners.clear();
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
        for successor in &view.successors {
            let service = self.services.entry(successor.service.clone()).or_default();
            service.successors.push(successor.id.clone());
        }
        self.view = view;
    }

    /// Notes which targets of the view are leaving.
    pub fn record_draining(&mut self, now: Millis) {
        let draining = self.view.targets.iter().filter(|target| target.draining);
        let since = |id: &InstanceId| self.draining_since.get(id).copied().unwrap_or(now);
        self.draining_since = draining.map(|it| (it.id.clone(), since(&it.id))).collect();
    }

    /// Whether `target` has been leaving for so long that it gets no new work.
    pub fn has_drained(&self, now: Millis, target: &InstanceId) -> bool {
        self.draining_since.get(target).is_some_and(|at| now.since(*at) >= MAX_DRAINING_TIME)
    }

    /// Whether `target` gets no statements because its failure domain is evacuated.
    pub fn is_out_of_use(&self, now: Millis, target: &Announcement) -> bool {
        self.evacuated.is_out_of_use(now, &target.domain)
    }

    /// Known primary of `service`, if it gets no statements because its failure domain is
    /// evacuated.
    pub fn primary_out_of_use(&self, now: Millis, service: &Service) -> Option<Rc<Announcement>> {
        self.known_primary(service).filter(|primary| self.is_out_of_use(now, primary))
    }

    /// Hosts ordered by precedence as the owner of a shard of `target`.
    pub fn ranked_owners(&mut self, target: &Announcement, shard: Shard) -> Rc<[EntryHost]> {
        let key = (target.id.clone(), shard);
        if let Some(ranked) = self.ranked_owners.get(&key) {
            return ranked.clone();
        }
        let ranked: Rc<[EntryHost]> =
            rank_owners(target, shard, &self.view.hosts).into_iter().cloned().collect();
        self.ranked_owners.insert(key, ranked.clone());
        ranked
    }

    /// Number of shards of each target of `service`.
    pub fn shards(&self, service: &Service) -> u32 {
        let max_connections = self.config.services.get(service).map_or(1, |it| it.max_connections);
        shard_count(self.view.hosts.len(), self.view.targets.len(), max_connections)
    }

    /// Number of shards of `target` that `host` owns.
    pub fn owned_shards(&mut self, target: &Announcement, host: &HostId) -> u32 {
        let shards = (0..self.shards(&target.service)).map(Shard);
        let owns = |shard: &Shard| {
            self.ranked_owners(target, *shard).first().is_some_and(|first| first.id == *host)
        };
        shards.filter(owns).count() as u32
    }

    pub fn revision(&self) -> ViewRevision {
        self.view.revision
    }

    pub fn service(&self, service: &Service) -> Option<&ServiceView> {
        self.services.get(service)
    }

    pub fn target(&self, id: &InstanceId) -> Option<Rc<Announcement>> {
        let mut all = self.services.values().flat_map(|service| &service.targets);
        all.find(|target| target.id == *id).cloned()
    }

    /// Records that `target` has answered that it is not the primary.
    pub fn mark_not_primary(&mut self, now: Millis, service: &Service, target: &InstanceId) {
        self.not_primary.insert(service.clone(), (target.clone(), now));
    }

    /// Records that `target` was proven to be the primary by questions that were asked under the
    /// view `asked_under`. This overrides that view, but no newer one.
    pub fn set_discovered_primary(
        &mut self,
        service: &Service,
        target: &InstanceId,
        asked_under: ViewRevision,
    ) {
        if asked_under != self.revision() {
            return;
        }
        self.discovered.insert(service.clone(), target.clone());
        self.not_primary.shift_remove(service);
    }

    fn known_primary(&self, service: &Service) -> Option<Rc<Announcement>> {
        let view = self.services.get(service)?;
        let discovered = self
            .discovered
            .get(service)
            .and_then(|id| view.targets.iter().find(|target| target.id == *id).cloned());
        discovered.or_else(|| view.primary.clone())
    }

    /// Primary of `service`, unless it has just answered that it is not the primary or gets no new
    /// work.
    pub fn primary(&self, now: Millis, service: &Service) -> Option<Rc<Announcement>> {
        let primary = self.known_primary(service)?;
        if self.has_drained(now, &primary.id) || self.is_out_of_use(now, &primary) {
            return None;
        }
        let refuted = self
            .not_primary
            .get(service)
            .is_some_and(|(id, at)| *id == primary.id && now.since(*at) < NOT_PRIMARY_TTL);
        (!refuted).then_some(primary)
    }

    /// Whether the target is the primary of its service according to the view.
    pub fn is_primary(&self, id: &InstanceId) -> bool {
        let mut primaries = self.services.values().filter_map(|service| service.primary.as_ref());
        primaries.any(|primary| primary.id == *id)
    }

    /// Whether a configuration and at least one service are known.
    pub fn is_complete(&self) -> bool {
        self.config.version > 0 && !self.services.is_empty()
    }

    /// Targets with their roles according to the view, for the report to a new leader.
    pub fn known_targets(&self) -> Vec<Announcement> {
        let with_role = |target: &Announcement| {
            let service = self.services.get(&target.service);
            let primary = service.and_then(|service| service.primary.as_ref());
            let is_primary = primary.is_some_and(|primary| primary.id == target.id);
            let role = if is_primary { TargetRole::Primary } else { TargetRole::Replica };
            Announcement { role, ..target.clone() }
        };
        self.view.targets.iter().map(with_role).collect()
    }
}
