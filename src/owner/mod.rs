//! Runtime of the instances that an entry host owns.
//!
//! An owner holds all connections to its instances and schedules the statements of
//! all entry hosts on their slots. Assignments of the control group say which
//! instances it owns and how many connections it may hold.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    clock::{Clock, Millis, SystemClock},
    ids::{Epoch, HostId, Incarnation, InstanceId, Mark},
    owner::{instance::Instance, transactions::Transactions},
    settings::owner::OwnerSettings,
    wire::{
        announcement::Announcement,
        peer::{Description, Execute, Failure, Outcome, Refusal, TransactionId},
    },
};

mod assignments;
mod execute;
mod gate;
mod instance;
mod known;
mod lent;
mod liveness;
mod reports;
mod sockets;
mod statements;
mod transaction;
mod transactions;
mod write;

/// Owner side of an entry host. Clones share their state.
#[derive(Clone)]
pub struct Owner {
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    settings: OwnerSettings,
    host: HostId,
    incarnation: Incarnation,
    clock: SystemClock,
    /// Whether the host holds its lease.
    leased: AtomicBool,
    instances: Mutex<BTreeMap<InstanceId, Arc<Instance>>>,
    transactions: Transactions,
    /// Epochs that ended here while the view still lists them as previous.
    ended: Mutex<BTreeMap<InstanceId, Epoch>>,
    /// Reports that must be sent at once.
    urgent: Arc<Notify>,
}

impl Owner {
    /// Owner without instances and without a lease. Must be called in a runtime.
    pub fn new(settings: OwnerSettings, host: HostId, incarnation: Incarnation) -> Self {
        let shared = Arc::new(Shared {
            settings,
            host,
            incarnation,
            clock: SystemClock::default(),
            leased: AtomicBool::new(false),
            instances: Mutex::default(),
            transactions: Transactions::default(),
            ended: Mutex::default(),
            urgent: Arc::default(),
        });
        tokio::spawn(liveness::housekeeping(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Runs a statement on an owned instance.
    ///
    /// A dropped future closes the connection that it used; the target rolls the
    /// statement's transaction back.
    pub async fn execute(&self, req: Execute) -> Outcome {
        execute::execute(&self.shared, req).await
    }

    /// Types of a statement's parameters and columns.
    pub async fn describe(
        &self,
        instance: &InstanceId,
        epoch: Epoch,
        sql: &str,
    ) -> Result<Description, Failure> {
        execute::describe(&self.shared, instance, epoch, sql).await
    }

    /// Cancels the statement that runs for a transaction.
    pub fn cancel(&self, transaction: &TransactionId) {
        self.shared.transactions.cancel(transaction);
    }

    /// Takes an announcement of an owned instance.
    pub fn handle_announcement(&self, announcement: Announcement) {
        if let Ok(instance) = self.shared.instance(&announcement.spec.id, None) {
            let now = self.shared.clock.now();
            if instance.announced(now, &announcement) {
                self.shared.urgent.notify_one();
            }
        }
    }

    /// Notified when reports must be sent at once.
    pub fn urgent_reports(&self) -> Arc<Notify> {
        self.shared.urgent.clone()
    }

    /// Closes all connections to targets and refuses requests.
    pub fn lease_ended(&self) {
        self.shared.leased.store(false, Ordering::SeqCst);
        for instance in self.shared.list() {
            instance.end();
        }
        // A transaction that begins meanwhile notices that its connection has ended.
        self.shared.transactions.clear();
    }

    /// Serves requests again. The view that came with the lease must have been
    /// given to [`Owner::update_view`] before.
    pub fn lease_renewed(&self) {
        if !self.shared.leased.swap(true, Ordering::SeqCst) {
            for instance in self.shared.list() {
                instance.resume();
            }
        }
    }

    /// Position and age in milliseconds that an owned instance had last.
    pub fn last_position(&self, instance: &InstanceId) -> Option<(Mark, u64)> {
        self.shared.instance(instance, None).ok()?.last_position(self.shared.clock.now())
    }
}

impl Shared {
    /// Owned instance; with `epoch` only if it is owned under that epoch.
    fn instance(&self, id: &InstanceId, epoch: Option<Epoch>) -> Result<Arc<Instance>, Refusal> {
        if !self.leased.load(Ordering::SeqCst) {
            return Err(Refusal::NotOwner);
        }
        let instance = self.instances.lock().get(id).cloned().ok_or(Refusal::NotOwner)?;
        match epoch {
            Some(epoch) if !instance.is_owned_under(epoch) => Err(Refusal::NotOwner),
            _ => Ok(instance),
        }
    }

    fn list(&self) -> Vec<Arc<Instance>> {
        self.instances.lock().values().cloned().collect()
    }

    fn deadline(&self, ms: u64) -> Millis {
        Millis(self.clock.now().0.saturating_add(ms))
    }
}
