//! Faults that overlap, and how many disks may be lost.

use std::{cmp::Reverse, collections::BTreeSet};

use derive_more::Display;
use rand::{
    Rng, SeedableRng,
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};

use crate::group::Group;

/// Longest split; longer than a leader waits before it removes a silent voter.
const MAX_SPLIT_MS: u64 = 20_000;

/// Largest number of hosts that are cut off together, or that lose power or their processes
/// together, unless it strikes half of them or all.
const MAX_FEW: usize = 3;

/// Shortest and longest time that a host does not run after its process has ended.
const MIN_DOWN_MS: u64 = 100;
const MAX_DOWN_MS: u64 = 3_000;

/// Time without other faults after which a host that lost its disk counts as restored.
pub const RESTORED_AFTER_MS: u64 = 6_000;

/// Time between two looks at the faults that have to end.
const SLICE_MS: u64 = 20;

/// Probability that the disks that are lost are those of voters, and of those with the newest
/// logs.
const VOTER_PROBABILITY: f64 = 0.8;
const NEWEST_LOG_PROBABILITY: f64 = 0.4;

/// Probability that all hosts without a vote are on the same side of a split in halves.
const NO_VOTERS_TOGETHER_PROBABILITY: f64 = 0.5;

/// Shortest split before the last loss of disks; longer than a leader waits before it removes a
/// silent voter.
const MIN_LAST_SPLIT_MS: u64 = 9_000;

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum Fault {
    Halves,
    CutOff,
    PowerOfFew,
    PowerOfAll,
    Kill,
    Freeze,
    SlowDisks,
    HangingDisks,
    LostMessages,
    SlowMessages,
    LostDisks,
    LostDisksAndPower,
    PowerWhileDisksHang,
    Replacement,
    Seeds,
}

/// Faults with their weights.
const FAULTS: [(Fault, u32); 15] = [
    (Fault::Halves, 8),
    (Fault::CutOff, 12),
    (Fault::PowerOfFew, 10),
    (Fault::PowerOfAll, 5),
    (Fault::Kill, 10),
    (Fault::Freeze, 8),
    (Fault::SlowDisks, 5),
    (Fault::HangingDisks, 8),
    (Fault::LostMessages, 5),
    (Fault::SlowMessages, 4),
    (Fault::LostDisks, 10),
    (Fault::LostDisksAndPower, 5),
    (Fault::PowerWhileDisksHang, 8),
    (Fault::Replacement, 7),
    (Fault::Seeds, 6),
];

/// What ends a fault.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Heal(u64),
    Start(usize),
    NetworkQuality,
    DiskSpeed(usize),
    /// The fault ends by itself.
    Nothing,
}

/// Faults that strike a group.
pub struct Faults {
    rng: SmallRng,
    /// Number of disks that may be lost at the same time.
    tolerated_losses: usize,
    /// Time in milliseconds at which each fault ends.
    active: Vec<(u64, Ending)>,
    /// Hosts whose disks count as lost.
    lost: BTreeSet<usize>,
    /// Time in milliseconds at which the last fault has ended.
    calm_since: u64,
}

impl Faults {
    pub fn new(seed: u64, tolerated_losses: usize) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            tolerated_losses,
            active: Vec::new(),
            lost: BTreeSet::new(),
            calm_since: 0,
        }
    }

    /// Runs the group for up to `max_ms`; faults end in time.
    pub fn run(&mut self, group: &mut Group, max_ms: u64) {
        let end = group.now + self.rng.random_range(0..=max_ms);
        while group.now < end && group.ledger.violation.is_none() {
            self.run_slice(group);
        }
    }

    /// Runs the group until all faults have ended.
    pub fn run_until_calm(&mut self, group: &mut Group) {
        while !self.active.is_empty() && group.ledger.violation.is_none() {
            self.run_slice(group);
        }
    }

    fn run_slice(&mut self, group: &mut Group) {
        group.run(SLICE_MS);
        let now = group.now;
        for (_, ending) in self.active.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            end(group, ending);
            self.calm_since = now;
        }
        if self.active.is_empty() && now - self.calm_since >= RESTORED_AFTER_MS {
            self.lost.clear();
        }
    }

    /// Begins a random fault.
    pub fn begin_random(&mut self, group: &mut Group) {
        let Ok((fault, _)) = FAULTS.choose_weighted(&mut self.rng, |(_, weight)| *weight) else {
            return;
        };
        group.note_fault(&fault.to_string());
        match fault {
            Fault::Halves => self.split_halves(group),
            Fault::CutOff => self.cut_off(group),
            Fault::PowerOfFew => self.power_of_few(group),
            Fault::PowerOfAll => self.power_of_all(group),
            Fault::Kill => self.kill(group),
            Fault::Freeze => self.freeze(group),
            Fault::SlowDisks => self.slow_disks(group),
            Fault::HangingDisks => self.hang_disks(group),
            Fault::LostMessages => self.lose_messages(group),
            Fault::SlowMessages => self.slow_messages(group),
            Fault::LostDisks => self.lose_disks(group),
            Fault::LostDisksAndPower => self.lose_disks_and_power(group),
            Fault::PowerWhileDisksHang => self.lose_power_while_disks_hang(group),
            Fault::Replacement => self.replace(group),
            Fault::Seeds => group.exchange_seeds(),
        }
    }

    /// All hosts lose their power, and as many of them their disks as is tolerated.
    pub fn lose_disks_and_power(&mut self, group: &mut Group) {
        let count = self.tolerated_losses.saturating_sub(self.lost.len());
        for host in self.choose_lossy(group, count) {
            self.lose_disk(group, host);
        }
        self.power_of_all(group);
    }

    /// The given hosts are cut off from all others for `ms`.
    pub fn split(&mut self, group: &mut Group, side: BTreeSet<usize>, ms: u64) {
        group.note_fault(&format!("split of {side:?} for {ms} ms"));
        let split = group.network.split(side);
        self.activate(group, ms, Ending::Heal(split));
    }

    /// A host loses its disk and starts again soon.
    pub fn lose_disk(&mut self, group: &mut Group, host: usize) {
        self.lost.insert(host);
        group.lose_disk(host);
        self.start_later(group, host);
    }

    /// All hosts lose their power.
    pub fn power_of_all(&mut self, group: &mut Group) {
        for host in group.present() {
            group.lose_power(host);
            self.start_later(group, host);
        }
    }

    /// A long split in halves, and during it or shortly after it the loss of disks.
    pub fn lose_disks_around_split(&mut self, group: &mut Group) {
        let side = self.choose_half(group);
        let ms = self.rng.random_range(MIN_LAST_SPLIT_MS..MAX_SPLIT_MS);
        self.split(group, side, ms);
        group.run(MIN_LAST_SPLIT_MS);
        self.run(group, ms - MIN_LAST_SPLIT_MS + MAX_DOWN_MS);
        if self.rng.random_bool(0.5) {
            self.lose_disks_and_power(group);
            return;
        }
        let free = self.tolerated_losses.saturating_sub(self.lost.len());
        for host in self.choose_lossy(group, free) {
            self.lose_disk(group, host);
        }
    }

    fn split_halves(&mut self, group: &mut Group) {
        let side = self.choose_half(group);
        let ms = self.rng.random_range(300..MAX_SPLIT_MS);
        self.split(group, side, ms);
    }

    /// Half of the hosts, rounded up or down.
    fn choose_half(&mut self, group: &Group) -> BTreeSet<usize> {
        let mut hosts = group.present();
        hosts.shuffle(&mut self.rng);
        if self.rng.random_bool(NO_VOTERS_TOGETHER_PROBABILITY) {
            let voters = group.voters();
            hosts.sort_by_key(|host| voters.contains(host));
        }
        let count = (hosts.len() + self.rng.random_range(0..=1)) / 2;
        hosts.into_iter().take(count).collect()
    }

    /// Most disks hang, often the leader's process ends, and then hosts lose their power with
    /// all that waits for the disks.
    fn lose_power_while_disks_hang(&mut self, group: &mut Group) {
        for host in group.present() {
            if self.rng.random_bool(0.7) {
                self.hang_disk(group, host);
            }
        }
        if let Some(leader) = group.leader()
            && self.rng.random_bool(0.6)
        {
            group.kill(leader);
            self.start_later(group, leader);
        }
        self.run(group, MAX_DOWN_MS);
        if self.rng.random_bool(0.5) {
            self.power_of_all(group);
        } else {
            self.power_of_few(group);
        }
    }

    fn cut_off(&mut self, group: &mut Group) {
        let side = self.choose_few(group).into_iter().collect();
        let ms = self.rng.random_range(300..MAX_SPLIT_MS);
        self.split(group, side, ms);
    }

    fn power_of_few(&mut self, group: &mut Group) {
        for host in self.choose_few(group) {
            group.lose_power(host);
            self.start_later(group, host);
        }
    }

    fn kill(&mut self, group: &mut Group) {
        for host in self.choose_few(group) {
            group.kill(host);
            self.start_later(group, host);
        }
    }

    fn freeze(&mut self, group: &mut Group) {
        for host in self.choose_few(group) {
            let ms = self.rng.random_range(200..8_000);
            group.freeze(host, ms);
            self.activate(group, ms, Ending::Nothing);
        }
    }

    fn slow_disks(&mut self, group: &mut Group) {
        let max_sync_ms = self.rng.random_range(50..600);
        for host in self.choose_few(group) {
            group.hosts[host].max_sync_ms = max_sync_ms;
            let ms = self.rng.random_range(500..10_000);
            self.activate(group, ms, Ending::DiskSpeed(host));
        }
    }

    fn hang_disks(&mut self, group: &mut Group) {
        for host in self.choose_few(group) {
            self.hang_disk(group, host);
        }
    }

    fn hang_disk(&mut self, group: &mut Group, host: usize) {
        let ms = self.rng.random_range(500..8_000);
        let disk = &mut group.hosts[host];
        disk.disk_hangs_until = disk.disk_hangs_until.max(group.now + ms);
        group.note(host, &format!("has a disk that hangs for {ms} ms"));
        self.activate(group, ms, Ending::Nothing);
    }

    fn lose_messages(&mut self, group: &mut Group) {
        group.network.lost_percent = self.rng.random_range(5..50);
        let ms = self.rng.random_range(500..8_000);
        self.activate(group, ms, Ending::NetworkQuality);
    }

    fn slow_messages(&mut self, group: &mut Group) {
        group.network.max_delay_ms = self.rng.random_range(50..400);
        let ms = self.rng.random_range(500..8_000);
        self.activate(group, ms, Ending::NetworkQuality);
    }

    fn lose_disks(&mut self, group: &mut Group) {
        let free = self.tolerated_losses.saturating_sub(self.lost.len());
        let count = self.rng.random_range(0..=free);
        for host in self.choose_lossy(group, count.max(1).min(free)) {
            self.lose_disk(group, host);
        }
    }

    fn replace(&mut self, group: &mut Group) {
        let free = self.tolerated_losses.saturating_sub(self.lost.len());
        for host in self.choose_lossy(group, free.min(1)) {
            let new = group.replace(host);
            self.lost.insert(new);
            self.start_later(group, new);
        }
    }

    /// Hosts that lose their disks: mostly voters, and none whose disk counts as lost.
    fn choose_lossy(&mut self, group: &Group, count: usize) -> Vec<usize> {
        let candidates =
            if self.rng.random_bool(VOTER_PROBABILITY) { group.voters() } else { group.present() };
        let mut candidates: Vec<_> =
            candidates.into_iter().filter(|host| !self.lost.contains(host)).collect();
        candidates.shuffle(&mut self.rng);
        if self.rng.random_bool(NEWEST_LOG_PROBABILITY) {
            candidates.sort_by_key(|host| Reverse(group.hosts[*host].last_entry()));
        }
        candidates.into_iter().take(count).collect()
    }

    fn choose_few(&mut self, group: &Group) -> Vec<usize> {
        let hosts = group.present();
        let count = self.rng.random_range(1..=MAX_FEW);
        hosts.choose_multiple(&mut self.rng, count).copied().collect()
    }

    fn start_later(&mut self, group: &Group, host: usize) {
        let ms = self.rng.random_range(MIN_DOWN_MS..=MAX_DOWN_MS);
        self.activate(group, ms, Ending::Start(host));
    }

    fn activate(&mut self, group: &Group, ms: u64, ending: Ending) {
        self.active.push((group.now + ms, ending));
    }
}

fn end(group: &mut Group, ending: Ending) {
    match ending {
        Ending::Heal(split) => {
            group.note_fault("a split heals");
            group.network.heal(split);
        }
        Ending::Start(host) => group.start(host),
        Ending::NetworkQuality => group.network.restore_quality(),
        Ending::DiskSpeed(host) => group.hosts[host].restore_disk_speed(),
        Ending::Nothing => {}
    }
}
