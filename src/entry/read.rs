//! Reads outside transactions.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    admission::Rule,
    caller::{Caller, CallerState},
    cx::Cx,
    dispatch::{OwnerRef, Work},
    error,
    marks::Observed,
    repeats::Unanswered,
    write::PrimaryRef,
};
use crate::{
    adapters::{
        caller::{Reply, ReplyResult},
        metrics::ReadSource,
    },
    clock::{Clock, Millis},
    ids::{InstanceId, Mark, Term},
    routing::replica_selection::{ReadConstraints, Selection},
    wire::peer::{Failure, Mode, Outcome, ReadBound, Refusal, Rows, Statement},
};

/// Pause before a replica that lags slightly is asked again.
const LAG_POLL: Duration = Duration::from_millis(4);

/// Longest wait for a view that names an instance.
const VIEW_POLL: Duration = Duration::from_millis(50);

/// Time for one attempt at a replica; a replica that is cut off gives no answer.
const REPLICA_ATTEMPT: Duration = Duration::from_millis(1_000);

/// Replicas that are tried before the primary serves the read.
const MAX_REPLICA_ATTEMPTS: u32 = 2;

/// Read with its progress over several attempts.
struct Read<'a> {
    caller: &'a Caller,
    statement: &'a Statement,
    rule: &'a Rule,
    mark: Option<Mark>,
    max_staleness_ms: Option<u64>,
    deadline: Instant,
    replica_attempts: u32,
    repeats: u32,
    /// Until when a lagging replica may be asked again.
    wait_until: Option<Instant>,
}

/// How one attempt ended.
enum Step {
    Answer {
        rows: Rows,
        from_primary: bool,
    },
    Fail(Failure),
    Again(Duration),
    /// No instance can serve the read in this view.
    AfterView,
    /// Attempt failed by a fault.
    Repeat(Outcome),
}

impl Cx {
    /// Serves a read by a replica that satisfies it, or by the primary.
    pub(super) async fn read(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        statement: &Statement,
        rule: &Rule,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        // A session whose earlier writes are not known must read from the primary.
        let (known, mark) = match rule.max_staleness_ms {
            None => (false, None),
            Some(_) => match self.learn_mark(caller, state).await {
                Observed::Known(mark) => (true, mark),
                Observed::Unknown => (false, state.session.mark(&caller.service)),
            },
        };
        let mut read = Read {
            caller,
            statement,
            rule,
            mark,
            max_staleness_ms: rule.max_staleness_ms.filter(|_| known),
            deadline,
            replica_attempts: 0,
            repeats: 0,
            wait_until: None,
        };
        self.count_request(rule.workspace.as_ref());
        loop {
            match self.attempt_read(&mut read).await {
                Step::Answer { rows, from_primary } => {
                    if let Some(position) = rows.mark.filter(|_| from_primary) {
                        state.session.record_complete(&caller.service, position);
                        if !known && rule.max_staleness_ms.is_some() {
                            self.share_position(caller, state, position);
                        }
                    }
                    return Ok(ReplyResult::Rows(rows).into());
                }
                Step::Fail(failure) => return Err(failure),
                Step::Again(pause) => tokio::time::sleep(pause).await,
                Step::AfterView => {
                    self.wait_for_view(deadline.min(Instant::now() + VIEW_POLL)).await;
                }
                Step::Repeat(outcome) => {
                    read.repeats += 1;
                    let unanswered = Unanswered {
                        workspace: rule.workspace.as_ref(),
                        outcome: &outcome,
                        attempts: read.repeats,
                        replaced: false,
                    };
                    if !self.before_repeat(unanswered, deadline).await {
                        return Err(error::unserved(&outcome));
                    }
                }
            }
        }
    }

    async fn attempt_read(&self, read: &mut Read<'_>) -> Step {
        let remaining = read.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Step::Fail(error::refused(&Refusal::Deadline));
        }
        let state = self.view.load();
        let need = ReadConstraints {
            service: &read.caller.service,
            mark: read.mark,
            max_staleness_ms: read.max_staleness_ms,
            local_domain: &self.settings.failure_domain,
            remaining: Millis(u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)),
        };
        let now = self.clock.now();
        let choice = {
            let hints = self.hints.lock();
            let mut rng = self.rng.lock();
            state.choose(now, &hints, &need, &self.routing, &mut *rng)
        };
        let (instance, is_primary) = match choice {
            Ok(Selection::Replica { instance }) => (instance, false),
            Ok(Selection::WaitForReplica { instance, max_wait }) => {
                read.wait_until.get_or_insert(Instant::now() + max_wait.duration());
                (instance, false)
            }
            Ok(Selection::Primary { instance }) => (instance, true),
            // A new primary is expected within the deadline.
            Err(_) => return Step::AfterView,
        };
        let Some(owner) = OwnerRef::find(&state.view, &instance) else {
            return Step::AfterView;
        };
        let term = state.view.groups.get(&read.caller.service).map_or(Term(0), |group| group.term);
        let max_staleness_ms = if is_primary { None } else { read.max_staleness_ms };
        let bound = ReadBound { mark: read.mark, max_staleness_ms, term };
        let work = Work {
            workspace: read.rule.workspace.as_ref(),
            weight: read.rule.weight,
            statement: read.statement,
        };
        self.hints.lock().record_start(now, &instance);
        let started = Instant::now();
        let outcome = if is_primary {
            let primary = PrimaryRef { owner, term };
            self.execute_at(&primary, read.caller, work, Mode::Read(bound), remaining).await
        } else {
            let limit = remaining.min(REPLICA_ATTEMPT);
            self.execute(&owner, work, Mode::Read(bound), limit).await
        };
        let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.judge_read(read, &instance, is_primary, outcome, latency_us)
    }

    fn judge_read(
        &self,
        read: &mut Read<'_>,
        instance: &InstanceId,
        is_primary: bool,
        outcome: Outcome,
        latency_us: u64,
    ) -> Step {
        let now = self.clock.now();
        match outcome {
            Outcome::Done(rows) => {
                self.hints.lock().record_answer(instance, latency_us);
                if let Some(position) = rows.mark {
                    self.observe(instance, position, rows.age_ms);
                }
                let source = if is_primary { ReadSource::Primary } else { ReadSource::Replica };
                self.metrics.record_read(source);
                Step::Answer { rows, from_primary: is_primary }
            }
            Outcome::Failed(failure) => {
                self.hints.lock().record_answer(instance, latency_us);
                Step::Fail(failure)
            }
            Outcome::Refused(Refusal::Behind { position, age_ms }) => {
                self.hints.lock().record_answer(instance, latency_us);
                self.observe(instance, position, age_ms);
                read.after_lag()
            }
            Outcome::Refused(refusal) => {
                spdlog::debug!("instance {instance} refused a read: {refusal}");
                self.hints.lock().record_failure(now, instance, &self.routing);
                read.after_fault(is_primary, Outcome::Refused(refusal))
            }
            // A read has no effect, so a lost answer may be asked for again.
            Outcome::Unknown { reason } => {
                spdlog::debug!("answer of instance {instance} was lost: {reason}");
                self.hints.lock().record_failure(now, instance, &self.routing);
                read.after_fault(is_primary, Outcome::Unknown { reason })
            }
        }
    }
}

impl Read<'_> {
    /// Asks the lagging replica again while the wait lasts, then the primary.
    fn after_lag(&mut self) -> Step {
        if self.wait_until.is_some_and(|until| Instant::now() < until) {
            return Step::Again(LAG_POLL);
        }
        self.count_replica_attempt();
        Step::Again(Duration::ZERO)
    }

    /// Tries another instance at once while it is a replica, then repeats.
    fn after_fault(&mut self, is_primary: bool, outcome: Outcome) -> Step {
        if is_primary {
            return Step::Repeat(outcome);
        }
        self.count_replica_attempt();
        Step::Again(Duration::ZERO)
    }

    fn count_replica_attempt(&mut self) {
        self.replica_attempts += 1;
        if self.replica_attempts >= MAX_REPLICA_ATTEMPTS {
            self.max_staleness_ms = None;
        }
    }
}
