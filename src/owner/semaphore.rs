//! Asynchronous semaphore that grants its permits in the order of a [`Scheduler`].

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

/// Semaphore whose permits are shared fairly between flows. Dropping a permit
/// releases it.
pub(crate) struct FairSemaphore {
    clock: SystemClock,
    state: Mutex<State>,
}

struct State {
    scheduler: Scheduler<FairQueue>,
    waiters: BTreeMap<Ticket, oneshot::Sender<()>>,
}

/// Right to use one slot. Dropping it releases the slot.
pub(crate) struct Permit {
    semaphore: Arc<FairSemaphore>,
}

/// Request in the queue. Dropping it before the permit was taken leaves the queue and
/// releases a slot that was granted meanwhile.
struct QueueEntry {
    semaphore: Arc<FairSemaphore>,
    ticket: Ticket,
    granted: bool,
}

impl FairSemaphore {
    pub(crate) fn new(clock: SystemClock, slots: u32, limits: QueueSettings) -> Self {
        let scheduler = Scheduler::new(slots, limits);
        Self { clock, state: Mutex::new(State { scheduler, waiters: BTreeMap::new() }) }
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.state.lock();
        state.scheduler.set_slots(slots);
        state.dispatch(self.clock.now());
    }

    /// Waits for a slot until `deadline`. Slots are shared between flows by `weight`.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        flow: &Flow,
        weight: u32,
        deadline: Millis,
    ) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let mut entry = {
            let mut state = self.state.lock();
            let queued = state.scheduler.enqueue(flow, weight, deadline);
            let ticket = queued.map_err(|_| Refusal::QueueFull)?;
            state.waiters.insert(ticket, tx);
            state.dispatch(now);
            QueueEntry { semaphore: self.clone(), ticket, granted: false }
        };
        let until = Instant::now() + deadline.since(now).duration();
        match timeout_at(until, rx).await {
            Ok(Ok(())) => {
                entry.granted = true;
                Ok(Permit { semaphore: self.clone() })
            }
            _ => Err(Refusal::Deadline),
        }
    }
}

impl State {
    fn dispatch(&mut self, now: Millis) {
        while let Some(ticket) = self.scheduler.start_next(now) {
            if let Some(tx) = self.waiters.remove(&ticket) {
                // If the caller has been dropped, dropping its queue entry frees the slot.
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
        let now = self.semaphore.clock.now();
        self.semaphore.state.lock().finish(now);
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        if self.granted {
            return;
        }
        let now = self.semaphore.clock.now();
        let mut state = self.semaphore.state.lock();
        let was_waiting = state.waiters.remove(&self.ticket).is_some();
        // The slot may have been granted just before the caller was dropped.
        if !state.scheduler.cancel(self.ticket) && !was_waiting {
            state.finish(now);
        }
    }
}
