//! Persistent state of a control host.
//!
//! A [`Write`] describes a change of the stored state. The disk adapter syncs writes in
//! order and replays them after a restart.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    ids::ControlId,
    wire::group::{GroupTerm, LogEntry, LogId, Members},
};

/// Current term and the vote given in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub term: GroupTerm,
    pub voted_for: Option<ControlId>,
}

/// Snapshot of the state machine, with the voters at that entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub last: LogId,
    pub members: Members,
    pub data: Bytes,
}

/// Change of the stored state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    Vote(Vote),
    /// Appends entries after the last stored one.
    Entries(Vec<LogEntry>),
    /// Removes the entries from `from` on.
    Truncate {
        from: u64,
    },
    /// Replaces the snapshot and the log.
    Snapshot(Box<SnapshotWrite>),
}

/// Snapshot with the log entries that are kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotWrite {
    pub snapshot: Snapshot,
    pub vote: Vote,
    /// Entry before the first of `entries`.
    pub base: LogId,
    pub entries: Vec<LogEntry>,
}

/// State restored from the disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    pub vote: Vote,
    pub snapshot: Option<Snapshot>,
    /// Entry before the first of `entries`.
    pub base: LogId,
    pub entries: Vec<LogEntry>,
}

impl StoredState {
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Vote(vote) => self.vote = vote.clone(),
            Write::Entries(entries) => self.entries.extend_from_slice(entries),
            Write::Truncate { from } => {
                let keep = from.saturating_sub(self.base.index + 1);
                self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
            }
            Write::Snapshot(write) => {
                self.vote = write.vote.clone();
                self.snapshot = Some(write.snapshot.clone());
                self.base = write.base;
                self.entries = write.entries.clone();
            }
        }
    }

    /// Discards a log that does not continue the snapshot, which may be newer than the
    /// log after a crash. Entries after the snapshot remain only if the log holds the
    /// snapshot's last entry. Returns whether the log was discarded.
    pub fn reconcile_with_snapshot(&mut self) -> bool {
        let Some(snapshot) = &self.snapshot else { return false };
        let last = snapshot.last;
        if self.base.index >= last.index {
            return false;
        }
        let position = usize::try_from(last.index - self.base.index - 1).unwrap_or(usize::MAX);
        let is_outdated = self.entries.get(position).is_none_or(|entry| entry.term != last.term);
        if is_outdated {
            self.base = last;
            self.entries.clear();
        }
        is_outdated
    }
}
