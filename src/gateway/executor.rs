//! Execution of jobs on this host's own connections to targets.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tokio::time::timeout;

use crate::{
    clock::{Clock, Millis, SystemClock},
    fleet::messages::Announcement,
    gateway::{
        admission::{Admission, AdmissionQueue},
        attempt::AttemptGuard,
        cx::Cx,
        job::{Job, JobError, JobKind, RejectReason},
        pool::{Checkout, Grant, PoolDecision, PoolRequest, PooledConnection},
        ports::{TargetConnection, TargetFailure, TargetRequest, Targets},
        prepare::ConnectionState,
        statement::{Answer, ErrorCode, Statement, TransactionState},
    },
    ids::InstanceId,
    pool::scheduler::Ticket,
};

/// Retry delay reported to callers when all slots or connections are in use.
const RETRY_AFTER_FULL: Millis = Millis(100);

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
    acquired_at: Millis,
    queued: bool,
    clock: SystemClock,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let now = self.clock.now();
        if let Some(queue) = self.admission.borrow_mut().get_mut(&self.target) {
            queue.release(now, now.since(self.acquired_at), self.queued);
        }
    }
}

/// Cancels its queued ticket on drop.
struct QueuedGuard<'a> {
    admission: &'a AdmissionQueues,
    target: &'a InstanceId,
    ticket: Option<Ticket>,
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let mut admission = self.admission.borrow_mut();
        let Some(queue) = admission.get_mut(self.target) else { return };
        if !queue.cancel(ticket) {
            queue.release(Millis(0), Millis(0), true);
        }
    }
}

/// Executes a job; a connection with an open transaction stays in `held`.
pub async fn execute<T: Targets>(
    cx: &Cx<T>,
    held: &mut Option<Checkout<T::Connection>>,
    job: &Job,
) -> Result<Answer, JobError> {
    match job.kind {
        JobKind::Status => query_status(cx, job).await,
        _ => execute_on_connection(cx, held, job).await,
    }
}

/// Queries the target's status. Hosts that ask at the same time share a query.
async fn query_status<T: Targets>(cx: &Cx<T>, job: &Job) -> Result<Answer, JobError> {
    let rounds = cx.status_rounds(&job.target);
    let query = || async { execute_on_connection(cx, &mut None, job).await };
    let shared = rounds.next(|| cx.now(), query);
    timeout(job.timeout.duration(), shared).await.unwrap_or(Err(JobError::Lost))
}

async fn execute_on_connection<T: Targets>(
    cx: &Cx<T>,
    held: &mut Option<Checkout<T::Connection>>,
    job: &Job,
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
    let _slot = acquire_slot(cx, &target, job, held.is_some()).await?;
    let mut checkout = match held.take() {
        Some(checkout) => checkout,
        None if matches!(job.kind, JobKind::Rollback) => {
            return Ok(Answer::local(TransactionState::Idle));
        }
        None => check_out(cx, &target, job).await?,
    };
    checkout.set_idle_in_transaction(false);
    let remaining = job.timeout.since(cx.now().since(arrived));
    let attempt = AttemptGuard::new(&cx.direct_health, cx.clock, &target.id);
    let result = run(cx, &mut checkout, job, remaining).await;
    attempt.end(&result);
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

async fn acquire_slot<'a, T: Targets>(
    cx: &'a Cx<T>,
    target: &Announcement,
    job: &Job,
    in_transaction: bool,
) -> Result<SlotGuard<'a>, JobError> {
    let slot = |queued| SlotGuard {
        admission: &cx.admission,
        target: target.id.clone(),
        acquired_at: cx.now(),
        queued,
        clock: cx.clock,
    };
    let decision = {
        let mut admission = cx.admission.borrow_mut();
        let queue = admission.entry(target.id.clone()).or_default();
        queue.set_slots(target.slots);
        if in_transaction {
            queue.acquire_unqueued();
            drop(admission);
            return Ok(slot(false));
        }
        queue.acquire(cx.now(), job.workspace.as_ref(), job.priority, job.max_wait)
    };
    match decision {
        Admission::Granted => Ok(slot(true)),
        Admission::Rejected(expected) => Err(JobError::Rejected(expected, RejectReason::Queue)),
        Admission::Queued(ticket, granted) => {
            let mut waiting =
                QueuedGuard { admission: &cx.admission, target: &target.id, ticket: Some(ticket) };
            match timeout(job.max_wait.duration(), granted).await {
                Ok(Ok(())) => {
                    waiting.ticket = None;
                    Ok(slot(true))
                }
                _ => Err(JobError::Rejected(RETRY_AFTER_FULL, RejectReason::Queue)),
            }
        }
    }
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
    let full = JobError::Rejected(RETRY_AFTER_FULL, RejectReason::Connections);
    let grant = match cx.pools.with(&target.id, |pool| pool.request(request)) {
        PoolDecision::Granted(grant) => grant,
        PoolDecision::Rejected => return Err(full),
        PoolDecision::Queued(granted) => {
            let wait = job.max_wait.min(MAX_CONNECTION_WAIT).duration();
            let Ok(Ok(grant)) = timeout(wait, granted).await else { return Err(full) };
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
            Err(JobError::Rejected(RETRY_AFTER_FULL, RejectReason::Connections))
        }
        Err(TargetFailure::Refused(error)) if error.code == ErrorCode::Busy => {
            Err(JobError::Rejected(RETRY_AFTER_FULL, RejectReason::Busy))
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
