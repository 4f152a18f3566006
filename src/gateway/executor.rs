//! Execution of work on this host's own connections.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tokio::time::timeout;

use crate::{
    clock::{Clock, Millis, SystemClock},
    fleet::messages::Announcement,
    gateway::{
        admission::{Admission, AdmissionQueue},
        cx::Cx,
        health::Attempt,
        job::{Job, JobError, JobKind, Reason},
        pool::{Checkout, Decision, Grant, PoolRequest, PooledConnection},
        ports::{TargetConnection, TargetFailure, TargetRequest, Targets},
        prepare::ConnectionState,
        statement::{Answer, ErrorCode, Statement, TransactionState},
    },
    ids::InstanceId,
    pool::scheduler::Ticket,
};

/// Advice to callers that find all connections in use.
const RETRY_WHEN_FULL: Millis = Millis(100);

/// Longest wait for a connection by work that has a slot already.
const CONNECTION_WAIT: Millis = Millis(60);

/// Callers that may wait for a connection to one target.
const CONNECTION_QUEUE: usize = 8;

/// Slots by target.
pub type AdmissionQueues = RefCell<HashMap<InstanceId, AdmissionQueue>>;

/// Slot that is given back when it is dropped.
struct Slot<'a> {
    admission: &'a AdmissionQueues,
    target: InstanceId,
    taken: Millis,
    queued: bool,
    clock: SystemClock,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let now = self.clock.now();
        if let Some(queue) = self.admission.borrow_mut().get_mut(&self.target) {
            queue.leave(now, now.since(self.taken), self.queued);
        }
    }
}

/// Statement whose end is noted also if its caller gives up.
struct Attempted<'a, T: Targets> {
    cx: &'a Cx<T>,
    target: &'a InstanceId,
    attempt: Option<Attempt>,
}

impl<'a, T: Targets> Attempted<'a, T> {
    fn new(cx: &'a Cx<T>, target: &'a InstanceId) -> Self {
        let attempt = cx.paths.borrow_mut().sent(cx.now(), target);
        Self { cx, target, attempt: Some(attempt) }
    }

    fn end(mut self, result: &Result<Answer, JobError>) {
        let Some(attempt) = self.attempt.take() else { return };
        let now = self.cx.now();
        let mut paths = self.cx.paths.borrow_mut();
        match result {
            Ok(answer) => paths.answered(now, self.target, attempt, answer.position),
            Err(_) => paths.ended(now, self.target, attempt, true),
        }
    }
}

impl<T: Targets> Drop for Attempted<'_, T> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let now = self.cx.now();
            self.cx.paths.borrow_mut().ended(now, self.target, attempt, false);
        }
    }
}

/// Waiting ticket that is cancelled when it is dropped.
struct Waiting<'a> {
    admission: &'a AdmissionQueues,
    target: &'a InstanceId,
    ticket: Option<Ticket>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let mut admission = self.admission.borrow_mut();
        let Some(queue) = admission.get_mut(self.target) else { return };
        if !queue.cancel(ticket) {
            queue.leave(Millis(0), Millis(0), true);
        }
    }
}

/// Executes work; a connection with an open transaction stays in `held`.
pub async fn execute<T: Targets>(
    cx: &Cx<T>,
    held: &mut Option<Checkout<T::Connection>>,
    job: &Job,
) -> Result<Answer, JobError> {
    let arrived = cx.now();
    let known = cx.topology.borrow().target(&job.target);
    let Some(target) = known else { return Err(JobError::Unreachable) };
    // The transaction ended with the connection to this owner; on another connection
    // its statement would run alone.
    if held.is_none() && job.work.needs_transaction() {
        return Err(JobError::Lost);
    }
    // Work at a target that does not answer would fill its slots and then wait for
    // nothing.
    if held.is_none() && !cx.paths.borrow().is_usable(cx.now(), &target.id) {
        return Err(JobError::Unreachable);
    }
    let _slot = enter(cx, &target, job, held.is_some()).await?;
    let mut checkout = match held.take() {
        Some(checkout) => checkout,
        None if matches!(job.work, JobKind::Rollback) => {
            return Ok(Answer::local(TransactionState::Idle));
        }
        None => check_out(cx, &target, job).await?,
    };
    checkout.rest(false);
    let left = job.limit.since(cx.now().since(arrived));
    let attempt = Attempted::new(cx, &target.id);
    let result = run(cx, &mut checkout, job, left).await;
    attempt.end(&result);
    if let Ok(answer) = &result {
        match answer.state {
            TransactionState::Idle => checkout.release(cx.now()),
            TransactionState::Open | TransactionState::Failed => {
                checkout.rest(true);
                *held = Some(checkout);
            }
        }
    }
    result
}

async fn enter<'a, T: Targets>(
    cx: &'a Cx<T>,
    target: &Announcement,
    job: &Job,
    in_transaction: bool,
) -> Result<Slot<'a>, JobError> {
    let slot = |queued| Slot {
        admission: &cx.admission,
        target: target.id.clone(),
        taken: cx.now(),
        queued,
        clock: cx.clock,
    };
    let entry = {
        let mut admission = cx.admission.borrow_mut();
        let queue = admission.entry(target.id.clone()).or_default();
        queue.set_slots(target.slots);
        if in_transaction {
            queue.enter_now();
            drop(admission);
            return Ok(slot(false));
        }
        queue.enter(cx.now(), job.workspace.as_ref(), job.priority, job.wait)
    };
    match entry {
        Admission::Granted => Ok(slot(true)),
        Admission::Rejected(expected) => Err(JobError::Rejected(expected, Reason::Queue)),
        Admission::Queued(ticket, granted) => {
            let mut waiting =
                Waiting { admission: &cx.admission, target: &target.id, ticket: Some(ticket) };
            match timeout(job.wait.duration(), granted).await {
                Ok(Ok(())) => {
                    waiting.ticket = None;
                    Ok(slot(true))
                }
                _ => Err(JobError::Rejected(RETRY_WHEN_FULL, Reason::Queue)),
            }
        }
    }
}

/// Checks out a connection to `target`.
async fn check_out<T: Targets>(
    cx: &Cx<T>,
    target: &Rc<Announcement>,
    job: &Job,
) -> Result<Checkout<T::Connection>, JobError> {
    let limit = cx.connection_limit(target);
    let wanted = PoolRequest {
        now: cx.now(),
        variables: &job.variables,
        workspace: job.workspace.as_ref(),
        priority: job.priority,
        limit,
        longest_queue: CONNECTION_QUEUE,
    };
    let full = JobError::Rejected(RETRY_WHEN_FULL, Reason::Connections);
    let grant = match cx.pools.with(&target.id, |pool| pool.request(wanted)) {
        Decision::Granted(grant) => grant,
        Decision::Refused => return Err(full),
        Decision::Wait(granted) => {
            let wait = job.wait.min(CONNECTION_WAIT).duration();
            let Ok(Ok(grant)) = timeout(wait, granted).await else { return Err(full) };
            grant
        }
    };
    let new = |pooled| Checkout::new(pooled, target.clone(), cx.pools.clone(), limit);
    match grant {
        Grant::Connection(pooled) => Ok(new(Some(pooled))),
        Grant::Permit => {
            let mut checkout = new(None);
            checkout.fill(open(cx, target, job).await?);
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
            cx.pools.with(&target.id, |pool| pool.refused(now));
            Err(JobError::Rejected(RETRY_WHEN_FULL, Reason::Connections))
        }
        Err(TargetFailure::Refused(error)) if error.code == ErrorCode::Busy => {
            Err(JobError::Rejected(RETRY_WHEN_FULL, Reason::Busy))
        }
        Err(failure) => {
            cx.paths.borrow_mut().unreachable(cx.now(), &target.id);
            cx.log_target(&target.id, "connect", &format!("{failure:?}"));
            Err(JobError::Unreachable)
        }
    }
}

/// Sends the requests that the work needs and returns the answer to the last one.
async fn run<T: Targets>(
    cx: &Cx<T>,
    checkout: &mut Checkout<T::Connection>,
    job: &Job,
    left: Millis,
) -> Result<Answer, JobError> {
    let mut requests = Vec::new();
    let id = checkout.target.id.clone();
    let Some(pooled) = checkout.pooled() else { return Err(JobError::Lost) };
    let needs_values = matches!(job.work, JobKind::Statement { .. });
    if needs_values {
        pooled.state.set_variables(&job.variables, &mut requests);
    }
    match &job.work {
        JobKind::Statement { request, shape: Some(shape), after, .. } => {
            let Statement::Execute { arguments, .. } = &request.statement else {
                return Err(JobError::Lost);
            };
            let name = pooled.state.name_of(shape, &mut requests);
            requests.push(TargetRequest::Execute { request, name, arguments, after: *after });
        }
        JobKind::Statement { request, shape: None, after, .. } => {
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
    let result = timeout(left.duration(), exchange).await;
    let mut answers = match result {
        Ok(Ok(answers)) => answers,
        Ok(Err(failure)) => {
            cx.log_target(&id, "exchange", &format!("{failure:?}"));
            return Err(JobError::Lost);
        }
        Err(_) => {
            cx.log_target(&id, "exchange", &format!("no answer within {left}"));
            return Err(JobError::Lost);
        }
    };
    let answer = answers.pop().ok_or(JobError::Lost)?;
    if matches!(job.work, JobKind::Begin { .. }) && answer.result.is_err() {
        // A refused beginning leaves the connection as it was.
        return Ok(Answer { state: TransactionState::Idle, ..answer });
    }
    // A connection whose variables could not be set is closed; what ran on it counts as
    // unanswered.
    let is_set = answers.iter().all(|answer| answer.result.is_ok());
    if is_set { Ok(answer) } else { Err(JobError::Lost) }
}
