//! Connections that cancel requests can name.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use pgwire::messages::startup::SecretKey;
use subtle::ConstantTimeEq;
use tokio::sync::Notify;

/// Signal that the caller wants the running statement to end.
#[derive(Debug, Default)]
pub struct CancelSignal {
    notify: Notify,
}

impl CancelSignal {
    /// Waits for a cancel request.
    pub async fn cancelled(&self) {
        self.notify.notified().await;
    }

    /// Wakes the statement that runs now; later statements are not affected.
    pub fn cancel(&self) {
        self.notify.notify_waiters();
    }
}

/// Open connections by process id.
#[derive(Debug, Default)]
pub struct Registry {
    connections: Mutex<IndexMap<i32, (SecretKey, Arc<CancelSignal>)>>,
}

impl Registry {
    /// Adds a connection.
    pub fn insert(&self, pid: i32, secret: SecretKey, signal: Arc<CancelSignal>) {
        self.connections.lock().insert(pid, (secret, signal));
    }

    /// Removes a connection.
    pub fn remove(&self, pid: i32) {
        self.connections.lock().swap_remove(&pid);
    }

    /// Signals the connection if `secret` is its key.
    pub fn cancel(&self, pid: i32, secret: &SecretKey) {
        let connections = self.connections.lock();
        let Some((expected, signal)) = connections.get(&pid) else { return };
        if bytes_of(expected).ct_eq(&bytes_of(secret)).into() {
            signal.cancel();
        }
    }
}

fn bytes_of(secret: &SecretKey) -> Vec<u8> {
    match secret {
        SecretKey::I32(number) => number.to_be_bytes().to_vec(),
        SecretKey::Bytes(bytes) => bytes.to_vec(),
    }
}
