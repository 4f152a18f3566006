//! Messages that are sent only after earlier writes are synced.

use std::collections::VecDeque;

use crate::wire::group::GroupMessage;

/// Queue of messages that depend on writes in progress.
#[derive(Debug, Default)]
pub struct DeferredMessages {
    /// Number of writes queued for the disk.
    written: u64,
    /// Number of synced writes.
    synced: u64,
    /// Number of writes before each message, its destination and the message.
    waiting: VecDeque<(u64, String, GroupMessage)>,
}

impl DeferredMessages {
    /// Counts a write that was queued for the disk.
    pub fn record_write(&mut self) {
        self.written += 1;
    }

    /// Counts a synced write.
    pub fn record_sync(&mut self) {
        self.synced += 1;
    }

    /// Whether the message must be deferred until writes in progress are synced.
    pub fn must_defer(&self, message: &GroupMessage) -> bool {
        message.body.needs_sync() && self.written > self.synced
    }

    /// Queues a message until all earlier writes are synced.
    pub fn defer(&mut self, addr: String, message: GroupMessage) {
        self.waiting.push_back((self.written, addr, message));
    }

    /// Removes the next message whose preceding writes are synced.
    pub fn pop_ready(&mut self) -> Option<(String, GroupMessage)> {
        let (writes, ..) = self.waiting.front()?;
        if *writes > self.synced {
            return None;
        }
        self.waiting.pop_front().map(|(_, addr, message)| (addr, message))
    }
}
