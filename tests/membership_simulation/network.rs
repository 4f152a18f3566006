//! Network between the hosts: splits, losses and delays.

use std::collections::BTreeSet;

use rand::{Rng, rngs::SmallRng};

/// Longest delay of a message without faults, in milliseconds.
const USUAL_DELAY_MS: u64 = 10;

/// State of the network.
pub struct Network {
    /// Splits by number, each with the hosts on one of its sides.
    splits: Vec<(u64, BTreeSet<usize>)>,
    last_split: u64,
    pub lost_percent: u32,
    pub max_delay_ms: u64,
}

impl Default for Network {
    fn default() -> Self {
        Self { splits: Vec::new(), last_split: 0, lost_percent: 0, max_delay_ms: USUAL_DELAY_MS }
    }
}

impl Network {
    /// Splits `side` from all other hosts; returns the number of the split.
    pub fn split(&mut self, side: BTreeSet<usize>) -> u64 {
        self.last_split += 1;
        self.splits.push((self.last_split, side));
        self.last_split
    }

    /// Ends a split.
    pub fn heal(&mut self, split: u64) {
        self.splits.retain(|(number, _)| *number != split);
    }

    /// Ends losses and long delays.
    pub fn restore_quality(&mut self) {
        self.lost_percent = 0;
        self.max_delay_ms = USUAL_DELAY_MS;
    }

    /// Whether no split is between two hosts.
    pub fn connects(&self, first: usize, second: usize) -> bool {
        self.splits.iter().all(|(_, side)| side.contains(&first) == side.contains(&second))
    }

    /// Delay of a message in milliseconds, or `None` if it is lost.
    pub fn delay_ms(&self, rng: &mut SmallRng) -> Option<u64> {
        let is_lost = rng.random_range(0..100) < self.lost_percent;
        (!is_lost).then(|| rng.random_range(1..=self.max_delay_ms))
    }
}
