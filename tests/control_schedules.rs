//! Randomized failure schedules: no committed entry is lost or replaced.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

mod group;

use group::Group;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SCHEDULE_COUNT: u64 = 300;
const SEED: u64 = 20_261_204;

/// Step of a schedule. Hosts are chosen by number.
#[derive(Debug, Clone, Copy)]
enum Step {
    Run(u16),
    Propose(u8),
    Drop(u8),
    Delay(u8),
    SlowDisks(u8),
    Partition(u8),
    CutLink(u8, u8),
    Heal,
    Kill(u8),
    CrashAfter(u8, u8),
    Freeze(u8),
    LoseDisk(u8),
    RestoreAll,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = u8::arbitrary(g);
        match u8::arbitrary(g) % 23 {
            0..6 => Self::Run(u16::arbitrary(g) % 800),
            6..11 => Self::Propose(host),
            11 => Self::Drop(u8::arbitrary(g) % 50),
            12 => Self::Delay(u8::arbitrary(g)),
            13 => Self::Partition(host),
            14 => Self::Heal,
            15 => Self::Kill(host),
            16 => Self::CrashAfter(host, u8::arbitrary(g) % 6),
            17 => Self::Freeze(host),
            18 => Self::LoseDisk(host),
            19 | 20 => Self::CutLink(host, u8::arbitrary(g)),
            21 => Self::SlowDisks(u8::arbitrary(g)),
            _ => Self::RestoreAll,
        }
    }
}

fn apply(group: &mut Group, step: Step) {
    let names = group.names();
    let host = |number: u8| names[usize::from(number) % names.len()].clone();
    match step {
        Step::Run(ms) => group.run(u64::from(ms)),
        Step::Propose(number) => {
            let name = group.leader().unwrap_or_else(|| host(number));
            group.propose(&name);
        }
        Step::Drop(percent) => group.drop_percent = u32::from(percent),
        Step::Delay(ms) => group.max_delay_ms = u64::from(ms).max(1),
        Step::SlowDisks(ms) => group.max_sync_ms = u64::from(ms) * 4,
        Step::Partition(number) => {
            group.keep_partitioned_messages = number >= 128;
            group.partitioned.insert(host(number));
        }
        Step::CutLink(first, second) => {
            let (first, second) = (host(first), host(second));
            let pair = (first.clone().min(second.clone()), first.max(second));
            group.cut_links.insert(pair);
        }
        Step::Heal => heal(group),
        Step::Kill(number) => group.kill(&host(number)),
        Step::CrashAfter(number, outputs) => {
            group.hosts.get_mut(&host(number)).unwrap().crash_after = Some(usize::from(outputs));
        }
        Step::Freeze(number) => group.freeze(&host(number), true),
        Step::LoseDisk(number) => lose_disk(group, &host(number)),
        Step::RestoreAll => restore_all(group),
    }
}

/// Loses a disk, after waiting until the group tolerates that: all hosts run and are
/// voters.
fn lose_disk(group: &mut Group, name: &str) {
    restore_all(group);
    group.run_until("repaired", 60_000, Group::is_healthy);
    group.lose_disk(name);
    group.run(200);
    group.start(name);
}

fn heal(group: &mut Group) {
    group.partitioned.clear();
    group.cut_links.clear();
}

fn restore_all(group: &mut Group) {
    heal(group);
    group.drop_percent = 0;
    group.max_delay_ms = 10;
    group.max_sync_ms = 5;
    for name in group.names() {
        let host = group.hosts.get_mut(&name).unwrap();
        host.crash_after = None;
        host.frozen = false;
        if host.node.is_none() {
            group.start(&name);
        }
    }
}

/// Runs a schedule and then waits until all hosts agree. [`Group`] checks after every step
/// that committed entries agree, that each term has one leader and that at most one host
/// serves.
fn run_schedule(seed: u64, steps: Vec<Step>) -> bool {
    let mut group = Group::formed(if seed.is_multiple_of(2) { 3 } else { 5 }, seed);
    group.compact_after_entries = 20;
    for step in steps {
        apply(&mut group, step);
    }
    restore_all(&mut group);
    group.run(3_000);
    group.commit(1);
    group.run_until("agreement", 30_000, |group| group.all_agree() && group.is_healthy());
    true
}

/// Guards against the loss or replacement of committed entries, and against two leaders.
#[test]
fn committed_entries_survive_random_failures() {
    QuickCheck::new()
        .tests(SCHEDULE_COUNT)
        .rng(Gen::from_size_and_seed(80, SEED))
        .quickcheck(run_schedule as fn(u64, Vec<Step>) -> bool);
}
