//! Model of a control host's data folder: what is synced, and what the files hold besides.
//!
//! As in [`pomelopin::adapters::disk_queue`], all writes that wait share one sync, and none is
//! written while another sync runs.

use pomelopin::control::storage::{StoredState, Write};
use rand::{Rng, rngs::SmallRng};

/// Files of one host and the queue of the process that uses them.
#[derive(Default)]
pub struct DataFolder {
    /// What the files hold for certain after a loss of power.
    synced: StoredState,
    /// Writes that the files hold besides, in order. A loss of power may remove them from any
    /// one on.
    written: Vec<Write>,
    /// Number of writes that the running sync confirms.
    syncing: Option<usize>,
    /// Writes that wait for the running sync.
    queue: Vec<Write>,
}

impl DataFolder {
    /// Content of the files, as a process that starts reads it. Opening the folder syncs what a
    /// killed process has written to the files.
    pub fn open(&mut self) -> StoredState {
        self.sync_written();
        self.synced.clone()
    }

    /// Queues a write.
    pub fn push(&mut self, write: Write) {
        self.queue.push(write);
    }

    /// Writes what is queued and begins to sync it; returns whether a sync has begun.
    pub fn begin_sync(&mut self) -> bool {
        if self.syncing.is_some() || self.queue.is_empty() {
            return false;
        }
        self.syncing = Some(self.queue.len());
        self.written.append(&mut self.queue);
        true
    }

    /// Ends the running sync; returns the number of writes that it confirms.
    pub fn end_sync(&mut self) -> usize {
        self.sync_written();
        self.syncing.take().unwrap_or_default()
    }

    /// The process ends; the files stay as they are.
    pub fn kill(&mut self) {
        self.queue.clear();
        self.syncing = None;
    }

    /// The host loses its power. Of the writes that are not synced, none, all or those before
    /// a random one remain.
    pub fn lose_power(&mut self, rng: &mut SmallRng) {
        self.kill();
        let count = self.written.len();
        let kept = match rng.random_range(0..3) {
            0 => 0,
            1 => count,
            _ => rng.random_range(0..=count),
        };
        let mut written = std::mem::take(&mut self.written).into_iter();
        for write in written.by_ref().take(kept) {
            self.synced.apply(&write);
        }
        if let Some(torn) = written.next() {
            self.keep_part(&torn, rng);
        }
    }

    /// A snapshot is stored before the log is replaced; other writes that are torn are gone.
    fn keep_part(&mut self, torn: &Write, rng: &mut SmallRng) {
        if let Write::Snapshot(write) = torn
            && rng.random_bool(0.5)
        {
            self.synced.snapshot = Some(write.snapshot.clone());
        }
    }

    fn sync_written(&mut self) {
        for write in self.written.drain(..) {
            self.synced.apply(&write);
        }
    }
}
