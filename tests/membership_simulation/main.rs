//! No failure that the control group must bear may lose an acknowledged entry, or leave the
//! group without a leader for ever: splits, losses of power, lost and hanging disks, frozen
//! processes and replaced hosts, drawn at random and overlapping, in virtual time.

#![allow(clippy::unwrap_used, reason = "a failed step ends the test")]

mod data_folder;
mod faults;
mod group;
mod host;
mod ledger;
mod network;
mod recovery;

use std::ops::Range;

use faults::Faults;
use group::{Group, SEED_COUNT};
use indexmap::IndexMap;
use ledger::ViolationKind;
use pomelopin::control::membership::MAX_VOTERS;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of hosts, and of disks that may be lost at the same time.
#[derive(Debug, Clone, Copy)]
struct Size {
    hosts: usize,
    tolerated_losses: usize,
}

const FIVE_HOSTS: Size = Size { hosts: 5, tolerated_losses: 1 };
const NINE_HOSTS: Size = Size { hosts: 9, tolerated_losses: 2 };

/// Number of times that faults overlap in one run, with calm in between.
const ROUNDS: usize = 3;

/// Largest number of faults that begin in a round.
const MAX_FAULTS: usize = 8;

/// Longest time between two faults of a round, and between two rounds.
const MAX_FAULT_INTERVAL_MS: u64 = 3_500;
const MAX_CALM_MS: u64 = 10_000;

/// Duration of the split in the traced run.
const TRACED_SPLIT_MS: u64 = 14_000;

/// Time between the end of that split and the loss of the disks.
const TRACED_CALM_MS: u64 = 7_000;

/// Time for which a disk hangs while the other hosts take snapshots, and its part under another
/// leader.
const HANGING_DISK_MS: u64 = 14_000;
const OTHER_LEADER_MS: u64 = 4_000;

/// Seeds: `MEMBERSHIP_SIMULATION_SEEDS`, or a few for a short run, from
/// `MEMBERSHIP_SIMULATION_FIRST_SEED` on.
fn seeds() -> Range<u64> {
    let read = |name| std::env::var(name).ok().and_then(|it| it.parse().ok());
    let first = read("MEMBERSHIP_SIMULATION_FIRST_SEED").unwrap_or(0);
    first..first + read("MEMBERSHIP_SIMULATION_SEEDS").unwrap_or(8)
}

/// Runs a group through random faults. In the end as many disks are lost as is tolerated, when
/// all hosts lose their power or around a long split.
fn run(seed: u64, size: Size) -> Group {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xca1f);
    let mut group = Group::formed(size.hosts, size.tolerated_losses, seed);
    let mut faults = Faults::new(seed, size.tolerated_losses);
    faults.run(&mut group, MAX_CALM_MS);
    for _ in 0..ROUNDS {
        for _ in 0..rng.random_range(1..=MAX_FAULTS) {
            faults.begin_random(&mut group);
            faults.run(&mut group, MAX_FAULT_INTERVAL_MS);
        }
        faults.run_until_calm(&mut group);
        faults.run(&mut group, MAX_CALM_MS);
    }
    if rng.random_bool(0.5) {
        faults.lose_disks_and_power(&mut group);
    } else {
        faults.lose_disks_around_split(&mut group);
    }
    faults.run_until_calm(&mut group);
    recovery::check(&mut group);
    group
}

/// Runs all seeds, and prints which failed by their first violation.
fn check(size: Size) {
    let mut kinds: IndexMap<ViolationKind, Vec<u64>> = IndexMap::new();
    let mut first_failure = None;
    let mut acknowledged = 0;
    for seed in seeds() {
        let group = run(seed, size);
        acknowledged += group.ledger.acknowledged();
        if let Some(violation) = &group.ledger.violation {
            kinds.entry(violation.kind).or_default().push(seed);
            let explain = || format!("seed {seed}: {violation}\n{}", group.explain());
            first_failure.get_or_insert_with(explain);
        }
    }
    let failed: usize = kinds.values().map(Vec::len).sum();
    println!("{size:?}: {failed} of {} runs, {acknowledged} entries", seeds().count());
    for (kind, seeds) in kinds {
        println!("  {}: {kind}, seeds {seeds:?}", seeds.len());
    }
    assert!(first_failure.is_none(), "{}", first_failure.unwrap_or_default());
    assert!(acknowledged > 100 * seeds().count() as u64, "{acknowledged} entries");
}

/// Guards against lost entries and against a group without a leader, after faults that a group
/// of five hosts must bear.
#[test]
fn five_hosts_bear_the_loss_of_one_disk_amid_other_faults() {
    check(FIVE_HOSTS);
}

/// The same for nine hosts, of which two are no voters at any time.
#[test]
fn nine_hosts_bear_the_loss_of_two_disks_amid_other_faults() {
    check(NINE_HOSTS);
}

/// Guards against a group that has no quorum for ever: a leader removed the voters behind a
/// split, these asked only each other to let them in, and then two of four voters lost their
/// disks.
#[test]
fn group_keeps_its_quorum_when_two_disks_are_lost_after_a_split() {
    for seed in 0..4 {
        let mut group = Group::formed(NINE_HOSTS.hosts, NINE_HOSTS.tolerated_losses, seed);
        let mut faults = Faults::new(seed, NINE_HOSTS.tolerated_losses);
        let is_seed = |host: &usize| *host < SEED_COUNT;
        let remaining: Vec<_> = group.voters().into_iter().filter(|it| !is_seed(it)).collect();
        assert_eq!(remaining.len(), MAX_VOTERS - SEED_COUNT, "all seeds vote");
        let side = group.present().into_iter().filter(|it| !remaining.contains(it)).collect();
        faults.split(&mut group, side, TRACED_SPLIT_MS);
        faults.run_until_calm(&mut group);
        group.run(TRACED_CALM_MS);
        for host in remaining.into_iter().take(NINE_HOSTS.tolerated_losses) {
            faults.lose_disk(&mut group, host);
        }
        faults.run_until_calm(&mut group);
        recovery::check(&mut group);
        let violation = group.ledger.violation.as_ref();
        assert!(violation.is_none(), "seed {seed}: {violation:?}\n{}", group.explain());
    }
}

/// Guards against a leader that sends the snapshot in an endless loop until it has no memory
/// left: the synced log of a voter whose disk hangs ends before the leader's log begins.
#[test]
fn new_leader_does_not_hang_on_a_voter_whose_disk_hangs() {
    for seed in 0..4 {
        let mut group = Group::formed(FIVE_HOSTS.hosts, FIVE_HOSTS.tolerated_losses, seed);
        let leader = group.leader().unwrap();
        let slow = (leader + 1) % FIVE_HOSTS.hosts;
        group.hosts[slow].disk_hangs_until = group.now + HANGING_DISK_MS;
        group.run(HANGING_DISK_MS - OTHER_LEADER_MS);
        group.kill(leader);
        group.run(OTHER_LEADER_MS);
        group.start(leader);
        recovery::check(&mut group);
        let violation = group.ledger.violation.as_ref();
        assert!(violation.is_none(), "seed {seed}: {violation:?}\n{}", group.explain());
    }
}

/// Guards against a group that has no quorum for ever: voters that were replaced for good under
/// other addresses are still on the list, and their successors are not, when the next disks are
/// lost.
#[test]
fn replaced_hosts_vote_before_the_next_disks_are_lost() {
    for seed in 0..4 {
        let mut group = Group::formed(NINE_HOSTS.hosts, NINE_HOSTS.tolerated_losses, seed);
        let mut faults = Faults::new(seed, NINE_HOSTS.tolerated_losses);
        let voters = group.voters();
        let (replaced, others) = voters.split_at(NINE_HOSTS.tolerated_losses);
        for host in replaced {
            let successor = group.replace(*host);
            group.start(successor);
        }
        group.run(faults::RESTORED_AFTER_MS);
        for host in others.iter().take(NINE_HOSTS.tolerated_losses) {
            faults.lose_disk(&mut group, *host);
        }
        faults.run_until_calm(&mut group);
        recovery::check(&mut group);
        let violation = group.ledger.violation.as_ref();
        assert!(violation.is_none(), "seed {seed}: {violation:?}\n{}", group.explain());
    }
}

/// Time for which the successor of a replaced host has run before the next disks are lost. The
/// leader begins to remove silent voters in this span.
const LOSS_AFTER_MS: Range<u64> = faults::RESTORED_AFTER_MS..7_500;
const LOSS_STEP_MS: usize = 25;

/// When the leader is frozen after a loss, and for how long. It counts silences anew after that.
const FREEZE_AFTER_MS: u64 = 2_600;
const FREEZE_MS: u64 = 400;

/// Guards against a group that has no quorum for ever: a leader removed a voter that was only cut
/// off, while a replaced one was still on the list, and then two other voters lost their disks.
#[test]
fn cut_off_voter_is_not_given_up_before_replaced_ones() {
    let mut failed = Vec::new();
    for seed in 0..2 {
        for loss_after_ms in LOSS_AFTER_MS.step_by(LOSS_STEP_MS) {
            let mut group = Group::formed(NINE_HOSTS.hosts, NINE_HOSTS.tolerated_losses, seed);
            let mut faults = Faults::new(seed, NINE_HOSTS.tolerated_losses);
            let leader = group.leader().unwrap();
            let others: Vec<_> = group.voters().into_iter().filter(|it| *it != leader).collect();
            let successor = group.replace(others[1]);
            group.start(successor);
            faults.split(&mut group, [others[0]].into(), 14_000);
            group.run(FREEZE_AFTER_MS);
            group.freeze(leader, FREEZE_MS);
            group.run(loss_after_ms - FREEZE_AFTER_MS);
            for host in &others[2..4] {
                faults.lose_disk(&mut group, *host);
            }
            faults.run_until_calm(&mut group);
            recovery::check(&mut group);
            if let Some(violation) = &group.ledger.violation {
                if failed.is_empty() {
                    println!("{violation}\n{}", group.explain());
                }
                failed.push((seed, loss_after_ms));
            }
        }
    }
    assert!(failed.is_empty(), "seeds and times of the loss in ms: {failed:?}");
}

/// Guards against a group that has no quorum for ever: a new leader, which counts silences anew,
/// kept the successors of replaced hosts out until the next disks were lost.
#[test]
fn replaced_hosts_vote_in_time_although_the_leader_changes() {
    for seed in 0..4 {
        let mut group = Group::formed(NINE_HOSTS.hosts, NINE_HOSTS.tolerated_losses, seed);
        let mut faults = Faults::new(seed, NINE_HOSTS.tolerated_losses);
        let leader = group.leader().unwrap();
        let others: Vec<_> = group.voters().into_iter().filter(|it| *it != leader).collect();
        for host in &others[..2] {
            let successor = group.replace(*host);
            group.start(successor);
        }
        group.run(FREEZE_AFTER_MS);
        group.kill(leader);
        group.run(FREEZE_MS);
        group.start(leader);
        group.run(faults::RESTORED_AFTER_MS - FREEZE_AFTER_MS - FREEZE_MS);
        for host in &others[2..4] {
            faults.lose_disk(&mut group, *host);
        }
        faults.run_until_calm(&mut group);
        recovery::check(&mut group);
        let violation = group.ledger.violation.as_ref();
        assert!(violation.is_none(), "seed {seed}: {violation:?}\n{}", group.explain());
    }
}
