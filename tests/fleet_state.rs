//! Replicated state of a fleet: what a command changes must reach the entry hosts, and
//! the next leader.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use bytes::Bytes;
use pomelopin::{
    clock::Millis,
    fleet::{
        inventory::Known,
        messages::{Announcement, ConfigDocument, TargetRole},
        registry::Registry,
        state::{Applied, FleetCommand, FleetState},
    },
    ids::{InstanceId, Service},
};

fn configure(version: u64) -> FleetCommand {
    FleetCommand::Configure(ConfigDocument { version, deflated: Bytes::new() })
}

/// Guards against entry hosts that go on asking a primary for its role before each
/// read after its promotion has ended: the commit of the end changed no view.
#[test]
fn end_of_a_promotion_is_told() {
    let service = Service::from("ledger");
    let mut state = FleetState::default();
    let began = FleetCommand::PromotionBegan { service: service.clone(), target: "r1".into() };
    let ended = FleetCommand::PromotionEnded { service };
    assert_eq!(state.apply(&began), Applied::PromotionBegan);
    assert_eq!(state.apply(&ended), Applied::PromotionEnded);
    assert_eq!(state.apply(&ended), Applied::Nothing);
}

/// Guards against an older or equal version that counts as a change.
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

/// State after the leader has stored what `registry` knows, with `primary` as the
/// primary.
fn store(state: &mut FleetState, registry: &Registry, primary: &InstanceId) {
    let service = Service::from("ledger");
    let primaries = [(&service, primary)].into_iter();
    let change = state.inventory.change_to(Known { registry, primaries, hosts: &[] });
    state.apply(&FleetCommand::Inventory(change.unwrap()));
}

/// Guards against entry hosts that wait for the announcement of each target after all
/// processes were lost: the log holds the targets.
#[test]
fn log_holds_the_targets() {
    let (mut state, mut registry) = (FleetState::default(), Registry::default());
    let primary = InstanceId::from("p");
    for id in ["p", "r1"] {
        registry.note(Millis(0), &target(id, 1));
    }
    store(&mut state, &registry, &primary);
    assert_eq!(state.inventory.targets.len(), 2);
    registry.remove(&"r1".into());
    store(&mut state, &registry, &primary);
    assert_eq!(state.inventory.targets.keys().collect::<Vec<_>>(), [&primary]);
}

/// Guards against an entry in the log for each announcement.
#[test]
fn announcements_without_news_are_not_stored() {
    let (mut state, mut registry) = (FleetState::default(), Registry::default());
    let (service, primary) = (Service::from("ledger"), InstanceId::from("p"));
    registry.note(Millis(0), &target("p", 1));
    store(&mut state, &registry, &primary);
    registry.note(Millis(0), &target("p", 2));
    let primaries = [(&service, &primary)].into_iter();
    let known = Known { registry: &registry, primaries, hosts: &[] };
    let change = state.inventory.change_to(known);
    assert_eq!(change, None);
}

/// Guards against a new leader that trusts a primary which an earlier leader has
/// replaced: the end of the promotion alone names the new one.
#[test]
fn end_of_a_promotion_stores_the_primary() {
    let (mut state, mut registry) = (FleetState::default(), Registry::default());
    let service = Service::from("ledger");
    registry.note(Millis(0), &target("p", 1));
    store(&mut state, &registry, &"p".into());
    let target = InstanceId::from("r1");
    state.apply(&FleetCommand::PromotionBegan { service: service.clone(), target });
    assert_eq!(state.inventory.primaries[&service], InstanceId::from("p"));
    state.apply(&FleetCommand::PromotionEnded { service: service.clone() });
    assert_eq!(state.inventory.primaries[&service], InstanceId::from("r1"));
}
