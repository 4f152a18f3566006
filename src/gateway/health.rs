//! Passive health checks of targets: latency, failures and log positions, derived from
//! their answers.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::messages::{Health, TargetHealth},
    ids::{InstanceId, Mark},
};

/// Time after which an unanswered statement indicates a failure; longer than the
/// slowest usual statement including its wait for a slot.
const UNANSWERED_THRESHOLD: Millis = Millis(400);

/// Interval between attempts to use a failing target.
const PROBE_INTERVAL: Millis = Millis(250);

/// Weight of the newest sample in the moving average of the latency.
const EWMA_WEIGHT: f32 = 0.2;

/// Latency assumed before the first answer, in milliseconds.
const INITIAL_LATENCY_MS: f32 = 15.0;

/// Age of the last answer from which a failing target is reported as such.
const SILENCE_THRESHOLD: Millis = Millis(300);

/// Shortest delay of the event loop that counts as a stall.
const MIN_STALL: Millis = Millis(100);

/// Health of all targets.
#[derive(Debug, Default)]
pub struct HealthTracker {
    targets: IndexMap<InstanceId, TargetState>,
    next_attempt: u64,
}

#[derive(Debug, Clone)]
struct TargetState {
    latency_ms: f32,
    failing_since: Option<Millis>,
    last_answer: Millis,
    last_attempt: Millis,
    outstanding: IndexMap<u64, Millis>,
    position: Mark,
    position_at: Millis,
}

/// Id of an outstanding statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt(u64);

impl TargetState {
    fn new(now: Millis) -> Self {
        Self {
            latency_ms: INITIAL_LATENCY_MS,
            failing_since: None,
            last_answer: now,
            last_attempt: Millis(0),
            outstanding: IndexMap::new(),
            position: Mark::default(),
            position_at: Millis(0),
        }
    }

    /// Time for which the target has been failing or has left a statement unanswered.
    fn silence(&self, now: Millis) -> Option<Millis> {
        let oldest = self.outstanding.values().min().map(|sent| now.since(*sent));
        let unanswered = oldest.filter(|span| *span >= UNANSWERED_THRESHOLD);
        let failing = self.failing_since.map(|since| now.since(since));
        let span = failing.max(unanswered)?;
        Some(span).filter(|_| now.since(self.last_answer) >= SILENCE_THRESHOLD)
    }
}

impl HealthTracker {
    fn state(&mut self, now: Millis, id: &InstanceId) -> &mut TargetState {
        if !self.targets.contains_key(id) {
            self.targets.insert(id.clone(), TargetState::new(now));
        }
        &mut self.targets[id]
    }

    /// Records that a statement is sent.
    pub fn record_sent(&mut self, now: Millis, id: &InstanceId) -> Attempt {
        self.next_attempt += 1;
        let attempt = Attempt(self.next_attempt);
        let state = self.state(now, id);
        state.outstanding.insert(attempt.0, now);
        state.last_attempt = now;
        attempt
    }

    /// Records an answer and the log position in it.
    pub fn record_answer(
        &mut self,
        now: Millis,
        id: &InstanceId,
        attempt: Attempt,
        position: Option<Mark>,
    ) {
        let state = self.state(now, id);
        if let Some(sent) = state.outstanding.swap_remove(&attempt.0) {
            let latency = now.since(sent).0 as f32;
            state.latency_ms += EWMA_WEIGHT * (latency - state.latency_ms);
        }
        state.failing_since = None;
        state.last_answer = now;
        if let Some(position) = position {
            state.position = position;
            state.position_at = now;
        }
    }

    /// Records that a statement got no answer; `failed` if the target caused it.
    pub fn record_unanswered(
        &mut self,
        now: Millis,
        id: &InstanceId,
        attempt: Attempt,
        failed: bool,
    ) {
        let state = self.state(now, id);
        state.outstanding.swap_remove(&attempt.0);
        if failed {
            state.failing_since.get_or_insert(now);
        }
    }

    /// Records a failed connection attempt.
    pub fn record_connect_failure(&mut self, now: Millis, id: &InstanceId) {
        let state = self.state(now, id);
        state.last_attempt = now;
        state.failing_since.get_or_insert(now);
    }

    /// Records that this process could not read answers for `span`.
    pub fn record_stall(&mut self, now: Millis, span: Millis) {
        if span < MIN_STALL {
            return;
        }
        for state in self.targets.values_mut() {
            state.last_answer = (state.last_answer + span).min(now);
        }
    }

    /// Whether the target should be used: it answers, or the next probe is due.
    pub fn is_usable(&self, now: Millis, id: &InstanceId) -> bool {
        self.targets.get(id).is_none_or(|state| {
            state.silence(now).is_none() || now.since(state.last_attempt) >= PROBE_INTERVAL
        })
    }

    /// Whether the target does not answer; its next statement is a probe.
    pub fn is_failing(&self, now: Millis, id: &InstanceId) -> bool {
        self.targets.get(id).is_some_and(|state| state.silence(now).is_some())
    }

    /// Average latency in milliseconds, scaled up by the outstanding statements.
    pub fn cost_ms(&self, id: &InstanceId) -> f32 {
        self.targets.get(id).map_or(INITIAL_LATENCY_MS, |state| {
            state.latency_ms * (1.0 + state.outstanding.len() as f32 / 2.0)
        })
    }

    /// Last known position of the target's log and the time of the answer that held it.
    pub fn position(&self, id: &InstanceId) -> Option<(Mark, Millis)> {
        let state = self.targets.get(id)?;
        Some((state.position, state.position_at))
    }

    /// Number of failing targets.
    pub fn failing(&self, now: Millis) -> usize {
        self.targets.values().filter(|state| state.silence(now).is_some()).count()
    }

    /// Health of all targets for the report to the control leader.
    pub fn report(&self, now: Millis) -> Vec<TargetHealth> {
        let health = |state: &TargetState| match state.silence(now) {
            Some(span) => Some(Health::Failing(span)),
            None if now.since(state.last_answer) < Millis(2_000) => Some(Health::Answering),
            None => None,
        };
        let targets = self.targets.iter();
        targets
            .filter_map(|(id, state)| Some(TargetHealth { id: id.clone(), health: health(state)? }))
            .collect()
    }

    /// Removes targets for which `exists` is false.
    pub fn retain(&mut self, exists: impl Fn(&InstanceId) -> bool) {
        self.targets.retain(|id, _| exists(id));
    }
}
