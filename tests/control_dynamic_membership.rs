//! Control group that hosts outside the settings may join.

#[path = "group/mod.rs"]
mod group;

use group::{Group, Host};
use pomelopin::{clock::Millis, control::node::GroupPolicy};

fn open_group(seed: u64) -> Group {
    let mut group = Group::formed(3, seed);
    group.seeds = group.names();
    group.policy = GroupPolicy { dynamic_membership: true, ..GroupPolicy::default() };
    for name in group.names() {
        group.kill(&name);
        group.start(&name);
    }
    group.until("a leader", 3_000, |group| group.leader().is_some());
    group
}

fn add(group: &mut Group, name: &str) {
    group.hosts.insert(name.to_owned(), Host::default());
    group.policy.may_bootstrap = false;
    group.start(name);
}

/// Guards against a host at a new address that knows only hosts that do not lead and
/// is never taken in.
#[test]
fn host_joins_through_a_follower() {
    let mut group = open_group(1);
    group.seeds = group.followers();
    add(&mut group, "c4");
    group.until("the new host votes", 5_000, |group| group.voters() == 4);
    group.commit(2);
}

/// Guards against a group that counts a lost host for ever: with two more losses it
/// would have no majority, although enough hosts had joined.
#[test]
fn silent_voter_is_removed() {
    let mut group = open_group(2);
    add(&mut group, "c4");
    group.until("the new host votes", 5_000, |group| group.voters() == 4);
    let lost = group.followers().into_iter().find(|name| name != "c4").unwrap();
    group.kill(&lost);
    group.until("the lost host is removed", 12_000, |group| group.voters() == 3);
    group.commit(2);
}

/// Guards against a host that was removed while it was cut off and stays out for
/// ever.
#[test]
fn removed_host_joins_again() {
    let mut group = open_group(3);
    add(&mut group, "c4");
    group.until("the new host votes", 5_000, |group| group.voters() == 4);
    let cut = group.followers().remove(0);
    group.cut.insert(cut);
    group.until("the silent host is removed", 12_000, |group| group.voters() == 3);
    group.cut.clear();
    group.until("it votes again", 8_000, |group| group.voters() == 4);
    group.commit(2);
}

/// Guards against a second group: hosts that lost their disks must not form one.
#[test]
fn blank_hosts_that_may_not_form_stay_blank() {
    let mut group = Group::new(3, 4);
    group.policy =
        GroupPolicy { dynamic_membership: true, may_bootstrap: false, ..GroupPolicy::default() };
    for name in group.names() {
        group.kill(&name);
        group.start(&name);
    }
    group.run(5_000);
    assert!(group.leader().is_none());
    assert!(group.now > Millis(0));
}

/// Guards against the removal of so many silent hosts that the rest has no majority
/// of what it had.
#[test]
fn three_voters_are_never_reduced() {
    let mut group = open_group(5);
    let lost = group.followers().remove(0);
    group.kill(&lost);
    group.run(15_000);
    assert_eq!(group.voters(), 3);
}
