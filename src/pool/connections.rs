//! Connections of one instance.
//!
//! Tracks which connections exist and who uses them; the runtime holds the sockets
//! and carries out the returned actions. Each connection counts against the budget
//! from the moment it is opened until the target has closed it.

use std::collections::BTreeMap;

use crate::{clock::Millis, settings::owner::PoolSettings};

/// Number of a connection within its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Use of a connection. A later use of the same connection has a larger generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Checkout {
    pub id: ConnectionId,
    pub generation: u64,
}

/// What the runtime must do with a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolAction {
    Open(ConnectionId),
    Close(ConnectionId),
}

/// What happens to a connection that was given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckInOutcome {
    /// Connection can be checked out again.
    Idle,
    /// Connection must be closed.
    Close,
    /// Checkout is of an older generation; the connection is not its own any more.
    Stale,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Opening,
    Idle,
    /// `idle_since` is the time of the last statement while the connection belongs to
    /// a transaction that runs no statement.
    InUse {
        generation: u64,
        idle_since: Option<Millis>,
    },
    Closing,
}

/// Connections of one instance under one assignment.
#[derive(Debug)]
pub struct ConnectionPool {
    settings: PoolSettings,
    budget: u32,
    draining: bool,
    suspended: bool,
    next_id: u64,
    generation: u64,
    connections: BTreeMap<ConnectionId, State>,
    failures: u32,
    retry_at: Millis,
}

impl ConnectionPool {
    /// Pool of at most `budget` connections.
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

    /// Changes the budget; [`ConnectionPool::plan`] closes what exceeds it.
    pub fn set_budget(&mut self, budget: u32) {
        self.budget = budget;
    }

    /// Gives no more checkouts; running transactions end.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes back a drain: the instance is assigned to this owner again.
    pub fn cancel_drain(&mut self) {
        self.draining = false;
    }

    /// Whether the host's lease has ended.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Whether the pool is being drained.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the pool gives no more checkouts.
    pub fn is_closed(&self) -> bool {
        self.draining || self.suspended
    }

    /// Closes all connections at once because the host's lease has ended.
    pub fn suspend(&mut self) -> Vec<PoolAction> {
        self.suspended = true;
        self.connections.retain(|_, state| *state != State::Opening);
        let close = |(id, state): (&ConnectionId, &mut State)| {
            *state = State::Closing;
            PoolAction::Close(*id)
        };
        self.connections.iter_mut().map(close).collect()
    }

    /// Opens connections again after the lease was renewed.
    pub fn resume(&mut self) {
        self.suspended = false;
        self.failures = 0;
        self.retry_at = Millis(0);
    }

    /// Connections that exist or may exist at the target.
    pub fn total(&self) -> u32 {
        self.connections.len() as u32
    }

    /// Connections in use.
    pub fn in_use(&self) -> u32 {
        self.count(|state| matches!(state, State::InUse { .. }))
    }

    /// Connections ready for use.
    pub fn idle(&self) -> u32 {
        self.count(|state| *state == State::Idle)
    }

    /// Opens warm connections for `waiting` requests and ahead of demand, and
    /// closes idle ones that exceed the budget.
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
        // One attempt at a time until the instance answers again.
        let wanted = if self.failures > 0 { 1 } else { self.settings.warm.max(1) + waiting };
        let free = allowed.saturating_sub(self.total());
        for _ in 0..wanted.saturating_sub(ready).min(free) {
            let id = ConnectionId(self.next_id);
            self.next_id += 1;
            self.connections.insert(id, State::Opening);
            actions.push(PoolAction::Open(id));
        }
        actions
    }

    /// Connection was opened; `false` if it is not wanted any more and must be
    /// closed, after which [`ConnectionPool::closed`] is due.
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

    /// Connection could not be opened.
    pub fn open_failed(&mut self, now: Millis, id: ConnectionId) {
        if self.connections.remove(&id).is_some() {
            self.back_off(now);
        }
    }

    /// Takes an idle connection.
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

    /// Whether results that arrive for the checkout still belong to it.
    pub fn is_current(&self, checkout: Checkout) -> bool {
        let state = self.connections.get(&checkout.id);
        matches!(state, Some(State::InUse { generation, .. }) if *generation == checkout.generation)
    }

    /// Marks a transaction's connection as idle between statements, or in use.
    pub fn set_transaction_idle(&mut self, checkout: Checkout, at: Option<Millis>) {
        if self.is_current(checkout) {
            let state = State::InUse { generation: checkout.generation, idle_since: at };
            self.connections.insert(checkout.id, state);
        }
    }

    /// Checkouts of transactions that ran no statement for too long.
    pub fn idle_transactions(&self, now: Millis) -> Vec<Checkout> {
        let abandoned = self.connections.iter().filter_map(|(id, state)| match state {
            State::InUse { generation, idle_since: Some(at) }
                if now.since(*at) >= self.settings.transaction_idle =>
            {
                Some(Checkout { id: *id, generation: *generation })
            }
            _ => None,
        });
        abandoned.collect()
    }

    /// Gives a connection back; a connection that is not `clean` is replaced.
    pub fn check_in(&mut self, checkout: Checkout, clean: bool) -> CheckInOutcome {
        if !self.is_current(checkout) {
            return CheckInOutcome::Stale;
        }
        let closing = self.count(|state| *state == State::Closing);
        let fits = self.total() - closing <= self.budget;
        let reuse = clean && fits && !self.is_closed();
        let state = if reuse { State::Idle } else { State::Closing };
        self.connections.insert(checkout.id, state);
        if reuse { CheckInOutcome::Idle } else { CheckInOutcome::Close }
    }

    /// Connection is closed at the target.
    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    fn back_off(&mut self, now: Millis) {
        // Attempts that were made together count as one.
        if now < self.retry_at {
            return;
        }
        let delay = self.settings.backoff.0 << self.failures.min(16);
        self.failures += 1;
        self.retry_at = Millis(now.0 + delay.min(self.settings.backoff_max.0));
    }

    fn count(&self, matches: impl Fn(&State) -> bool) -> u32 {
        self.connections.values().filter(|state| matches(state)).count() as u32
    }
}
