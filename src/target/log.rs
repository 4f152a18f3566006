//! Replication log of an instance.
//!
//! An entry is identified by its term and position. Two logs that hold the same
//! entry are equal up to and including it, because each term has a single primary,
//! which only appends.

use serde::{Deserialize, Serialize};

use super::rows::RowChange;
use crate::ids::{LogPosition, Mark, Term};

/// Changes of one committed transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub changes: Vec<RowChange>,
}

/// Log entries; the first one has position 1.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<Entry>,
    /// Mark of the last entry of each term, in ascending order.
    ends: Vec<Mark>,
}

impl Log {
    /// Number of entries, which is also the position of the last one.
    pub fn len(&self) -> u64 {
        self.entries.len() as u64
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Mark of the last entry; the default mark in an empty log.
    pub fn last(&self) -> Mark {
        self.ends.last().copied().unwrap_or_default()
    }

    /// Marks of the last entry of each term, in ascending order.
    pub fn ends(&self) -> &[Mark] {
        &self.ends
    }

    /// Entry at `position`, which counts from 1.
    pub fn get(&self, position: u64) -> Option<&Entry> {
        let index = usize::try_from(position.checked_sub(1)?).ok()?;
        self.entries.get(index)
    }

    /// Whether the log contains the entry that `mark` identifies.
    pub fn holds(&self, mark: Mark) -> bool {
        mark.position.0 == 0
            || self.get(mark.position.0).is_some_and(|entry| entry.term == mark.term)
    }

    /// Mark of the entry at `position`.
    pub fn mark(&self, position: u64) -> Mark {
        let term = self.get(position).map(|entry| entry.term).unwrap_or_default();
        Mark { term, position: LogPosition(position) }
    }

    /// Appends an entry and returns its mark.
    pub fn push(&mut self, entry: Entry) -> Mark {
        let term = entry.term;
        self.entries.push(entry);
        let mark = Mark { term, position: LogPosition(self.len()) };
        match self.ends.last_mut() {
            Some(end) if end.term == term => *end = mark,
            _ => self.ends.push(mark),
        }
        mark
    }

    /// At most `limit` entries after `position`.
    pub fn after(&self, position: u64, limit: usize) -> &[Entry] {
        let start = usize::try_from(position).unwrap_or(usize::MAX).min(self.entries.len());
        let end = start.saturating_add(limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Length of the prefix shared with a log whose terms end at `ends`.
    pub fn common(&self, ends: &[Mark]) -> u64 {
        for theirs in ends.iter().rev() {
            if let Some(ours) = self.ends.iter().find(|ours| ours.term == theirs.term) {
                return ours.position.min(theirs.position).0;
            }
        }
        0
    }

    /// Removes the entries after `position`.
    pub fn truncate(&mut self, position: u64) {
        self.entries.truncate(usize::try_from(position).unwrap_or(usize::MAX));
        self.ends.retain(|end| end.position.0 <= position);
        let last = self.mark(self.len());
        if last.position > self.last().position {
            self.ends.push(last);
        }
    }
}
