//! Last known state of each instance, as hints for replica selection.
//!
//! Hints come from announcements and from answers to requests. They may be out of
//! date, so the owner of the instance checks the position again before it runs a
//! statement.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{InstanceId, Mark},
    settings::routing::RoutingSettings,
};

/// Weight of a new sample in the moving averages, as a right shift: 1/8.
const EWMA_SHIFT: u32 = 3;

/// Penalty of one failure, in thousandths.
const FAILURE_PENALTY_MILLI: u64 = 1_000;

/// Instances with a larger penalty are excluded, in thousandths. One failure excludes
/// an instance for one half-life.
const MAX_PENALTY_MILLI: u64 = 500;

/// Position of an instance at one observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedPosition {
    pub position: Mark,
    /// Staleness of the data at the time of the observation.
    pub age_ms: u64,
    pub at: Millis,
}

/// What is known of one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hint {
    pub observed: Option<ObservedPosition>,
    /// Moving average of the rate at which the position advances; 0 without samples.
    pub positions_per_s: u64,
    /// Moving average of the request latency; 0 without samples.
    pub latency_us: u64,
    /// Requests sent and not yet answered.
    pub in_flight: u32,
    /// Penalty at `penalized_at`, in thousandths.
    penalty_milli: u64,
    penalized_at: Millis,
    probed_at: Option<Millis>,
}

/// Hints of all known instances.
#[derive(Debug, Clone, Default)]
pub struct Hints {
    instances: IndexMap<InstanceId, Hint>,
}

impl Hint {
    /// Whether recent failures exclude the instance.
    pub fn is_penalized(&self, now: Millis, settings: &RoutingSettings) -> bool {
        self.penalty_at(now, settings.penalty_half_life) > MAX_PENALTY_MILLI
    }

    fn penalty_at(&self, now: Millis, half_life: Millis) -> u64 {
        let halvings = now.since(self.penalized_at).0 / half_life.0.max(1);
        self.penalty_milli.checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX)).unwrap_or(0)
    }

    /// Whether the last request was sent at least the probe interval ago, so that an
    /// instance whose hint is out of date may be probed.
    pub fn may_probe(&self, now: Millis, settings: &RoutingSettings) -> bool {
        self.probed_at.is_none_or(|at| now.since(at) >= settings.probe_interval)
    }
}

impl Hints {
    pub fn get(&self, instance: &InstanceId) -> Option<&Hint> {
        self.instances.get(instance)
    }

    /// Records a position unless it is of an older term, or was observed earlier, than
    /// the recorded one.
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
            let elapsed_ms = now.since(old.at).0;
            if old.position.term == position.term && elapsed_ms > 0 {
                let advanced = position.position.0.saturating_sub(old.position.position.0);
                hint.positions_per_s =
                    ewma(hint.positions_per_s, advanced.saturating_mul(1_000) / elapsed_ms);
            }
        }
        hint.observed = Some(new);
    }

    /// Records a sent request, which also counts as a probe.
    pub fn record_start(&mut self, now: Millis, instance: &InstanceId) {
        let hint = self.entry(instance);
        hint.in_flight += 1;
        hint.probed_at = Some(now);
    }

    /// Records the end of a request that the instance answered after `latency_us`.
    pub fn record_answer(&mut self, instance: &InstanceId, latency_us: u64) {
        let hint = self.entry(instance);
        hint.in_flight = hint.in_flight.saturating_sub(1);
        hint.latency_us = match hint.latency_us {
            0 => latency_us.max(1),
            known => ewma(known, latency_us).max(1),
        };
    }

    /// Records the end of a request that failed at the owner or the instance.
    pub fn record_failure(
        &mut self,
        now: Millis,
        instance: &InstanceId,
        settings: &RoutingSettings,
    ) {
        let hint = self.entry(instance);
        hint.in_flight = hint.in_flight.saturating_sub(1);
        hint.penalty_milli =
            hint.penalty_at(now, settings.penalty_half_life) + FAILURE_PENALTY_MILLI;
        hint.penalized_at = now;
    }

    /// Records the end of a request that was cancelled or refused without a fault.
    pub fn record_cancellation(&mut self, instance: &InstanceId) {
        let hint = self.entry(instance);
        hint.in_flight = hint.in_flight.saturating_sub(1);
    }

    /// Removes the hints of instances that no longer exist.
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

/// Next value of an exponentially weighted moving average.
fn ewma(average: u64, sample: u64) -> u64 {
    average - (average >> EWMA_SHIFT) + (sample >> EWMA_SHIFT)
}
