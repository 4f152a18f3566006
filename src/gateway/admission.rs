//! Admission to the slots of one target.
//!
//! A request gets a slot, waits in a queue, or is refused at once if the expected wait
//! exceeds what it allows. [`urgency`](crate::gateway::urgency) defines the order of the queue.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::{
    clock::Millis,
    gateway::{
        return_time::ReturnTimes,
        urgency::{Level, SlotRequest, UrgencyQueue},
    },
    pool::scheduler::Ticket,
};

/// Requests sent beyond the target's slots, so that no slot idles while an answer and
/// the next statement are in transit.
const EXTRA_SLOTS: u32 = 2;

/// Time without a free slot after which the target counts as stalled; longer than the slowest
/// usual statement.
const STALL_THRESHOLD: Millis = Millis(400);

/// Slots of one target and the queue for them.
#[derive(Debug)]
pub struct AdmissionQueue {
    queue: UrgencyQueue,
    notify: HashMap<Ticket, oneshot::Sender<()>>,
    returns: ReturnTimes,
    counts: AdmissionCounts,
    capacity: u32,
    /// Running requests that came from the queue.
    occupied: u32,
    /// All running requests.
    running: u32,
    /// When a slot was last granted or released.
    last_change: Millis,
}

/// Decision on a request for a slot.
#[derive(Debug)]
pub enum Admission {
    Granted,
    Queued(QueuedSlot),
    Refused(Refusal),
}

/// Wait for a slot. The channel is closed if the request is removed from the queue.
#[derive(Debug)]
pub struct QueuedSlot {
    pub ticket: Ticket,
    pub granted: oneshot::Receiver<()>,
    pub max_wait: Millis,
}

/// End of a request that held a slot.
#[derive(Debug, Clone, Copy)]
pub struct Released {
    /// Priority of the request's route.
    pub priority: u32,
    /// Time for which the slot was held; `None` if the target gave no answer.
    pub answered_after: Option<Millis>,
}

/// Refusal of a request that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    pub expected_wait: Millis,
    /// Delay after which the caller should try again.
    pub retry_after: Millis,
}

/// Number of decisions since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Requests that waited and were expected to be answered within their latency target.
    pub queued_in_time: u64,
    pub queued_late: u64,
    /// Requests that were refused on arrival.
    pub refused: u64,
    /// Requests that were removed because their time was over.
    pub expired: u64,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self {
            queue: UrgencyQueue::default(),
            notify: HashMap::new(),
            returns: ReturnTimes::default(),
            counts: AdmissionCounts::default(),
            capacity: 1,
            occupied: 0,
            running: 0,
            last_change: Millis(0),
        }
    }
}

impl AdmissionQueue {
    /// Sets the number of the target's slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.capacity = slots.max(1) + EXTRA_SLOTS;
    }

    /// Requests a slot.
    pub fn acquire(&mut self, now: Millis, request: &SlotRequest<'_>) -> Admission {
        self.expire(now);
        let place = match self.queue.push(now, self.capacity, self.stall(now), request) {
            Ok(place) => place,
            Err(too_long) => {
                self.counts.refused += 1;
                let expected_wait = too_long.expected_wait;
                let room_after = expected_wait.since(too_long.allowed_wait);
                let retry_after = self.book_return(now, request.priority, room_after);
                return Admission::Refused(Refusal { expected_wait, retry_after });
            }
        };
        let (notify, granted) = oneshot::channel();
        self.notify.insert(place.ticket, notify);
        self.grant_slots(now);
        if !self.notify.contains_key(&place.ticket) {
            return Admission::Granted;
        }
        match place.level {
            Level::InTime => self.counts.queued_in_time += 1,
            Level::Late => self.counts.queued_late += 1,
        }
        Admission::Queued(QueuedSlot { ticket: place.ticket, granted, max_wait: place.max_wait })
    }

    /// Takes a slot without queueing. For open transactions, since finishing one
    /// releases what it holds.
    pub fn acquire_unqueued(&mut self) {
        self.running += 1;
    }

    fn grant_slots(&mut self, now: Millis) {
        self.expire(now);
        while self.occupied < self.capacity
            && let Some(ticket) = self.queue.pop()
        {
            let sent = self.notify.remove(&ticket).map(|notify| notify.send(()));
            // The receiver of the newest ticket is still held by `acquire`.
            if matches!(sent, Some(Ok(()))) {
                self.running += 1;
                self.occupied += 1;
                self.last_change = now;
            }
        }
    }

    /// Removes requests that can no longer be answered in time, which closes their channels.
    fn expire(&mut self, now: Millis) {
        for ticket in self.queue.expire(now) {
            self.notify.remove(&ticket);
            self.counts.expired += 1;
        }
    }

    /// Removes a queued request; `false` if its slot has already been granted.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.notify.remove(&ticket);
        self.queue.remove(ticket)
    }

    /// Removes a queued request that has waited for as long as it may, and returns the delay after
    /// which its caller should try again.
    pub fn give_up(&mut self, now: Millis, ticket: Ticket, priority: u32) -> Millis {
        self.counts.expired += u64::from(self.cancel(ticket));
        self.retry_after(now, priority)
    }

    /// Releases the slot of a request that came from the queue.
    pub fn release(&mut self, now: Millis, released: Released) {
        self.running = self.running.saturating_sub(1);
        self.occupied = self.occupied.saturating_sub(1);
        self.last_change = now;
        // Statements without an answer would hide how fast the target is when it answers again.
        if let Released { priority, answered_after: Some(held) } = released {
            self.queue.record_service_time(priority, held);
        }
        self.grant_slots(now);
    }

    /// Releases what [`Self::acquire_unqueued`] took.
    pub fn release_unqueued(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Releases a slot from the queue that was granted but not used.
    pub fn release_unused(&mut self, now: Millis) {
        self.running = self.running.saturating_sub(1);
        self.occupied = self.occupied.saturating_sub(1);
        self.last_change = now;
        self.grant_slots(now);
    }

    /// Whether all slots are in use and none has become free for some time.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.stall(now) >= STALL_THRESHOLD
    }

    /// Time for which no slot is expected to become free. A target that has freed none for longer
    /// than usual is expected to go on for as long again.
    fn stall(&self, now: Millis) -> Millis {
        if self.occupied < self.capacity {
            return Millis(0);
        }
        now.since(self.last_change).since(self.queue.service_time())
    }

    /// Delay after which a caller should try again whose request got no connection.
    pub fn retry_after(&mut self, now: Millis, priority: u32) -> Millis {
        self.book_return(now, priority, Millis(0))
    }

    fn book_return(&mut self, now: Millis, priority: u32, room_after: Millis) -> Millis {
        let interval_ms = self.queue.start_interval_ms(self.capacity);
        self.returns.book(now, priority, room_after, interval_ms)
    }

    /// Number of queued and of running requests.
    pub fn usage(&self) -> (usize, u32) {
        (self.queue.len(), self.running)
    }

    /// Decisions since the last call.
    pub fn take_counts(&mut self) -> AdmissionCounts {
        std::mem::take(&mut self.counts)
    }
}
