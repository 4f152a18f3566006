//! Execution of jobs on this host's own connections to targets.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tokio::time::timeout;

use crate::{
    clock::{Clock, Millis, SystemClock},
    fleet::messages::Announcement,
    gateway::{
        admission::{Admission, AdmissionQueue, QueuedSlot, Released},
        attempt::AttemptGuard,
        cancellation::Cancellation,
        cx::Cx,
        job::{Execution, Job, JobError, JobKind, RejectReason},
        pool::{Checkout, Grant, PoolDecision, PoolRequest, PooledConnection},
        ports::{TargetConnection, TargetFailure, TargetRequest, Targets},
        prepare::ConnectionState,
        statement::{Answer, ErrorCode, Statement, TransactionState},
        urgency::{SlotRequest, Urgency},
    },
    ids::InstanceId,
    pool::scheduler::Ticket,
};

/// Longest wait for a connection by a job that already holds a slot.
const MAX_CONNECTION_WAIT: Millis = Millis(60);

/// Jobs that may wait for a connection to one target.
const MAX_CONNECTION_WAITERS: usize = 8;

/// Admission queues by target.
pub type AdmissionQueues = RefCell<HashMap<InstanceId, AdmissionQueue>>;

/// Releases its slot on drop.
struct SlotGuard<'a> {
    admission: &'a AdmissionQueues,
    target: InstanceId,
    priority: u32,
    acquired_at: Millis,
    queued: bool,
    is_answered: bool,
    clock: SystemClock,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let now = self.clock.now();
        if let Some(queue) = self.admission.borrow_mut().get_mut(&self.target) {
            if !self.queued {
                queue.release_unqueued();
                return;
            }
            let held = now.since(self.acquired_at);
            let answered_after = self.is_answered.then_some(held);
            queue.release(now, Released { priority: self.priority, answered_after });
        }
    }
}

/// Cancels its queued ticket on drop.
struct QueuedGuard<'a> {
    admission: &'a AdmissionQueues,
    target: &'a InstanceId,
    ticket: Option<Ticket>,
    clock: SystemClock,
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let mut admission = self.admission.borrow_mut();
        let Some(queue) = admission.get_mut(self.target) else { return };
        if !queue.cancel(ticket) {
            queue.release_unused(self.clock.now());
        }
    }
}

/// Executes a job; a connection with an open transaction stays in `held`.
pub async fn execute<T: Targets>(
    cx: &Cx<T>,
    held: &mut Option<Checkout<T::Connection>>,
    job: &Job,
) -> Result<Answer, JobError> {
    execute_cancellable(cx, held, job, &Cancellation::default()).await
}

/// Executes a job as [`execute`] does, unless it is cancelled before it is sent to the target.
pub async fn execute_cancellable<T: Targets>(
    cx: &Cx<T>,
    held: &mut Option<Checkout<T::Connection>>,
    job: &Job,
    cancellation: &Cancellation,
) -> Result<Answer, JobError> {
    match job.kind {
        // Other hosts may wait for the answer to the same query.
        JobKind::Status => query_status(cx, job).await,
        _ => execute_on_connection(cx, held, job, cancellation).await,
    }
}

/// Executes a job as [`execute_cancellable`] does, and then the statement that it carries if it has
/// begun a transaction. The statement is not sent before the target has answered, since it would
/// run outside of a transaction that the target refuses.
pub async fn execute_with_next<T: Targets>(
    cx: &Cx<T>,
    held: &mut Option<Checkout<T::Connection>>,
    job: &Job,
    cancellation: &Cancellation,
) -> Execution {
    let arrived = cx.now();
    let result = execute_cancellable(cx, held, job, cancellation).await;
    let has_begun = result.as_ref().is_ok_and(|answer| answer.state == TransactionState::Open);
    let Some(kind) = job.then.as_deref().filter(|_| has_begun) else { return result.into() };
    let timeout = job.timeout.since(cx.now().since(arrived));
    let next = Job { kind: kind.clone(), then: None, timeout, ..job.clone() };
    let then = execute_cancellable(cx, held, &next, cancellation).await;
    Execution { result, then: Some(then) }
}

/// Queries the target's status. Hosts that ask at the same time share a query.
async fn query_status<T: Targets>(cx: &Cx<T>, job: &Job) -> Result<Answer, JobError> {
    let rounds = cx.status_rounds(&job.target);
    let query =
        || async { execute_on_connection(cx, &mut None, job, &Cancellation::default()).await };
    let shared = rounds.next(|| cx.now(), query);
    timeout(job.timeout.duration(), shared).await.unwrap_or(Err(JobError::Lost))
}

async fn execute_on_connection<T: Targets>(
    cx: &Cx<T>,
    held: &mut Option<Checkout<T::Connection>>,
    job: &Job,
    cancellation: &Cancellation,
) -> Result<Answer, JobError> {
    let arrived = cx.now();
    let known = cx.topology.borrow().target(&job.target);
    let Some(target) = known else { return Err(JobError::Unreachable) };
    // The transaction was rolled back when the connection between the hosts was lost. On
    // another connection its statement would run outside of a transaction.
    if held.is_none() && job.kind.needs_transaction() {
        return Err(JobError::Lost);
    }
    // Jobs for a target that does not answer would occupy its slots until they time out.
    if held.is_none() && !cx.direct_health.borrow().is_usable(cx.now(), &target.id) {
        return Err(JobError::Unreachable);
    }
    if let Some(refusal) = cx.job_refusal(&target, &job.kind) {
        // The refusal is recorded where the transaction is ended.
        if !matches!(job.kind, JobKind::Rollback) {
            cx.record_refusal(&target, refusal);
        }
        // Closing the connection rolls back.
        *held = None;
        return Err(refusal.owner_error());
    }
    let slot = acquire_slot(cx, &target, job, held.is_some());
    let Some(slot) = cancellation.unless_cancelled(slot).await else {
        return Err(cancelled(cx));
    };
    let mut slot = slot?;
    let mut checkout = match held.take() {
        Some(checkout) => checkout,
        None if matches!(job.kind, JobKind::Rollback) => {
            return Ok(Answer::local(TransactionState::Idle));
        }
        None => {
            let checkout = cancellation.unless_cancelled(check_out(cx, &target, job)).await;
            let checkout = checkout.unwrap_or_else(|| Err(cancelled(cx)))?;
            if cancellation.is_cancelled() {
                checkout.release(cx.now());
                return Err(cancelled(cx));
            }
            checkout
        }
    };
    checkout.set_idle_in_transaction(false);
    let remaining = job.timeout.since(cx.now().since(arrived));
    if let Err(error) = cx.admit_cold(&target, job, remaining).await {
        if !job.kind.needs_transaction() {
            checkout.release(cx.now());
        }
        return Err(error);
    }
    if let Some(refusal) = cx.job_refusal(&target, &job.kind) {
        cx.record_refusal(&target, refusal);
        return Err(refusal.owner_error());
    }
    let remaining = job.timeout.since(cx.now().since(arrived));
    let attempt = AttemptGuard::new(&cx.direct_health, cx.clock, &target.id);
    let result = run(cx, &mut checkout, job, remaining).await;
    attempt.end(&result);
    slot.is_answered = result.is_ok();
    if let Ok(answer) = &result {
        match answer.state {
            TransactionState::Idle if checkout.is_large() => drop(checkout),
            TransactionState::Idle => checkout.release(cx.now()),
            TransactionState::Open | TransactionState::Failed => {
                checkout.set_idle_in_transaction(true);
                *held = Some(checkout);
            }
        }
    }
    result
}

/// Result of a job that was cancelled before it was sent to the target.
fn cancelled<T: Targets>(cx: &Cx<T>) -> JobError {
    cx.metrics.record_cancelled_job();
    JobError::Rejected(Millis(0), RejectReason::Queue)
}

async fn acquire_slot<'a, T: Targets>(
    cx: &'a Cx<T>,
    target: &Announcement,
    job: &Job,
    in_transaction: bool,
) -> Result<SlotGuard<'a>, JobError> {
    let slot = |queued| SlotGuard {
        admission: &cx.admission,
        target: target.id.clone(),
        priority: job.priority,
        acquired_at: cx.now(),
        queued,
        is_answered: false,
        clock: cx.clock,
    };
    let slots = cx.slots(target);
    let decision = {
        let mut admission = cx.admission.borrow_mut();
        let queue = admission.entry(target.id.clone()).or_default();
        queue.set_slots(slots);
        if in_transaction {
            queue.acquire_unqueued();
            drop(admission);
            return Ok(slot(false));
        }
        let request = SlotRequest {
            workspace: job.workspace.as_ref(),
            priority: job.priority,
            max_wait: job.max_wait,
            urgency: job.urgency.unwrap_or_else(|| Urgency::without_target(job.timeout)),
        };
        queue.acquire(cx.now(), &request)
    };
    match decision {
        Admission::Granted => Ok(slot(true)),
        Admission::Refused(refusal) => {
            Err(JobError::Rejected(refusal.retry_after, RejectReason::Queue))
        }
        Admission::Queued(queued) => {
            let mut waiting = QueuedGuard {
                admission: &cx.admission,
                target: &target.id,
                ticket: Some(queued.ticket),
                clock: cx.clock,
            };
            let ticket = queued.ticket;
            if wait_for_slot(cx, &target.id, queued).await {
                waiting.ticket = None;
                return Ok(slot(true));
            }
            let give_up =
                |queue: &mut AdmissionQueue| queue.give_up(cx.now(), ticket, job.priority);
            let retry_after = with_queue(cx, &target.id, give_up);
            waiting.ticket = None;
            Err(JobError::Rejected(retry_after, RejectReason::Queue))
        }
    }
}

/// Waits for a slot; returns whether it was granted. A wait for a target that has stalled ends
/// earlier, because another one may be about to replace it.
async fn wait_for_slot<T: Targets>(cx: &Cx<T>, target: &InstanceId, queued: QueuedSlot) -> bool {
    let QueuedSlot { mut granted, max_wait, .. } = queued;
    let until_check = Millis(max_wait.0 / 2);
    if let Ok(result) = timeout(until_check.duration(), &mut granted).await {
        return result.is_ok();
    }
    let is_stalled = with_queue(cx, target, |queue| queue.is_stalled(cx.now()));
    let rest = if is_stalled { Millis(0) } else { max_wait.since(until_check) };
    matches!(timeout(rest.duration(), granted).await, Ok(Ok(())))
}

fn with_queue<T: Targets, R>(
    cx: &Cx<T>,
    target: &InstanceId,
    f: impl FnOnce(&mut AdmissionQueue) -> R,
) -> R {
    f(cx.admission.borrow_mut().entry(target.clone()).or_default())
}

/// Rejection of a job that has a slot but no connection.
fn rejected<T: Targets>(cx: &Cx<T>, job: &Job, reason: RejectReason) -> JobError {
    let retry_after =
        with_queue(cx, &job.target, |queue| queue.retry_after(cx.now(), job.priority));
    JobError::Rejected(retry_after, reason)
}

async fn check_out<T: Targets>(
    cx: &Cx<T>,
    target: &Rc<Announcement>,
    job: &Job,
) -> Result<Checkout<T::Connection>, JobError> {
    let limit = cx.connection_limit(target);
    let request = PoolRequest {
        now: cx.now(),
        variables: &job.variables,
        workspace: job.workspace.as_ref(),
        priority: job.priority,
        limit,
        max_waiters: MAX_CONNECTION_WAITERS,
    };
    let grant = match cx.pools.with(&target.id, |pool| pool.request(request)) {
        PoolDecision::Granted(grant) => grant,
        PoolDecision::Rejected => return Err(rejected(cx, job, RejectReason::Connections)),
        PoolDecision::Queued(granted) => {
            let wait = job.max_wait.min(MAX_CONNECTION_WAIT).duration();
            let Ok(Ok(grant)) = timeout(wait, granted).await else {
                return Err(rejected(cx, job, RejectReason::Connections));
            };
            grant
        }
    };
    let checkout = |pooled| Checkout::new(pooled, target.clone(), cx.pools.clone(), limit);
    match grant {
        Grant::Connection(pooled) => Ok(checkout(Some(pooled))),
        Grant::Permit => {
            let mut checkout = checkout(None);
            checkout.set_connection(open(cx, target, job).await?);
            Ok(checkout)
        }
    }
}

async fn open<T: Targets>(
    cx: &Cx<T>,
    target: &Announcement,
    job: &Job,
) -> Result<PooledConnection<T::Connection>, JobError> {
    let workspace = job.workspace.clone();
    match cx.targets.open(target, workspace.as_ref()).await {
        Ok((connection, _)) => {
            Ok(PooledConnection { connection, workspace, state: ConnectionState::default() })
        }
        Err(TargetFailure::Refused(error)) if error.code == ErrorCode::TooMany => {
            let now = cx.now();
            cx.pools.with(&target.id, |pool| pool.pause_opening(now));
            Err(rejected(cx, job, RejectReason::Connections))
        }
        Err(TargetFailure::Refused(error)) if error.code == ErrorCode::Busy => {
            Err(rejected(cx, job, RejectReason::Busy))
        }
        Err(failure) => {
            cx.direct_health.borrow_mut().record_connect_failure(cx.now(), &target.id);
            cx.log_unanswered(&target.id, "connect", &format!("{failure:?}"));
            Err(JobError::Unreachable)
        }
    }
}

/// Sends the requests of a job and returns the answer to the last one.
async fn run<T: Targets>(
    cx: &Cx<T>,
    checkout: &mut Checkout<T::Connection>,
    job: &Job,
    remaining: Millis,
) -> Result<Answer, JobError> {
    let mut requests = Vec::new();
    let id = checkout.target.id.clone();
    let Some(pooled) = checkout.pooled() else { return Err(JobError::Lost) };
    let needs_variables = matches!(job.kind, JobKind::Statement { .. });
    if needs_variables {
        pooled.state.set_variables(&job.variables, &mut requests);
    }
    match &job.kind {
        JobKind::Statement { request, prepared: Some(prepared), after, .. } => {
            let Statement::Execute { arguments, .. } = &request.statement else {
                return Err(JobError::Lost);
            };
            let name = pooled.state.prepare(prepared, &mut requests);
            requests.push(TargetRequest::Execute { request, name, arguments, after: *after });
        }
        JobKind::Statement { request, prepared: None, after, .. } => {
            requests.push(TargetRequest::Forward { request, after: *after });
        }
        JobKind::Begin { read_only, after } => {
            requests.push(TargetRequest::Begin { read_only: *read_only, after: *after });
        }
        JobKind::Rollback => requests.push(TargetRequest::Rollback),
        JobKind::Status => requests.push(TargetRequest::Status),
    }
    let exchange = async {
        pooled.connection.send(&requests).await?;
        let mut answers = Vec::with_capacity(requests.len());
        for _ in &requests {
            answers.push(pooled.connection.receive().await?);
        }
        Ok::<_, TargetFailure>(answers)
    };
    let result = timeout(remaining.duration(), exchange).await;
    let mut answers = match result {
        Ok(Ok(answers)) => answers,
        Ok(Err(failure)) => {
            cx.log_unanswered(&id, "exchange", &format!("{failure:?}"));
            return Err(JobError::Lost);
        }
        Err(_) => {
            cx.log_unanswered(&id, "exchange", &format!("no answer within {remaining}"));
            return Err(JobError::Lost);
        }
    };
    let answer = answers.pop().ok_or(JobError::Lost)?;
    if matches!(job.kind, JobKind::Begin { .. }) && answer.result.is_err() {
        // A refused BEGIN leaves the connection idle.
        return Ok(Answer { state: TransactionState::Idle, ..answer });
    }
    // If a preceding request failed, the job may have run with the wrong session state: the
    // connection is closed and the job counts as unanswered.
    let is_prepared = answers.iter().all(|answer| answer.result.is_ok());
    if is_prepared { Ok(answer) } else { Err(JobError::Lost) }
}
