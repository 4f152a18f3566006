//! Writes of a node and the log index up to which they are synced.

use bytes::Bytes;

use crate::{
    clock::Millis,
    control::{
        node::{Node, Output},
        storage::{Snapshot, SnapshotWrite, Write},
    },
};

/// Stands for the first changed index of a write that changes no log entry.
pub(super) const NO_ENTRY: u64 = u64::MAX;

impl Node {
    pub(super) fn persist(&mut self, first: u64, write: Write) {
        self.unsynced.push_back(first);
        self.outputs.push(Output::Persist(write));
    }

    /// Index up to which the log of this host is synced.
    pub(super) fn synced_index(&self) -> u64 {
        let changed = self.unsynced.iter().copied().min().unwrap_or(NO_ENTRY);
        self.log.last().index.min(changed - 1)
    }

    pub(super) fn persisted(&mut self, now: Millis) {
        self.unsynced.pop_front();
        self.commit_majority(now);
        self.send_pending_ack();
    }

    pub(super) fn compact(&mut self, data: Bytes) {
        let Some(last) = self.log.id_at(self.commit_index) else { return };
        let members = self.history.at(last.index).clone();
        let tail =
            last.index.saturating_sub(self.settings.policy.tail_entries).max(self.log.base().index);
        let Some(base) = self.log.id_at(tail) else { return };
        self.log.compact(base);
        self.history.compact(last.index);
        self.store_snapshot(NO_ENTRY, Snapshot { last, members, data });
    }

    /// Stores a snapshot that changes the log from the entry `first` on.
    pub(super) fn store_snapshot(&mut self, first: u64, snapshot: Snapshot) {
        let base = self.log.base();
        let write = SnapshotWrite {
            snapshot: snapshot.clone(),
            vote: self.vote.clone(),
            base,
            entries: self.log.after(base),
        };
        self.snapshot = Some(snapshot);
        self.persist(first, Write::Snapshot(Box::new(write)));
    }
}
