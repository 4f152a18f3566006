//! Registry of the connections that a CancelRequest can refer to.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use pgwire::messages::startup::SecretKey;
use subtle::ConstantTimeEq;
use tokio::sync::Notify;

/// Signal that the caller has cancelled the running statement.
#[derive(Debug, Default)]
pub struct CancelSignal {
    notify: Notify,
}

impl CancelSignal {
    /// Waits for a cancel request.
    pub async fn cancelled(&self) {
        self.notify.notified().await;
    }

    /// Cancels the running statement; later statements are not affected.
    pub fn cancel(&self) {
        self.notify.notify_waiters();
    }
}

/// Cancel keys and signals of open connections by process ID.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    connections: Mutex<IndexMap<i32, (SecretKey, Arc<CancelSignal>)>>,
}

impl CancelRegistry {
    pub fn insert(&self, pid: i32, secret: SecretKey, signal: Arc<CancelSignal>) {
        self.connections.lock().insert(pid, (secret, signal));
    }

    pub fn remove(&self, pid: i32) {
        self.connections.lock().swap_remove(&pid);
    }

    /// Signals the connection `pid` if `secret` matches its key.
    pub fn cancel(&self, pid: i32, secret: &SecretKey) {
        let connections = self.connections.lock();
        let Some((expected, signal)) = connections.get(&pid) else { return };
        if secret_bytes(expected).ct_eq(&secret_bytes(secret)).into() {
            signal.cancel();
        }
    }
}

fn secret_bytes(secret: &SecretKey) -> Vec<u8> {
    match secret {
        SecretKey::I32(number) => number.to_be_bytes().to_vec(),
        SecretKey::Bytes(bytes) => bytes.to_vec(),
    }
}
