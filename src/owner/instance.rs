//! One owned instance: its connections, its slots and what is known of it.

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
        gate::Gate,
        known::Known,
        lent::{Lent, Socket},
    },
    pool::connections::{CheckInOutcome, Checkout, ConnectionId, ConnectionPool, PoolAction},
    settings::owner::OwnerSettings,
    state::model::{Assignment, InstanceSpec},
    wire::peer::Refusal,
};

/// Connections that the probe and single statements need beside transactions.
const RESERVED_CONNECTIONS: u32 = 1;

pub(crate) struct Instance {
    pub(crate) id: InstanceId,
    pub(crate) settings: OwnerSettings,
    pub(crate) clock: SystemClock,
    /// Slots for running statements.
    pub(crate) slots: Arc<Gate>,
    /// Connections for open transactions. Leaves enough connections to use all
    /// slots, so that holders of a slot never wait for a transaction to end.
    pub(crate) transactions: Arc<Gate>,
    pub(super) state: Mutex<State>,
    /// A connection has become idle or the pool was closed.
    pub(super) available: Notify,
}

pub(super) struct State {
    pub(super) pool: ConnectionPool,
    pub(super) idle: BTreeMap<ConnectionId, Socket>,
    pub(super) waiting: u32,
    /// Cancelled when all connections must be closed.
    pub(super) stop: CancellationToken,
    /// Cancelled some time after the term has ended; its parent is `stop`.
    term_end: CancellationToken,
    pub(super) spec: InstanceSpec,
    owner: Assignment,
    drained: bool,
    /// Since when the instance gets no new work.
    drained_at: Option<Millis>,
    is_primary: bool,
    /// Terms below this one have ended.
    fence: Term,
    pub(super) known: Known,
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
        let known = Known { answered_at: clock.now(), ..Known::default() };
        let stop = CancellationToken::new();
        let state = State {
            pool,
            idle: BTreeMap::new(),
            waiting: 0,
            term_end: stop.child_token(),
            stop,
            spec: spec.clone(),
            owner: assignment.clone(),
            drained: false,
            drained_at: None,
            is_primary: false,
            fence: Term(0),
            known,
        };
        let instance = Arc::new(Self {
            id: spec.id.clone(),
            settings: settings.clone(),
            clock,
            slots: Arc::new(Gate::new(clock, spec.slots.max(1), settings.queue)),
            transactions: Arc::new(Gate::new(clock, 1, settings.queue)),
            state: Mutex::new(state),
            available: Notify::new(),
        });
        instance.place(placement);
        instance
    }

    /// Takes over what a new view says.
    pub(crate) fn place(self: &Arc<Self>, placement: Placement) {
        let Placement { spec, assignment, is_current, drained, is_primary, fence } = placement;
        let slots = spec.slots.max(1);
        self.slots.set_slots(slots);
        let reserved = slots + RESERVED_CONNECTIONS;
        self.transactions.set_slots(assignment.connections.saturating_sub(reserved).max(1));
        let mut state = self.state.lock();
        if state.spec.sql_addr != spec.sql_addr {
            state.restart_connections();
        }
        if fence > state.fence && state.is_primary {
            self.end_term(&mut state);
        }
        state.spec = spec;
        state.is_primary = is_primary;
        state.fence = fence;
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

    /// Closes all connections because the lease has ended.
    pub(crate) fn end(&self) {
        self.state.lock().stop_connections();
        self.available.notify_waiters();
    }

    /// Closes all connections and opens new ones, because the instance is silent.
    pub(crate) fn restart(self: &Arc<Self>) {
        self.state.lock().restart_connections();
        self.maintain();
    }

    /// Ends requests that an isolated primary of an earlier term will not answer, so
    /// that they can go on at the new primary.
    fn end_term(&self, state: &mut State) {
        let next = state.stop.child_token();
        let ended = std::mem::replace(&mut state.term_end, next);
        let grace = self.settings.fence_grace.duration();
        tokio::spawn(async move {
            tokio::time::sleep(grace).await;
            ended.cancel();
        });
    }

    /// Opens connections again under a renewed lease.
    pub(crate) fn resume(self: &Arc<Self>) {
        let mut state = self.state.lock();
        state.pool.resume();
        state.known.answered_at = self.clock.now();
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

    /// Whether the probe may keep a connection of its own.
    pub(crate) fn can_spare_connection(&self) -> bool {
        let state = self.state.lock();
        state.owner.connections > state.spec.slots.max(1) + RESERVED_CONNECTIONS
    }

    /// Whether the pool gives no more checkouts.
    pub(crate) fn is_released(&self) -> bool {
        self.state.lock().pool.is_closed()
    }

    /// Whether the view names the instance as its group's primary.
    pub(crate) fn is_listed_primary(&self) -> bool {
        self.state.lock().is_primary
    }

    /// Whether `term` has ended: a promotion with a larger term has started.
    pub(crate) fn is_fenced(&self, term: Term) -> bool {
        term < self.state.lock().fence
    }

    /// Whether new work may start.
    pub(crate) fn accepts_work(&self) -> Result<(), Refusal> {
        let state = self.state.lock();
        if state.pool.is_closed() {
            return Err(Refusal::NotOwner);
        }
        let Some(since) = state.drained_at else { return Ok(()) };
        // A primary serves until the planned change, which its drain has caused.
        let grace = state.is_primary && state.drained;
        let in_grace = self.clock.now().since(since) < self.settings.drain_grace;
        if grace && in_grace { Ok(()) } else { Err(Refusal::Draining) }
    }

    /// Reads and changes what is known of the instance.
    pub(crate) fn known<T>(&self, change: impl FnOnce(&mut Known) -> T) -> T {
        change(&mut self.state.lock().known)
    }

    /// Takes a connection, waiting for one until `deadline`. A request of the
    /// primary names its `term`, which may end while it waits.
    pub(crate) async fn checkout(
        self: &Arc<Self>,
        term: Option<Term>,
        deadline: Millis,
    ) -> Result<Lent, Refusal> {
        let longest = deadline.since(self.clock.now()).min(self.settings.connection_wait);
        let until = Instant::now() + longest.duration();
        loop {
            let (lent, notified) = self.try_checkout(term)?;
            if let Some(lent) = lent {
                return Ok(lent);
            }
            let _waiter = Waiter::new(self);
            self.maintain();
            timeout_at(until, notified).await.map_err(|_| Refusal::NoConnection)?;
        }
    }

    fn try_checkout(
        self: &Arc<Self>,
        term: Option<Term>,
    ) -> Result<(Option<Lent>, Notified<'_>), Refusal> {
        let notified = self.available.notified();
        let mut state = self.state.lock();
        if state.pool.is_closed() {
            return Err(Refusal::NotOwner);
        }
        if term.is_some_and(|term| term < state.fence) {
            return Err(Refusal::NotPrimary);
        }
        while let Some(checkout) = state.pool.checkout() {
            let socket = state.idle.remove(&checkout.id);
            if let Some(socket) = socket.filter(|socket| socket.connection.is_open()) {
                let stop = state.term_end.clone();
                return Ok((Some(Lent::new(self.clone(), checkout, socket, stop)), notified));
            }
            state.pool.check_in(checkout, false);
            state.pool.closed(checkout.id);
        }
        Ok((None, notified))
    }

    pub(crate) fn is_current(&self, checkout: Checkout) -> bool {
        self.state.lock().pool.is_current(checkout)
    }

    pub(crate) fn park(&self, checkout: Checkout, at: Option<Millis>) {
        self.state.lock().pool.set_transaction_idle(checkout, at);
    }

    pub(crate) fn abandoned(&self, now: Millis) -> Vec<Checkout> {
        self.state.lock().pool.timed_out_transactions(now)
    }

    /// Takes a connection back; one that is not clean is closed.
    pub(crate) fn give_back(self: &Arc<Self>, checkout: Checkout, socket: Socket, clean: bool) {
        let mut state = self.state.lock();
        match state.pool.check_in(checkout, clean) {
            CheckInOutcome::Idle => {
                state.idle.insert(checkout.id, socket);
                drop(state);
                self.available.notify_waiters();
            }
            CheckInOutcome::Close => {
                drop(state);
                self.close(checkout.id, socket);
            }
            CheckInOutcome::Stale => {}
        }
    }
}

impl State {
    fn restart_connections(&mut self) {
        let leased = !self.pool.is_suspended();
        self.stop_connections();
        if leased {
            self.pool.resume();
        }
    }

    /// Drops all connections; those in use are dropped by their users.
    fn stop_connections(&mut self) {
        self.stop.cancel();
        self.stop = CancellationToken::new();
        self.term_end = self.stop.child_token();
        for action in self.pool.suspend() {
            if let PoolAction::Close(id) = action {
                self.pool.closed(id);
            }
        }
        self.idle.clear();
    }
}

/// Counts a request that waits for a connection.
struct Waiter<'a> {
    instance: &'a Instance,
}

impl<'a> Waiter<'a> {
    fn new(instance: &'a Instance) -> Self {
        instance.state.lock().waiting += 1;
        Self { instance }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.instance.state.lock().waiting -= 1;
    }
}
