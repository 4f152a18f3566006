//! Queue of requests for the slots of an instance.
//!
//! [`FairQueue`] is start-time fair queueing between workspaces: each request gets
//! a start tag from its workspace's previous request, and the smallest tag runs
//! next. A workspace that sends more than its share only delays itself. [`Fifo`]
//! serves in order of arrival, for comparison.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{clock::Millis, ids::Workspace, settings::owner::QueueSettings};

/// Virtual time of one request of weight 1.
const COST: u64 = 1 << 20;

/// Flows whose tags are kept before those without a waiting request are removed.
const FLOWS_KEPT: usize = 64;

/// Queue that a request belongs to; `None` for requests without a workspace.
pub type Flow = Option<Workspace>;

/// Number of a request in a queue, increasing with each arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Order in which waiting requests run.
pub trait SchedulingPolicy: Default {
    /// Adds a request.
    fn push(&mut self, flow: &Flow, weight: u32, ticket: Ticket);
    /// Takes the request that runs next.
    fn pop(&mut self) -> Option<Ticket>;
    /// Removes a request that no longer waits.
    fn remove(&mut self, ticket: Ticket);
}

/// Start-time fair queueing.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Start tag of the request that ran last.
    virtual_time: u64,
    /// Waiting requests by start tag.
    order: BTreeSet<(u64, Ticket)>,
    starts: BTreeMap<Ticket, u64>,
    /// Finish tag of the newest request of each flow.
    finish: BTreeMap<Flow, u64>,
}

impl SchedulingPolicy for FairQueue {
    fn push(&mut self, flow: &Flow, weight: u32, ticket: Ticket) {
        let finish = self.finish.entry(flow.clone()).or_default();
        let start = self.virtual_time.max(*finish);
        *finish = start + COST / u64::from(weight.max(1));
        self.starts.insert(ticket, start);
        self.order.insert((start, ticket));
    }

    fn pop(&mut self) -> Option<Ticket> {
        let (start, ticket) = self.order.pop_first()?;
        self.starts.remove(&ticket);
        self.virtual_time = start;
        if self.finish.len() > FLOWS_KEPT {
            // A flow whose tags lie in the past gets the same tags as a new one.
            self.finish.retain(|_, finish| *finish > start);
        }
        Some(ticket)
    }

    fn remove(&mut self, ticket: Ticket) {
        if let Some(start) = self.starts.remove(&ticket) {
            self.order.remove(&(start, ticket));
        }
    }
}

/// Service in order of arrival.
#[derive(Debug, Default)]
pub struct Fifo {
    queue: VecDeque<Ticket>,
}

impl SchedulingPolicy for Fifo {
    fn push(&mut self, _: &Flow, _: u32, ticket: Ticket) {
        self.queue.push_back(ticket);
    }

    fn pop(&mut self) -> Option<Ticket> {
        self.queue.pop_front()
    }

    fn remove(&mut self, ticket: Ticket) {
        self.queue.retain(|queued| *queued != ticket);
    }
}

/// Queue bound that an arriving request would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueFull {
    Workspace,
    Total,
}

/// Slots of an instance with the queue for them.
#[derive(Debug)]
pub struct Scheduler<P> {
    slots: u32,
    running: u32,
    limits: QueueSettings,
    policy: P,
    next: u64,
    waiting: BTreeMap<Ticket, (Flow, Millis)>,
    per_flow: BTreeMap<Flow, usize>,
}

impl<P: SchedulingPolicy> Scheduler<P> {
    /// Scheduler for `slots` requests at a time.
    pub fn new(slots: u32, limits: QueueSettings) -> Self {
        Self {
            slots,
            running: 0,
            limits,
            policy: P::default(),
            next: 0,
            waiting: BTreeMap::new(),
            per_flow: BTreeMap::new(),
        }
    }

    /// Changes the number of slots; running requests are not affected.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Adds a request that may wait until `deadline`.
    pub fn enqueue(
        &mut self,
        flow: &Flow,
        weight: u32,
        deadline: Millis,
    ) -> Result<Ticket, QueueFull> {
        if self.waiting.len() >= self.limits.total {
            return Err(QueueFull::Total);
        }
        let count = self.per_flow.entry(flow.clone()).or_default();
        if *count >= self.limits.per_workspace {
            return Err(QueueFull::Workspace);
        }
        *count += 1;
        let ticket = Ticket(self.next);
        self.next += 1;
        self.policy.push(flow, weight, ticket);
        self.waiting.insert(ticket, (flow.clone(), deadline));
        Ok(ticket)
    }

    /// Next request to run, if a slot is free. Requests past their deadline are
    /// dropped; their waiters notice the deadline themselves.
    pub fn start_next(&mut self, now: Millis) -> Option<Ticket> {
        while self.running < self.slots {
            let ticket = self.policy.pop()?;
            let deadline = self.forget(ticket).map(|(_, deadline)| deadline);
            if deadline.is_some_and(|deadline| now < deadline) {
                self.running += 1;
                return Some(ticket);
            }
        }
        None
    }

    /// Frees the slot of a request that ran.
    pub fn release_slot(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a waiting request; `false` if it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let waited = self.forget(ticket).is_some();
        if waited {
            self.policy.remove(ticket);
        }
        waited
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn forget(&mut self, ticket: Ticket) -> Option<(Flow, Millis)> {
        let removed = self.waiting.remove(&ticket)?;
        if let Some(count) = self.per_flow.get_mut(&removed.0) {
            *count -= 1;
            if *count == 0 {
                self.per_flow.remove(&removed.0);
            }
        }
        Some(removed)
    }
}
