//! Start of a control group whose hosts were all lost at once.

mod group;

use group::Group;
use rand::Rng;

/// Guards against a long gap after the loss of all processes: the hosts waited for
/// promises to a leader that did not run any more.
#[test]
fn group_elects_early_after_the_loss_of_all_processes() {
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
        group.until("a leader", 450, |group| group.leader().is_some());
        group.commit(1);
    }
}

/// Guards against hosts that start and take the lead from a leader that serves.
#[test]
fn hosts_that_restart_leave_the_leader_alone() {
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

/// Guards against two hosts that serve at the same time: hosts that have just started
/// forget what their earlier processes promised. [`Group`] checks it after every step.
#[test]
fn quick_restarts_never_make_two_leaders() {
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
                    group.links.insert((host.clone().min(other.clone()), host.max(other)));
                }
                6 => group.max_delay_ms = group.rng.random_range(5..80),
                _ => group.links.clear(),
            }
            let span = group.rng.random_range(5..250);
            group.run(span);
        }
        group.links.clear();
        group.max_delay_ms = 10;
        group.commit(1);
    }
}

/// Guards against an early election while a leader that is cut off still serves: all
/// other hosts have just started and know nothing of their promises.
#[test]
fn early_election_needs_the_earlier_leader() {
    for seed in 0..40 {
        let mut group = Group::formed(if seed % 2 == 0 { 3 } else { 5 }, seed);
        group.commit(1);
        let leader = group.leader().expect("a leader");
        let others = group.followers();
        group.cut.insert(leader);
        for name in &others {
            group.kill(name);
            group.start(name);
        }
        group.run(1_500);
        assert!(group.leader().is_some_and(|name| others.contains(&name)), "seed {seed}");
    }
}
