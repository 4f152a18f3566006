//! Slots of one target: who may use it now, who waits, and who is refused at once
//! because the wait would be too long.
//!
//! Workspaces share the slots fairly; routes with a higher rank weigh more.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::{
    clock::Millis,
    ids::Workspace,
    pool::scheduler::{FairQueue, Scheduler, Ticket},
    settings::owner::QueueSettings,
};

/// Work that is under way besides that in the slots, so that a slot does not rest
/// while an answer and the next statement travel.
const EXTRA: u32 = 2;

/// Weight of the newest span in the smoothed time in a slot.
const SMOOTHING: f32 = 0.1;

/// Time in a slot that is assumed at first, in milliseconds.
const FIRST_SPAN_MS: f32 = 15.0;

/// Weight of routes by rank.
const WEIGHTS: [u32; 4] = [8, 4, 2, 1];

/// Slots of one target.
#[derive(Debug)]
pub struct AdmissionQueue {
    scheduler: Scheduler<FairQueue>,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
    width: u32,
    running: u32,
    span_ms: f32,
}

/// Decision on work that arrives.
#[derive(Debug)]
pub enum Admission {
    Granted,
    Queued(Ticket, oneshot::Receiver<()>),
    /// The expected wait is longer than allowed.
    Rejected(Millis),
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        let scheduler = Scheduler::new(1, QueueSettings::default());
        Self { scheduler, waiting: HashMap::new(), width: 1, running: 0, span_ms: FIRST_SPAN_MS }
    }
}

impl AdmissionQueue {
    /// Sets the number of the target's slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.width = slots.max(1) + EXTRA;
        self.scheduler.set_slots(self.width);
    }

    /// Expected wait of work that arrives now.
    pub fn expected_wait(&self) -> Millis {
        let waiting = self.waiting.len() as f32;
        Millis((waiting * self.span_ms / self.width as f32) as u64)
    }

    /// Asks for a slot; `wait` is the longest time to wait for it.
    pub fn enter(
        &mut self,
        now: Millis,
        workspace: Option<&Workspace>,
        priority: u32,
        wait: Millis,
    ) -> Admission {
        let expected = self.expected_wait();
        if expected > wait {
            return Admission::Rejected(expected);
        }
        let rank = (priority as usize).min(WEIGHTS.len() - 1);
        let queued = self.scheduler.enqueue(&workspace.cloned(), WEIGHTS[rank], now + wait);
        let Ok(ticket) = queued else { return Admission::Rejected(expected) };
        let (notify, granted) = oneshot::channel();
        self.waiting.insert(ticket, notify);
        self.start(now);
        if self.waiting.contains_key(&ticket) {
            Admission::Queued(ticket, granted)
        } else {
            Admission::Granted
        }
    }

    /// Work of open transactions runs at once: it frees what the transaction holds.
    pub fn enter_now(&mut self) {
        self.running += 1;
    }

    fn start(&mut self, now: Millis) {
        while let Some(ticket) = self.scheduler.start_next(now) {
            let told = self.waiting.remove(&ticket).map(|notify| notify.send(()));
            match told {
                // The newest ticket's receiver is still held by `enter`.
                Some(Ok(())) => self.running += 1,
                _ => self.scheduler.release_slot(),
            }
        }
    }

    /// Gives up waiting; `false` if the slot was granted meanwhile.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket);
        self.scheduler.cancel(ticket)
    }

    /// Frees a slot that was used for `span`; `queued` if it came from the queue.
    pub fn leave(&mut self, now: Millis, span: Millis, queued: bool) {
        self.running = self.running.saturating_sub(1);
        self.span_ms += SMOOTHING * (span.0 as f32 - self.span_ms);
        if queued {
            self.scheduler.release_slot();
        }
        self.start(now);
    }

    /// Number of callers that wait and that are served.
    pub fn usage(&self) -> (usize, u32) {
        (self.waiting.len(), self.running)
    }
}
