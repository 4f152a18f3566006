//! Answers to operators' read requests.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    control::{
        event_loop::EventLoop,
        operators::{Answer, Request},
    },
    ids::{HostId, Revision},
    state::status::status,
    wire::operator::{AuditResponse, ControlStatus, FileResponse, StatusResponse},
};

impl EventLoop {
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
        let leader = self.group.node.role().leader;
        status(&self.state.view, &self.acked_revisions(), leader, self.control_status(now))
    }

    /// Acknowledged revision of each host that holds a lease.
    fn acked_revisions(&self) -> IndexMap<HostId, Revision> {
        let view = &self.state.view;
        let Some(leadership) = &self.leadership else { return IndexMap::new() };
        let lease = |id: &HostId| Some((id.clone(), leadership.leases.get(id)?.acked_revision));
        view.hosts.keys().filter_map(lease).collect()
    }

    fn control_status(&self, now: Millis) -> Vec<ControlStatus> {
        let last_contacts = self.group.node.last_contacts();
        let members = &self.group.node.members().0;
        let learners = last_contacts.iter().filter(|(id, _)| !members.contains_key(*id));
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
            silent_ms: last_contacts.get(id).map(|at| now.since(*at).0),
        });
        voters.chain(learners).collect()
    }
}
