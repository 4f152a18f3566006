//! Bounded cache of statement classifications.
//!
//! Callers that use bind parameters send few distinct statement texts, and a lookup
//! is far cheaper than parsing. Texts with inlined values never repeat; second-chance
//! (CLOCK) eviction removes them before texts that were looked up again.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use xxhash_rust::xxh3::{Xxh3DefaultBuilder, xxh3_64};

use crate::{
    routing::classify::{ClassifyError, StatementClass, classify},
    settings::routing::RoutingSettings,
};

/// Independently locked shards, which keep lock contention between worker threads low.
const SHARDS: usize = 16;

/// Classifications keyed by statement text.
#[derive(Debug)]
pub struct ClassificationCache {
    shards: Vec<Mutex<Shard>>,
    shard_capacity: usize,
    max_statement_bytes: usize,
}

#[derive(Debug, Default)]
struct Shard {
    entries: IndexMap<Arc<str>, Entry, Xxh3DefaultBuilder>,
    /// Index of the next candidate for eviction.
    clock_hand: usize,
}

#[derive(Debug)]
struct Entry {
    class: StatementClass,
    /// Looked up since the clock hand last passed.
    referenced: bool,
}

impl ClassificationCache {
    /// Empty cache with the capacity of `settings`.
    pub fn new(settings: &RoutingSettings) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            shard_capacity: settings.cached_statements.div_ceil(SHARDS).max(1),
            max_statement_bytes: settings.cached_statement_bytes,
        }
    }

    /// Classifies `sql`; errors are not cached.
    pub fn classify(&self, sql: &str) -> Result<StatementClass, ClassifyError> {
        if sql.len() > self.max_statement_bytes {
            return classify(sql);
        }
        let shard = xxh3_64(sql.as_bytes()) as usize % SHARDS;
        if let Some(entry) = self.shards[shard].lock().entries.get_mut(sql) {
            entry.referenced = true;
            return Ok(entry.class.clone());
        }
        let class = classify(sql)?;
        self.shards[shard].lock().insert(sql, &class, self.shard_capacity);
        Ok(class)
    }

    /// Number of cached statements.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().entries.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Shard {
    fn insert(&mut self, sql: &str, class: &StatementClass, capacity: usize) {
        while self.entries.len() >= capacity {
            self.evict_one();
        }
        let entry = Entry { class: class.clone(), referenced: false };
        self.entries.insert(Arc::from(sql), entry);
    }

    /// Removes the next entry that was not looked up since the hand last passed it.
    fn evict_one(&mut self) {
        loop {
            self.clock_hand %= self.entries.len().max(1);
            match self.entries.get_index_mut(self.clock_hand) {
                Some((_, entry)) if entry.referenced => entry.referenced = false,
                Some(_) => {
                    self.entries.swap_remove_index(self.clock_hand);
                    return;
                }
                None => return,
            }
            self.clock_hand += 1;
        }
    }
}
