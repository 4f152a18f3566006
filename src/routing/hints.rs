//! Last known state of each instance, as hints for replica choice.
//!
//! Hints come from announcements and from answers. They may be old, so the owner
//! of the instance checks the position again before it runs a statement.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{InstanceId, Mark},
    settings::routing::RoutingSettings,
};

/// Weight of a new latency or rate sample is 1/8.
const SAMPLE_SHIFT: u32 = 3;

/// Penalty of one failure, in thousandths.
const FAILURE_PENALTY: u64 = 1_000;

/// Instances with a larger penalty are skipped, in thousandths: one failure
/// excludes an instance for one half-life.
const SKIP_PENALTY: u64 = 500;

/// Observed position of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedPosition {
    pub position: Mark,
    /// Age of the data when it was observed, in milliseconds.
    pub age_ms: u64,
    pub at: Millis,
}

/// What is known of one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hint {
    pub observed: Option<ObservedPosition>,
    /// Progress in thousandths of a position per millisecond.
    pub positions_per_s: u64,
    /// Moving average; 0 without samples.
    pub latency_us: u64,
    pub in_flight: u32,
    penalty: u64,
    penalized_at: Millis,
    probed_at: Option<Millis>,
}

/// Table of hints.
#[derive(Debug, Clone, Default)]
pub struct Hints {
    instances: IndexMap<InstanceId, Hint>,
}

impl Hint {
    /// Whether recent failures exclude the instance.
    pub fn is_penalized(&self, now: Millis, settings: &RoutingSettings) -> bool {
        self.penalty_at(now, settings.penalty_half_life) > SKIP_PENALTY
    }

    fn penalty_at(&self, now: Millis, half_life: Millis) -> u64 {
        let halvings = now.since(self.penalized_at).0 / half_life.0.max(1);
        self.penalty.checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX)).unwrap_or(0)
    }

    /// Whether an instance with an old hint may be tried now.
    pub fn may_probe(&self, now: Millis, settings: &RoutingSettings) -> bool {
        self.probed_at.is_none_or(|at| now.since(at) >= settings.probe_interval)
    }
}

impl Hints {
    /// Hint for `instance`.
    pub fn get(&self, instance: &InstanceId) -> Option<&Hint> {
        self.instances.get(instance)
    }

    /// Records a position; observations that are older than the known one are ignored.
    pub fn record_position(
        &mut self,
        now: Millis,
        instance: &InstanceId,
        position: Mark,
        age_ms: u64,
    ) {
        let hint = self.entry(instance);
        let new = ObservedPosition { position, age_ms, at: now };
        if let Some(old) = hint.observed {
            if old.position.term > position.term || old.at > now {
                return;
            }
            let span = now.since(old.at).0;
            if old.position.term == position.term && span > 0 {
                let moved = position.position.0.saturating_sub(old.position.position.0);
                hint.positions_per_s =
                    average(hint.positions_per_s, moved.saturating_mul(1_000) / span);
            }
        }
        hint.observed = Some(new);
    }

    /// Counts a request that was sent; an old hint counts it as a probe.
    pub fn record_start(&mut self, now: Millis, instance: &InstanceId) {
        let hint = self.entry(instance);
        hint.in_flight += 1;
        hint.probed_at = Some(now);
    }

    /// Ends a request that the instance answered after `latency_us`.
    pub fn record_answer(&mut self, instance: &InstanceId, latency_us: u64) {
        let hint = self.entry(instance);
        hint.in_flight = hint.in_flight.saturating_sub(1);
        hint.latency_us = match hint.latency_us {
            0 => latency_us.max(1),
            known => average(known, latency_us).max(1),
        };
    }

    /// Ends a request that failed at the owner or the instance.
    pub fn record_failure(
        &mut self,
        now: Millis,
        instance: &InstanceId,
        settings: &RoutingSettings,
    ) {
        let hint = self.entry(instance);
        hint.in_flight = hint.in_flight.saturating_sub(1);
        hint.penalty = hint.penalty_at(now, settings.penalty_half_life) + FAILURE_PENALTY;
        hint.penalized_at = now;
    }

    /// Ends a request that was cancelled or refused without a fault.
    pub fn record_cancellation(&mut self, instance: &InstanceId) {
        let hint = self.entry(instance);
        hint.in_flight = hint.in_flight.saturating_sub(1);
    }

    /// Drops instances that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&InstanceId) -> bool) {
        self.instances.retain(|instance, _| exists(instance));
    }

    fn entry(&mut self, instance: &InstanceId) -> &mut Hint {
        if !self.instances.contains_key(instance) {
            self.instances.insert(instance.clone(), Hint::default());
        }
        &mut self.instances[instance]
    }
}

fn average(known: u64, sample: u64) -> u64 {
    known - (known >> SAMPLE_SHIFT) + (sample >> SAMPLE_SHIFT)
}
