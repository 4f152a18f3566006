//! Attempt to get an answer from a target, as its health records it.

use std::cell::RefCell;

use crate::{
    clock::{Clock, Millis, SystemClock},
    gateway::{
        health::{Attempt, HealthTracker},
        job::JobError,
        statement::Answer,
    },
    ids::InstanceId,
};

/// Records the end of an attempt, also if its future is dropped.
pub struct AttemptGuard<'a> {
    health: &'a RefCell<HealthTracker>,
    clock: SystemClock,
    target: &'a InstanceId,
    attempt: Option<Attempt>,
}

impl<'a> AttemptGuard<'a> {
    /// Records that a statement is sent to `target`.
    pub fn new(
        health: &'a RefCell<HealthTracker>,
        clock: SystemClock,
        target: &'a InstanceId,
    ) -> Self {
        let attempt = health.borrow_mut().record_sent(clock.now(), target);
        Self { health, clock, target, attempt: Some(attempt) }
    }

    /// Records the result. A rejection says nothing about the target's health.
    pub fn end(mut self, result: &Result<Answer, JobError>) {
        let Some(attempt) = self.attempt.take() else { return };
        let now = self.clock.now();
        let mut health = self.health.borrow_mut();
        match result {
            Ok(answer) => health.record_answer(now, self.target, attempt, answer.position),
            Err(error) => {
                let failed = !matches!(error, JobError::Rejected(..));
                health.record_unanswered(now, self.target, attempt, failed);
            }
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let now: Millis = self.clock.now();
            self.health.borrow_mut().record_unanswered(now, self.target, attempt, false);
        }
    }
}
