//! Bounded cache of classified statements.
//!
//! Callers with bind parameters send few distinct texts, which makes a lookup far
//! cheaper than parsing. Texts with inlined values never repeat; the second-chance
//! rule evicts them before texts that were used again.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use xxhash_rust::xxh3::{Xxh3DefaultBuilder, xxh3_64};

use crate::{
    routing::classify::{ClassifyError, StatementClass, classify},
    settings::routing::RoutingSettings,
};

/// Independently locked parts, so that worker threads rarely wait for each other.
const SHARDS: usize = 16;

/// Cache keyed by statement text.
#[derive(Debug)]
pub struct ClassificationCache {
    shards: Vec<Mutex<Shard>>,
    shard_capacity: usize,
    longest: usize,
}

#[derive(Debug, Default)]
struct Shard {
    entries: IndexMap<Arc<str>, Entry, Xxh3DefaultBuilder>,
    /// Next candidate for eviction.
    hand: usize,
}

#[derive(Debug)]
struct Entry {
    classified: StatementClass,
    used: bool,
}

impl ClassificationCache {
    /// Empty cache with the capacity of `settings`.
    pub fn new(settings: &RoutingSettings) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            shard_capacity: settings.cached_statements.div_ceil(SHARDS).max(1),
            longest: settings.cached_statement_bytes,
        }
    }

    /// Classifies `sql`; errors are not kept.
    pub fn classify(&self, sql: &str) -> Result<StatementClass, ClassifyError> {
        if sql.len() > self.longest {
            return classify(sql);
        }
        let shard = xxh3_64(sql.as_bytes()) as usize % SHARDS;
        if let Some(entry) = self.shards[shard].lock().entries.get_mut(sql) {
            entry.used = true;
            return Ok(entry.classified.clone());
        }
        let classified = classify(sql)?;
        self.shards[shard].lock().insert(sql, &classified, self.shard_capacity);
        Ok(classified)
    }

    /// Number of cached statements.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().entries.len()).sum()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Shard {
    fn insert(&mut self, sql: &str, classified: &StatementClass, capacity: usize) {
        while self.entries.len() >= capacity {
            self.evict_one();
        }
        let entry = Entry { classified: classified.clone(), used: false };
        self.entries.insert(Arc::from(sql), entry);
    }

    /// Removes the next entry that was not used since the hand last passed it.
    fn evict_one(&mut self) {
        loop {
            self.hand %= self.entries.len().max(1);
            match self.entries.get_index_mut(self.hand) {
                Some((_, entry)) if entry.used => entry.used = false,
                Some(_) => {
                    self.entries.swap_remove_index(self.hand);
                    return;
                }
                None => return,
            }
            self.hand += 1;
        }
    }
}
