//! Execution of work on this host's own connections.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tokio::time::timeout;

use crate::{
    clock::{Clock, Millis, SystemClock},
    fleet::messages::Announcement,
    gateway::{
        cx::Cx,
        gate::{Entry, Gate},
        health::Attempt,
        pool::{Checkout, Decision, Grant, Pooled, Wanted},
        ports::{TargetConnection, TargetFailure, TargetRequest, Targets},
        prepare::ConnectionState,
        statement::{Answer, ErrorCode, Statement, TransactionState},
        work::{Job, Obstacle, Reason, Work},
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
pub type Gates = RefCell<HashMap<InstanceId, Gate>>;

/// Slot that is given back when it is dropped.
struct Slot<'a> {
    gates: &'a Gates,
    target: InstanceId,
    taken: Millis,
    queued: bool,
    clock: SystemClock,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let now = self.clock.now();
        if let Some(gate) = self.gates.borrow_mut().get_mut(&self.target) {
            gate.leave(now, now.since(self.taken), self.queued);
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

    fn end(mut self, result: &Result<Answer, Obstacle>) {
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
    gates: &'a Gates,
    target: &'a InstanceId,
    ticket: Option<Ticket>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        let mut gates = self.gates.borrow_mut();
        let Some(gate) = gates.get_mut(self.target) else { return };
        if !gate.cancel(ticket) {
            gate.leave(Millis(0), Millis(0), true);
        }
    }
}

/// Executes work; a connection with an open transaction stays in `held`.
pub async fn execute<T: Targets>(
    cx: &Cx<T>,
    held: &mut Option<Checkout<T::Connection>>,
    job: &Job,
) -> Result<Answer, Obstacle> {
    let arrived = cx.now();
    let known = cx.knowledge.borrow().target(&job.target);
    let Some(target) = known else { return Err(Obstacle::Unreachable) };
    // The transaction ended with the connection to this owner; on another connection
    // its statement would run alone.
    if held.is_none() && job.work.needs_transaction() {
        return Err(Obstacle::Lost);
    }
    // Work at a target that does not answer would fill its slots and then wait for
    // nothing.
    if held.is_none() && !cx.paths.borrow().is_usable(cx.now(), &target.id) {
        return Err(Obstacle::Unreachable);
    }
    let _slot = enter(cx, &target, job, held.is_some()).await?;
    let mut checkout = match held.take() {
        Some(checkout) => checkout,
        None if matches!(job.work, Work::Rollback) => {
            return Ok(Answer::own(TransactionState::Idle));
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
) -> Result<Slot<'a>, Obstacle> {
    let slot = |queued| Slot {
        gates: &cx.gates,
        target: target.id.clone(),
        taken: cx.now(),
        queued,
        clock: cx.clock,
    };
    let entry = {
        let mut gates = cx.gates.borrow_mut();
        let gate = gates.entry(target.id.clone()).or_default();
        gate.set_slots(target.slots);
        if in_transaction {
            gate.enter_now();
            drop(gates);
            return Ok(slot(false));
        }
        gate.enter(cx.now(), job.workspace.as_ref(), job.priority, job.wait)
    };
    match entry {
        Entry::Now => Ok(slot(true)),
        Entry::TooLong(expected) => Err(Obstacle::NotRun(expected, Reason::Queue)),
        Entry::Wait(ticket, granted) => {
            let mut waiting =
                Waiting { gates: &cx.gates, target: &target.id, ticket: Some(ticket) };
            match timeout(job.wait.duration(), granted).await {
                Ok(Ok(())) => {
                    waiting.ticket = None;
                    Ok(slot(true))
                }
                _ => Err(Obstacle::NotRun(RETRY_WHEN_FULL, Reason::Queue)),
            }
        }
    }
}

/// Checks out a connection to `target`.
async fn check_out<T: Targets>(
    cx: &Cx<T>,
    target: &Rc<Announcement>,
    job: &Job,
) -> Result<Checkout<T::Connection>, Obstacle> {
    let limit = cx.connection_limit(target);
    let wanted = Wanted {
        now: cx.now(),
        values: &job.values,
        workspace: job.workspace.as_ref(),
        priority: job.priority,
        limit,
        longest_queue: CONNECTION_QUEUE,
    };
    let full = Obstacle::NotRun(RETRY_WHEN_FULL, Reason::Connections);
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
) -> Result<Pooled<T::Connection>, Obstacle> {
    let workspace = job.workspace.clone();
    match cx.targets.open(target, workspace.as_ref()).await {
        Ok((connection, _)) => {
            Ok(Pooled { connection, workspace, state: ConnectionState::default() })
        }
        Err(TargetFailure::Refused(error)) if error.code == ErrorCode::TooMany => {
            let now = cx.now();
            cx.pools.with(&target.id, |pool| pool.refused(now));
            Err(Obstacle::NotRun(RETRY_WHEN_FULL, Reason::Connections))
        }
        Err(TargetFailure::Refused(error)) if error.code == ErrorCode::Busy => {
            Err(Obstacle::NotRun(RETRY_WHEN_FULL, Reason::Busy))
        }
        Err(failure) => {
            cx.paths.borrow_mut().unreachable(cx.now(), &target.id);
            cx.log_target(&target.id, "connect", &format!("{failure:?}"));
            Err(Obstacle::Unreachable)
        }
    }
}

/// Sends the requests that the work needs and returns the answer to the last one.
async fn run<T: Targets>(
    cx: &Cx<T>,
    checkout: &mut Checkout<T::Connection>,
    job: &Job,
    left: Millis,
) -> Result<Answer, Obstacle> {
    let mut requests = Vec::new();
    let id = checkout.target.id.clone();
    let Some(pooled) = checkout.pooled() else { return Err(Obstacle::Lost) };
    let needs_values = matches!(job.work, Work::Statement { .. });
    if needs_values {
        pooled.state.set_values(&job.values, &mut requests);
    }
    match &job.work {
        Work::Statement { request, shape: Some(shape), after, .. } => {
            let Statement::Execute { arguments, .. } = &request.statement else {
                return Err(Obstacle::Lost);
            };
            let name = pooled.state.name_of(shape, &mut requests);
            requests.push(TargetRequest::Execute { request, name, arguments, after: *after });
        }
        Work::Statement { request, shape: None, after, .. } => {
            requests.push(TargetRequest::Forward { request, after: *after });
        }
        Work::Begin { read_only, after } => {
            requests.push(TargetRequest::Begin { read_only: *read_only, after: *after });
        }
        Work::Rollback => requests.push(TargetRequest::Rollback),
        Work::Status => requests.push(TargetRequest::Status),
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
            return Err(Obstacle::Lost);
        }
        Err(_) => {
            cx.log_target(&id, "exchange", &format!("no answer within {left}"));
            return Err(Obstacle::Lost);
        }
    };
    let answer = answers.pop().ok_or(Obstacle::Lost)?;
    if matches!(job.work, Work::Begin { .. }) && answer.result.is_err() {
        // A refused beginning leaves the connection as it was.
        return Ok(Answer { state: TransactionState::Idle, ..answer });
    }
    // A connection whose values could not be set is closed; what ran on it counts as
    // unanswered.
    let is_set = answers.iter().all(|answer| answer.result.is_ok());
    if is_set { Ok(answer) } else { Err(Obstacle::Lost) }
}
