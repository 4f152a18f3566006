//! Order of the requests that wait for a slot of one target, by urgency and time left.
//!
//! The load: more requests than the target can serve, on routes with different latency
//! targets. A queue that is longer than the time of most of its requests serves all of them
//! late. Requests that can still be answered within their route's latency target run first, the
//! late ones behind them with at least one slot in [`LATE_INTERVAL`]. A request that cannot be
//! answered within its timeout is refused on arrival; one that waits so long is removed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Millis,
    gateway::{
        class_queue::{CLASSES, ClassQueue, class_of},
        service_time::{ServiceTimes, StartShare},
    },
    ids::Workspace,
    pool::scheduler::{Flow, Ticket},
    settings::owner::QueueSettings,
};

/// While late requests wait, one of this many starts is reserved for them.
const LATE_INTERVAL: u32 = 8;

/// How urgent a request is when it is sent to the owner of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Urgency {
    /// Time left of the route's latency target.
    pub latency_left: Millis,
    /// Time left until the caller no longer waits for an answer.
    pub time_left: Millis,
}

impl Urgency {
    /// Urgency of a request whose host sends none.
    pub fn without_target(timeout: Millis) -> Self {
        Self { latency_left: Millis(timeout.0 / 2), time_left: timeout }
    }
}

/// Request for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest<'a> {
    pub workspace: Option<&'a Workspace>,
    /// Priority of the route; 0 is served first.
    pub priority: u32,
    /// Longest wait.
    pub max_wait: Millis,
    pub urgency: Urgency,
}

/// Whether a waiting request can be answered within its latency target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    InTime,
    Late,
}

/// Why a request cannot wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong {
    pub expected_wait: Millis,
    /// Wait that the request allows.
    pub allowed_wait: Millis,
}

/// Place of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    pub ticket: Ticket,
    pub level: Level,
    /// Wait after which the request is removed.
    pub max_wait: Millis,
}

#[derive(Debug)]
struct Waiting {
    flow: Flow,
    class: usize,
    level: Level,
    /// Latest start for an answer within the latency target, then for one within the timeout.
    start_by: Millis,
    last_start: Millis,
}

/// Requests that wait for a slot of one target.
#[derive(Debug, Default)]
pub struct UrgencyQueue {
    limits: QueueSettings,
    in_time: ClassQueue,
    late: ClassQueue,
    waiting: BTreeMap<Ticket, Waiting>,
    waiting_per_flow: HashMap<Flow, usize>,
    /// Waiting requests by the time at which they become late or are removed.
    by_time: BTreeSet<(Millis, Ticket)>,
    service_times: ServiceTimes,
    in_time_shares: [StartShare; CLASSES],
    late_shares: [StartShare; CLASSES],
    /// Starts since the last one of a late request.
    starts_since_late: u32,
    last_ticket: u64,
}

impl UrgencyQueue {
    /// Queues a request at a target with `capacity` slots. No slot is expected to become free
    /// within `stall`.
    pub fn push(
        &mut self,
        now: Millis,
        capacity: u32,
        stall: Millis,
        request: &SlotRequest<'_>,
    ) -> Result<Place, TooLong> {
        let class = class_of(request.priority);
        let flow: Flow = request.workspace.cloned();
        let urgency = request.urgency;
        let service_time = Millis(self.service_times.of(class) as u64);
        let allowed_wait = request.max_wait.min(urgency.time_left.since(service_time));
        let latency_wait = urgency.latency_left.since(service_time);
        let expected = stall + self.expected_wait(Level::InTime, class, &flow, capacity);
        let is_in_time = urgency.latency_left > service_time && expected <= latency_wait;
        let level = if is_in_time { Level::InTime } else { Level::Late };
        let expected_wait = if is_in_time {
            expected
        } else {
            stall + self.expected_wait(Level::Late, class, &flow, capacity)
        };
        let is_full = self.waiting.len() >= self.limits.total
            || self.waiting_per_flow.get(&flow).is_some_and(|it| *it >= self.limits.per_workspace);
        if expected_wait > allowed_wait || is_full || urgency.time_left == Millis(0) {
            return Err(TooLong { expected_wait, allowed_wait });
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let last_start = now + allowed_wait;
        let start_by = if is_in_time { last_start.min(now + latency_wait) } else { last_start };
        self.queue(level).push(class, &flow, ticket);
        self.by_time.insert((start_by, ticket));
        *self.waiting_per_flow.entry(flow.clone()).or_default() += 1;
        self.waiting.insert(ticket, Waiting { flow, class, level, start_by, last_start });
        Ok(Place { ticket, level, max_wait: allowed_wait })
    }

    /// Expected wait of a request that arrives now.
    pub fn expected_wait(&self, level: Level, class: usize, flow: &Flow, capacity: u32) -> Millis {
        let (queue, shares) = match level {
            Level::InTime => (&self.in_time, &self.in_time_shares),
            Level::Late => (&self.late, &self.late_shares),
        };
        let ahead = queue.ahead_of(&self.service_times, class, flow);
        let own_level = self.service_times.of_all(&ahead);
        let other_level = match level {
            Level::InTime => {
                let late = self.service_times.of_all(&counts(&self.late));
                late.min(own_level / (LATE_INTERVAL - 1) as f32)
            }
            Level::Late => self.service_times.of_all(&counts(&self.in_time)),
        };
        // Requests that arrive later may overtake this one, as they have overtaken others.
        let overtaken = shares[class].starts_until(ahead[class]) * self.service_times.overall();
        Millis(((own_level + other_level).max(overtaken) / capacity.max(1) as f32) as u64)
    }

    /// Takes the next request to run. [`Self::expire`] must have been called for this time.
    pub fn pop(&mut self) -> Option<Ticket> {
        let is_late_due = self.starts_since_late + 1 >= LATE_INTERVAL && !self.late.is_empty();
        let is_late = is_late_due || self.in_time.is_empty();
        let counts_before = [counts(&self.in_time), counts(&self.late)];
        let queue = if is_late { &mut self.late } else { &mut self.in_time };
        let ticket = queue.pop(&self.service_times)?;
        self.starts_since_late = if is_late { 0 } else { self.starts_since_late + 1 };
        let started = self.forget(ticket)?;
        let shares = [&mut self.in_time_shares, &mut self.late_shares];
        for (level, (shares, counts)) in shares.into_iter().zip(counts_before).enumerate() {
            for (class, share) in shares.iter_mut().enumerate().filter(|it| counts[it.0] > 0) {
                share.record(started.class == class && is_late == (level == 1));
            }
        }
        Some(ticket)
    }

    /// Puts requests that have become late behind the others; removes and returns those that can
    /// no longer be answered within their timeouts.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket> {
        let mut removed = Vec::new();
        while let Some((at, ticket)) = self.by_time.first().copied()
            && at < now
        {
            let Some(waiting) = self.waiting.get_mut(&ticket) else {
                self.by_time.pop_first();
                continue;
            };
            if waiting.level == Level::Late || waiting.last_start < now {
                self.remove(ticket);
                removed.push(ticket);
                continue;
            }
            self.by_time.pop_first();
            waiting.level = Level::Late;
            waiting.start_by = waiting.last_start;
            self.by_time.insert((waiting.start_by, ticket));
            self.in_time.remove(waiting.class, ticket);
            self.late.push(waiting.class, &waiting.flow, ticket);
        }
        removed
    }

    /// Removes a waiting request; `false` if it was not waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(waiting) = self.forget(ticket) else { return false };
        self.queue(waiting.level).remove(waiting.class, ticket);
        true
    }

    /// Records the time for which an answered request held its slot.
    pub fn record_service_time(&mut self, priority: u32, held: Millis) {
        self.service_times.record(class_of(priority), held);
    }

    /// Mean time for which a request holds its slot.
    pub fn service_time(&self) -> Millis {
        Millis(self.service_times.overall() as u64)
    }

    /// Expected time between two starts at a target with `capacity` slots that are all in use,
    /// in milliseconds.
    pub fn start_interval_ms(&self, capacity: u32) -> f32 {
        self.service_times.overall() / capacity.max(1) as f32
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn queue(&mut self, level: Level) -> &mut ClassQueue {
        match level {
            Level::InTime => &mut self.in_time,
            Level::Late => &mut self.late,
        }
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.by_time.remove(&(waiting.start_by, ticket));
        if let Some(count) = self.waiting_per_flow.get_mut(&waiting.flow) {
            *count -= 1;
            if *count == 0 {
                self.waiting_per_flow.remove(&waiting.flow);
            }
        }
        Some(waiting)
    }
}

/// Number of waiting requests of each class.
fn counts(queue: &ClassQueue) -> [usize; CLASSES] {
    std::array::from_fn(|class| queue.len(class))
}
