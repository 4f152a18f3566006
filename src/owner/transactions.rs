//! Table of open transactions and their pinned connections.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::Mutex as AsyncMutex;

use crate::{
    adapters::backend::{CancelKey, cancel},
    clock::Millis,
    ids::{Term, Workspace},
    owner::{pooled::PooledConnection, semaphore::Permit},
    wire::peer::TransactionId,
};

/// Connection that is reserved for one transaction.
pub(crate) struct PinnedConnection {
    pub(crate) connection: PooledConnection,
    /// Permit for an open transaction, released at its end.
    pub(crate) permit: Permit,
    pub(crate) term: Term,
    pub(crate) workspace: Option<Workspace>,
    /// A statement has run, so the transaction may hold row locks.
    pub(crate) may_hold_locks: bool,
    /// A statement has failed, so the transaction can only be rolled back.
    pub(crate) failed: bool,
}

/// Open transaction. The lock serializes its statements. The connection is taken out
/// while a statement runs and after the transaction has ended.
pub(crate) struct Transaction {
    pub(crate) pinned: AsyncMutex<Option<PinnedConnection>>,
    cancel: Option<(String, CancelKey, Arc<AtomicBool>)>,
}

/// All open transactions of this owner.
#[derive(Default)]
pub(crate) struct Transactions {
    table: Mutex<IndexMap<TransactionId, Arc<Transaction>>>,
}

impl Transactions {
    pub(crate) fn insert(&self, id: &TransactionId, pinned: PinnedConnection) {
        let cancel = pinned.connection.cancel_handle();
        let transaction = Transaction { pinned: AsyncMutex::new(Some(pinned)), cancel };
        let replaced = self.table.lock().insert(id.clone(), Arc::new(transaction));
        drop(replaced);
    }

    pub(crate) fn get(&self, id: &TransactionId) -> Option<Arc<Transaction>> {
        self.table.lock().get(id).cloned()
    }

    /// Removes a transaction. Must be called before its connection returns to the pool,
    /// so that a later cancellation cannot hit the next user of the connection.
    pub(crate) fn remove(&self, id: &TransactionId) {
        let removed = self.table.lock().swap_remove(id);
        drop(removed);
    }

    /// Drops all transactions and closes their connections.
    pub(crate) fn clear(&self) {
        let all = std::mem::take(&mut *self.table.lock());
        for transaction in all.values() {
            if let Ok(mut pinned) = transaction.pinned.try_lock() {
                drop(pinned.take());
            }
        }
    }

    /// Cancels the running statement of a transaction, if there is one.
    pub(crate) fn cancel(&self, id: &TransactionId) {
        let table = self.table.lock();
        let Some(transaction) = table.get(id) else { return };
        if transaction.pinned.try_lock().is_ok() {
            return;
        }
        if let Some((addr, key, flag)) = &transaction.cancel {
            flag.store(true, Ordering::SeqCst);
            let (addr, key) = (addr.clone(), *key);
            tokio::spawn(async move { cancel(&addr, key).await });
        }
    }

    /// Removes and returns the transactions that must end: abandoned ones, and those of
    /// a replaced primary or of a closed connection.
    pub(crate) fn sweep(&self, now: Millis) -> Vec<PinnedConnection> {
        let mut ended = Vec::new();
        let mut table = self.table.lock();
        table.retain(|_, transaction| {
            let Ok(mut pinned) = transaction.pinned.try_lock() else { return true };
            let keep = pinned.as_ref().is_some_and(|pinned| pinned.may_continue(now));
            if !keep {
                ended.extend(pinned.take());
            }
            keep
        });
        ended
    }
}

impl PinnedConnection {
    fn may_continue(&self, now: Millis) -> bool {
        let (instance, checkout) = (self.connection.instance(), self.connection.checkout());
        instance.is_current(checkout)
            && !instance.is_fenced(self.term)
            && !instance.timed_out_transactions(now).contains(&checkout)
    }
}
