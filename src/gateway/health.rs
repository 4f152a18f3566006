//! What an entry host knows of the targets' answers.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::messages::{Health, TargetHealth},
    ids::{InstanceId, Mark},
};

/// Time for which an unanswered statement is no sign of a failure; longer than the
/// slowest usual statement with its wait for a slot.
const PATIENCE: Millis = Millis(400);

/// Interval between attempts at a target that fails.
const PROBE_INTERVAL: Millis = Millis(250);

/// Weight of the newest answer in the smoothed latency.
const SMOOTHING: f32 = 0.2;

/// Latency that is assumed before the first answer, in milliseconds.
const FIRST_LATENCY_MS: f32 = 15.0;

/// Age of the last answer above which failures are reported, not only avoided.
const NO_ANSWER: Millis = Millis(300);

/// Health of all targets.
#[derive(Debug, Default)]
pub struct HealthTracker {
    targets: IndexMap<InstanceId, State>,
    next: u64,
}

#[derive(Debug, Clone)]
struct State {
    latency_ms: f32,
    failing_since: Option<Millis>,
    answered: Millis,
    tried: Millis,
    outstanding: IndexMap<u64, Millis>,
    position: Mark,
    position_at: Millis,
}

/// Number of an outstanding statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt(u64);

impl State {
    fn new(now: Millis) -> Self {
        Self {
            latency_ms: FIRST_LATENCY_MS,
            failing_since: None,
            answered: now,
            tried: Millis(0),
            outstanding: IndexMap::new(),
            position: Mark::default(),
            position_at: Millis(0),
        }
    }

    /// Time for which the target has not answered although it was asked to.
    fn silence(&self, now: Millis) -> Option<Millis> {
        let oldest = self.outstanding.values().min().map(|sent| now.since(*sent));
        let unanswered = oldest.filter(|span| *span >= PATIENCE);
        let failing = self.failing_since.map(|since| now.since(since));
        let span = failing.max(unanswered)?;
        Some(span).filter(|_| now.since(self.answered) >= NO_ANSWER)
    }
}

impl HealthTracker {
    fn state(&mut self, now: Millis, id: &InstanceId) -> &mut State {
        if !self.targets.contains_key(id) {
            self.targets.insert(id.clone(), State::new(now));
        }
        &mut self.targets[id]
    }

    /// Notes that a statement is sent.
    pub fn sent(&mut self, now: Millis, id: &InstanceId) -> Attempt {
        self.next += 1;
        let attempt = Attempt(self.next);
        let state = self.state(now, id);
        state.outstanding.insert(attempt.0, now);
        state.tried = now;
        attempt
    }

    /// Notes an answer and the position in it.
    pub fn answered(
        &mut self,
        now: Millis,
        id: &InstanceId,
        attempt: Attempt,
        position: Option<Mark>,
    ) {
        let state = self.state(now, id);
        if let Some(sent) = state.outstanding.swap_remove(&attempt.0) {
            let latency = now.since(sent).0 as f32;
            state.latency_ms += SMOOTHING * (latency - state.latency_ms);
        }
        state.failing_since = None;
        state.answered = now;
        if let Some(position) = position {
            state.position = position;
            state.position_at = now;
        }
    }

    /// Notes that a statement got no answer; `lost` if the target is to blame.
    pub fn ended(&mut self, now: Millis, id: &InstanceId, attempt: Attempt, lost: bool) {
        let state = self.state(now, id);
        state.outstanding.swap_remove(&attempt.0);
        if lost {
            state.failing_since.get_or_insert(now);
        }
    }

    /// Notes a failed connection attempt.
    pub fn unreachable(&mut self, now: Millis, id: &InstanceId) {
        let state = self.state(now, id);
        state.tried = now;
        state.failing_since.get_or_insert(now);
    }

    /// Whether the target should be used: it answers, or it is time for an attempt.
    pub fn is_usable(&self, now: Millis, id: &InstanceId) -> bool {
        self.targets.get(id).is_none_or(|state| {
            state.silence(now).is_none() || now.since(state.tried) >= PROBE_INTERVAL
        })
    }

    /// Smoothed latency in milliseconds, scaled by the statements that wait.
    pub fn cost_ms(&self, id: &InstanceId) -> f32 {
        self.targets.get(id).map_or(FIRST_LATENCY_MS, |state| {
            state.latency_ms * (1.0 + state.outstanding.len() as f32 / 2.0)
        })
    }

    /// Last known position of the target's log, and when it was reported.
    pub fn position(&self, id: &InstanceId) -> Option<(Mark, Millis)> {
        let state = self.targets.get(id)?;
        Some((state.position, state.position_at))
    }

    /// Number of targets that do not answer.
    pub fn failing(&self, now: Millis) -> usize {
        self.targets.values().filter(|state| state.silence(now).is_some()).count()
    }

    /// Report for the control leader.
    pub fn report(&self, now: Millis) -> Vec<TargetHealth> {
        let health = |state: &State| match state.silence(now) {
            Some(span) => Some(Health::Failing(span)),
            None if now.since(state.answered) < Millis(2_000) => Some(Health::Answering),
            None => None,
        };
        let targets = self.targets.iter();
        targets
            .filter_map(|(id, state)| Some(TargetHealth { id: id.clone(), health: health(state)? }))
            .collect()
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, exists: impl Fn(&InstanceId) -> bool) {
        self.targets.retain(|id, _| exists(id));
    }
}
