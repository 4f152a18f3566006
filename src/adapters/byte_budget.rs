//! Budget for the bytes that a process holds for its callers.
//!
//! Load: many callers that each send a large message, in pieces or without its end, or do not
//! read a large answer. Each of them is within its limits, all together exceed the memory of
//! the machine.
//!
//! Bytes are reserved before they are kept. A part of the budget is left for small holders,
//! so that callers with small messages are served beside large ones. If a reservation does not
//! fit, the holder with the most bytes is closed, and the reservation waits until these bytes
//! are free. It fails if the one that asks holds the most, or no other may be closed.

use std::sync::Arc;

use derive_more::{Display, Error};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::settings::session_limits::ByteLimits;

/// Reservation that does not fit into the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the host is short of memory")]
pub struct BudgetExhausted;

/// Budget shared by all holders of a process.
#[derive(Debug, Clone, Default)]
pub struct ByteBudget(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Wakes the reservations that wait.
    released: Notify,
}

/// Bytes of several holders.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    total: u64,
    /// Part of `total` that belongs to holders above [`ByteLimits::small_holder`].
    large: u64,
}

#[derive(Debug, Default)]
struct State {
    /// `None`: without a limit.
    limits: Option<ByteLimits>,
    holders: IndexMap<u64, HolderState>,
    next_id: u64,
    /// Bytes of all holders.
    all: Sums,
    /// Bytes of the holders that are being closed.
    closing: Sums,
}

/// Result of an attempt to reserve bytes that has not failed.
enum Attempt {
    Reserved,
    /// Bytes of holders that are being closed are needed.
    Waits,
}

#[derive(Debug)]
struct HolderState {
    bytes: u64,
    /// Whether the holder may be closed to make room.
    closable: bool,
    /// Becomes true when the holder is closed.
    closed: watch::Sender<bool>,
}

/// Share of one caller in a [`ByteBudget`]; returned when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct ByteHolder(Arc<Registration>);

#[derive(Debug)]
struct Registration {
    budget: ByteBudget,
    id: u64,
}

/// Bytes of a holder that are returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    holder: ByteHolder,
    bytes: u64,
}

impl ByteBudget {
    pub fn new(limits: Option<ByteLimits>) -> Self {
        let state = Mutex::new(State { limits, ..State::default() });
        Self(Arc::new(Shared { state, released: Notify::new() }))
    }

    /// Registers a holder without bytes.
    pub fn holder(&self) -> ByteHolder {
        let mut state = self.0.state.lock();
        let id = state.next_id;
        state.next_id += 1;
        let closed = watch::Sender::new(false);
        state.holders.insert(id, HolderState { bytes: 0, closable: true, closed });
        ByteHolder(Arc::new(Registration { budget: self.clone(), id }))
    }

    /// Bytes held at present.
    pub fn held(&self) -> u64 {
        self.0.state.lock().all.total
    }
}

impl ByteHolder {
    fn shared(&self) -> &Shared {
        &self.0.budget.0
    }

    /// Reserves `bytes` in addition to those already held. Waits while others are being closed.
    pub async fn reserve(&self, bytes: u64) -> Result<(), BudgetExhausted> {
        loop {
            let released = self.shared().released.notified();
            let attempt = self.shared().state.lock().reserve(self.0.id, bytes)?;
            match attempt {
                Attempt::Reserved => return Ok(()),
                Attempt::Waits => released.await,
            }
        }
    }

    /// Reserves `bytes` until the result is dropped.
    pub async fn reserve_scoped(&self, bytes: u64) -> Result<Reservation, BudgetExhausted> {
        self.reserve(bytes).await?;
        Ok(Reservation { holder: self.clone(), bytes })
    }

    /// Counts bytes that are already in memory until the result is dropped; closes the largest
    /// holders, which may include this one, while the budget is exceeded.
    pub fn count_scoped(&self, bytes: u64) -> Reservation {
        self.shared().state.lock().count(self.0.id, bytes);
        Reservation { holder: self.clone(), bytes }
    }

    pub fn release(&self, bytes: u64) {
        let mut state = self.shared().state.lock();
        let held = state.bytes(self.0.id);
        state.set_bytes(self.0.id, held.saturating_sub(bytes));
        drop(state);
        self.shared().released.notify_waiters();
    }

    /// Sets whether the holder may be closed to make room. A holder that waits for the outcome
    /// of a statement may not, because its caller could not be told the outcome. Fails if the
    /// holder is already being closed.
    pub fn set_closable(&self, closable: bool) -> Result<(), BudgetExhausted> {
        let mut state = self.shared().state.lock();
        if state.is_closed(self.0.id) {
            return Err(BudgetExhausted);
        }
        if let Some(holder) = state.holders.get_mut(&self.0.id) {
            holder.closable = closable;
        }
        Ok(())
    }

    /// Waits until the holder is closed to make room for others.
    pub async fn closed(&self) {
        let holder =
            self.shared().state.lock().holders.get(&self.0.id).map(|it| it.closed.subscribe());
        if let Some(mut closed) = holder {
            // The sender lives as long as the registration.
            let _ = closed.wait_for(|closed| *closed).await;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.budget.0.state.lock();
        state.set_bytes(self.id, 0);
        state.holders.swap_remove(&self.id);
        drop(state);
        self.budget.0.released.notify_waiters();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.holder.release(self.bytes);
    }
}

impl Sums {
    fn replace(&mut self, old: Self, new: Self) {
        self.total = self.total - old.total + new.total;
        self.large = self.large - old.large + new.large;
    }

    fn without(self, part: Self) -> Self {
        Self { total: self.total - part.total, large: self.large - part.large }
    }
}

impl State {
    fn bytes(&self, id: u64) -> u64 {
        self.holders.get(&id).map_or(0, |holder| holder.bytes)
    }

    fn is_closed(&self, id: u64) -> bool {
        self.holders.get(&id).is_none_or(|holder| *holder.closed.borrow())
    }

    /// Sums of one holder with `bytes`.
    fn sums(&self, bytes: u64) -> Sums {
        let is_large = self.limits.as_ref().is_some_and(|limits| bytes > limits.small_holder);
        Sums { total: bytes, large: if is_large { bytes } else { 0 } }
    }

    fn set_bytes(&mut self, id: u64, bytes: u64) {
        let (old, new) = (self.sums(self.bytes(id)), self.sums(bytes));
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.bytes = bytes;
        self.all.replace(old, new);
        if *holder.closed.borrow() {
            self.closing.replace(old, new);
        }
    }

    fn exceeds(&self, sums: Sums) -> bool {
        self.limits.as_ref().is_some_and(|limits| {
            sums.total > limits.total || sums.large > limits.total - limits.reserved_for_small
        })
    }

    fn reserve(&mut self, id: u64, bytes: u64) -> Result<Attempt, BudgetExhausted> {
        if self.is_closed(id) {
            return Err(BudgetExhausted);
        }
        let held = self.bytes(id);
        let wanted = held + bytes;
        self.set_bytes(id, wanted);
        if !self.exceeds(self.all) {
            return Ok(Attempt::Reserved);
        }
        while self.exceeds(self.all.without(self.closing)) {
            match self.largest_closable() {
                Some(largest) if largest != id && self.bytes(largest) > wanted => {
                    self.close(largest);
                }
                _ => {
                    self.set_bytes(id, held);
                    return Err(BudgetExhausted);
                }
            }
        }
        self.set_bytes(id, held);
        Ok(Attempt::Waits)
    }

    fn count(&mut self, id: u64, bytes: u64) {
        let held = self.bytes(id);
        self.set_bytes(id, held + bytes);
        while self.exceeds(self.all.without(self.closing))
            && let Some(largest) = self.largest_closable()
        {
            self.close(largest);
        }
    }

    /// Open holder with the most bytes among those that may be closed, if it has any.
    fn largest_closable(&self) -> Option<u64> {
        let open = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.closable && holder.bytes > 0 && !*holder.closed.borrow());
        open.max_by_key(|(_, holder)| holder.bytes).map(|(id, _)| *id)
    }

    fn close(&mut self, id: u64) {
        let sums = self.sums(self.bytes(id));
        if let Some(holder) = self.holders.get(&id) {
            holder.closed.send_replace(true);
            self.closing.replace(Sums::default(), sums);
        }
    }
}
