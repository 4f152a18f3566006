//! Addresses at which a host looks for its control group.
//!
//! No live host stays outside the group because of what it knows:
//!
//! - It asks the configured seeds and every address it has learned, in turn and without end:
//!   the voters of its log, and the sender of every message that reaches its address, even if the
//!   message is for its earlier id.
//! - A host that hears the leader forwards the question to it. Any other host passes it on to the
//!   voters that it knows, and their replies tell further addresses.
//! - The leader sends hellos in turn to the addresses it has learned whose hosts it replicates
//!   to no more, so a host of which all seeds are wrong learns where the leader is.
//!
//! What is learned is not stored, as the log on the disk names the voters. A host stays outside
//! only if it is wrong about every seed and every voter of its log, and no leader since has
//! learned its address.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Largest number of learned addresses; twice as many as the hosts of a large control group.
pub const MAX_LEARNED: usize = 32;

/// Addresses of other hosts, with the one to ask next at the front of a queue.
#[derive(Debug, Default)]
pub struct Discovery {
    /// Address of this host, which it never asks.
    own: String,
    /// Configured addresses; never evicted.
    seeds: BTreeSet<String>,
    /// Learned addresses, with a number that grows each time an address is learned again.
    learned: BTreeMap<String, u64>,
    last_number: u64,
    queue: VecDeque<String>,
}

impl Discovery {
    /// Addresses of the host `own` that knows only its configured `seeds`.
    pub fn new(own: &str, seeds: impl IntoIterator<Item = String>) -> Self {
        let mut discovery = Self { own: own.to_owned(), ..Self::default() };
        discovery.set_seeds(seeds);
        discovery
    }

    /// Replaces the configured addresses; the former ones count as learned.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = String>) {
        let seeds = seeds.into_iter().filter(|addr| *addr != self.own).collect();
        let former = std::mem::replace(&mut self.seeds, seeds);
        for seed in &self.seeds {
            self.learned.remove(seed);
            if !self.queue.contains(seed) {
                self.queue.push_back(seed.clone());
            }
        }
        let dropped: Vec<String> = former.difference(&self.seeds).cloned().collect();
        self.queue.retain(|addr| !dropped.contains(addr));
        dropped.iter().for_each(|addr| self.learn(addr));
    }

    /// Configured addresses of other hosts.
    pub fn seeds(&self) -> impl Iterator<Item = &str> {
        self.seeds.iter().map(String::as_str)
    }

    /// Adds an address. Above [`MAX_LEARNED`], the one that was not learned for the longest time
    /// is removed.
    pub fn learn(&mut self, addr: &str) {
        if addr.is_empty() || addr == self.own || self.seeds.contains(addr) {
            return;
        }
        self.last_number += 1;
        if self.learned.insert(addr.to_owned(), self.last_number).is_none() {
            self.queue.push_back(addr.to_owned());
            self.evict();
        }
    }

    fn evict(&mut self) {
        if self.learned.len() <= MAX_LEARNED {
            return;
        }
        let oldest = self.learned.iter().min_by_key(|(_, number)| **number);
        let Some(addr) = oldest.map(|(addr, _)| addr.clone()) else { return };
        self.learned.remove(&addr);
        self.queue.retain(|it| *it != addr);
    }

    /// Next `count` addresses to ask; they move to the back of the queue.
    pub fn next_addrs(&mut self, count: usize) -> Vec<String> {
        let count = count.min(self.queue.len());
        let next: Vec<String> = self.queue.iter().take(count).cloned().collect();
        self.queue.rotate_left(count);
        next
    }

    /// Next address that is not among `known`; it moves to the back of the queue.
    pub fn next_missing(&mut self, known: &BTreeSet<String>) -> Option<String> {
        let position = self.queue.iter().position(|addr| !known.contains(addr))?;
        let next = self.queue.remove(position)?;
        self.queue.push_back(next.clone());
        Some(next)
    }
}
