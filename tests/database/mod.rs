//! Fixtures for promotion tests: a service with three database instances.

use pomelopin::{
    ids::{InstanceId, Mark, Revision, Service, Term},
    state::model::{ClusterView, Group, Instance, InstanceSpec, ServiceSpec},
    wire::control::FenceResponse,
};

pub const NAMES: [&str; 3] = ["a1", "a2", "a3"];

/// Cluster view of service `a` with primary `a1` in term 1.
/// `configured` is the number of instances in the service specification.
pub fn view(configured: u32) -> ClusterView {
    let instance = |name: &&str| {
        let spec = InstanceSpec {
            id: (*name).into(),
            service: "a".into(),
            failure_domain: "d".into(),
            incarnation: Default::default(),
            sql_addr: String::new(),
            http_addr: String::new(),
            slots: 2,
            connections: 15,
            leaving: false,
        };
        (InstanceId::from(*name), Instance { spec, owner: None, previous: None })
    };
    let group = Group { term: Term(1), primary: Some("a1".into()), promotion: None };
    let mut view = ClusterView {
        revision: Revision(1),
        instances: NAMES.iter().map(instance).collect(),
        groups: [(Service::from("a"), group)].into_iter().collect(),
        ..ClusterView::default()
    };
    view.desired.services.insert("a".into(), ServiceSpec { instances: configured });
    view
}

/// Response to a fence or promote request.
pub fn response(accepted: bool, term: u64, last: Mark) -> FenceResponse {
    FenceResponse { accepted, term: Term(term), last }
}
