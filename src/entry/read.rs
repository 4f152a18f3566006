//! Reads outside transactions.

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
    routing::choice::{Choice, ReadNeed},
    wire::peer::{Failure, Mode, Outcome, ReadBound, Refusal, Rows, Statement},
};

/// Pause before a replica that lags slightly is asked again.
const LAG_POLL: Duration = Duration::from_millis(4);

/// Longest wait for a view that names an instance.
const VIEW_WAIT: Duration = Duration::from_millis(50);

/// Time for one attempt at a replica; a replica that is cut off gives no answer.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Replicas that are tried before the primary serves the read.
const MAX_REPLICA_ATTEMPTS: u32 = 2;

/// Read with its progress over several attempts.
struct PendingRead<'a> {
    caller: &'a Caller,
    statement: &'a Statement,
    policy: &'a StatementPolicy,
    mark: Option<Mark>,
    max_staleness_ms: Option<u64>,
    deadline: Instant,
    replica_attempts: u32,
    retries: u32,
    /// Until when a lagging replica may be asked again.
    lag_deadline: Option<Instant>,
}

/// How one attempt ended.
enum AttemptResult {
    Done {
        rows: Rows,
        from_primary: bool,
    },
    Failed(Failure),
    RetryAfter(Duration),
    /// No instance can serve the read in this view.
    AwaitView,
    /// Attempt failed by a fault.
    RetryWithBudget(Outcome),
}

impl Cx {
    /// Serves a read by a replica that satisfies it, or by the primary.
    pub(super) async fn read(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        statement: &Statement,
        policy: &StatementPolicy,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        // A session whose earlier writes are not known must read from the primary.
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
                        state.session.complete(&caller.service, position);
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
        let need = ReadNeed {
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
            Ok(Choice::Replica { instance }) => (instance, false),
            Ok(Choice::WaitFor { instance, up_to }) => {
                read.lag_deadline.get_or_insert(Instant::now() + up_to.duration());
                (instance, false)
            }
            Ok(Choice::Primary { instance }) => (instance, true),
            // A new primary is expected within the deadline.
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
        self.hints.lock().started(now, &instance);
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
                self.hints.lock().answered(instance, latency_us);
                if let Some(position) = rows.mark {
                    self.record_position(instance, position, rows.age_ms);
                }
                let source = if is_primary { ReadSource::Primary } else { ReadSource::Replica };
                self.metrics.read(source);
                AttemptResult::Done { rows, from_primary: is_primary }
            }
            Outcome::Failed(failure) => {
                self.hints.lock().answered(instance, latency_us);
                AttemptResult::Failed(failure)
            }
            Outcome::Refused(Refusal::Behind { position, age_ms }) => {
                self.hints.lock().answered(instance, latency_us);
                self.record_position(instance, position, age_ms);
                read.after_lag()
            }
            Outcome::Refused(refusal) => {
                spdlog::debug!("instance {instance} refused a read: {refusal}");
                self.hints.lock().failed(now, instance, &self.routing);
                read.after_fault(is_primary, Outcome::Refused(refusal))
            }
            // A read has no effect, so a lost answer may be asked for again.
            Outcome::Unknown { reason } => {
                spdlog::debug!("answer of instance {instance} was lost: {reason}");
                self.hints.lock().failed(now, instance, &self.routing);
                read.after_fault(is_primary, Outcome::Unknown { reason })
            }
        }
    }
}

impl PendingRead<'_> {
    /// Asks the lagging replica again while the wait lasts, then the primary.
    fn after_lag(&mut self) -> AttemptResult {
        if self.lag_deadline.is_some_and(|until| Instant::now() < until) {
            return AttemptResult::RetryAfter(LAG_POLL);
        }
        self.count_replica_attempt();
        AttemptResult::RetryAfter(Duration::ZERO)
    }

    /// Tries another instance at once while it is a replica, then repeats.
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
