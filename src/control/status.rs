//! Answers to operators that read the state.

use crate::{
    clock::Millis,
    control::{
        core::{Core, Leading},
        operators::{Answer, Request},
    },
    ids::HostId,
    state::model::{Assignment, ClusterView, Drain, Instance},
    wire::operator::{
        AuditResponse, ControlStatus, FileResponse, GroupStatus, HostState, HostStatus,
        InstanceStatus, OwnerStatus, StatusResponse,
    },
};

impl Core {
    pub(super) fn read(&self, now: Millis, request: &Request) -> Answer {
        let state = &self.state;
        match request {
            Request::Status => Answer::Status(Box::new(self.status(now))),
            Request::Audit { from } => {
                let entries = state.audit.iter().filter(|entry| entry.revision >= *from);
                Answer::Audit(AuditResponse { entries: entries.cloned().collect() })
            }
            Request::File => {
                let (version, file) = (state.view.version, state.file.clone());
                Answer::File(FileResponse { version, file })
            }
            Request::Apply { .. } => Answer::unavailable("apply requests change the state"),
        }
    }

    fn status(&self, now: Millis) -> StatusResponse {
        let view = &self.state.view;
        StatusResponse {
            leader: self.node.role().leader,
            control: self.control_status(now),
            version: view.version,
            revision: view.revision,
            hosts: hosts(view, self.leading.as_ref()),
            groups: groups(view),
            instances: view.instances.values().map(|it| instance(view, it)).collect(),
        }
    }

    fn control_status(&self, now: Millis) -> Vec<ControlStatus> {
        let heard = self.node.heard();
        let members = &self.node.members().0;
        let learners = heard.iter().filter(|(id, _)| !members.contains_key(*id));
        let learners = learners.map(|(id, at)| ControlStatus {
            id: id.clone(),
            http_addr: None,
            voting: false,
            silent_ms: Some(now.since(*at).0),
        });
        let voters = members.iter().map(|(id, member)| ControlStatus {
            id: id.clone(),
            http_addr: Some(member.http_addr.clone()),
            voting: true,
            silent_ms: heard.get(id).map(|at| now.since(*at).0),
        });
        voters.chain(learners).collect()
    }
}

fn hosts(view: &ClusterView, leading: Option<&Leading>) -> Vec<HostStatus> {
    let drained = |id: &HostId| view.desired.drains.contains(&Drain::Host(id.clone()));
    let live = view.hosts.values().map(|host| HostStatus {
        id: host.id.clone(),
        failure_domain: host.failure_domain.clone(),
        incarnation: Some(host.incarnation),
        state: match (host.leaving, drained(&host.id)) {
            (true, _) => HostState::Leaving,
            (false, true) => HostState::Draining,
            (false, false) => HostState::Live,
        },
        revision: leading.and_then(|it| it.leases.get(&host.id)).map(|lease| lease.revision),
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

fn groups(view: &ClusterView) -> Vec<GroupStatus> {
    let names = view.desired.services.keys();
    let others = view.groups.keys().filter(|name| !view.desired.services.contains_key(*name));
    let names = names.chain(others);
    let status = names.map(|service| {
        let group = view.groups.get(service).cloned().unwrap_or_default();
        let announced = view.instances.values().filter(|it| it.spec.service == *service).count();
        GroupStatus {
            service: service.clone(),
            term: group.term,
            primary: group.primary,
            promotion: group.promotion.map(|promotion| promotion.term),
            announced: u32::try_from(announced).unwrap_or(u32::MAX),
            expected: view.desired.services.get(service).map_or(0, |spec| spec.instances),
        }
    });
    status.collect()
}

fn instance(view: &ClusterView, instance: &Instance) -> InstanceStatus {
    let spec = &instance.spec;
    InstanceStatus {
        id: spec.id.clone(),
        service: spec.service.clone(),
        failure_domain: spec.failure_domain.clone(),
        draining: spec.leaving || view.desired.drains.contains(&Drain::Instance(spec.id.clone())),
        connections: spec.connections,
        owner: instance.owner.as_ref().map(owner),
        previous: instance.previous.as_ref().map(owner),
    }
}

fn owner(assignment: &Assignment) -> OwnerStatus {
    OwnerStatus {
        host: assignment.host.clone(),
        epoch: assignment.epoch,
        connections: assignment.connections,
    }
}
