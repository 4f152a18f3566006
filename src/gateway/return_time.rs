//! Times at which refused callers are asked to return to one target.
//!
//! The load: many callers are refused at the same time. With a constant delay all of them return
//! at the same time as well, and are refused again. Each refusal therefore books a start of the
//! queue after those that were booked before it and are at least as urgent. Equally urgent callers
//! return in the order in which they were refused.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    gateway::class_queue::{CLASSES, class_of},
    ids::Service,
};

/// Bounds of the delay.
const MIN_DELAY: Millis = Millis(20);
const MAX_DELAY: Millis = Millis(2_000);

/// Starts per returning caller: the others are left to new requests.
const STARTS_PER_RETURN: f32 = 4.0;

/// Time between two returns to a service whose next primary nobody has measured, in milliseconds;
/// about that between two starts at one with four slots and statements of 15 ms.
const UNMEASURED_RETURN_INTERVAL_MS: f32 = 2.5;

/// Shortest time between two starts that is assumed, in milliseconds.
const MIN_INTERVAL_MS: f32 = 0.1;

/// Returns that were booked and are not due yet.
#[derive(Debug, Default)]
pub struct ReturnTimes {
    booked: [f32; CLASSES],
    updated_at: Millis,
}

impl ReturnTimes {
    /// Delay for a caller that is refused now. There is room in the queue after `room_after`, and
    /// then one start in `start_interval_ms`.
    pub fn book(
        &mut self,
        now: Millis,
        priority: u32,
        room_after: Millis,
        start_interval_ms: f32,
    ) -> Millis {
        let interval_ms = STARTS_PER_RETURN * start_interval_ms.max(MIN_INTERVAL_MS);
        self.drain(now.since(self.updated_at).0 as f32 / interval_ms);
        self.updated_at = now;
        let class = class_of(priority);
        self.booked[class] += 1.0;
        let ahead: f32 = self.booked[..=class].iter().sum();
        let delay = room_after + Millis((ahead * interval_ms) as u64);
        delay.clamp(MIN_DELAY, MAX_DELAY)
    }

    /// Removes the returns that were due in the meantime, the most urgent first.
    fn drain(&mut self, mut due: f32) {
        for booked in &mut self.booked {
            let drained = due.min(*booked);
            *booked -= drained;
            due -= drained;
        }
    }
}

/// Returns to services without a usable target, as one host books them.
#[derive(Debug, Default)]
pub struct UnavailableServices {
    returns: IndexMap<Service, ReturnTimes>,
}

impl UnavailableServices {
    /// Delay for a caller that is refused now by one of `hosts` hosts, which refuse callers alike.
    /// A target is expected after `usable_after`.
    pub fn book(
        &mut self,
        now: Millis,
        service: &Service,
        priority: u32,
        usable_after: Millis,
        hosts: usize,
    ) -> Millis {
        let interval_ms = UNMEASURED_RETURN_INTERVAL_MS / STARTS_PER_RETURN * hosts.max(1) as f32;
        let returns = self.returns.entry(service.clone()).or_default();
        returns.book(now, priority, usable_after, interval_ms)
    }
}
