//! Admission to the slots of one target.
//!
//! A request gets a slot, waits in a queue, or is rejected at once if the expected wait
//! exceeds its limit. Slots are shared fairly between workspaces, weighted by the
//! priority of the route.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::{
    clock::Millis,
    ids::Workspace,
    pool::scheduler::{FairQueue, Scheduler, Ticket},
    settings::owner::QueueSettings,
};

/// Requests sent beyond the target's slots, so that no slot idles while an answer and
/// the next statement are in transit.
const EXTRA_SLOTS: u32 = 2;

/// Weight of the newest sample in the moving average of the hold time.
const EWMA_WEIGHT: f32 = 0.1;

/// Hold time assumed before the first sample, in milliseconds.
const INITIAL_HOLD_MS: f32 = 15.0;

/// Scheduling weight of a route by its priority.
const PRIORITY_WEIGHTS: [u32; 4] = [8, 4, 2, 1];

/// Slots of one target and the queue for them.
#[derive(Debug)]
pub struct AdmissionQueue {
    scheduler: Scheduler<FairQueue>,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
    capacity: u32,
    running: u32,
    mean_hold_ms: f32,
}

/// Decision on a request for a slot.
#[derive(Debug)]
pub enum Admission {
    Granted,
    Queued(Ticket, oneshot::Receiver<()>),
    /// Expected wait, which is longer than allowed.
    Rejected(Millis),
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        let scheduler = Scheduler::new(1, QueueSettings::default());
        Self {
            scheduler,
            waiting: HashMap::new(),
            capacity: 1,
            running: 0,
            mean_hold_ms: INITIAL_HOLD_MS,
        }
    }
}

impl AdmissionQueue {
    /// Sets the number of the target's slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.capacity = slots.max(1) + EXTRA_SLOTS;
        self.scheduler.set_slots(self.capacity);
    }

    /// Expected wait of a request that arrives now.
    pub fn expected_wait(&self) -> Millis {
        let waiting = self.waiting.len() as f32;
        Millis((waiting * self.mean_hold_ms / self.capacity as f32) as u64)
    }

    /// Requests a slot, for which the request may wait at most `max_wait`.
    pub fn acquire(
        &mut self,
        now: Millis,
        workspace: Option<&Workspace>,
        priority: u32,
        max_wait: Millis,
    ) -> Admission {
        let expected = self.expected_wait();
        if expected > max_wait {
            return Admission::Rejected(expected);
        }
        let class = (priority as usize).min(PRIORITY_WEIGHTS.len() - 1);
        let queued =
            self.scheduler.enqueue(&workspace.cloned(), PRIORITY_WEIGHTS[class], now + max_wait);
        let Ok(ticket) = queued else { return Admission::Rejected(expected) };
        let (notify, granted) = oneshot::channel();
        self.waiting.insert(ticket, notify);
        self.grant_slots(now);
        if self.waiting.contains_key(&ticket) {
            Admission::Queued(ticket, granted)
        } else {
            Admission::Granted
        }
    }

    /// Takes a slot without queueing. For open transactions, since finishing one
    /// releases what it holds.
    pub fn acquire_unqueued(&mut self) {
        self.running += 1;
    }

    fn grant_slots(&mut self, now: Millis) {
        while let Some(ticket) = self.scheduler.start_next(now) {
            let sent = self.waiting.remove(&ticket).map(|notify| notify.send(()));
            match sent {
                // The receiver of the newest ticket is still held by `acquire`.
                Some(Ok(())) => self.running += 1,
                _ => self.scheduler.release_slot(),
            }
        }
    }

    /// Removes a queued request; `false` if its slot has already been granted.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket);
        self.scheduler.cancel(ticket)
    }

    /// Releases a slot that was held for `held`; `queued` if it came from the queue.
    pub fn release(&mut self, now: Millis, held: Millis, queued: bool) {
        self.running = self.running.saturating_sub(1);
        self.mean_hold_ms += EWMA_WEIGHT * (held.0 as f32 - self.mean_hold_ms);
        if queued {
            self.scheduler.release_slot();
        }
        self.grant_slots(now);
    }

    /// Number of queued and of running requests.
    pub fn usage(&self) -> (usize, u32) {
        (self.waiting.len(), self.running)
    }
}
