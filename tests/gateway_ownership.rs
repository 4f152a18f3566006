//! Choice of the entry host that holds the connections to a target.

use pomelopin::{
    clock::Millis,
    fleet::messages::EntryHost,
    gateway::ownership::{OwnerRole, OwnerSelection, OwnerTracker, connection_quota},
    ids::{HostId, InstanceId},
};

fn ranked() -> Vec<EntryHost> {
    let host = |id: &str| EntryHost { id: id.into(), addr: format!("{id}:1"), domain: "a".into() };
    ["h1", "h2", "h3"].map(host).into()
}

/// What the host `own` knows.
struct Situation {
    own: &'static str,
    now: Millis,
    reaches: bool,
    owners: OwnerTracker,
    unusable: Vec<&'static str>,
    tried: Vec<HostId>,
}

impl Situation {
    fn of(own: &'static str) -> Self {
        let owners = OwnerTracker::default();
        Self { own, now: Millis(0), reaches: true, owners, unusable: Vec::new(), tried: Vec::new() }
    }

    fn chosen(&self) -> Option<String> {
        let (own, target) = (HostId::from(self.own), InstanceId::from("t"));
        let choice = OwnerSelection {
            now: self.now,
            target: &target,
            own: &own,
            reaches: self.reaches,
            owners: &self.owners,
            tried: &self.tried,
        };
        let is_usable = |host: &EntryHost| !self.unusable.contains(&host.id.as_str());
        choice.choose(&ranked(), is_usable).map(|host| host.id.to_string())
    }
}

/// Guards against work that stays at an owner which is cut off from the target while
/// another host reaches it (kcrc-pool scale-1, primary cut from 65 % of the hosts).
#[test]
fn owner_that_does_not_reach_the_target_is_left_out() {
    let mut situation = Situation::of("h3");
    assert_eq!(situation.chosen().as_deref(), Some("h1"));
    situation.owners.block(Millis(0), &"t".into(), &"h1".into());
    assert_eq!(situation.chosen().as_deref(), Some("h2"));
    situation.unusable = vec!["h2"];
    assert_eq!(situation.chosen(), None, "h3 itself is left");
    situation.now = Millis(1_500);
    assert_eq!(situation.chosen().as_deref(), Some("h1"), "it is asked again");
}

/// Guards against a host that refuses work because it is cut off from a target that
/// other hosts reach.
#[test]
fn host_that_is_cut_off_uses_another_one() {
    let mut situation = Situation::of("h1");
    assert_eq!(situation.chosen(), None, "h1 is the owner");
    situation.reaches = false;
    assert_eq!(situation.chosen().as_deref(), Some("h2"));
    situation.tried = vec!["h1".into(), "h2".into()];
    assert_eq!(situation.chosen().as_deref(), Some("h3"));
}

/// Guards against "all connections are in use" at a host that replaces an owner, which
/// had the one connection of a host that owns nothing.
#[test]
fn host_that_serves_others_has_more_connections() {
    let mut owners = OwnerTracker::default();
    assert!(!owners.serves(Millis(0), &"t".into()));
    owners.serve(Millis(0), &"t".into());
    assert!(owners.serves(Millis(100), &"t".into()));
    assert!(!owners.serves(Millis(5_000), &"t".into()), "the owner is back");
    let part = |all, hosts, part| connection_quota(all, hosts, part, false);
    assert_eq!(part(16, 7, OwnerRole::Owner), 12);
    assert_eq!(part(16, 7, OwnerRole::Fallback), 2);
    assert_eq!(part(16, 7, OwnerRole::Other), 1);
    assert_eq!(part(270, 83, OwnerRole::Fallback), 34);
    assert_eq!(part(16, 0, OwnerRole::Other), 1);
}

/// Guards against orders of control that are refused because hosts hold all connections
/// of a target: a draining primary was not replaced in time (scb-pomelopin,
/// cut-targets.toml --vary --seed 525533152436).
#[test]
fn control_finds_connections_during_a_change() {
    for all in [16, 28, 50, 270] {
        let used = connection_quota(all, 7, OwnerRole::Owner, true)
            + connection_quota(all, 7, OwnerRole::Fallback, true);
        assert!(all - used >= 4, "{all} connections, {used} used by two hosts");
    }
}
