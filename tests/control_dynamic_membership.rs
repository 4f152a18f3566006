//! Control group with dynamic membership: hosts that are not configured may join.

#[path = "group/mod.rs"]
mod group;

use group::{Group, Host};
use pomelopin::{clock::Millis, control::node::GroupPolicy};

fn dynamic_group(seed: u64) -> Group {
    dynamic_group_with(seed, GroupPolicy { dynamic_membership: true, ..GroupPolicy::default() })
}

fn dynamic_group_with(seed: u64, policy: GroupPolicy) -> Group {
    let mut group = Group::formed(3, seed);
    // A group without data waits for further voters before it serves.
    group.commit(1);
    group.configured = group.names();
    group.policy = policy;
    for name in group.names() {
        group.kill(&name);
        group.start(&name);
    }
    group.run_until("a leader", 3_000, |group| group.leader().is_some());
    group
}

fn add_host(group: &mut Group, name: &str) {
    group.hosts.insert(name.to_owned(), Host::default());
    group.policy.may_bootstrap = false;
    group.start(name);
}

/// Guards against a new host that never joins because it knows only followers.
#[test]
fn host_joins_through_a_follower() {
    let mut group = dynamic_group(1);
    group.configured = group.followers();
    add_host(&mut group, "c4");
    group.run_until("the new host is a voter", 5_000, |group| group.voter_count() == 4);
    group.commit(2);
}

/// Guards against a lost host that remains a voter: after two more losses the group would
/// have no majority, although enough hosts had joined.
#[test]
fn unresponsive_voter_is_removed() {
    let mut group = dynamic_group(2);
    add_host(&mut group, "c4");
    group.run_until("the new host is a voter", 5_000, |group| group.voter_count() == 4);
    let lost = group.followers().into_iter().find(|name| name != "c4").unwrap();
    group.kill(&lost);
    group.run_until("the lost host is removed", 12_000, |group| group.voter_count() == 3);
    group.commit(2);
}

/// Guards against a host that never rejoins after its removal during a partition.
#[test]
fn removed_host_rejoins() {
    let mut group = dynamic_group(3);
    add_host(&mut group, "c4");
    group.run_until("the new host is a voter", 5_000, |group| group.voter_count() == 4);
    let partitioned = group.followers().remove(0);
    group.partitioned.insert(partitioned);
    group.run_until("the partitioned host is removed", 12_000, |group| group.voter_count() == 3);
    group.partitioned.clear();
    group.run_until("the host is a voter again", 8_000, |group| group.voter_count() == 4);
    group.commit(2);
}

/// Guards against a second group: hosts that lost their disks must not bootstrap one.
#[test]
fn hosts_that_may_not_bootstrap_create_no_group() {
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

/// Guards against the removal of so many unresponsive hosts that the remaining voters do
/// not hold a majority of the former group.
#[test]
fn group_keeps_at_least_three_voters() {
    let mut group = dynamic_group(5);
    let lost = group.followers().remove(0);
    group.kill(&lost);
    group.run(15_000);
    assert_eq!(group.voter_count(), 3);
}

/// Guards against a split that costs the group its voters: later all hosts are back, two disks
/// are lost, and no majority is left.
#[test]
fn group_survives_lost_disks_after_a_long_split() {
    for seed in 0..8 {
        let policy =
            GroupPolicy { dynamic_membership: true, tolerated_losses: 2, ..GroupPolicy::default() };
        let mut group = dynamic_group_with(seed, policy);
        for number in 4..=9 {
            add_host(&mut group, &format!("c{number}"));
        }
        group.run_until("seven hosts vote", 10_000, |group| group.voter_count() == 7);
        group.commit(2);
        // The hosts that all others know from their settings, the leader among them.
        group.partitioned.extend(["c1", "c2", "c3"].map(str::to_owned));
        group.run(14_000);
        group.partitioned.clear();
        group.run(6_000);
        group.commit(1);
        for name in group.voters().into_iter().take(2) {
            group.lose_disk(&name);
        }
        for name in group.names() {
            group.kill(&name);
        }
        group.run(500);
        for name in group.names() {
            group.start(&name);
        }
        group.run_until("a leader", 5_000, |group| group.leader().is_some());
        group.commit(1);
    }
}
