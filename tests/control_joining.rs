//! Hosts outside a control group with dynamic membership find their way in.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

mod group;

use std::collections::BTreeSet;

use group::{Group, Host};
use pomelopin::control::node::GroupPolicy;

/// Group with the seeds c1 to c3 and `size` hosts, of which up to seven are voters.
fn dynamic_group(size: usize, seed: u64) -> Group {
    let mut group = Group::formed(3, seed);
    group.configured = group.names();
    group.policy =
        GroupPolicy { dynamic_membership: true, may_bootstrap: false, ..GroupPolicy::default() };
    for name in group.names() {
        group.kill(&name);
        group.start(&name);
    }
    group.run_until("a leader", 3_000, |group| group.leader().is_some());
    for number in 4..=size {
        add_host(&mut group, &format!("c{number:02}"));
        let wanted = number.min(7);
        group.run_until("the new host is a voter", 8_000, |it| it.voter_count() == wanted);
    }
    group.commit(1);
    group.run(500);
    group
}

fn add_host(group: &mut Group, name: &str) {
    group.hosts.insert(name.to_owned(), Host::default());
    group.start(name);
}

/// Adds a host that is down for ever.
fn add_dead_host(group: &mut Group, name: &str) {
    group.hosts.insert(name.to_owned(), Host::default());
}

fn seeds(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn cut(group: &mut Group, first: &str, second: &str) {
    let pair = (first.min(second).to_owned(), first.max(second).to_owned());
    group.cut_links.insert(pair);
}

/// Whether the leader counts the running process of `name` as a voter.
fn is_voter(group: &Group, name: &str) -> bool {
    let Some(leader) = group.leader() else { return false };
    let id = group.hosts[name].node.as_ref().unwrap().id();
    group.hosts[&leader].node.as_ref().unwrap().members().0.contains_key(id)
}

fn term(group: &Group) -> u64 {
    let leader = group.leader().unwrap();
    group.hosts[&leader].node.as_ref().unwrap().role().term.0
}

/// Guards against removed hosts that ask only each other to let them in, because they are all of
/// the configured seeds: with nine hosts, the group lost its leader for ever with the next two.
/// They must not disturb the group meanwhile.
#[test]
fn removed_seeds_rejoin() {
    for seed in 0..5 {
        let mut group = dynamic_group(7, seed);
        group.partitioned = ["c1", "c2", "c3"].map(str::to_owned).into();
        group.run(14_000);
        group.run_until("a leader", 3_000, |group| group.leader().is_some());
        let before = term(&group);
        group.partitioned.clear();
        group.run_until("all hosts are voters again", 30_000, |it| it.voter_count() == 7);
        assert_eq!(term(&group), before, "seed {seed}: the removed hosts caused an election");
        group.commit(2);
    }
}

/// Guards against a host with an empty disk that knows only dead seeds, although the leader's
/// messages to its earlier id reach it.
#[test]
fn host_without_disk_and_seeds_finds_the_leader_that_sends_to_its_earlier_id() {
    let mut group = dynamic_group(4, 1);
    group.lose_disk("c04");
    add_dead_host(&mut group, "dead");
    group.configured = seeds(&["dead"]);
    group.start("c04");
    group.run_until("the host is a voter", 7_000, |it| is_voter(it, "c04"));
}

/// Guards against a new host that knows only a host without a leader.
#[test]
fn host_joins_through_a_leaderless_follower() {
    let mut group = dynamic_group(4, 2);
    let (leader, follower) = (group.leader().unwrap(), group.followers().remove(0));
    cut(&mut group, &leader, &follower);
    group.run(3_000);
    group.configured = vec![follower];
    add_host(&mut group, "new");
    group.run_until("the new host is a voter", 5_000, |it| is_voter(it, "new"));
}

/// Guards against a host that nobody looks for: it has lost its disk, all of its seeds are gone,
/// and the leader has removed its earlier id.
#[test]
fn leader_looks_for_a_removed_host_without_disk_and_seeds() {
    let mut group = dynamic_group(4, 3);
    let lost = group.followers().remove(0);
    group.lose_disk(&lost);
    group.run(12_000);
    add_dead_host(&mut group, "dead");
    group.configured = seeds(&["dead"]);
    group.start(&lost);
    group.run_until("the host is a voter", 15_000, |it| is_voter(it, &lost));
}

/// Guards against a group that ends without a leader, because a voter that has not received the
/// addition of the only host with the newest entry takes that host for a removed one.
#[test]
fn voter_that_is_behind_does_not_refuse_a_voter_it_does_not_know() {
    let mut group = dynamic_group(3, 4);
    let leader = group.leader().unwrap();
    let [behind, other] = <[String; 2]>::try_from(group.followers()).unwrap();
    group.kill(&behind);
    add_host(&mut group, "c04");
    group.run_until("the new host is a voter", 8_000, |it| it.voter_count() == 4);
    group.run(500);
    // Only the leader and the new host receive the next entry.
    cut(&mut group, &leader, &other);
    group.propose(&leader);
    group.run(60);
    group.lose_disk(&leader);
    group.cut_links.clear();
    group.start(&behind);
    group.run_until("a leader", 10_000, |group| group.leader().is_some());
    group.start(&leader);
    group.run_until("the lost host is replaced", 20_000, |it| is_voter(it, &leader));
    group.commit(2);
}

/// Guards against hosts beyond the largest number of voters that name a leader which is gone.
#[test]
fn cut_off_host_that_is_no_voter_names_no_leader() {
    let mut group = dynamic_group(9, 5);
    let is_outside = |group: &Group, name: &str| !is_voter(group, name);
    let outside: Vec<_> =
        group.names().into_iter().filter(|name| is_outside(&group, name)).collect();
    assert_eq!(outside.len(), 2);
    group.partitioned = BTreeSet::from_iter(outside.clone());
    group.run(1_500);
    for name in outside {
        let role = group.hosts[&name].node.as_ref().unwrap().role();
        assert_eq!(role.leader, None, "{name}");
    }
}

/// Guards against hellos that load a large group, whether it has a leader or not.
#[test]
fn search_for_the_group_costs_little() {
    for size in [9, 16] {
        let mut group = dynamic_group(size, 6);
        group.run(2_000);
        let quiet = hello_rates(&mut group);
        println!("{size} hosts with a leader: {quiet:?} hellos a second (mean, largest)");
        let leader = group.leader().unwrap();
        let voters = group.followers().into_iter().filter(|it| is_voter(&group, it));
        for name in voters.take(3).collect::<Vec<_>>() {
            group.kill(&name);
        }
        group.kill(&leader);
        group.run(5_000);
        assert_eq!(group.leader(), None);
        let searching = hello_rates(&mut group);
        println!("{size} hosts without a leader: {searching:?}");
        assert!(quiet.1 <= 20.0, "{size} hosts with a leader: {quiet:?}");
        assert!(searching.1 <= 150.0, "{size} hosts without a leader: {searching:?}");
    }
}

/// Mean and largest number of hellos a second that a host sends, including replies and hellos
/// that it passes on.
fn hello_rates(group: &mut Group) -> (f64, f64) {
    const SECONDS: u64 = 10;
    group.hellos_sent.clear();
    group.run(SECONDS * 1_000);
    let rate = |sent: &u64| *sent as f64 / SECONDS as f64;
    let rates: Vec<f64> = group.hellos_sent.values().map(rate).collect();
    let largest = rates.iter().copied().fold(0.0, f64::max);
    let running = group.hosts.values().filter(|host| host.node.is_some()).count();
    (rates.iter().sum::<f64>() / running as f64, largest)
}
