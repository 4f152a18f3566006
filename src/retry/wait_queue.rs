//! Bounded queues of requests that wait for a primary.
//!
//! While a primary is presumed lost, further requests of the service are queued
//! instead of sent, so a failover costs about one attempt per request. They are
//! released when the group reaches a newer term or a probe succeeds, spread over a
//! short interval so that they do not arrive at the same time.

use std::collections::VecDeque;

use indexmap::IndexMap;
use rand::Rng;

use crate::{
    clock::Millis,
    ids::{Service, Term},
    retry::deadline::Deadline,
    settings::retry::RetrySettings,
};

/// Identifier of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub u64);

/// Whether a request may be sent to a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Send,
    /// Call [`WaitQueues::enqueue`] and send the request when it is released.
    Wait,
}

/// Queued request that may be sent after `delay`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Released {
    pub waiter: Waiter,
    pub delay: Millis,
}

#[derive(Debug)]
struct ServiceQueue {
    /// Newest term whose primary is presumed lost.
    lost_term: Term,
    next_probe: Millis,
    waiting: VecDeque<(Waiter, Deadline)>,
}

/// Queues of all services whose primary is presumed lost.
#[derive(Debug)]
pub struct WaitQueues {
    settings: RetrySettings,
    queues: IndexMap<Service, ServiceQueue>,
    next_waiter: u64,
}

impl WaitQueues {
    /// Creates an instance without queues.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, queues: IndexMap::new(), next_waiter: 0 }
    }

    /// Whether a request may be sent to the primary of `term`. While that primary is
    /// presumed lost, one request per probe interval is sent as a probe.
    pub fn admit(&mut self, now: Millis, service: &Service, term: Term) -> Admission {
        match self.queues.get_mut(service) {
            Some(queue) if queue.lost_term >= term => {
                if now < queue.next_probe {
                    return Admission::Wait;
                }
                queue.next_probe = now + self.settings.probe_interval;
                Admission::Send
            }
            _ => Admission::Send,
        }
    }

    /// Marks the primary of `term` as lost after it failed to serve a request.
    pub fn mark_lost(&mut self, now: Millis, service: &Service, term: Term) {
        let next_probe = now + self.settings.probe_interval;
        let queue = self.queues.entry(service.clone()).or_insert_with(|| ServiceQueue {
            lost_term: term,
            next_probe,
            waiting: VecDeque::new(),
        });
        queue.lost_term = queue.lost_term.max(term);
    }

    /// Queues a request; returns `None` if the queue is full.
    pub fn enqueue(
        &mut self,
        now: Millis,
        service: &Service,
        term: Term,
        deadline: Deadline,
    ) -> Option<Waiter> {
        self.mark_lost(now, service, term);
        let queue = self.queues.get_mut(service)?;
        if queue.waiting.len() >= self.settings.max_waiting_requests {
            return None;
        }
        let waiter = Waiter(self.next_waiter);
        self.next_waiter += 1;
        queue.waiting.push_back((waiter, deadline));
        Some(waiter)
    }

    /// Releases the requests of `service` if `term` is newer than the lost one, or if
    /// the primary of the lost term has answered a probe (`answered`).
    pub fn release(
        &mut self,
        service: &Service,
        term: Term,
        answered: bool,
        rng: &mut impl Rng,
    ) -> Vec<Released> {
        let is_released =
            |queue: &ServiceQueue| term > queue.lost_term || (answered && term == queue.lost_term);
        if !self.queues.get(service).is_some_and(is_released) {
            return Vec::new();
        }
        let queue = self.queues.swap_remove(service);
        let waiting = queue.map(|queue| queue.waiting).unwrap_or_default();
        let spread = self.settings.release_spread.0;
        let release =
            |(waiter, _)| Released { waiter, delay: Millis(rng.random_range(0..=spread)) };
        waiting.into_iter().map(release).collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Waiter> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|(waiter, deadline)| {
                let is_live = deadline.remaining(now) > Millis(0);
                if !is_live {
                    expired.push(*waiter);
                }
                is_live
            });
        }
        expired
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, service: &Service, waiter: Waiter) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.waiting.retain(|(waiting, _)| *waiting != waiter);
        }
    }

    /// Number of queued requests of `service`.
    pub fn waiting(&self, service: &Service) -> usize {
        self.queues.get(service).map_or(0, |queue| queue.waiting.len())
    }
}
