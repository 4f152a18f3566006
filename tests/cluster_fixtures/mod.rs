//! Builders of cluster states for the tests of the state machine.

#![allow(dead_code, reason = "each test file uses a part")]

use pomelopin::{
    ids::{FailureDomain, Incarnation, InstanceId},
    state::{
        model::{
            ApplyCommand, ClusterState, Command, DesiredState, Drain, Host, Instance, InstanceSpec,
            ServiceSpec,
        },
        state_machine::Applied,
    },
};

pub const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];
pub const CONNECTION_LIMIT: u32 = 15;

pub fn failure_domain(number: usize) -> FailureDomain {
    FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()].into()
}

pub fn host(number: usize, incarnation: u64) -> Host {
    Host {
        id: format!("host-{number}").into(),
        incarnation: Incarnation(incarnation),
        failure_domain: failure_domain(number),
        peer_addr: "127.0.0.1:1".into(),
        bus_addr: "127.0.0.1:2".into(),
        leaving: false,
    }
}

pub fn instance_spec(number: usize) -> InstanceSpec {
    InstanceSpec {
        id: format!("ledger-1-{number}").into(),
        service: "ledger-1".into(),
        failure_domain: failure_domain(number),
        incarnation: Incarnation(1),
        sql_addr: "127.0.0.1:3".into(),
        http_addr: "127.0.0.1:4".into(),
        slots: 2,
        connections: CONNECTION_LIMIT,
        leaving: false,
    }
}

pub fn host_joined(number: usize, incarnation: u64) -> Command {
    Command::HostJoined(host(number, incarnation))
}

pub fn host_left(number: usize, incarnation: u64) -> Command {
    let Host { id: host, incarnation, .. } = host(number, incarnation);
    Command::HostLeft { host, incarnation }
}

pub fn host_leaving(number: usize, incarnation: u64) -> Command {
    let Host { id: host, incarnation, .. } = host(number, incarnation);
    Command::HostLeaving { host, incarnation }
}

pub fn desired_state(drains: Vec<Drain>) -> DesiredState {
    let services = [("ledger-1".into(), ServiceSpec { instances: 3 })].into();
    DesiredState { services, drains, ..DesiredState::default() }
}

pub fn apply_command(id: &str, expected_version: u64, desired: DesiredState) -> Command {
    Command::Apply(Box::new(ApplyCommand {
        id: id.into(),
        operator: "thandi".into(),
        at_unix_ms: 1_700_000_000_000,
        expected_version,
        file: format!("version = {}", expected_version + 1),
        desired,
    }))
}

/// State with an accepted file, `hosts` hosts at incarnation 1 and 3 instances.
pub fn cluster_state(hosts: usize) -> ClusterState {
    let mut state = ClusterState::default();
    state.apply(&apply_command("first", 0, desired_state(Vec::new())));
    for number in 0..hosts {
        state.apply(&host_joined(number, 1));
    }
    for number in 0..3 {
        state.apply(&Command::InstanceAnnounced(instance_spec(number)));
    }
    state
}

pub fn instance_in(state: &ClusterState, number: usize) -> &Instance {
    &state.view.instances[&InstanceId::from(format!("ledger-1-{number}"))]
}

/// Owner's host and budget, and those of the earlier owner.
pub fn owners(state: &ClusterState, number: usize) -> [Option<(String, u32)>; 2] {
    let instance = instance_in(state, number);
    [&instance.owner, &instance.previous]
        .map(|assignment| assignment.as_ref().map(|it| (it.host.to_string(), it.connections)))
}

/// Applies a command and checks the rule on revisions.
pub fn apply_checked(state: &mut ClusterState, command: &Command) -> Applied {
    let before = state.view.revision.0;
    let applied = state.apply(command);
    let raised = u64::from(!applied.changes.is_empty());
    assert_eq!(state.view.revision.0, before + raised, "revision after {command:?}");
    applied
}
