//! Shared parts of a running instance.

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

/// First term of a group.
const FIRST_TERM: Term = Term(1);

/// Running instance.
#[derive(Debug)]
pub struct Instance {
    pub settings: TargetSettings,
    pub incarnation: Incarnation,
    pub faults: Faults,
    pub capture: Capture,
    pub slots: Semaphore,
    pub cancellations: Cancellations,
    /// Log has grown or the role has changed.
    pub log_grew: Notify,
    /// A replica has acknowledged entries or the role has changed.
    pub acknowledged: Notify,
    /// Row locks were released.
    pub locks_released: Notify,
    /// Something that announcements state has changed.
    pub announce: Notify,
    clock: SystemClock,
    state: Mutex<State>,
    transactions: AtomicU64,
    connections: AtomicU32,
    leaving: AtomicBool,
}

impl Instance {
    /// Instance with an empty log.
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

    /// Time on the instance's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Runs `f` on the state.
    pub fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock())
    }

    /// New transaction without writes.
    pub fn transaction(&self) -> Transaction {
        let number: TransactionNumber = self.transactions.fetch_add(1, Ordering::Relaxed);
        Transaction::new(number)
    }

    /// Counts a connection; false if there are too many.
    pub fn try_connect(&self) -> bool {
        let limit = self.settings.connections;
        let taken = self.connections.fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
            (count < limit).then_some(count + 1)
        });
        taken.is_ok()
    }

    /// Ends a counted connection.
    pub fn disconnect(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    /// Open connections.
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::Acquire)
    }

    /// Whether the instance has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Announces that the instance is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.announce.notify_one();
    }

    /// Becomes the first primary of its group.
    pub fn bootstrap(&self) -> FenceResponse {
        self.promote(FIRST_TERM)
    }

    /// Stops accepting terms older than `term`.
    pub fn fence(&self, term: Term) -> FenceResponse {
        let answer = self.with(|state| state.fence(term, self.now()));
        self.role_changed();
        answer
    }

    /// Becomes the primary of `term`.
    pub fn promote(&self, term: Term) -> FenceResponse {
        let name = &self.settings.name;
        let answer = self.with(|state| state.promote(term, name, self.now()));
        self.role_changed();
        answer
    }

    /// Wakes everything that depends on the role.
    pub fn role_changed(&self) {
        self.log_grew.notify_waiters();
        self.acknowledged.notify_waiters();
        self.locks_released.notify_waiters();
        self.announce.notify_one();
    }
}
