//! Permits of a [`Scheduler`] for asynchronous callers.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    clock::{Clock, Millis, SystemClock},
    pool::scheduler::{FairQueue, Flow, Scheduler, Ticket},
    settings::owner::QueueSettings,
    wire::peer::Refusal,
};

/// Fair queue with permits that are given back when dropped.
pub(crate) struct Gate {
    clock: SystemClock,
    state: Mutex<State>,
}

struct State {
    scheduler: Scheduler<FairQueue>,
    waiters: BTreeMap<Ticket, oneshot::Sender<()>>,
}

/// Right to use a slot.
pub(crate) struct Permit {
    gate: Arc<Gate>,
}

/// Place in the queue.
struct Waiting {
    gate: Arc<Gate>,
    ticket: Ticket,
    granted: bool,
}

impl Gate {
    pub(crate) fn new(clock: SystemClock, slots: u32, limits: QueueSettings) -> Self {
        let scheduler = Scheduler::new(slots, limits);
        Self { clock, state: Mutex::new(State { scheduler, waiters: BTreeMap::new() }) }
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.state.lock();
        state.scheduler.set_slots(slots);
        state.dispatch(self.clock.now());
    }

    /// Waits for a slot until `deadline`.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        flow: &Flow,
        weight: u32,
        deadline: Millis,
    ) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let mut waiting = {
            let mut state = self.state.lock();
            let queued = state.scheduler.enqueue(flow, weight, deadline);
            let ticket = queued.map_err(|_| Refusal::QueueFull)?;
            state.waiters.insert(ticket, tx);
            state.dispatch(now);
            Waiting { gate: self.clone(), ticket, granted: false }
        };
        let until = Instant::now() + deadline.since(now).duration();
        match timeout_at(until, rx).await {
            Ok(Ok(())) => {
                waiting.granted = true;
                Ok(Permit { gate: self.clone() })
            }
            _ => Err(Refusal::Deadline),
        }
    }
}

impl State {
    fn dispatch(&mut self, now: Millis) {
        while let Some(ticket) = self.scheduler.start_next(now) {
            if let Some(tx) = self.waiters.remove(&ticket) {
                // A caller that is gone frees the slot when its place is dropped.
                let _ = tx.send(());
            }
        }
    }

    fn finish(&mut self, now: Millis) {
        self.scheduler.release_slot();
        self.dispatch(now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        self.gate.state.lock().finish(now);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        let now = self.gate.clock.now();
        let mut state = self.gate.state.lock();
        let waited = state.waiters.remove(&self.ticket).is_some();
        // A slot that was granted to a caller that is gone must be freed.
        if !state.scheduler.cancel(self.ticket) && !waited {
            state.finish(now);
        }
    }
}
