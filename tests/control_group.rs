//! Recovery of a control group from failures of its hosts, disks and network.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

mod group;

use group::Group;
use pomelopin::control::{membership::MAX_VOTERS, node::Role};

/// Name, number of hosts and script of a failure. After the script, the group must commit
/// further commands and all running hosts must agree on the state.
type Case = (&'static str, usize, fn(&mut Group));

const CASES: &[Case] = &[
    ("leader killed", 3, leader_killed),
    ("leader killed, five hosts", 5, leader_killed),
    ("leader partitioned, delayed messages arrive", 3, leader_partitioned),
    ("leader partitioned, delayed messages arrive, five hosts", 5, leader_partitioned),
    ("disk of a follower lost", 3, follower_disk_lost),
    ("disk of the leader lost", 3, leader_disk_lost),
    ("disk of a follower lost, four hosts", 4, follower_disk_lost),
    ("disk of the leader lost, four hosts", 4, leader_disk_lost),
    ("disk of a follower lost, six hosts", 6, follower_disk_lost),
    ("second host lost right after a replacement", 3, second_host_lost_after_replacement),
    ("leader frozen", 3, leader_frozen),
    ("follower partitioned for 20 s", 3, follower_partitioned),
    ("one link cut", 3, link_cut),
    ("one link cut, five hosts", 5, link_cut),
    ("restart of all hosts after hundreds of entries", 3, all_hosts_restarted),
    ("follower behind the snapshot", 3, follower_needs_snapshot),
    ("host without disk joins after compaction", 5, replaced_host_needs_snapshot),
    ("crash between the outputs of a step", 3, crash_between_outputs),
    ("lossy and slow network", 5, lossy_network),
    ("disks that stall for seconds", 3, slow_disks),
];

#[test]
fn group_recovers_from_each_failure() {
    for (what, size, script) in CASES {
        for seed in 0..10 {
            println!("case: {what}, seed {seed}");
            let mut group = Group::formed(*size, seed);
            group.commit(3);
            script(&mut group);
            group.commit(3);
            group.run_until("agreement", 10_000, Group::all_agree);
        }
    }
}

fn leader_killed(group: &mut Group) {
    let leader = group.leader().unwrap();
    group.kill(&leader);
    // Guards against an election that takes longer than the leases of entry hosts.
    group.run_until("a new leader", 1_500, |group| group.leader().is_some());
    group.commit(2);
    group.start(&leader);
}

fn leader_partitioned(group: &mut Group) {
    let old = group.leader().unwrap();
    group.keep_partitioned_messages = true;
    group.partitioned.insert(old.clone());
    // The old leader must not commit its proposal and must stop serving.
    group.propose(&old);
    let before = group.committed_count();
    group.run_until("the old leader stops serving", 500, |group| group.leader().is_none());
    group.run_until("another leader", 1_500, |group| group.leader().is_some());
    assert_ne!(group.leader().unwrap(), old);
    assert_eq!(group.committed_count(), before);
    group.run(2_000);
    assert_eq!(group.hosts[&old].node.as_ref().unwrap().role().role, Role::Candidate);
    group.commit(2);
    group.partitioned.clear();
    group.run(1_000);
    assert_ne!(group.leader().unwrap(), old, "delayed messages made the old leader serve again");
}

fn follower_disk_lost(group: &mut Group) {
    let lost = group.followers().remove(0);
    lose_and_replace_disk(group, &lost);
}

fn leader_disk_lost(group: &mut Group) {
    let lost = group.leader().unwrap();
    lose_and_replace_disk(group, &lost);
}

/// Replaces the disk of a host. The host joins under a new id, and its old id is removed.
fn lose_and_replace_disk(group: &mut Group, lost: &str) {
    let old = group.hosts[lost].node.as_ref().unwrap().id().clone();
    group.lose_disk(lost);
    group.run(1_500);
    group.start(lost);
    group.run_until("replacement", 5_000, Group::is_healthy);
    let leader = group.leader().unwrap();
    let members = group.hosts[&leader].node.as_ref().unwrap().members();
    assert!(!members.0.contains_key(&old));
}

fn second_host_lost_after_replacement(group: &mut Group) {
    let lost = group.followers();
    lose_and_replace_disk(group, &lost[0]);
    group.kill(&lost[1]);
    group.commit(3);
    group.start(&lost[1]);
}

fn leader_frozen(group: &mut Group) {
    let old = group.leader().unwrap();
    group.freeze(&old, true);
    group.run_until("another leader", 1_500, |group| group.leader().is_some());
    group.commit(2);
    group.freeze(&old, false);
    // `Group::run` checks after every step that only one host serves: the old leader must
    // not serve before it has processed the messages in its queue.
    group.run(1_000);
}

fn follower_partitioned(group: &mut Group) {
    let (leader, cut) = (group.leader().unwrap(), group.followers().remove(0));
    let term = group.hosts[&leader].node.as_ref().unwrap().role().term;
    group.partitioned.insert(cut);
    group.run(20_000);
    group.partitioned.clear();
    group.run(3_000);
    // Pre-votes keep the partitioned host from raising the term.
    assert_eq!(group.hosts[&leader].node.as_ref().unwrap().role().term, term);
    assert_eq!(group.leader(), Some(leader));
}

/// Guards against an election by a single host that does not reach the leader, while the
/// leader relies on its lease.
fn link_cut(group: &mut Group) {
    let (leader, follower) = (group.leader().unwrap(), group.followers().remove(0));
    let pair = (leader.clone().min(follower.clone()), leader.clone().max(follower));
    group.cut_links.insert(pair);
    group.run(10_000);
    assert_eq!(group.leader(), Some(leader));
    group.cut_links.clear();
}

fn all_hosts_restarted(group: &mut Group) {
    group.commit(400);
    for name in group.names() {
        group.kill(&name);
    }
    group.run(1_000);
    for name in group.names() {
        group.start(&name);
    }
    group.run_until("a leader", 3_000, |group| group.leader().is_some());
    assert!(group.committed_count() >= 403);
}

fn follower_needs_snapshot(group: &mut Group) {
    group.compact_after_entries = 50;
    let behind = group.followers().remove(0);
    group.kill(&behind);
    // More than the entries that are kept before a snapshot.
    group.commit(700);
    group.start(&behind);
}

fn replaced_host_needs_snapshot(group: &mut Group) {
    group.compact_after_entries = 50;
    group.commit(700);
    let lost = group.followers().remove(0);
    lose_and_replace_disk(group, &lost);
}

fn crash_between_outputs(group: &mut Group) {
    for outputs in 0..12 {
        let name = group.names()[outputs % 3].clone();
        group.hosts.get_mut(&name).unwrap().crash_after = Some(outputs / 3);
        for _ in 0..20 {
            if let Some(leader) = group.leader() {
                group.propose(&leader);
            }
            group.run(50);
        }
        group.hosts.get_mut(&name).unwrap().crash_after = None;
        group.kill(&name);
        group.start(&name);
        group.run_until("a leader", 5_000, |group| group.leader().is_some());
    }
}

fn lossy_network(group: &mut Group) {
    group.drop_percent = 20;
    group.max_delay_ms = 60;
    for _ in 0..40 {
        if let Some(leader) = group.leader() {
            group.propose(&leader);
        }
        group.run(100);
    }
    assert!(
        group.committed_count() > 20,
        "only {} commands were committed",
        group.committed_count()
    );
    group.drop_percent = 0;
}

/// Guards against the loss of leadership, and with it of leases, because of a slow sync.
fn slow_disks(group: &mut Group) {
    let leader = group.leader();
    group.max_sync_ms = 3_000;
    for _ in 0..5 {
        group.propose(leader.as_ref().unwrap());
        group.run(1_000);
        assert_eq!(group.leader(), leader);
    }
    group.max_sync_ms = 5;
    group.run(3_000);
}

/// Guards against a second group: a host that lost its disk bootstraps one while the
/// other hosts are down.
#[test]
fn host_without_disk_does_not_bootstrap_second_group() {
    let mut group = Group::formed(3, 1);
    group.commit(3);
    for name in ["c2", "c3"] {
        group.kill(name);
    }
    group.lose_disk("c1");
    group.start("c1");
    group.run(10_000);
    assert_eq!(group.leader(), None);
    assert!(group.hosts["c1"].node.as_ref().unwrap().members().0.is_empty());
    // A majority of the voters still holds the log.
    for name in ["c2", "c3"] {
        group.start(name);
    }
    group.commit(1);
    group.run_until("agreement", 10_000, Group::all_agree);
}

/// Guards against a group of the largest size that never replaces a host: the new id is not added
/// because there are enough voters, and the old one is not removed before the new one is added.
#[test]
fn largest_group_replaces_a_lost_disk() {
    let mut group = Group::formed(MAX_VOTERS, 1);
    group.commit(3);
    follower_disk_lost(&mut group);
    leader_disk_lost(&mut group);
    group.commit(3);
    group.run_until("agreement", 10_000, Group::all_agree);
}
