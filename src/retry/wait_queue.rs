//! Bounded queue of requests that wait for a primary.
//!
//! When a primary seems lost, further requests of the service wait here and are
//! not sent, so a failover costs about one attempt per request. They are released
//! when the group reaches a newer term, or when a probe was answered, spread over
//! a short span so that they do not arrive at once.

use std::collections::VecDeque;

use indexmap::IndexMap;
use rand::Rng;

use crate::{
    clock::Millis,
    ids::{Service, Term},
    retry::deadline::Deadline,
    settings::retry::RetrySettings,
};

/// Number of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub u64);

/// Decision about a request for a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entrance {
    /// Send the request.
    Go,
    /// Call [`WaitingRoom::wait`] and send the request when it is released.
    Wait,
}

/// Request that may be sent after a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Released {
    pub waiter: Waiter,
    pub after: Millis,
}

#[derive(Debug)]
struct Room {
    /// Term whose primary seems lost.
    lost: Term,
    next_probe: Millis,
    waiting: VecDeque<(Waiter, Deadline)>,
}

/// Queues of all services whose primary seems lost.
#[derive(Debug)]
pub struct WaitingRoom {
    settings: RetrySettings,
    rooms: IndexMap<Service, Room>,
    next: u64,
}

impl WaitingRoom {
    /// Without waiting requests.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, rooms: IndexMap::new(), next: 0 }
    }

    /// Whether a request may be sent to the primary of `term`; while the primary
    /// seems lost, one request per probe interval may.
    pub fn enter(&mut self, now: Millis, service: &Service, term: Term) -> Entrance {
        match self.rooms.get_mut(service) {
            Some(room) if room.lost >= term => {
                if now < room.next_probe {
                    return Entrance::Wait;
                }
                room.next_probe = now + self.settings.probe_interval;
                Entrance::Go
            }
            _ => Entrance::Go,
        }
    }

    /// Records that the primary of `term` did not serve a request.
    pub fn lost(&mut self, now: Millis, service: &Service, term: Term) {
        let next_probe = now + self.settings.probe_interval;
        let room = self.rooms.entry(service.clone()).or_insert_with(|| Room {
            lost: term,
            next_probe,
            waiting: VecDeque::new(),
        });
        room.lost = room.lost.max(term);
    }

    /// Queues a request; `None` if the queue is full.
    pub fn wait(
        &mut self,
        now: Millis,
        service: &Service,
        term: Term,
        deadline: Deadline,
    ) -> Option<Waiter> {
        self.lost(now, service, term);
        let room = self.rooms.get_mut(service)?;
        if room.waiting.len() >= self.settings.waiting_requests {
            return None;
        }
        let waiter = Waiter(self.next);
        self.next += 1;
        room.waiting.push_back((waiter, deadline));
        Some(waiter)
    }

    /// Releases the requests of `service` because its primary of `term` is in
    /// force or has answered. A term that is known to be lost needs `answered`.
    pub fn open(
        &mut self,
        service: &Service,
        term: Term,
        answered: bool,
        rng: &mut impl Rng,
    ) -> Vec<Released> {
        let opens = |room: &Room| term > room.lost || (answered && term == room.lost);
        if !self.rooms.get(service).is_some_and(opens) {
            return Vec::new();
        }
        let room = self.rooms.swap_remove(service);
        let waiting = room.map(|room| room.waiting).unwrap_or_default();
        let spread = self.settings.release_spread.0;
        let delay = |(waiter, _)| Released { waiter, after: Millis(rng.random_range(0..=spread)) };
        waiting.into_iter().map(delay).collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Waiter> {
        let mut expired = Vec::new();
        for room in self.rooms.values_mut() {
            room.waiting.retain(|(waiter, deadline)| {
                let open = deadline.remaining(now) > Millis(0);
                if !open {
                    expired.push(*waiter);
                }
                open
            });
        }
        expired
    }

    /// Removes a request whose caller is gone.
    pub fn cancel(&mut self, service: &Service, waiter: Waiter) {
        if let Some(room) = self.rooms.get_mut(service) {
            room.waiting.retain(|(waiting, _)| *waiting != waiter);
        }
    }

    /// Number of waiting requests of `service`.
    pub fn waiting(&self, service: &Service) -> usize {
        self.rooms.get(service).map_or(0, |room| room.waiting.len())
    }
}
