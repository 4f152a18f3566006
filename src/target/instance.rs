//! State shared by the tasks of a running instance.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use parking_lot::Mutex;
use tokio::sync::{Notify, Semaphore};

use super::{
    capture::Capture,
    faults::Faults,
    session::Cancellations,
    state::State,
    transaction::{Transaction, TransactionNumber},
};
use crate::{
    clock::{Clock, Millis, SystemClock},
    ids::{Incarnation, Term},
    settings::target::TargetSettings,
    wire::control::FenceResponse,
};

/// Term of the first primary of a group.
const FIRST_TERM: Term = Term(1);

/// Shared state of a running instance.
#[derive(Debug)]
pub struct Instance {
    pub settings: TargetSettings,
    pub incarnation: Incarnation,
    pub faults: Faults,
    pub capture: Capture,
    pub slots: Semaphore,
    pub cancellations: Cancellations,
    /// Signals new log entries or a role change.
    pub log_grew: Notify,
    /// Signals an acknowledgement by a replica or a role change.
    pub acknowledged: Notify,
    /// Signals released row locks or a role change.
    pub locks_released: Notify,
    /// Signals a change to the announced state.
    pub announce: Notify,
    clock: SystemClock,
    state: Mutex<State>,
    transactions: AtomicU64,
    connections: AtomicU32,
    leaving: AtomicBool,
}

impl Instance {
    /// Creates an instance with an empty log.
    pub fn new(settings: TargetSettings, incarnation: Incarnation) -> Arc<Self> {
        let clock = SystemClock::default();
        let group_size = settings.peers.len() + 1;
        Arc::new(Self {
            incarnation,
            faults: Faults::new(settings.lag),
            capture: Capture::new(settings.capture_bytes),
            slots: Semaphore::new(settings.slots as usize),
            cancellations: Cancellations::default(),
            log_grew: Notify::new(),
            acknowledged: Notify::new(),
            locks_released: Notify::new(),
            announce: Notify::new(),
            state: Mutex::new(State::new(group_size, clock.now())),
            transactions: AtomicU64::new(0),
            connections: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            clock,
            settings,
        })
    }

    /// Current time on the instance's own clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Runs `f` with exclusive access to the state.
    pub fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock())
    }

    /// Creates an empty transaction with the next number.
    pub fn transaction(&self) -> Transaction {
        let number: TransactionNumber = self.transactions.fetch_add(1, Ordering::Relaxed);
        Transaction::new(number)
    }

    /// Reserves a connection; false if the limit is reached.
    pub fn try_connect(&self) -> bool {
        let limit = self.settings.connections;
        let taken = self.connections.fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
            (count < limit).then_some(count + 1)
        });
        taken.is_ok()
    }

    /// Gives back a connection reserved by [`Self::try_connect`].
    pub fn disconnect(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    /// Number of open connections.
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::Acquire)
    }

    /// Whether the instance announces itself as leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks the instance as leaving and triggers an announcement.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.announce.notify_one();
    }

    /// Promotes the instance to the first primary of its group.
    pub fn bootstrap(&self) -> FenceResponse {
        self.promote(FIRST_TERM)
    }

    /// Rejects all terms older than `term` from now on.
    pub fn fence(&self, term: Term) -> FenceResponse {
        let answer = self.with(|state| state.fence(term, self.now()));
        self.role_changed();
        answer
    }

    /// Promotes the instance to primary of `term`.
    pub fn promote(&self, term: Term) -> FenceResponse {
        let name = &self.settings.name;
        let answer = self.with(|state| state.promote(term, name, self.now()));
        self.role_changed();
        answer
    }

    /// Wakes all tasks that depend on the role.
    pub fn role_changed(&self) {
        self.log_grew.notify_waiters();
        self.acknowledged.notify_waiters();
        self.locks_released.notify_waiters();
        self.announce.notify_one();
    }
}
