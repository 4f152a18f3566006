//! Execution of statements on the target instances that this entry host owns.
//!
//! The owner of an instance holds all connections to it and schedules the statements
//! of all entry hosts on its slots. The control group assigns instances to owners and
//! limits the connections that each owner may hold.

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
mod connections;
mod execute;
mod instance;
mod liveness;
mod observed;
mod pooled;
mod reports;
mod semaphore;
mod statements;
mod transaction;
mod transactions;
mod write;

/// Instances owned by this entry host. Clones share their state.
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
    /// Ownership epochs without connections here that the view still lists as previous.
    ended_epochs: Mutex<BTreeMap<InstanceId, Epoch>>,
    /// Notified when reports must be sent before the next regular renewal.
    urgent_reports: Arc<Notify>,
}

impl Owner {
    /// Creates an owner without instances and without a lease. Must be called in a
    /// Tokio runtime, because it spawns the housekeeping task.
    pub fn new(settings: OwnerSettings, host: HostId, incarnation: Incarnation) -> Self {
        let shared = Arc::new(Shared {
            settings,
            host,
            incarnation,
            clock: SystemClock::default(),
            leased: AtomicBool::new(false),
            instances: Mutex::default(),
            transactions: Transactions::default(),
            ended_epochs: Mutex::default(),
            urgent_reports: Arc::default(),
        });
        tokio::spawn(liveness::housekeeping(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Runs a statement on an owned instance.
    ///
    /// Dropping the future closes the connection that it uses, and the target rolls
    /// back the statement's transaction.
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

    /// Cancels the running statement of a transaction, if there is one.
    pub fn cancel(&self, transaction: &TransactionId) {
        self.shared.transactions.cancel(transaction);
    }

    /// Records an announcement if it is from an owned instance.
    pub fn handle_announcement(&self, announcement: Announcement) {
        if let Ok(instance) = self.shared.instance(&announcement.spec.id, None) {
            let now = self.shared.clock.now();
            if instance.record_announcement(now, &announcement) {
                self.shared.urgent_reports.notify_one();
            }
        }
    }

    /// Notified when reports must be sent before the next regular renewal.
    pub fn urgent_reports(&self) -> Arc<Notify> {
        self.shared.urgent_reports.clone()
    }

    /// Closes all connections to targets and refuses requests from now on.
    pub fn lease_ended(&self) {
        self.shared.leased.store(false, Ordering::SeqCst);
        for instance in self.shared.owned_instances() {
            instance.close_connections();
        }
        // A transaction that begins concurrently checks that its connection is current
        // after it has registered itself.
        self.shared.transactions.clear();
    }

    /// Accepts requests again. [`Owner::update_view`] must have been called with the
    /// view that came with the lease.
    pub fn lease_renewed(&self) {
        if !self.shared.leased.swap(true, Ordering::SeqCst) {
            for instance in self.shared.owned_instances() {
                instance.resume();
            }
        }
    }

    /// Last known position of an owned instance, and its age in milliseconds.
    pub fn last_position(&self, instance: &InstanceId) -> Option<(Mark, u64)> {
        self.shared.instance(instance, None).ok()?.last_position(self.shared.clock.now())
    }
}

impl Shared {
    /// Returns an owned instance. If `epoch` is given, it must be owned under that epoch.
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

    fn owned_instances(&self) -> Vec<Arc<Instance>> {
        self.instances.lock().values().cloned().collect()
    }

    fn deadline(&self, ms: u64) -> Millis {
        Millis(self.clock.now().0.saturating_add(ms))
    }
}
