//! Cluster status for operators, derived from the view.

use indexmap::IndexMap;

use crate::{
    ids::{ControlId, HostId, Revision, Service},
    state::model::{Assignment, ClusterView, Drain, Host, Instance},
    wire::operator::{
        ControlStatus, GroupStatus, HostState, HostStatus, InstanceStatus, OwnerStatus,
        StatusResponse,
    },
};

/// Status of `view`; `acknowledged` has the revision in force at each live host.
pub fn status(
    view: &ClusterView,
    acknowledged: &IndexMap<HostId, Revision>,
    leader: Option<ControlId>,
    control: Vec<ControlStatus>,
) -> StatusResponse {
    StatusResponse {
        leader,
        control,
        version: view.version,
        revision: view.revision,
        hosts: host_statuses(view, acknowledged),
        groups: group_statuses(view),
        instances: view.instances.values().map(|it| instance_status(view, it)).collect(),
    }
}

/// Live hosts, followed by expected hosts that are missing.
fn host_statuses(view: &ClusterView, acknowledged: &IndexMap<HostId, Revision>) -> Vec<HostStatus> {
    let live = view.hosts.values().map(|host| HostStatus {
        id: host.id.clone(),
        failure_domain: host.failure_domain.clone(),
        incarnation: Some(host.incarnation),
        state: host_state(view, host),
        revision: acknowledged.get(&host.id).copied(),
    });
    let missing = view.desired.hosts.iter().filter(|(id, _)| !view.hosts.contains_key(*id));
    let missing = missing.map(|(id, spec)| HostStatus {
        id: id.clone(),
        failure_domain: spec.failure_domain.clone(),
        incarnation: None,
        state: HostState::Missing,
        revision: None,
    });
    live.chain(missing).collect()
}

fn host_state(view: &ClusterView, host: &Host) -> HostState {
    if host.leaving {
        HostState::Leaving
    } else if view.desired.drains.contains(&Drain::Host(host.id.clone())) {
        HostState::Draining
    } else {
        HostState::Live
    }
}

/// Groups of the services in the file, followed by groups of removed services.
fn group_statuses(view: &ClusterView) -> Vec<GroupStatus> {
    let removed = view.groups.keys().filter(|it| !view.desired.services.contains_key(*it));
    let services = view.desired.services.keys().chain(removed);
    let mut announced = IndexMap::<&Service, u32>::new();
    for instance in view.instances.values() {
        *announced.entry(&instance.spec.service).or_default() += 1;
    }
    let group = |service| group_status(view, service, announced.get(service).copied());
    services.map(group).collect()
}

fn group_status(view: &ClusterView, service: &Service, announced: Option<u32>) -> GroupStatus {
    let group = view.groups.get(service).cloned().unwrap_or_default();
    GroupStatus {
        service: service.clone(),
        term: group.term,
        primary: group.primary,
        promotion: group.promotion.map(|promotion| promotion.term),
        announced: announced.unwrap_or_default(),
        expected: view.desired.services.get(service).map_or(0, |spec| spec.instances),
    }
}

fn instance_status(view: &ClusterView, instance: &Instance) -> InstanceStatus {
    let Instance { spec, owner, previous } = instance;
    let drained = view.desired.drains.contains(&Drain::Instance(spec.id.clone()));
    InstanceStatus {
        id: spec.id.clone(),
        service: spec.service.clone(),
        failure_domain: spec.failure_domain.clone(),
        draining: spec.leaving || drained,
        connections: spec.connections,
        owner: owner.as_ref().map(owner_status),
        previous: previous.as_ref().map(owner_status),
    }
}

fn owner_status(assignment: &Assignment) -> OwnerStatus {
    let Assignment { host, epoch, connections, .. } = assignment;
    OwnerStatus { host: host.clone(), epoch: *epoch, connections: *connections }
}
