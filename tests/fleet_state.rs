//! Replicated state of a fleet: the effect of a command must reach the entry hosts and the
//! next leader.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use bytes::Bytes;
use pomelopin::{
    clock::Millis,
    fleet::{
        inventory::Observed,
        messages::{Announcement, ConfigDocument, TargetRole},
        registry::Registry,
        state::{Applied, FleetCommand, FleetState},
    },
    ids::{InstanceId, Service},
};

fn configure(version: u64) -> FleetCommand {
    FleetCommand::Configure(ConfigDocument { version, deflated: Bytes::new() })
}

/// Guards against entry hosts that still query a primary's role before each read after its
/// promotion has ended, because the committed end caused no new view.
#[test]
fn end_of_a_promotion_is_reported() {
    let service = Service::from("ledger");
    let mut state = FleetState::default();
    let began = FleetCommand::PromotionBegan { service: service.clone(), target: "r1".into() };
    let ended = FleetCommand::PromotionEnded { service };
    assert_eq!(state.apply(&began), Applied::PromotionBegan);
    assert_eq!(state.apply(&ended), Applied::PromotionEnded);
    assert_eq!(state.apply(&ended), Applied::Nothing);
}

/// Guards against an older or equal version that replaces the configuration.
#[test]
fn only_a_higher_version_changes_the_configuration() {
    let mut state = FleetState::default();
    assert_eq!(state.apply(&configure(3)), Applied::Configuration);
    assert_eq!(state.apply(&configure(3)), Applied::Nothing);
    assert_eq!(state.apply(&configure(2)), Applied::Nothing);
    assert_eq!(state.config.version, 3);
}

fn target(id: &str, sequence: u64) -> Announcement {
    Announcement {
        id: id.into(),
        service: "ledger".into(),
        addr: format!("{id}:1"),
        domain: "a".into(),
        draining: false,
        role: TargetRole::Replica,
        slots: 2,
        started_at_ms: 1,
        sequence,
        warmup_remaining: Millis(0),
    }
}

/// Stores the targets of `registry` in `state`, with `primary` as the primary.
fn store(state: &mut FleetState, registry: &Registry, primary: &InstanceId) {
    let service = Service::from("ledger");
    let primaries = [(&service, primary)].into_iter();
    let delta =
        state.inventory.delta_to(Observed { registry, remembered: &[], primaries, hosts: &[] });
    state.apply(&FleetCommand::Inventory(delta.unwrap()));
}

/// Guards against entry hosts that must wait for the announcement of each target after all
/// processes have restarted: the log must store the targets.
#[test]
fn log_stores_the_targets() {
    let (mut state, mut registry) = (FleetState::default(), Registry::default());
    let primary = InstanceId::from("p");
    for id in ["p", "r1"] {
        registry.record(Millis(0), &target(id, 1));
    }
    store(&mut state, &registry, &primary);
    assert_eq!(state.inventory.targets.len(), 2);
    registry.remove(&"r1".into());
    store(&mut state, &registry, &primary);
    assert_eq!(state.inventory.targets.keys().collect::<Vec<_>>(), [&primary]);
}

/// Guards against a new leader that does not know of a replica which may have held the only
/// copy of a commit beside the primary's.
#[test]
fn departed_replica_stays_in_the_log() {
    let (mut state, mut registry) = (FleetState::default(), Registry::default());
    let (primary, replica) = (InstanceId::from("p"), InstanceId::from("r1"));
    for id in ["p", "r1"] {
        registry.record(Millis(0), &target(id, 1));
    }
    store(&mut state, &registry, &primary);
    registry.remove(&replica);
    let observe = |remembered| Observed {
        registry: &registry,
        remembered,
        primaries: std::iter::empty(),
        hosts: &[],
    };
    let departed = [&replica];
    assert_eq!(state.inventory.delta_to(observe(&departed)), None);
    let delta = state.inventory.delta_to(observe(&[])).unwrap();
    assert_eq!(delta.removed, std::slice::from_ref(&replica));
}

/// Guards against a log entry for each announcement.
#[test]
fn unchanged_announcements_are_not_stored() {
    let (mut state, mut registry) = (FleetState::default(), Registry::default());
    let (service, primary) = (Service::from("ledger"), InstanceId::from("p"));
    registry.record(Millis(0), &target("p", 1));
    store(&mut state, &registry, &primary);
    registry.record(Millis(0), &target("p", 2));
    let primaries = [(&service, &primary)].into_iter();
    let observed = Observed { registry: &registry, remembered: &[], primaries, hosts: &[] };
    let delta = state.inventory.delta_to(observed);
    assert_eq!(delta, None);
}

/// Guards against a new leader that relies on a primary which an earlier leader has replaced:
/// the logged end of the promotion must store the new one.
#[test]
fn end_of_a_promotion_stores_the_primary() {
    let (mut state, mut registry) = (FleetState::default(), Registry::default());
    let service = Service::from("ledger");
    registry.record(Millis(0), &target("p", 1));
    store(&mut state, &registry, &"p".into());
    let target = InstanceId::from("r1");
    state.apply(&FleetCommand::PromotionBegan { service: service.clone(), target });
    assert_eq!(state.inventory.primaries[&service], InstanceId::from("p"));
    state.apply(&FleetCommand::PromotionEnded { service: service.clone() });
    assert_eq!(state.inventory.primaries[&service], InstanceId::from("r1"));
}
