//! Selection of the entry host that owns a target, and its number of connections.

use pomelopin::{
    clock::Millis,
    fleet::messages::EntryHost,
    gateway::ownership::{OwnerRole, OwnerSelection, OwnerTracker, connection_quota},
    ids::{HostId, InstanceId},
};

fn ranked_hosts() -> Vec<EntryHost> {
    let host = |id: &str| EntryHost { id: id.into(), addr: format!("{id}:1"), domain: "a".into() };
    ["h1", "h2", "h3"].map(host).into()
}

/// Inputs of the selection at the host `own`.
struct Scenario {
    own: &'static str,
    now: Millis,
    reachable: bool,
    owners: OwnerTracker,
    unusable: Vec<&'static str>,
    tried: Vec<HostId>,
}

impl Scenario {
    fn new(own: &'static str) -> Self {
        let owners = OwnerTracker::default();
        Self {
            own,
            now: Millis(0),
            reachable: true,
            owners,
            unusable: Vec::new(),
            tried: Vec::new(),
        }
    }

    fn selected(&self) -> Option<String> {
        let (own, target) = (HostId::from(self.own), InstanceId::from("t"));
        let selection = OwnerSelection {
            now: self.now,
            target: &target,
            own: &own,
            reachable: self.reachable,
            owners: &self.owners,
            tried: &self.tried,
        };
        let is_usable = |host: &EntryHost| !self.unusable.contains(&host.id.as_str());
        selection.select(&ranked_hosts(), is_usable).map(|host| host.id.to_string())
    }
}

/// Guards against jobs that keep going to an owner that cannot reach the target, while
/// another host can; seen when a primary was partitioned from 65 % of the hosts (scenario
/// scale-1 on kcrc-pool).
#[test]
fn owner_that_cannot_reach_the_target_is_skipped() {
    let mut scenario = Scenario::new("h3");
    assert_eq!(scenario.selected().as_deref(), Some("h1"));
    scenario.owners.block(Millis(0), &"t".into(), &"h1".into());
    assert_eq!(scenario.selected().as_deref(), Some("h2"));
    scenario.unusable = vec!["h2"];
    assert_eq!(scenario.selected(), None, "only h3 itself is left");
    scenario.now = Millis(1_500);
    assert_eq!(scenario.selected().as_deref(), Some("h1"), "the block has expired");
}

/// Guards against a host that refuses jobs because it cannot reach a target that other
/// hosts can.
#[test]
fn partitioned_host_uses_another_host() {
    let mut scenario = Scenario::new("h1");
    assert_eq!(scenario.selected(), None, "h1 is the owner");
    scenario.reachable = false;
    assert_eq!(scenario.selected().as_deref(), Some("h2"));
    scenario.tried = vec!["h1".into(), "h2".into()];
    assert_eq!(scenario.selected().as_deref(), Some("h3"));
}

/// Guards against "all connections are in use" at a host that stands in for an owner: it
/// had only the one connection of a host that owns nothing.
#[test]
fn fallback_owner_may_hold_more_connections() {
    let mut owners = OwnerTracker::default();
    assert!(!owners.is_serving(Millis(0), &"t".into()));
    owners.record_served(Millis(0), &"t".into());
    assert!(owners.is_serving(Millis(100), &"t".into()));
    assert!(!owners.is_serving(Millis(5_000), &"t".into()), "the owner is back");
    let quota = |max, hosts, role| connection_quota(max, hosts, 1, role, false);
    assert_eq!(quota(16, 7, OwnerRole::Owner(1)), 12);
    assert_eq!(quota(16, 7, OwnerRole::Fallback), 2);
    assert_eq!(quota(16, 7, OwnerRole::Other), 1);
    assert_eq!(quota(270, 83, OwnerRole::Fallback), 34);
    assert_eq!(quota(16, 0, OwnerRole::Other), 1);
}

/// Guards against commands of control that are refused because entry hosts hold all
/// connections of a target: a draining primary was not replaced in time
/// (scb-pomelopin, cut-targets.toml --vary --seed 525533152436).
#[test]
fn connections_are_left_to_control_during_a_change() {
    for (max, shards) in [(16, 1), (28, 1), (50, 1), (270, 1), (70, 2), (270, 4)] {
        let used = connection_quota(max, 7, shards, OwnerRole::Owner(1), true)
            + connection_quota(max, 7, shards, OwnerRole::Fallback, true);
        assert!(max - used * shards >= 4, "{max} connections, {used} used by two hosts a shard");
    }
}
