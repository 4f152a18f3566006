//! Random schedules of failures: no committed entry is lost or replaced.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

mod group;

use group::Group;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SCHEDULES: u64 = 300;
const SEED: u64 = 20_261_204;

/// Event of a schedule; hosts are chosen by number.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Run(u16),
    Propose(u8),
    Drop(u8),
    Delay(u8),
    SlowDisks(u8),
    Cut(u8),
    CutLink(u8, u8),
    Heal,
    Kill(u8),
    CrashAfter(u8, u8),
    Freeze(u8),
    LoseDisk(u8),
    RestoreAll,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = u8::arbitrary(g);
        match u8::arbitrary(g) % 23 {
            0..6 => Self::Run(u16::arbitrary(g) % 800),
            6..11 => Self::Propose(host),
            11 => Self::Drop(u8::arbitrary(g) % 50),
            12 => Self::Delay(u8::arbitrary(g)),
            13 => Self::Cut(host),
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

fn inject(group: &mut Group, fault: Fault) {
    let names = group.names();
    let host = |number: u8| names[usize::from(number) % names.len()].clone();
    match fault {
        Fault::Run(ms) => group.run(u64::from(ms)),
        Fault::Propose(number) => {
            let name = group.leader().unwrap_or_else(|| host(number));
            group.propose(&name);
        }
        Fault::Drop(percent) => group.drop_percent = u32::from(percent),
        Fault::Delay(ms) => group.max_delay_ms = u64::from(ms).max(1),
        Fault::SlowDisks(ms) => group.max_sync_ms = u64::from(ms) * 4,
        Fault::Cut(number) => {
            group.hold_cut = number >= 128;
            group.cut.insert(host(number));
        }
        Fault::CutLink(first, second) => {
            let (first, second) = (host(first), host(second));
            let pair = (first.clone().min(second.clone()), first.max(second));
            group.links.insert(pair);
        }
        Fault::Heal => heal(group),
        Fault::Kill(number) => group.kill(&host(number)),
        Fault::CrashAfter(number, outputs) => {
            group.hosts.get_mut(&host(number)).unwrap().crash_after = Some(usize::from(outputs));
        }
        Fault::Freeze(number) => group.freeze(&host(number), true),
        Fault::LoseDisk(number) => lose_disk(group, &host(number)),
        Fault::RestoreAll => restore_all(group),
    }
}

/// Loses a disk only in a group that can stand it: with all hosts up and voting.
fn lose_disk(group: &mut Group, name: &str) {
    restore_all(group);
    group.until("repaired", 60_000, Group::is_whole);
    group.lose_disk(name);
    group.run(200);
    group.start(name);
}

fn heal(group: &mut Group) {
    group.cut.clear();
    group.links.clear();
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

/// [`Group`] checks after every step that committed entries agree, that a term
/// has one leader and that one host at most serves.
fn survives(seed: u64, faults: Vec<Fault>) -> bool {
    let mut group = Group::formed(if seed.is_multiple_of(2) { 3 } else { 5 }, seed);
    group.compact_after = 20;
    for fault in faults {
        inject(&mut group, fault);
    }
    restore_all(&mut group);
    group.run(3_000);
    group.commit(1);
    group.until("agreement", 30_000, |group| group.all_agree() && group.is_whole());
    true
}

#[test]
fn no_schedule_loses_a_committed_entry() {
    QuickCheck::new()
        .tests(SCHEDULES)
        .rng(Gen::from_size_and_seed(80, SEED))
        .quickcheck(survives as fn(u64, Vec<Fault>) -> bool);
}
