//! Runtime state of one owned instance: its connections, its slots and its last
//! observed state.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use tokio::{
    sync::{Notify, futures::Notified},
    time::{Instant, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::{Clock, Millis, SystemClock},
    ids::{Epoch, InstanceId, Service, Term},
    owner::{
        assignments::Placement,
        observed::ObservedState,
        pooled::{BackendConnection, PooledConnection},
        semaphore::FairSemaphore,
    },
    pool::connections::{CheckInOutcome, Checkout, ConnectionId, ConnectionPool, PoolAction},
    settings::owner::OwnerSettings,
    state::model::{Assignment, InstanceSpec},
    wire::peer::Refusal,
};

/// Connections kept free of transactions, in addition to one for each slot, for the
/// probe and for statements outside transactions.
const RESERVED_CONNECTIONS: u32 = 1;

pub(crate) struct Instance {
    pub(crate) id: InstanceId,
    pub(crate) settings: OwnerSettings,
    pub(crate) clock: SystemClock,
    /// Slots for running statements.
    pub(crate) slots: Arc<FairSemaphore>,
    /// Limits open transactions, so that enough connections remain to use all slots and
    /// the holder of a slot never waits for a transaction to end.
    pub(crate) transaction_slots: Arc<FairSemaphore>,
    pub(super) state: Mutex<State>,
    /// Notified when a connection becomes idle or the pool or the placement changes.
    pub(super) available: Notify,
}

pub(super) struct State {
    pub(super) pool: ConnectionPool,
    pub(super) idle: BTreeMap<ConnectionId, BackendConnection>,
    /// Requests that wait for a connection.
    pub(super) waiting: u32,
    /// Cancelled when all connections must be closed.
    pub(super) stop: CancellationToken,
    /// Cancelled `fence_grace` after a promotion has fenced the term; child of `stop`.
    term_stop: CancellationToken,
    pub(super) spec: InstanceSpec,
    owner: Assignment,
    drained: bool,
    /// When the drain of the instance was first seen.
    drained_at: Option<Millis>,
    is_primary: bool,
    /// Terms below this one have ended, and their requests are refused.
    fencing_term: Term,
    pub(super) observed: ObservedState,
}

impl Instance {
    pub(crate) fn new(
        settings: &OwnerSettings,
        clock: SystemClock,
        placement: Placement,
        leased: bool,
    ) -> Arc<Self> {
        let Placement { spec, assignment, .. } = &placement;
        let mut pool = ConnectionPool::new(settings.pool, assignment.connections);
        if !leased {
            pool.suspend();
        }
        let observed = ObservedState { answered_at: clock.now(), ..ObservedState::default() };
        let stop = CancellationToken::new();
        let state = State {
            pool,
            idle: BTreeMap::new(),
            waiting: 0,
            term_stop: stop.child_token(),
            stop,
            spec: spec.clone(),
            owner: assignment.clone(),
            drained: false,
            drained_at: None,
            is_primary: false,
            fencing_term: Term(0),
            observed,
        };
        let instance = Arc::new(Self {
            id: spec.id.clone(),
            settings: settings.clone(),
            clock,
            slots: Arc::new(FairSemaphore::new(clock, spec.slots.max(1), settings.queue)),
            transaction_slots: Arc::new(FairSemaphore::new(clock, 1, settings.queue)),
            state: Mutex::new(state),
            available: Notify::new(),
        });
        instance.apply_placement(placement);
        instance
    }

    /// Applies the placement of a new view.
    pub(crate) fn apply_placement(self: &Arc<Self>, placement: Placement) {
        let Placement { spec, assignment, is_current, drained, is_primary, fencing_term } =
            placement;
        let slots = spec.slots.max(1);
        self.slots.set_slots(slots);
        let reserved = slots + RESERVED_CONNECTIONS;
        self.transaction_slots.set_slots(assignment.connections.saturating_sub(reserved).max(1));
        let mut state = self.state.lock();
        if state.spec.sql_addr != spec.sql_addr {
            state.reconnect();
        }
        if fencing_term > state.fencing_term && state.is_primary {
            self.end_term(&mut state);
        }
        state.spec = spec;
        state.is_primary = is_primary;
        state.fencing_term = fencing_term;
        state.pool.set_budget(assignment.connections);
        if is_current {
            state.owner = assignment;
            state.pool.cancel_drain();
        } else {
            state.pool.drain();
        }
        state.drained = drained;
        let since = state.drained_at.unwrap_or(self.clock.now());
        state.drained_at = drained.then_some(since);
        drop(state);
        self.available.notify_waiters();
        self.maintain();
    }

    /// Closes all connections because the lease or the assignment has ended.
    pub(crate) fn close_connections(&self) {
        self.state.lock().close_connections();
        self.available.notify_waiters();
    }

    /// Replaces all connections because the instance has become unresponsive.
    pub(crate) fn reconnect(self: &Arc<Self>) {
        self.state.lock().reconnect();
        self.maintain();
    }

    /// Ends the requests that are still running in the current term after a grace
    /// period. An isolated primary would never answer them; once they have ended, they
    /// can be retried at the new primary.
    fn end_term(&self, state: &mut State) {
        let next = state.stop.child_token();
        let ended = std::mem::replace(&mut state.term_stop, next);
        let grace = self.settings.fence_grace.duration();
        tokio::spawn(async move {
            tokio::time::sleep(grace).await;
            ended.cancel();
        });
    }

    /// Opens connections again after the lease was renewed.
    pub(crate) fn resume(self: &Arc<Self>) {
        let mut state = self.state.lock();
        state.pool.resume();
        state.observed.answered_at = self.clock.now();
        drop(state);
        self.maintain();
    }

    pub(crate) fn is_owned_under(&self, epoch: Epoch) -> bool {
        self.state.lock().owner.epoch == epoch
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.state.lock().owner.epoch
    }

    pub(crate) fn kept(&self) -> u32 {
        self.state.lock().pool.total()
    }

    pub(crate) fn service(&self) -> Service {
        self.state.lock().spec.service.clone()
    }

    /// Whether another host owns the instance now.
    pub(crate) fn is_draining(&self) -> bool {
        self.state.lock().pool.is_draining()
    }

    /// Whether there are enough connections for the probe to keep one of its own.
    pub(crate) fn can_spare_connection(&self) -> bool {
        let state = self.state.lock();
        state.owner.connections > state.spec.slots.max(1) + RESERVED_CONNECTIONS
    }

    /// Whether the pool allows no more checkouts.
    pub(crate) fn is_closed(&self) -> bool {
        self.state.lock().pool.is_closed()
    }

    /// Whether the view names the instance as its group's primary.
    pub(crate) fn is_listed_primary(&self) -> bool {
        self.state.lock().is_primary
    }

    /// Whether `term` has ended: a promotion with a larger term has started.
    pub(crate) fn is_fenced(&self, term: Term) -> bool {
        term < self.state.lock().fencing_term
    }

    /// Whether new work may start.
    pub(crate) fn accepts_work(&self) -> Result<(), Refusal> {
        let state = self.state.lock();
        if state.pool.is_closed() {
            return Err(Refusal::NotOwner);
        }
        let Some(since) = state.drained_at else { return Ok(()) };
        // A drained primary serves until the planned promotion that its drain causes.
        let has_grace = state.is_primary && state.drained;
        let in_grace = self.clock.now().since(since) < self.settings.drain_grace;
        if has_grace && in_grace { Ok(()) } else { Err(Refusal::Draining) }
    }

    /// Calls `f` with the observed state, which is locked meanwhile.
    pub(crate) fn with_observed<T>(&self, f: impl FnOnce(&mut ObservedState) -> T) -> T {
        f(&mut self.state.lock().observed)
    }

    /// Checks out a connection. Waits until `deadline`, but at most `connection_wait`.
    /// Requests that need the primary pass its `term`, which may end while they wait.
    pub(crate) async fn checkout(
        self: &Arc<Self>,
        term: Option<Term>,
        deadline: Millis,
    ) -> Result<PooledConnection, Refusal> {
        let wait = deadline.since(self.clock.now()).min(self.settings.connection_wait);
        let until = Instant::now() + wait.duration();
        loop {
            let (connection, notified) = self.try_checkout(term)?;
            if let Some(connection) = connection {
                return Ok(connection);
            }
            let _guard = WaitingGuard::new(self);
            self.maintain();
            timeout_at(until, notified).await.map_err(|_| Refusal::NoConnection)?;
        }
    }

    fn try_checkout(
        self: &Arc<Self>,
        term: Option<Term>,
    ) -> Result<(Option<PooledConnection>, Notified<'_>), Refusal> {
        let notified = self.available.notified();
        let mut state = self.state.lock();
        if state.pool.is_closed() {
            return Err(Refusal::NotOwner);
        }
        if term.is_some_and(|term| term < state.fencing_term) {
            return Err(Refusal::NotPrimary);
        }
        while let Some(checkout) = state.pool.checkout() {
            let backend = state.idle.remove(&checkout.id);
            if let Some(backend) = backend.filter(|backend| backend.connection.is_open()) {
                let stop = state.term_stop.clone();
                return Ok((
                    Some(PooledConnection::new(self.clone(), checkout, backend, stop)),
                    notified,
                ));
            }
            state.pool.check_in(checkout, false);
            state.pool.closed(checkout.id);
        }
        Ok((None, notified))
    }

    /// Whether a checkout still holds its connection.
    pub(crate) fn is_current(&self, checkout: Checkout) -> bool {
        self.state.lock().pool.is_current(checkout)
    }

    /// Marks the connection of a transaction as idle between statements since `at`, or
    /// as in use if `at` is `None`.
    pub(crate) fn set_transaction_idle(&self, checkout: Checkout, at: Option<Millis>) {
        self.state.lock().pool.set_transaction_idle(checkout, at);
    }

    /// Checkouts of transactions that have been idle for too long.
    pub(crate) fn timed_out_transactions(&self, now: Millis) -> Vec<Checkout> {
        self.state.lock().pool.timed_out_transactions(now)
    }

    /// Returns a connection to the pool; one that is not clean is closed.
    pub(crate) fn check_in(
        self: &Arc<Self>,
        checkout: Checkout,
        backend: BackendConnection,
        clean: bool,
    ) {
        let mut state = self.state.lock();
        match state.pool.check_in(checkout, clean) {
            CheckInOutcome::Idle => {
                state.idle.insert(checkout.id, backend);
                drop(state);
                self.available.notify_waiters();
            }
            CheckInOutcome::Close => {
                drop(state);
                self.close(checkout.id, backend);
            }
            CheckInOutcome::Stale => {}
        }
    }
}

impl State {
    fn reconnect(&mut self) {
        let leased = !self.pool.is_suspended();
        self.close_connections();
        if leased {
            self.pool.resume();
        }
    }

    /// Closes all connections. Those in use are signalled through `stop` and dropped by
    /// the requests that hold them.
    fn close_connections(&mut self) {
        self.stop.cancel();
        self.stop = CancellationToken::new();
        self.term_stop = self.stop.child_token();
        for action in self.pool.suspend() {
            if let PoolAction::Close(id) = action {
                self.pool.closed(id);
            }
        }
        self.idle.clear();
    }
}

/// Counts a request as waiting for a connection until dropped.
struct WaitingGuard<'a> {
    instance: &'a Instance,
}

impl<'a> WaitingGuard<'a> {
    fn new(instance: &'a Instance) -> Self {
        instance.state.lock().waiting += 1;
        Self { instance }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.instance.state.lock().waiting -= 1;
    }
}
