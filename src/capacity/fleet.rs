//! Synthetic fleets for the benchmarks.

use crate::{
    ids::{ApplyId, FailureDomain, HostId, Incarnation, InstanceId, KeyId, Service, Workspace},
    state::model::{
        Access, Action, ApplyCommand, ClusterState, Command, DesiredState, Host, InstanceSpec,
        KeySpec, KeyState, Route, ServiceSpec, WorkspaceSpec,
    },
};

/// Instances that each service announces.
pub const INSTANCES_PER_SERVICE: usize = 3;

/// Number of failure domains in a fleet.
pub const FAILURE_DOMAINS: usize = 4;

/// Numbers of items in a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    pub hosts: usize,
    pub services: usize,
    pub workspaces: usize,
}

impl FleetSize {
    /// Size with `hosts` hosts and as many services per host as [`DESIGN_SIZE`]. There are
    /// as many workspaces as services, but at least 8.
    pub fn for_hosts(hosts: usize) -> Self {
        let services = hosts * DESIGN_SIZE.services / DESIGN_SIZE.hosts;
        Self { hosts, services: services.max(1), workspaces: services.max(8) }
    }
}

/// Largest fleet that the design aims for.
pub const DESIGN_SIZE: FleetSize = FleetSize { hosts: 3_200, services: 5_100, workspaces: 5_100 };

/// Id of host `number`.
pub fn host_id(number: usize) -> HostId {
    HostId::from(format!("host-{number:05}"))
}

/// Failure domain of host or instance `number`, assigned round-robin.
pub fn failure_domain(number: usize) -> FailureDomain {
    FailureDomain::from(format!("domain-{}", number % FAILURE_DOMAINS))
}

pub fn host(number: usize) -> Host {
    Host {
        id: host_id(number),
        incarnation: Incarnation(1),
        failure_domain: failure_domain(number),
        peer_addr: format!("10.{}.{}.{}:6433", number >> 16 & 255, number >> 8 & 255, number & 255),
        bus_addr: format!("10.{}.{}.{}:6434", number >> 16 & 255, number >> 8 & 255, number & 255),
        leaving: false,
    }
}

/// Name of service `number`.
pub fn service(number: usize) -> Service {
    Service::from(format!("service-{number:05}"))
}

/// Name of workspace `number`.
pub fn workspace(number: usize) -> Workspace {
    Workspace::from(format!("workspace-{number:05}"))
}

/// Instance `replica` of service `number`.
pub fn instance(number: usize, replica: usize) -> InstanceSpec {
    InstanceSpec {
        id: InstanceId::from(format!("service-{number:05}-{replica}")),
        service: service(number),
        failure_domain: failure_domain(number + replica),
        incarnation: Incarnation(1),
        sql_addr: format!("10.200.{}.{}:5432", number >> 8 & 255, number & 255),
        http_addr: format!("10.200.{}.{}:8080", number >> 8 & 255, number & 255),
        slots: 2,
        connections: 15,
        leaving: false,
    }
}

/// Desired state with one read and one write route per service and one key per workspace.
pub fn desired_state(size: FleetSize) -> DesiredState {
    let mut desired = DesiredState::default();
    for number in 0..size.services {
        let service = service(number);
        desired.services.insert(service.clone(), ServiceSpec { instances: 3 });
        for action in [Action::Select, Action::Insert] {
            desired.routes.push(Route {
                service: service.clone(),
                table: "bookings".to_owned(),
                action,
                access: Access::Keyed,
                idempotent: false,
                max_staleness_ms: (action == Action::Select).then_some(2_000),
            });
        }
    }
    for number in 0..size.workspaces {
        let services = vec![service(number % size.services.max(1))];
        let spec = WorkspaceSpec { rate: 100, burst: 50, services, ..WorkspaceSpec::default() };
        desired.workspaces.insert(workspace(number), with_key(spec, number));
    }
    desired
}

fn with_key(mut spec: WorkspaceSpec, number: usize) -> WorkspaceSpec {
    let key = KeySpec { verifier: format!("{number:064x}"), state: KeyState::Active };
    spec.keys.insert(KeyId::from(format!("key-{number}")), key);
    spec
}

/// Command that applies `desired` as the successor of `version`, with a file of
/// `file_bytes` bytes.
pub fn apply_command(desired: DesiredState, version: u64, file_bytes: usize) -> Command {
    Command::Apply(Box::new(ApplyCommand {
        id: ApplyId::from(format!("apply-{version}")),
        operator: "bench".to_owned(),
        at_unix_ms: 0,
        expected_version: version,
        file: "#".repeat(file_bytes),
        desired,
    }))
}

/// Cluster state with a file applied, all hosts joined and all instances announced.
pub fn cluster_state(size: FleetSize) -> ClusterState {
    let mut state = ClusterState::default();
    state.apply(&apply_command(desired_state(size), 0, 0));
    for number in 0..size.hosts {
        state.apply(&Command::HostJoined(host(number)));
    }
    for number in 0..size.services {
        for replica in 0..INSTANCES_PER_SERVICE {
            state.apply(&Command::InstanceAnnounced(instance(number, replica)));
        }
    }
    state
}
