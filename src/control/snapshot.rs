//! SnapshotTransfer of a snapshot in parts.

use bytes::{Bytes, BytesMut};

use crate::{
    control::storage::Snapshot,
    wire::group::{InstallSnapshot, LogId},
};

/// Size of one part in bytes.
pub const CHUNK_BYTES: usize = 1024 * 1024;

/// Largest snapshot that a host accepts, in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 1024 * 1024 * 1024;

/// Sender's state of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotTransfer {
    /// Snapshot that is sent.
    pub last: LogId,
    /// Bytes that the receiver holds.
    pub received: u64,
}

impl SnapshotTransfer {
    /// Part of `snapshot` that the receiver lacks next.
    pub fn part(&self, snapshot: &Snapshot) -> (u64, Bytes) {
        let len = snapshot.data.len();
        let start = usize::try_from(self.received).map_or(len, |start| start.min(len));
        let end = len.min(start + CHUNK_BYTES);
        (start as u64, snapshot.data.slice(start..end))
    }
}

/// Receiver's state of a transfer.
#[derive(Debug, Default)]
pub struct SnapshotAssembly {
    last: LogId,
    data: BytesMut,
}

/// Result of receiving a part.
#[derive(Debug, PartialEq, Eq)]
pub enum Assembled {
    /// Number of bytes received so far.
    Partial(u64),
    Complete(Snapshot),
}

impl SnapshotAssembly {
    /// Adds a part; parts that do not follow the last one are ignored.
    pub fn add(&mut self, part: &InstallSnapshot) -> Assembled {
        if self.last != part.last {
            *self = Self { last: part.last, data: BytesMut::new() };
        }
        let fits = part.offset == self.data.len() as u64 && part.total <= MAX_SNAPSHOT_BYTES;
        if fits {
            self.data.extend_from_slice(&part.data);
        }
        if self.data.len() as u64 != part.total {
            return Assembled::Partial(self.data.len() as u64);
        }
        let data = std::mem::take(self).data.freeze();
        Assembled::Complete(Snapshot { last: part.last, members: part.members.clone(), data })
    }
}
