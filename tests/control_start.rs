//! Early elections of a control group after restarts.

mod group;

use group::Group;
use rand::Rng;

/// Guards against a long outage after all processes end at once: the restarted hosts
/// withheld their votes on behalf of a leader that no longer ran.
#[test]
fn restarted_group_elects_before_election_timeout() {
    for seed in 0..20 {
        let mut group = Group::formed(5, seed);
        group.commit(3);
        for name in group.names() {
            group.kill(&name);
        }
        group.run(300);
        for name in group.names() {
            group.start(&name);
        }
        group.run_until("a leader", 450, |group| group.leader().is_some());
        group.commit(1);
    }
}

/// Guards against restarted hosts that depose a serving leader.
#[test]
fn restarted_followers_do_not_depose_leader() {
    for seed in 0..20 {
        let mut group = Group::formed(5, seed);
        let leader = group.leader();
        for name in group.followers().into_iter().take(2) {
            group.kill(&name);
            group.run(50);
            group.start(&name);
        }
        group.run(1_000);
        assert_eq!(group.leader(), leader, "seed {seed}");
    }
}

/// Guards against two hosts that serve at the same time because restarted hosts do not
/// know which leader their earlier processes followed. [`Group`] checks after every step.
#[test]
fn quick_restarts_never_yield_two_leaders() {
    for seed in 0..150 {
        let mut group = Group::formed(if seed % 2 == 0 { 3 } else { 5 }, seed);
        let names = group.names();
        for _ in 0..60 {
            let host = names[group.rng.random_range(0..names.len())].clone();
            let other = names[group.rng.random_range(0..names.len())].clone();
            match group.rng.random_range(0..8) {
                0..4 => {
                    group.kill(&host);
                    group.start(&host);
                }
                4 | 5 => {
                    group.cut_links.insert((host.clone().min(other.clone()), host.max(other)));
                }
                6 => group.max_delay_ms = group.rng.random_range(5..80),
                _ => group.cut_links.clear(),
            }
            let span = group.rng.random_range(5..250);
            group.run(span);
        }
        group.cut_links.clear();
        group.max_delay_ms = 10;
        group.commit(1);
    }
}

/// Guards against an early election while a partitioned leader still serves: all other
/// hosts have just restarted and do not know that their earlier processes followed it.
#[test]
fn early_election_waits_for_lease_of_partitioned_leader() {
    for seed in 0..40 {
        let mut group = Group::formed(if seed % 2 == 0 { 3 } else { 5 }, seed);
        group.commit(1);
        let leader = group.leader().expect("a leader");
        let others = group.followers();
        group.partitioned.insert(leader);
        for name in &others {
            group.kill(name);
            group.start(name);
        }
        group.run(1_500);
        assert!(group.leader().is_some_and(|name| others.contains(&name)), "seed {seed}");
    }
}
