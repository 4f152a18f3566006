//! Messages that leave only after the writes before them are synced.

use std::collections::VecDeque;

use crate::wire::group::GroupMessage;

/// Writes given to the disk, and the messages that wait for them.
#[derive(Debug, Default)]
pub struct DeferredMessages {
    /// Number of writes given to the disk so far.
    written: u64,
    /// Number of writes that are synced.
    synced: u64,
    /// Messages with the number of writes before them.
    waiting: VecDeque<(u64, String, GroupMessage)>,
}

impl DeferredMessages {
    /// Counts a write that was given to the disk.
    pub fn wrote(&mut self) {
        self.written += 1;
    }

    /// Counts a write that is synced.
    pub fn confirmed(&mut self) {
        self.synced += 1;
    }

    /// Whether the message must wait.
    pub fn must_wait(&self, message: &GroupMessage) -> bool {
        message.body.needs_sync() && self.written > self.synced
    }

    /// Keeps a message until the writes so far are synced.
    pub fn hold(&mut self, addr: String, message: GroupMessage) {
        self.waiting.push_back((self.written, addr, message));
    }

    /// Next message whose writes are synced.
    pub fn pop_ready(&mut self) -> Option<(String, GroupMessage)> {
        let (writes, ..) = self.waiting.front()?;
        if *writes > self.synced {
            return None;
        }
        self.waiting.pop_front().map(|(_, addr, message)| (addr, message))
    }
}
