//! Addresses that a control host asks for its group.

use std::collections::BTreeSet;

use pomelopin::control::discovery::{Discovery, MAX_LEARNED};

fn discovery(seeds: &[&str]) -> Discovery {
    Discovery::new("own", seeds.iter().map(|it| (*it).to_owned()))
}

/// Guards against an address that is never asked, and against a host that asks itself.
#[test]
fn every_address_is_asked_in_turn() {
    let mut discovery = discovery(&["s1", "s2", "own"]);
    for addr in ["l1", "own", "", "s1", "l2", "l1"] {
        discovery.learn(addr);
    }
    let asked: Vec<_> = (0..4).flat_map(|_| discovery.next_addrs(3)).collect();
    let turn = ["s1", "s2", "l1", "l2"];
    assert_eq!(asked, [turn, turn, turn].concat());
    assert_eq!(discovery.next_addrs(9), turn);
}

/// Guards against learned addresses that replace the configured ones or grow without bound.
#[test]
fn learned_addresses_evict_no_seed() {
    let mut discovery = discovery(&["s1", "s2"]);
    (0..100).for_each(|number| {
        discovery.learn("kept");
        discovery.learn(&format!("l{number}"));
    });
    let asked: BTreeSet<_> = discovery.next_addrs(1_000).into_iter().collect();
    assert_eq!(asked.len(), MAX_LEARNED + 2);
    for addr in ["s1", "s2", "kept", "l99"] {
        assert!(asked.contains(addr), "{addr} is missing");
    }
    assert!(!asked.contains("l0"));
}

/// Guards against a leader that looks for hosts it hears, or only for one of the others.
#[test]
fn missing_hosts_are_sought_in_turn() {
    let mut discovery = discovery(&["s1", "s2", "s3"]);
    let known = BTreeSet::from(["s2".to_owned()]);
    let sought: Vec<_> = (0..3).filter_map(|_| discovery.next_missing(&known)).collect();
    assert_eq!(sought, ["s1", "s3", "s1"]);
    let all = ["s1", "s2", "s3"].map(str::to_owned).into();
    assert_eq!(discovery.next_missing(&all), None);
}

/// Guards against a host that asks only the seeds of its start, or evicts the new ones.
#[test]
fn exchanged_seeds_are_asked() {
    let mut discovery = discovery(&["s1", "s2"]);
    discovery.learn("n1");
    discovery.set_seeds(["s2", "n1", "n2"].map(str::to_owned));
    assert_eq!(discovery.next_addrs(4), ["s2", "n1", "n2", "s1"]);
    (0..100).for_each(|number| discovery.learn(&format!("l{number}")));
    let asked = discovery.next_addrs(1_000);
    assert_eq!(asked.len(), MAX_LEARNED + 3);
    assert!(["s2", "n1", "n2"].iter().all(|seed| asked.iter().any(|addr| addr == seed)));
}
