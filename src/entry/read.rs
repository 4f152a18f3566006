//! Reads outside transactions, served by replicas or the primary.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{
    admission::StatementPolicy,
    caller::{Caller, CallerState},
    cx::Cx,
    dispatch::{OwnerRef, StatementRequest},
    error,
    marks::RequiredMark,
    retries::FailedAttempt,
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

/// Pause between attempts at a replica that is expected to reach the mark soon.
const LAG_POLL: Duration = Duration::from_millis(4);

/// Longest wait for a newer view when no instance can serve the read.
const VIEW_WAIT: Duration = Duration::from_millis(50);

/// Timeout of one attempt at a replica. A replica behind a network partition never
/// answers, and another instance can serve the read.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of unsuccessful attempts at replicas after which the primary serves the read.
const MAX_REPLICA_ATTEMPTS: u32 = 2;

/// Read with the state that is kept between its attempts.
struct PendingRead<'a> {
    caller: &'a Caller,
    statement: &'a Statement,
    policy: &'a StatementPolicy,
    mark: Option<Mark>,
    max_staleness_ms: Option<u64>,
    deadline: Instant,
    replica_attempts: u32,
    retries: u32,
    /// Until when a lagging replica is asked again; set at the first wait.
    lag_deadline: Option<Instant>,
}

/// Result of one attempt, which determines how the read continues.
enum AttemptResult {
    Done {
        rows: Rows,
        from_primary: bool,
    },
    Failed(Failure),
    RetryAfter(Duration),
    /// No instance of this view can serve the read; wait for a newer one.
    AwaitView,
    /// The attempt failed with this outcome; retry as the retry budget allows.
    RetryWithBudget(Outcome),
}

impl Cx {
    /// Runs a read at a replica that satisfies its bounds, or at the primary.
    pub(super) async fn read(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        statement: &Statement,
        policy: &StatementPolicy,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        // Without the mark of all earlier writes, the session must read from the primary.
        let (is_mark_known, mark) = match policy.max_staleness_ms {
            None => (false, None),
            Some(_) => match self.required_mark(caller, state).await {
                RequiredMark::Known(mark) => (true, mark),
                RequiredMark::Unknown => (false, state.session.mark(&caller.service)),
            },
        };
        let mut read = PendingRead {
            caller,
            statement,
            policy,
            mark,
            max_staleness_ms: policy.max_staleness_ms.filter(|_| is_mark_known),
            deadline,
            replica_attempts: 0,
            retries: 0,
            lag_deadline: None,
        };
        self.deposit_retry_budget(policy.workspace.as_ref());
        loop {
            match self.attempt_read(&mut read).await {
                AttemptResult::Done { rows, from_primary } => {
                    if let Some(position) = rows.mark.filter(|_| from_primary) {
                        state.session.record_complete(&caller.service, position);
                        if !is_mark_known && policy.max_staleness_ms.is_some() {
                            self.store_position_in_background(caller, state, position);
                        }
                    }
                    return Ok(ReplyResult::Rows(rows).into());
                }
                AttemptResult::Failed(failure) => return Err(failure),
                AttemptResult::RetryAfter(pause) => tokio::time::sleep(pause).await,
                AttemptResult::AwaitView => {
                    self.wait_for_view(deadline.min(Instant::now() + VIEW_WAIT)).await;
                }
                AttemptResult::RetryWithBudget(outcome) => {
                    read.retries += 1;
                    let failed = FailedAttempt {
                        workspace: policy.workspace.as_ref(),
                        outcome: &outcome,
                        attempts: read.retries,
                        replaced: false,
                    };
                    if !self.wait_before_retry(failed, deadline).await {
                        return Err(error::read_failed(&outcome));
                    }
                }
            }
        }
    }

    async fn attempt_read(&self, read: &mut PendingRead<'_>) -> AttemptResult {
        let remaining = read.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return AttemptResult::Failed(error::refused(&Refusal::Deadline));
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
                read.lag_deadline.get_or_insert(Instant::now() + max_wait.duration());
                (instance, false)
            }
            Ok(Selection::Primary { instance }) => (instance, true),
            // A new primary may become available before the deadline.
            Err(_) => return AttemptResult::AwaitView,
        };
        let Some(owner) = OwnerRef::find(&state.view, &instance) else {
            return AttemptResult::AwaitView;
        };
        let term = state.view.groups.get(&read.caller.service).map_or(Term(0), |group| group.term);
        let max_staleness_ms = if is_primary { None } else { read.max_staleness_ms };
        let bound = ReadBound { mark: read.mark, max_staleness_ms, term };
        let request = StatementRequest {
            workspace: read.policy.workspace.as_ref(),
            weight: read.policy.weight,
            statement: read.statement,
        };
        self.hints.lock().record_start(now, &instance);
        let started = Instant::now();
        let outcome = if is_primary {
            let primary = PrimaryRef { owner, term };
            self.execute_at_primary(&primary, read.caller, request, Mode::Read(bound), remaining)
                .await
        } else {
            let limit = remaining.min(REPLICA_TIMEOUT);
            self.execute(&owner, request, Mode::Read(bound), limit).await
        };
        let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.handle_read_outcome(read, &instance, is_primary, outcome, latency_us)
    }

    fn handle_read_outcome(
        &self,
        read: &mut PendingRead<'_>,
        instance: &InstanceId,
        is_primary: bool,
        outcome: Outcome,
        latency_us: u64,
    ) -> AttemptResult {
        let now = self.clock.now();
        match outcome {
            Outcome::Done(rows) => {
                self.hints.lock().record_answer(instance, latency_us);
                if let Some(position) = rows.mark {
                    self.record_position(instance, position, rows.age_ms);
                }
                let source = if is_primary { ReadSource::Primary } else { ReadSource::Replica };
                self.metrics.record_read(source);
                AttemptResult::Done { rows, from_primary: is_primary }
            }
            Outcome::Failed(failure) => {
                self.hints.lock().record_answer(instance, latency_us);
                AttemptResult::Failed(failure)
            }
            Outcome::Refused(Refusal::Behind { position, age_ms }) => {
                self.hints.lock().record_answer(instance, latency_us);
                self.record_position(instance, position, age_ms);
                read.after_lag()
            }
            Outcome::Refused(refusal) => {
                spdlog::debug!("instance {instance} refused a read: {refusal}");
                self.hints.lock().record_failure(now, instance, &self.routing);
                read.after_fault(is_primary, Outcome::Refused(refusal))
            }
            // A read has no side effects, so it may be retried after a lost response.
            Outcome::Unknown { reason } => {
                spdlog::debug!("no response to a read from instance {instance}: {reason}");
                self.hints.lock().record_failure(now, instance, &self.routing);
                read.after_fault(is_primary, Outcome::Unknown { reason })
            }
        }
    }
}

impl PendingRead<'_> {
    /// Polls a lagging replica until `lag_deadline`; then counts the attempt as
    /// unsuccessful and chooses another instance.
    fn after_lag(&mut self) -> AttemptResult {
        if self.lag_deadline.is_some_and(|until| Instant::now() < until) {
            return AttemptResult::RetryAfter(LAG_POLL);
        }
        self.count_replica_attempt();
        AttemptResult::RetryAfter(Duration::ZERO)
    }

    /// Tries another instance at once after a fault of a replica; after a fault of the
    /// primary, retries within the retry budget.
    fn after_fault(&mut self, is_primary: bool, outcome: Outcome) -> AttemptResult {
        if is_primary {
            return AttemptResult::RetryWithBudget(outcome);
        }
        self.count_replica_attempt();
        AttemptResult::RetryAfter(Duration::ZERO)
    }

    fn count_replica_attempt(&mut self) {
        self.replica_attempts += 1;
        if self.replica_attempts >= MAX_REPLICA_ATTEMPTS {
            self.max_staleness_ms = None;
        }
    }
}
