//! Replicated state of a fleet: what a command changes must reach the entry hosts.

use bytes::Bytes;
use pomelopin::{
    fleet::{
        messages::ConfigDocument,
        state::{Applied, FleetCommand, FleetState},
    },
    ids::Service,
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
