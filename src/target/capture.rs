//! Record of the bytes that connections have sent, for tests.

use parking_lot::Mutex;

/// Received bytes up to a limit.
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
    /// Record of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, record: Mutex::default() }
    }

    /// Adds bytes of a connection.
    pub fn add(&self, bytes: &[u8]) {
        let mut record = self.record.lock();
        if record.bytes.len() + bytes.len() > self.limit {
            record.truncated = true;
        } else {
            record.bytes.extend_from_slice(bytes);
        }
    }

    /// Bytes so far, and whether the limit cut some off.
    pub fn read(&self) -> (Vec<u8>, bool) {
        let record = self.record.lock();
        (record.bytes.clone(), record.truncated)
    }
}
