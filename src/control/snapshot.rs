//! Transfer of a snapshot in chunks.

use bytes::{Bytes, BytesMut};

use crate::{
    control::storage::Snapshot,
    wire::group::{InstallSnapshot, LogId},
};

pub const CHUNK_BYTES: usize = 1024 * 1024;

/// Largest snapshot that a host accepts.
pub const MAX_SNAPSHOT_BYTES: u64 = 1024 * 1024 * 1024;

/// Sender's state of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotTransfer {
    /// Last entry of the snapshot that is sent.
    pub last: LogId,
    /// Bytes that the receiver holds.
    pub received: u64,
}

impl SnapshotTransfer {
    /// Offset and data of the next chunk to send.
    pub fn next_chunk(&self, snapshot: &Snapshot) -> (u64, Bytes) {
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

/// Result of receiving a chunk.
#[derive(Debug, PartialEq, Eq)]
pub enum Assembled {
    /// Number of bytes received so far.
    Partial(u64),
    Complete(Snapshot),
}

impl SnapshotAssembly {
    /// Adds a chunk, unless it does not follow the last one.
    pub fn add(&mut self, chunk: &InstallSnapshot) -> Assembled {
        if self.last != chunk.last {
            *self = Self { last: chunk.last, data: BytesMut::new() };
        }
        let fits = chunk.offset == self.data.len() as u64 && chunk.total <= MAX_SNAPSHOT_BYTES;
        if fits {
            self.data.extend_from_slice(&chunk.data);
        }
        if self.data.len() as u64 != chunk.total {
            return Assembled::Partial(self.data.len() as u64);
        }
        let data = std::mem::take(self).data.freeze();
        Assembled::Complete(Snapshot { last: chunk.last, members: chunk.members.clone(), data })
    }
}
