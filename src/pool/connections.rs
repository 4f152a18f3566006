//! Connection pool of one instance.
//!
//! The pool tracks the state of each connection and plans what to open and close; the
//! runtime holds the sockets and carries out the returned actions. A connection counts
//! towards the budget from the start of the attempt to open it until the target has
//! closed it.

use std::collections::BTreeMap;

use crate::{clock::Millis, settings::owner::PoolSettings};

/// Number of a connection within its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Exclusive use of a connection. A later checkout of the same connection has a larger
/// generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Checkout {
    pub id: ConnectionId,
    pub generation: u64,
}

/// Action for the runtime to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolAction {
    Open(ConnectionId),
    Close(ConnectionId),
}

/// State of a connection after its check-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckInOutcome {
    /// The connection can be checked out again.
    Idle,
    /// The connection must be closed.
    Close,
    /// The checkout is outdated and no longer has the connection.
    Stale,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Opening,
    Idle,
    /// `idle_since` is the time of the last statement while the connection is idle in a
    /// transaction.
    InUse {
        generation: u64,
        idle_since: Option<Millis>,
    },
    Closing,
}

/// Connections of one instance under one assignment to this host.
#[derive(Debug)]
pub struct ConnectionPool {
    settings: PoolSettings,
    budget: u32,
    draining: bool,
    /// The host's lease has ended.
    suspended: bool,
    next_id: u64,
    generation: u64,
    connections: BTreeMap<ConnectionId, State>,
    /// Consecutive failed attempts to open a connection.
    failures: u32,
    retry_at: Millis,
}

impl ConnectionPool {
    /// Empty pool for at most `budget` connections.
    pub fn new(settings: PoolSettings, budget: u32) -> Self {
        Self {
            settings,
            budget,
            draining: false,
            suspended: false,
            next_id: 0,
            generation: 0,
            connections: BTreeMap::new(),
            failures: 0,
            retry_at: Millis(0),
        }
    }

    /// Changes the budget; [`ConnectionPool::plan`] closes the excess connections.
    pub fn set_budget(&mut self, budget: u32) {
        self.budget = budget;
    }

    /// Stops checkouts; open transactions may finish.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Allows checkouts again, because the instance is assigned to this owner again.
    pub fn cancel_drain(&mut self) {
        self.draining = false;
    }

    /// Whether the pool is suspended because the host's lease has ended.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the pool refuses checkouts.
    pub fn is_closed(&self) -> bool {
        self.draining || self.suspended
    }

    /// Closes all connections immediately, because the host's lease has ended.
    pub fn suspend(&mut self) -> Vec<PoolAction> {
        self.suspended = true;
        self.connections.retain(|_, state| *state != State::Opening);
        let close = |(id, state): (&ConnectionId, &mut State)| {
            *state = State::Closing;
            PoolAction::Close(*id)
        };
        self.connections.iter_mut().map(close).collect()
    }

    /// Allows connections again after the lease was renewed.
    pub fn resume(&mut self) {
        self.suspended = false;
        self.failures = 0;
        self.retry_at = Millis(0);
    }

    /// Connections that exist or may exist at the target, including those that are being
    /// opened or closed.
    pub fn total(&self) -> u32 {
        self.connections.len() as u32
    }

    /// Connections that are checked out.
    pub fn in_use(&self) -> u32 {
        self.count(|state| matches!(state, State::InUse { .. }))
    }

    pub fn idle(&self) -> u32 {
        self.count(|state| *state == State::Idle)
    }

    /// Plans to open connections for `waiting` requests and ahead of demand, and to
    /// close idle ones in excess of the budget.
    pub fn plan(&mut self, now: Millis, waiting: u32) -> Vec<PoolAction> {
        let allowed = if self.is_closed() { 0 } else { self.budget };
        let mut actions = Vec::new();
        let closing = self.count(|state| *state == State::Closing);
        let mut excess = (self.total() - closing).saturating_sub(allowed);
        for (id, state) in &mut self.connections {
            if excess > 0 && *state == State::Idle {
                *state = State::Closing;
                excess -= 1;
                actions.push(PoolAction::Close(*id));
            }
        }
        if self.is_closed() || now < self.retry_at {
            return actions;
        }
        let ready = self.count(|state| matches!(state, State::Idle | State::Opening));
        // After a failure, only one attempt at a time until the instance answers.
        let wanted = if self.failures > 0 { 1 } else { self.settings.min_idle.max(1) + waiting };
        let headroom = allowed.saturating_sub(self.total());
        for _ in 0..wanted.saturating_sub(ready).min(headroom) {
            let id = ConnectionId(self.next_id);
            self.next_id += 1;
            self.connections.insert(id, State::Opening);
            actions.push(PoolAction::Open(id));
        }
        actions
    }

    /// Records that a connection was opened. If `false`, it is no longer wanted: the
    /// caller must close it and then call [`ConnectionPool::closed`].
    pub fn opened(&mut self, id: ConnectionId) -> bool {
        self.failures = 0;
        let closed = self.is_closed();
        match self.connections.get_mut(&id) {
            Some(state) if *state == State::Opening => {
                *state = if closed { State::Closing } else { State::Idle };
                !closed
            }
            _ => false,
        }
    }

    /// Records that a connection could not be opened.
    pub fn open_failed(&mut self, now: Millis, id: ConnectionId) {
        if self.connections.remove(&id).is_some() {
            self.back_off(now);
        }
    }

    /// Checks out an idle connection.
    pub fn checkout(&mut self) -> Option<Checkout> {
        if self.is_closed() {
            return None;
        }
        let idle = self.connections.iter_mut().rev().find(|(_, state)| **state == State::Idle);
        let (id, state) = idle?;
        self.generation += 1;
        *state = State::InUse { generation: self.generation, idle_since: None };
        Some(Checkout { id: *id, generation: self.generation })
    }

    /// Whether the checkout still holds its connection; otherwise late results must be
    /// discarded.
    pub fn is_current(&self, checkout: Checkout) -> bool {
        let state = self.connections.get(&checkout.id);
        matches!(state, Some(State::InUse { generation, .. }) if *generation == checkout.generation)
    }

    /// Marks a checked-out connection as idle in a transaction since the given time, or
    /// as running a statement.
    pub fn set_transaction_idle(&mut self, checkout: Checkout, idle_since: Option<Millis>) {
        if self.is_current(checkout) {
            let state = State::InUse { generation: checkout.generation, idle_since };
            self.connections.insert(checkout.id, state);
        }
    }

    /// Checkouts whose transactions have been idle for longer than allowed.
    pub fn timed_out_transactions(&self, now: Millis) -> Vec<Checkout> {
        let timed_out = self.connections.iter().filter_map(|(id, state)| match state {
            State::InUse { generation, idle_since: Some(since) }
                if now.since(*since) >= self.settings.idle_transaction_timeout =>
            {
                Some(Checkout { id: *id, generation: *generation })
            }
            _ => None,
        });
        timed_out.collect()
    }

    /// Returns a connection to the pool; one that is not `clean` is closed, not reused.
    pub fn check_in(&mut self, checkout: Checkout, clean: bool) -> CheckInOutcome {
        if !self.is_current(checkout) {
            return CheckInOutcome::Stale;
        }
        let closing = self.count(|state| *state == State::Closing);
        let within_budget = self.total() - closing <= self.budget;
        let reuse = clean && within_budget && !self.is_closed();
        let state = if reuse { State::Idle } else { State::Closing };
        self.connections.insert(checkout.id, state);
        if reuse { CheckInOutcome::Idle } else { CheckInOutcome::Close }
    }

    /// Records that the target has closed a connection.
    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    fn back_off(&mut self, now: Millis) {
        // Concurrent attempts count as one failure.
        if now < self.retry_at {
            return;
        }
        let delay = self.settings.backoff_base.0 << self.failures.min(16);
        self.failures += 1;
        self.retry_at = Millis(now.0 + delay.min(self.settings.backoff_cap.0));
    }

    fn count(&self, matches: impl Fn(&State) -> bool) -> u32 {
        self.connections.values().filter(|state| matches(state)).count() as u32
    }
}
