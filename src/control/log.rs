//! Replicated log in memory.

use std::collections::VecDeque;

use crate::wire::group::{GroupTerm, LogEntry, LogId, Payload};

/// Approximate size of an entry without its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Log entries after a base entry that a snapshot covers.
#[derive(Debug, Clone, Default)]
pub struct Log {
    base: LogId,
    entries: VecDeque<LogEntry>,
}

/// Result of comparing a leader's entries with a follower's log.
#[derive(Debug, PartialEq, Eq)]
pub enum Merge {
    /// The logs match up to `matched` once the entries from `truncate` on are replaced
    /// by `entries`.
    Consistent { matched: u64, truncate: Option<u64>, entries: Vec<LogEntry> },
    /// The logs match at most up to `hint`.
    Mismatch { hint: u64 },
}

impl Log {
    pub fn new(base: LogId, entries: Vec<LogEntry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// Entry before the first entry in memory.
    pub fn base(&self) -> LogId {
        self.base
    }

    /// Last entry, or the base of an empty log.
    pub fn last(&self) -> LogId {
        let term = self.entries.back().map_or(self.base.term, |entry| entry.term);
        LogId { term, index: self.base.index + self.entries.len() as u64 }
    }

    /// Number of entries in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let position = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Term and index of the entry at `index`, which may be the base.
    pub fn id_at(&self, index: u64) -> Option<LogId> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(|entry| LogId { term: entry.term, index })
    }

    /// Entries from `from` on, up to about `max_bytes`; at least one if there are any.
    pub fn batch(&self, from: u64, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for index in from..=self.last().index {
            let Some(entry) = self.get(index) else { break };
            bytes += entry_bytes(entry);
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    pub fn after(&self, id: LogId) -> Vec<LogEntry> {
        self.batch(id.index + 1, usize::MAX)
    }

    pub fn append(&mut self, entries: impl IntoIterator<Item = LogEntry>) {
        self.entries.extend(entries);
    }

    /// Removes the entries from `from` on.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to `id` from memory.
    pub fn compact(&mut self, id: LogId) {
        while self.base.index < id.index {
            let Some(entry) = self.entries.pop_front() else { break };
            self.base = LogId { term: entry.term, index: self.base.index + 1 };
        }
    }

    /// Removes all entries and continues after `base`.
    pub fn reset(&mut self, base: LogId) {
        *self = Self::new(base, Vec::new());
    }

    /// Compares a leader's `entries` after `previous` with this log.
    pub fn merge(&self, previous: LogId, entries: &[LogEntry]) -> Merge {
        let matched = previous.index + entries.len() as u64;
        if previous.index < self.base.index {
            let covered = usize::try_from(self.base.index - previous.index).unwrap_or(usize::MAX);
            let rest = entries.get(covered..).unwrap_or_default();
            return self.merge_after(matched.max(self.base.index), self.base.index, rest);
        }
        match self.id_at(previous.index) {
            None => Merge::Mismatch { hint: self.last().index },
            Some(id) if id.term != previous.term => Merge::Mismatch { hint: self.before_term(id) },
            Some(_) => self.merge_after(matched, previous.index, entries),
        }
    }

    fn merge_after(&self, matched: u64, previous: u64, entries: &[LogEntry]) -> Merge {
        let known = (previous + 1..)
            .zip(entries)
            .take_while(|(index, entry)| self.id_at(*index).is_some_and(|id| id.term == entry.term))
            .count();
        let entries = entries[known..].to_vec();
        let first = previous + known as u64 + 1;
        let truncate = (!entries.is_empty() && first <= self.last().index).then_some(first);
        Merge::Consistent { matched, truncate, entries }
    }

    /// Index before the first entry of the term at `id`, so that conflicting logs are
    /// compared term by term instead of entry by entry.
    fn before_term(&self, id: LogId) -> u64 {
        let mut index = id.index;
        while index > self.base.index && self.term(index) == Some(id.term) {
            index -= 1;
        }
        index
    }

    fn term(&self, index: u64) -> Option<GroupTerm> {
        self.id_at(index).map(|id| id.term)
    }
}

fn entry_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        Payload::Command(bytes) => bytes.len() + ENTRY_OVERHEAD_BYTES,
        Payload::Noop | Payload::Members(_) => ENTRY_OVERHEAD_BYTES,
    }
}
