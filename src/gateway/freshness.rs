//! Positions that make a read fresh enough.
//!
//! A primary's answer reports a position that holds every commit that was
//! acknowledged before the statement was sent. A read that may miss commits of the
//! last `age` milliseconds is therefore fresh on every log that holds the position of
//! a statement that was sent at most `age` before the read arrived.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{Mark, Service},
};

/// Shortest interval between two kept observations.
const INTERVAL: Millis = Millis(25);

/// Age after which an observation is dropped; no route allows older data.
const LONGEST_AGE: Millis = Millis(30_000);

/// Observations kept for one service.
const KEPT: usize = 256;

/// Allowance for the resolution of the clock and the way from the caller, so that a
/// read never misses a commit that was acknowledged just before its limit.
const MARGIN: Millis = Millis(60);

/// Primaries' positions by service.
#[derive(Debug, Default)]
pub struct Freshness {
    services: IndexMap<Service, VecDeque<Observation>>,
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    sent: Millis,
    position: Mark,
}

impl Freshness {
    /// Notes the position in a primary's answer to a statement sent at `sent`.
    pub fn observe(&mut self, service: &Service, sent: Millis, position: Mark) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let Some(kept) = self.services.get_mut(service) else { return };
        if kept.back().is_some_and(|last| sent < last.sent + INTERVAL) {
            return;
        }
        kept.push_back(Observation { sent, position });
        let too_old = |it: &Observation| sent.since(it.sent) > LONGEST_AGE;
        while kept.len() > KEPT || kept.front().is_some_and(too_old) {
            kept.pop_front();
        }
    }

    /// Oldest position that is fresh enough for a read that arrived at `arrived` and
    /// may miss commits of the last `age`.
    pub fn required(&self, service: &Service, arrived: Millis, age: Millis) -> Option<Mark> {
        let oldest = Millis((arrived.0 + MARGIN.0).saturating_sub(age.0));
        let kept = self.services.get(service)?;
        let first = kept.partition_point(|it| it.sent < oldest);
        kept.get(first).map(|it| it.position)
    }
}
