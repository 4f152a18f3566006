//! Scheduling of requests onto the slots of an instance.
//!
//! [`FairQueue`] implements start-time fair queueing between workspaces: the start tag
//! of a request follows from the finish tag of its workspace's previous request, and the
//! request with the smallest start tag runs next. A workspace that sends more than its
//! share only delays itself. [`Fifo`] serves requests in order of arrival and is the
//! baseline for comparison.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{clock::Millis, ids::Workspace, settings::owner::QueueSettings};

/// Virtual time that a request of weight 1 takes.
const UNIT_COST: u64 = 1 << 20;

/// Number of finish tags above which the tags of past requests are removed.
const PRUNE_THRESHOLD: usize = 64;

/// Flow that a request belongs to; `None` for requests without a workspace.
pub type Flow = Option<Workspace>;

/// Number of a request in a queue, increasing with each arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Order in which waiting requests run.
pub trait SchedulingPolicy: Default {
    fn push(&mut self, flow: &Flow, weight: u32, ticket: Ticket);
    /// Takes the next request to run.
    fn pop(&mut self) -> Option<Ticket>;
    /// Removes a cancelled request.
    fn remove(&mut self, ticket: Ticket);
}

/// Start-time fair queueing.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// Start tag of the request that was started last.
    virtual_time: u64,
    /// Waiting requests, ordered by start tag.
    by_start_tag: BTreeSet<(u64, Ticket)>,
    start_tags: BTreeMap<Ticket, u64>,
    /// Finish tag of the latest request of each flow.
    finish_tags: BTreeMap<Flow, u64>,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.start_tags.len()
    }

    pub fn is_empty(&self) -> bool {
        self.start_tags.is_empty()
    }

    /// Number of waiting requests that run before a request of `flow` that arrives now.
    pub fn ahead_of(&self, flow: &Flow) -> usize {
        let start = self.start_tag(flow);
        self.by_start_tag.range(..=(start, Ticket(u64::MAX))).count()
    }

    fn start_tag(&self, flow: &Flow) -> u64 {
        self.finish_tags.get(flow).map_or(self.virtual_time, |it| self.virtual_time.max(*it))
    }
}

impl SchedulingPolicy for FairQueue {
    fn push(&mut self, flow: &Flow, weight: u32, ticket: Ticket) {
        let start = self.start_tag(flow);
        self.finish_tags.insert(flow.clone(), start + UNIT_COST / u64::from(weight.max(1)));
        self.start_tags.insert(ticket, start);
        self.by_start_tag.insert((start, ticket));
    }

    fn pop(&mut self) -> Option<Ticket> {
        let (start, ticket) = self.by_start_tag.pop_first()?;
        self.start_tags.remove(&ticket);
        self.virtual_time = start;
        if self.finish_tags.len() > PRUNE_THRESHOLD {
            // A flow without a tag starts at the current virtual time, and so would a
            // flow with a finish tag in the past.
            self.finish_tags.retain(|_, finish| *finish > start);
        }
        Some(ticket)
    }

    fn remove(&mut self, ticket: Ticket) {
        if let Some(start) = self.start_tags.remove(&ticket) {
            self.by_start_tag.remove(&(start, ticket));
        }
    }
}

/// First-in, first-out scheduling.
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

/// Queue bound that a new request would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueFull {
    Workspace,
    Total,
}

/// Slots of an instance and the bounded queue of requests that wait for one.
#[derive(Debug)]
pub struct Scheduler<P> {
    slots: u32,
    running: u32,
    limits: QueueSettings,
    policy: P,
    next_ticket: u64,
    /// Flow and deadline of each waiting request.
    waiting: BTreeMap<Ticket, (Flow, Millis)>,
    waiting_per_flow: BTreeMap<Flow, usize>,
}

impl<P: SchedulingPolicy> Scheduler<P> {
    /// Scheduler that runs up to `slots` requests at a time.
    pub fn new(slots: u32, limits: QueueSettings) -> Self {
        Self {
            slots,
            running: 0,
            limits,
            policy: P::default(),
            next_ticket: 0,
            waiting: BTreeMap::new(),
            waiting_per_flow: BTreeMap::new(),
        }
    }

    /// Changes the number of slots; running requests continue.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Queues a request that may wait until `deadline`.
    pub fn enqueue(
        &mut self,
        flow: &Flow,
        weight: u32,
        deadline: Millis,
    ) -> Result<Ticket, QueueFull> {
        if self.waiting.len() >= self.limits.total {
            return Err(QueueFull::Total);
        }
        let count = self.waiting_per_flow.entry(flow.clone()).or_default();
        if *count >= self.limits.per_workspace {
            return Err(QueueFull::Workspace);
        }
        *count += 1;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.policy.push(flow, weight, ticket);
        self.waiting.insert(ticket, (flow.clone(), deadline));
        Ok(ticket)
    }

    /// Starts the next request, if a slot is free. Requests past their deadline are
    /// dropped without notice, since their callers observe the deadline themselves.
    pub fn start_next(&mut self, now: Millis) -> Option<Ticket> {
        while self.running < self.slots {
            let ticket = self.policy.pop()?;
            let deadline = self.remove_waiting(ticket).map(|(_, deadline)| deadline);
            if deadline.is_some_and(|deadline| now < deadline) {
                self.running += 1;
                return Some(ticket);
            }
        }
        None
    }

    /// Frees the slot of a finished request.
    pub fn release_slot(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a waiting request; `false` if it was not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let waited = self.remove_waiting(ticket).is_some();
        if waited {
            self.policy.remove(ticket);
        }
        waited
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<(Flow, Millis)> {
        let removed = self.waiting.remove(&ticket)?;
        if let Some(count) = self.waiting_per_flow.get_mut(&removed.0) {
            *count -= 1;
            if *count == 0 {
                self.waiting_per_flow.remove(&removed.0);
            }
        }
        Some(removed)
    }
}
