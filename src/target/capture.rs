//! Capture of the bytes received from clients, for inspection by tests.

use parking_lot::Mutex;

/// Size-limited buffer of received bytes, shared by all connections.
#[derive(Debug)]
pub struct Capture {
    limit: usize,
    record: Mutex<Record>,
}

#[derive(Debug, Default)]
struct Record {
    bytes: Vec<u8>,
    truncated: bool,
}

impl Capture {
    /// Capture of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, record: Mutex::default() }
    }

    /// Appends a chunk received on a connection; one that would exceed the limit is dropped whole.
    pub fn add(&self, bytes: &[u8]) {
        let mut record = self.record.lock();
        if record.bytes.len() + bytes.len() > self.limit {
            record.truncated = true;
        } else {
            record.bytes.extend_from_slice(bytes);
        }
    }

    /// Captured bytes, and whether any chunk was dropped.
    pub fn read(&self) -> (Vec<u8>, bool) {
        let record = self.record.lock();
        (record.bytes.clone(), record.truncated)
    }
}
