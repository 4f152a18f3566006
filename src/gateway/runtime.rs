//! Session loop and graceful stop of an entry host.

use std::{future::Future, pin::pin, rc::Rc};

use eyre::Result;
use tokio::sync::watch;

use crate::{
    adapters::byte_budget::ByteHolder,
    clock::Millis,
    gateway::{
        cx::{Cx, Phase},
        load_signal,
        log_limit::LogDecision,
        operation::Operation,
        ports::{Caller, CallerMessage, Targets},
        prepare::ResolvedRequest,
        rate_admission,
        readmission::SessionHash,
        session::Session,
        session_limits::{self, SessionEnd, StoredBytes},
        statement::{Answer, ErrorCode, Request, Statement, StatementError, TransactionState},
        transaction::{Transaction, apply_session_statement},
    },
};

/// Delays of the steps of a graceful stop, from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTiming {
    /// When sessions are closed between operations. By then the load balancer must have
    /// noticed that the host is not ready.
    pub close: Millis,
    /// When open transactions are aborted.
    pub abort: Millis,
    /// When [`stop`] returns even if sessions remain.
    pub exit: Millis,
}

/// Interval between checks for remaining sessions during a stop.
const STOP_POLL_INTERVAL: Millis = Millis(50);

/// Stops an entry host; returns when all sessions have ended or at [`StopTiming::exit`].
pub async fn stop<T: Targets>(cx: Rc<Cx<T>>, timing: StopTiming) {
    let started = cx.now();
    cx.enter(Phase::Leaving);
    spdlog::info!("stopping entry host", kv: {sessions = cx.sessions.get()});
    loop {
        let elapsed = cx.now().since(started);
        let phase = if elapsed >= timing.abort {
            Phase::Aborting
        } else if elapsed >= timing.close {
            Phase::Closing
        } else {
            Phase::Leaving
        };
        if phase > cx.phase() {
            cx.enter(phase);
        }
        let done = cx.sessions.get() == 0 && elapsed >= timing.close;
        if done || elapsed >= timing.exit {
            break;
        }
        tokio::time::sleep(STOP_POLL_INTERVAL.duration()).await;
    }
    spdlog::info!("entry host stopped", kv: {sessions = cx.sessions.get(), took_ms = cx.now().since(started).0});
}

/// Serves one caller until its session ends.
pub async fn serve<T: Targets, C: Caller>(cx: Rc<Cx<T>>, mut caller: C) {
    cx.sessions.set(cx.sessions.get() + 1);
    if let Err(error) = run_session(&cx, &mut caller).await {
        match error.downcast_ref::<SessionEnd>() {
            Some(end) => cx.record_session_end(*end),
            None => spdlog::debug!("session failed: {error:#}"),
        }
    }
    cx.sessions.set(cx.sessions.get() - 1);
}

async fn run_session<T: Targets, C: Caller>(cx: &Rc<Cx<T>>, caller: &mut C) -> Result<()> {
    let mut phases = cx.subscribe_phase();
    let Some(startup) =
        until_phase(&mut phases, Phase::Closing, caller.start()).await.transpose()?.flatten()
    else {
        return Ok(());
    };
    let number = cx.last_session.get() + 1;
    cx.last_session.set(number);
    let mut session = Session::new(startup);
    session.hash = SessionHash::new(&cx.settings.host, number);
    if let Err(error) = check_access(cx, &session) {
        spdlog::info!("session refused", kv: {database = session.database.as_str(), code = error.code.to_string().as_str()});
        return caller.refuse(&error).await;
    }
    caller.accept().await?;
    let bytes = caller.bytes().cloned();
    let stored = StoredBytes::default();
    let mut handler = SessionHandler { cx: cx.clone(), session, transaction: None, bytes, stored };
    let result = handler.run(caller, &mut phases).await;
    if let Some(transaction) = &mut handler.transaction {
        transaction.roll_back(cx).await;
    }
    result
}

fn check_access<T: Targets>(cx: &Cx<T>, session: &Session) -> Result<(), StatementError> {
    session.authorize(&*cx.config()?).map(|_| ())
}

/// Result of `future`, or `None` if the host reaches `phase` first.
async fn until_phase<R>(
    phases: &mut watch::Receiver<Phase>,
    phase: Phase,
    future: impl Future<Output = R>,
) -> Option<R> {
    tokio::select! {
        biased;
        result = future => Some(result),
        _ = phases.wait_for(|current| *current >= phase) => None,
    }
}

/// Accepted session with its open transaction.
struct SessionHandler<T: Targets> {
    cx: Rc<Cx<T>>,
    session: Session,
    transaction: Option<Transaction<T>>,
    /// Bytes that the process holds for the caller.
    bytes: Option<ByteHolder>,
    /// Part of `bytes` that the session's values and prepared statements take.
    stored: StoredBytes,
}

impl<T: Targets> SessionHandler<T> {
    async fn run<C: Caller>(
        &mut self,
        caller: &mut C,
        phases: &mut watch::Receiver<Phase>,
    ) -> Result<()> {
        loop {
            let Some(message) = self.next_message(caller, phases).await? else { return Ok(()) };
            let CallerMessage::Request(request) = message else { return Ok(()) };
            let arrived = self.cx.now();
            let reserved =
                session_limits::reserve_request(self.bytes.as_ref(), &self.session, &request).await;
            let answer = match &reserved {
                Ok(_) => self.handle(&request).await,
                Err(_) => session_limits::no_memory(self.state()),
            };
            self.record_answer(&request, &answer, arrived);
            drop((request, reserved));
            caller.answer(&answer).await?;
        }
    }

    /// Counts an answer and logs a failed request, subject to the rate limit of the log.
    fn record_answer(&self, request: &Request, answer: &Answer, arrived: Millis) {
        let cx = &self.cx;
        let now = cx.now();
        let route = cx.topology.borrow().config.routes.get(self.session.database.as_str()).cloned();
        let consistency = route.map(|route| route.consistency);
        cx.metrics.record_answer(consistency, answer, now.since(arrived));
        let Err(error) = &answer.result else { return };
        let LogDecision::Write { suppressed } = cx.request_log.borrow_mut().check(now) else {
            return;
        };
        let topology = cx.topology.borrow();
        let route = topology.config.routes.get(self.session.database.as_str());
        let service = route.map_or("none", |route| route.service.as_str());
        let primary = route.and_then(|route| topology.primary(now, &route.service));
        let workspace = self.session.workspace(&topology.config);
        spdlog::info!("request failed", kv: {
            id = request.id.as_str(),
            workspace = workspace.map_or("none", |it| it.as_str()),
            database = self.session.database.as_str(),
            service,
            code = error.code.to_string().as_str(),
            reason = error.text.as_str(),
            took_ms = now.since(arrived).0,
            primary = primary.as_ref().map_or("none", |it| it.id.as_str()),
            leased = cx.lease.borrow().is_valid(now),
            config = topology.config.version,
            config_age_ms = cx.lease.borrow().config_age(now).unwrap_or(now).0,
            view_term = topology.revision().term,
            view = topology.revision().number,
            left_out = suppressed
        });
    }

    /// Next message of the caller; `None` if the host closes the session.
    async fn next_message<C: Caller>(
        &mut self,
        caller: &mut C,
        phases: &mut watch::Receiver<Phase>,
    ) -> Result<Option<CallerMessage>> {
        let Some(transaction) = &mut self.transaction else {
            return until_phase(phases, Phase::Closing, caller.next()).await.transpose();
        };
        // Nothing waits for a transaction that holds no connection, so it may stay idle.
        if !transaction.holds_connection() {
            return until_phase(phases, Phase::Aborting, caller.next()).await.transpose();
        }
        let idle_timeout = self.cx.topology.borrow().config.transaction_idle_timeout;
        let mut next = pin!(until_phase(phases, Phase::Aborting, caller.next()));
        let refusal = tokio::select! {
            biased;
            next = &mut next => return next.transpose(),
            refusal = transaction.end_of_idleness(&self.cx, idle_timeout) => refusal,
        };
        match refusal {
            Some(refusal) => transaction.end(&self.cx, refusal).await,
            None => {
                spdlog::info!("transaction rolled back after the idle timeout", kv: {began_ms_ago = self.cx.now().since(transaction.began()).0});
                transaction.abandon(&self.cx).await;
            }
        }
        next.await.transpose()
    }

    async fn handle(&mut self, request: &Request) -> Answer {
        if let Some(refusal) = self.refuse_unauthorized(request).await {
            return refusal;
        }
        if let Some(answer) = self.apply_to_session(&request.statement).await {
            return answer;
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.end_if_refused(&self.cx).await;
        }
        match self.transaction.take() {
            Some(transaction) => self.continue_transaction(transaction, request).await,
            None => self.begin_operation(request).await,
        }
    }

    fn state(&self) -> TransactionState {
        self.transaction.as_ref().map_or(TransactionState::Idle, Transaction::state)
    }

    /// Applies a statement that changes only the session, within the session's limits.
    async fn apply_to_session(&mut self, statement: &Statement) -> Option<Answer> {
        let state = self.state();
        let limits = &self.cx.settings.session_limits;
        if let Err(error) = session_limits::check_stored(&self.session, statement, limits) {
            return Some(refusal(error, state));
        }
        if self.stored.reserve(self.bytes.as_ref(), statement).await.is_err() {
            return Some(session_limits::no_memory(state));
        }
        let answer = apply_session_statement(&mut self.session, statement, state)?;
        self.stored.settle(self.bytes.as_ref(), &self.session);
        Some(answer)
    }

    /// Refuses a request if the session's key was withdrawn, or was given to another workspace
    /// during the transaction, or if the host's configuration is too old to know. What the
    /// transaction has done is rolled back.
    async fn refuse_unauthorized(&mut self, request: &Request) -> Option<Answer> {
        let config = self.cx.config();
        let Some(transaction) = &mut self.transaction else {
            let error = match config {
                Ok(config) => self.session.authorize(&config).err()?,
                Err(error) => return Some(refusal(error, TransactionState::Idle)),
            };
            let is_unknown_key = error.code == ErrorCode::NoAuth;
            return is_unknown_key.then(|| refusal(error, TransactionState::Idle));
        };
        let error = match config {
            _ if transaction.is_anonymous() => return None,
            Ok(config) if transaction.is_authorized(&self.session, &config) => return None,
            Ok(_) => StatementError::new(ErrorCode::NoAuth, "the key was withdrawn"),
            Err(error) => error,
        };
        if !transaction.has_failed() {
            spdlog::info!("transaction rolled back, its key is no longer known to be valid", kv: {config = self.cx.topology.borrow().config.version, reason = error.text.as_str(), began_ms_ago = self.cx.now().since(transaction.began()).0});
            transaction.abandon(&self.cx).await;
            let is_end = matches!(request.statement, Statement::Commit | Statement::Rollback);
            if !is_end {
                let text = format!("{}; the transaction was rolled back", error.text);
                let error = StatementError { text, ..error };
                return Some(refusal(error, TransactionState::Failed));
            }
        }
        None
    }

    async fn continue_transaction(
        &mut self,
        mut transaction: Transaction<T>,
        request: &Request,
    ) -> Answer {
        match &request.statement {
            Statement::Commit => transaction.commit(&self.cx, &mut self.session, request).await,
            Statement::Rollback => {
                transaction.roll_back(&self.cx).await;
                Answer::local(TransactionState::Idle)
            }
            Statement::Read | Statement::Write | Statement::Execute { .. } => {
                let answer = match ResolvedRequest::new(&self.session, request) {
                    Some(resolved) => transaction.run(&self.cx, &self.session, resolved).await,
                    None => unknown_statement(transaction.state()),
                };
                self.transaction = Some(transaction);
                answer
            }
            _ => {
                let state = transaction.state();
                self.transaction = Some(transaction);
                Answer::error(ErrorCode::Malformed, "not possible in a transaction", state)
            }
        }
    }

    /// Handles a statement outside of a transaction.
    async fn begin_operation(&mut self, request: &Request) -> Answer {
        let arrived = self.cx.now();
        let idle = TransactionState::Idle;
        if matches!(request.statement, Statement::Commit | Statement::Rollback | Statement::Invalid)
        {
            return Answer::error(ErrorCode::Malformed, "not possible outside a transaction", idle);
        }
        let auth = self.session.authorize(&self.cx.topology.borrow().config);
        let auth = match auth {
            Ok(auth) => auth,
            Err(error) => return Answer::error(error.code, error.text, idle),
        };
        if load_refuses(&self.cx, auth.route.priority) {
            let text = format!("the host is busy; retry after {}", load_signal::RETRY_AFTER);
            return Answer::error(ErrorCode::Busy, text, idle);
        }
        let admission = match &auth.workspace {
            Some(workspace) => match rate_admission::admit(&self.cx, workspace).await {
                Ok(admission) => Some(admission),
                Err(retry_after) => {
                    let text =
                        format!("rate of the workspace is exceeded; retry after {retry_after}");
                    return Answer::error(ErrorCode::Busy, text, idle);
                }
            },
            None => None,
        };
        if let Statement::Begin { read_only } = request.statement {
            self.transaction = Some(Transaction::new(read_only, auth, arrived, admission));
            return Answer::local(TransactionState::Open);
        }
        let Some(resolved) = ResolvedRequest::new(&self.session, request) else {
            return unknown_statement(idle);
        };
        let operation = Operation { cx: &self.cx, session: &self.session, auth: &auth, arrived };
        let outcome = if resolved.writes() {
            operation.write(resolved).await
        } else {
            operation.read(resolved).await
        };
        if let Some(admission) = admission
            && !outcome.may_have_run
        {
            admission.refund();
        }
        let answer = outcome.answer;
        if resolved.writes()
            && let (Ok(_), Some(position)) = (&answer.result, answer.position)
        {
            let service = &auth.route.service;
            self.session.record_commit(service, position);
            self.cx.record_commit(service, position);
        }
        answer
    }
}

/// Whether the load of this process makes it refuse a new operation of `priority`.
fn load_refuses<T: Targets>(cx: &Cx<T>, priority: u32) -> bool {
    let topology = cx.topology.borrow();
    let priorities = topology.config.routes.values().map(|route| route.priority);
    let refuses = cx.load.borrow_mut().refuses(cx.now(), priority, priorities);
    if refuses {
        cx.metrics.record_load_refusal();
    }
    refuses
}

fn refusal(error: StatementError, state: TransactionState) -> Answer {
    Answer::error(error.code, error.text, state)
}

fn unknown_statement(state: TransactionState) -> Answer {
    Answer::error(ErrorCode::NoStatement, "no such prepared statement", state)
}
