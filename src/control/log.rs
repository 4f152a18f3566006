//! Replicated log in memory.

use std::collections::VecDeque;

use crate::wire::group::{GroupTerm, LogEntry, LogId, Payload};

/// Approximate size of an entry without its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Entries after a base that a snapshot covers.
#[derive(Debug, Clone, Default)]
pub struct Log {
    base: LogId,
    entries: VecDeque<LogEntry>,
}

/// What a leader's entries change in a follower's log.
#[derive(Debug, PartialEq, Eq)]
pub enum Merge {
    /// Logs agree up to `matched` once `entries` replace those from `truncate` on.
    Consistent { matched: u64, truncate: Option<u64>, entries: Vec<LogEntry> },
    /// Logs may agree at most up to `hint`.
    Mismatch { hint: u64 },
}

impl Log {
    /// Log of `entries` after `base`.
    pub fn new(base: LogId, entries: Vec<LogEntry>) -> Self {
        Self { base, entries: entries.into() }
    }

    /// Entry before the first one that the log holds.
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

    /// Whether the log holds no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entry at `index`.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let position = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Term and index of the entry at `index`, which may be the base.
    pub fn mark(&self, index: u64) -> Option<LogId> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(|entry| LogId { term: entry.term, index })
    }

    /// Entries from `from` on, at least one if there is any and otherwise up to
    /// about `max_bytes`.
    pub fn batch(&self, from: u64, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for index in from..=self.last().index {
            let Some(entry) = self.get(index) else { break };
            bytes += size(entry);
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// All entries after `mark`.
    pub fn after(&self, mark: LogId) -> Vec<LogEntry> {
        self.batch(mark.index + 1, usize::MAX)
    }

    /// Adds entries at the end.
    pub fn append(&mut self, entries: impl IntoIterator<Item = LogEntry>) {
        self.entries.extend(entries);
    }

    /// Removes the entries from `from` on.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to `mark` from memory.
    pub fn compact(&mut self, mark: LogId) {
        while self.base.index < mark.index {
            let Some(entry) = self.entries.pop_front() else { break };
            self.base = LogId { term: entry.term, index: self.base.index + 1 };
        }
    }

    /// Replaces everything by an empty log after `base`.
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
        match self.mark(previous.index) {
            None => Merge::Mismatch { hint: self.last().index },
            Some(mark) if mark.term != previous.term => {
                Merge::Mismatch { hint: self.before_term(mark) }
            }
            Some(_) => self.merge_after(matched, previous.index, entries),
        }
    }

    fn merge_after(&self, matched: u64, previous: u64, entries: &[LogEntry]) -> Merge {
        let known = (previous + 1..)
            .zip(entries)
            .take_while(|(index, entry)| {
                self.mark(*index).is_some_and(|mark| mark.term == entry.term)
            })
            .count();
        let entries = entries[known..].to_vec();
        let first = previous + known as u64 + 1;
        let truncate = (!entries.is_empty() && first <= self.last().index).then_some(first);
        Merge::Consistent { matched, truncate, entries }
    }

    /// Index before the first entry of the term at `mark`. Skips a whole term per
    /// exchange when logs differ.
    fn before_term(&self, mark: LogId) -> u64 {
        let mut index = mark.index;
        while index > self.base.index && self.term(index) == Some(mark.term) {
            index -= 1;
        }
        index
    }

    fn term(&self, index: u64) -> Option<GroupTerm> {
        self.mark(index).map(|mark| mark.term)
    }
}

fn size(entry: &LogEntry) -> usize {
    match &entry.payload {
        Payload::Command(bytes) => bytes.len() + ENTRY_OVERHEAD_BYTES,
        Payload::Noop | Payload::Members(_) => ENTRY_OVERHEAD_BYTES,
    }
}
