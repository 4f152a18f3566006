//! What the next leader learns from the log of targets that have left.

use pomelopin::{
    fleet::inventory::{Inventory, Observed},
    ids::InstanceId,
};

use crate::harness::Harness;

/// Stores what the leader knows in `inventory`.
fn store(harness: &Harness, inventory: &mut Inventory) {
    let remembered: Vec<_> = harness.failover.targets_to_remember().collect();
    let observed = Observed {
        registry: &harness.registry,
        remembered: &remembered,
        primaries: std::iter::empty(),
        hosts: &[],
    };
    if let Some(delta) = inventory.delta_to(observed) {
        inventory.apply(&delta);
    }
}

/// Guards against a next leader that does not know of a replica which may have given the only
/// receipt for a commit, because the inventory was stored between its departure and the next check
/// of the primaries.
#[test]
fn replica_that_has_just_left_stays_in_the_log() {
    let mut harness = Harness::new();
    let mut inventory = Inventory::default();
    harness.run(500);
    store(&harness, &mut inventory);
    harness.registry.remove(&"r1".into());
    store(&harness, &mut inventory);
    assert!(inventory.targets.contains_key(&InstanceId::from("r1")));
    harness.targets.shift_remove("r1");
    harness.targets["p"] = None;
    harness.run(100);
    store(&harness, &mut inventory);
    assert!(inventory.targets.contains_key(&InstanceId::from("r1")));
}
