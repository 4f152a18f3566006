//! Instances of each service that may receive work.
//!
//! The index is built once per view revision, so that the selection for a read does
//! not scan the instances of all services.

use indexmap::{IndexMap, IndexSet};

use crate::{
    ids::{FailureDomain, InstanceId, Service},
    routing::replica_selection::SelectionError,
    state::model::{ClusterView, Drain, Instance},
};

/// Replica that may receive new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    pub id: InstanceId,
    pub failure_domain: FailureDomain,
}

impl From<&Instance> for Replica {
    fn from(instance: &Instance) -> Self {
        let spec = &instance.spec;
        Self { id: spec.id.clone(), failure_domain: spec.failure_domain.clone() }
    }
}

/// Usable instances of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceInstances {
    /// Primary that can serve statements now. There is none during a promotion,
    /// because the old primary is being fenced.
    pub primary: Result<InstanceId, SelectionError>,
    /// Replicas with a live owner that are neither draining nor leaving.
    pub replicas: Vec<Replica>,
}

impl ServiceInstances {
    /// Usable instances of `service`, found by a scan over all instances of `view`.
    pub fn of(view: &ClusterView, service: &Service) -> Self {
        let replicas = usable_replicas(view, service).map(Replica::from).collect();
        Self { primary: usable_primary(view, service), replicas }
    }
}

/// Usable instances of all services.
#[derive(Debug, Clone, Default)]
pub struct InstanceIndex {
    services: IndexMap<Service, ServiceInstances>,
}

impl InstanceIndex {
    pub fn build(view: &ClusterView) -> Self {
        let mut index = Self::default();
        for service in view.groups.keys() {
            index.entry(view, service);
        }
        let draining = draining_instances(view);
        for instance in view.instances.values() {
            let service_instances = index.entry(view, &instance.spec.service);
            if is_usable_replica(view, instance, &draining) {
                service_instances.replicas.push(instance.into());
            }
        }
        index
    }

    /// Usable instances of `service`; `None` if the view has neither a group nor an
    /// instance of it.
    pub fn get(&self, service: &Service) -> Option<&ServiceInstances> {
        self.services.get(service)
    }

    fn entry(&mut self, view: &ClusterView, service: &Service) -> &mut ServiceInstances {
        let new =
            || ServiceInstances { primary: usable_primary(view, service), replicas: Vec::new() };
        self.services.entry(service.clone()).or_insert_with(new)
    }
}

/// Primary of `service`; see [`ServiceInstances::primary`].
pub fn usable_primary(view: &ClusterView, service: &Service) -> Result<InstanceId, SelectionError> {
    let no_primary = || SelectionError::NoPrimary { service: service.clone() };
    let group = view.groups.get(service).ok_or_else(no_primary)?;
    let id = match (&group.primary, &group.promotion) {
        (Some(id), None) => id,
        _ => return Err(no_primary()),
    };
    let instance = view.instances.get(id).ok_or_else(no_primary)?;
    if has_live_owner(view, instance) {
        Ok(id.clone())
    } else {
        Err(SelectionError::NoOwner { instance: id.clone() })
    }
}

/// Replicas of `service` that may receive new work, found by a scan of `view`.
pub fn usable_replicas<'a>(
    view: &'a ClusterView,
    service: &'a Service,
) -> impl Iterator<Item = &'a Instance> {
    let draining = draining_instances(view);
    view.instances.values().filter(move |instance| {
        instance.spec.service == *service && is_usable_replica(view, instance, &draining)
    })
}

fn is_usable_replica(
    view: &ClusterView,
    instance: &Instance,
    draining: &IndexSet<&InstanceId>,
) -> bool {
    let spec = &instance.spec;
    let group = view.groups.get(&spec.service);
    let is_primary = group.is_some_and(|group| group.primary.as_ref() == Some(&spec.id));
    !is_primary && !spec.leaving && !draining.contains(&spec.id) && has_live_owner(view, instance)
}

fn has_live_owner(view: &ClusterView, instance: &Instance) -> bool {
    instance.owner.as_ref().is_some_and(|owner| {
        view.hosts.get(&owner.host).is_some_and(|host| host.incarnation == owner.incarnation)
    })
}

fn draining_instances(view: &ClusterView) -> IndexSet<&InstanceId> {
    let instances = view.desired.drains.iter().filter_map(|drain| match drain {
        Drain::Instance(id) => Some(id),
        Drain::Host(_) => None,
    });
    instances.collect()
}
