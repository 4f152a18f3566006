//! Log positions that bound the staleness of a read.
//!
//! The position in a primary's answer covers every commit that was acknowledged before the
//! statement was sent. A read that may miss the commits of the last `max_staleness`
//! milliseconds is therefore fresh enough on every target whose log has reached the
//! position in the answer to a statement sent at most that long before the read arrived.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{Mark, Service},
};

/// Shortest interval between two kept observations.
const SAMPLE_INTERVAL: Millis = Millis(25);

/// Age after which an observation is dropped; no route allows older data.
const MAX_AGE: Millis = Millis(30_000);

/// Observations kept per service.
const MAX_OBSERVATIONS: usize = 256;

/// Margin for the clock's resolution and the network delay from the caller, so that a read
/// never misses a commit that was acknowledged just before its staleness bound.
const SAFETY_MARGIN: Millis = Millis(60);

/// Recent positions of the primaries by service.
#[derive(Debug, Default)]
pub struct Freshness {
    services: IndexMap<Service, VecDeque<Observation>>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    sent_at: Millis,
    position: Mark,
}

impl Freshness {
    /// Records the position in a primary's answer to a statement sent at `sent_at`.
    pub fn observe(&mut self, service: &Service, sent_at: Millis, position: Mark) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let Some(observations) = self.services.get_mut(service) else { return };
        if observations.back().is_some_and(|last| sent_at < last.sent_at + SAMPLE_INTERVAL) {
            return;
        }
        observations.push_back(Observation { sent_at, position });
        let too_old = |it: &Observation| sent_at.since(it.sent_at) > MAX_AGE;
        while observations.len() > MAX_OBSERVATIONS || observations.front().is_some_and(too_old) {
            observations.pop_front();
        }
    }

    /// Oldest known position that is fresh enough for a read that arrived at `arrived` and
    /// may miss the commits of the last `max_staleness`.
    pub fn required_position(
        &self,
        service: &Service,
        arrived: Millis,
        max_staleness: Millis,
    ) -> Option<Mark> {
        let oldest = Millis((arrived.0 + SAFETY_MARGIN.0).saturating_sub(max_staleness.0));
        let observations = self.services.get(service)?;
        let first = observations.partition_point(|it| it.sent_at < oldest);
        observations.get(first).map(|it| it.position)
    }
}
