//! Queue of requests that is shared between the priorities of the routes.
//!
//! Priorities share slot time by weight, independently of the number of workspaces that use each.
//! Sharing the number of starts instead would favour priorities with long statements. Within one
//! priority, workspaces share fairly, so a workspace with no waiting requests is served ahead of
//! the queues of the others.

use crate::{
    gateway::service_time::ServiceTimes,
    pool::scheduler::{FairQueue, Flow, SchedulingPolicy, Ticket},
};

/// Number of scheduling classes; routes with a higher `priority` number share the last one.
pub const CLASSES: usize = 4;

/// Scheduling weight of each class.
const WEIGHTS: [f32; CLASSES] = [8.0, 4.0, 2.0, 1.0];

/// Virtual time in which a class of weight 1 uses a slot for a millisecond.
const UNITS_PER_MS: f32 = 1_000.0;

/// Requests of one class and workspace have equal weight.
const FLOW_WEIGHT: u32 = 1;

/// Scheduling class of a route.
pub fn class_of(priority: u32) -> usize {
    (priority as usize).min(CLASSES - 1)
}

/// Start-time fair queueing between classes, and between the workspaces of each.
#[derive(Debug, Default)]
pub struct ClassQueue {
    classes: [FairQueue; CLASSES],
    finish_tags: [u64; CLASSES],
    /// Start tag of the request that was started last.
    virtual_time: u64,
}

impl ClassQueue {
    pub fn push(&mut self, class: usize, flow: &Flow, ticket: Ticket) {
        self.classes[class].push(flow, FLOW_WEIGHT, ticket);
    }

    /// Takes the next request to run.
    pub fn pop(&mut self, times: &ServiceTimes) -> Option<Ticket> {
        let waiting = (0..CLASSES).filter(|class| !self.classes[*class].is_empty());
        let class = waiting.min_by_key(|class| self.start_tag(*class))?;
        self.virtual_time = self.start_tag(class);
        self.finish_tags[class] = self.virtual_time + cost(times, class);
        self.classes[class].pop()
    }

    pub fn remove(&mut self, class: usize, ticket: Ticket) {
        self.classes[class].remove(ticket);
    }

    /// Number of waiting requests of a class.
    pub fn len(&self, class: usize) -> usize {
        self.classes[class].len()
    }

    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(FairQueue::is_empty)
    }

    /// Waiting requests of each class that run before a request that arrives now.
    pub fn ahead_of(&self, times: &ServiceTimes, class: usize, flow: &Flow) -> [usize; CLASSES] {
        let own = self.classes[class].ahead_of(flow);
        let start = self.start_tag(class) + own as u64 * cost(times, class);
        let mut ahead = [0; CLASSES];
        for (other, count) in ahead.iter_mut().enumerate() {
            // Of requests with the same start tag, that of the lower class runs first.
            let last = if other < class { start + 1 } else { start };
            let before = last.saturating_sub(self.start_tag(other)).div_ceil(cost(times, other));
            *count = if other == class { own } else { self.len(other).min(before as usize) };
        }
        ahead
    }

    /// Start tag of the first waiting request of a class. The virtual time does not pass it
    /// while the class has waiting requests.
    fn start_tag(&self, class: usize) -> u64 {
        self.finish_tags[class].max(self.virtual_time)
    }
}

/// Virtual time that a request takes.
fn cost(times: &ServiceTimes, class: usize) -> u64 {
    ((times.of(class) * UNITS_PER_MS / WEIGHTS[class]) as u64).max(1)
}
