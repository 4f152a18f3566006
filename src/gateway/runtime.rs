//! Sessions of callers and the end of an entry host.

use std::{future::Future, rc::Rc};

use eyre::Result;
use tokio::{sync::watch, time::timeout};

use crate::{
    clock::Millis,
    gateway::{
        cx::{Cx, Phase},
        log_limit::Line,
        operation::Operation,
        ports::{Caller, CallerMessage, Targets},
        prepare::ResolvedRequest,
        session::Session,
        statement::{Answer, ErrorCode, Request, Statement, StatementError, TransactionState},
        transaction::{Transaction, change_session},
    },
    ids::Workspace,
};

/// Times of a stop, from the order on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTiming {
    /// When sessions begin to be closed between operations; the balancer has noticed
    /// by then that the host is not ready.
    pub close: Millis,
    /// When open transactions are ended.
    pub abort: Millis,
    /// When the process ends.
    pub exit: Millis,
}

/// Interval between looks at the remaining sessions during a stop.
const LOOK: Millis = Millis(50);

/// Stops an entry host: returns when the sessions have ended or the time is up.
pub async fn stop<T: Targets>(cx: Rc<Cx<T>>, timing: StopTiming) {
    let began = cx.now();
    cx.enter(Phase::Leaving);
    spdlog::info!("stop begins", kv: {sessions = cx.sessions.get()});
    loop {
        let span = cx.now().since(began);
        let phase = if span >= timing.abort {
            Phase::Aborting
        } else if span >= timing.close {
            Phase::Closing
        } else {
            Phase::Leaving
        };
        if phase > cx.phase() {
            cx.enter(phase);
        }
        let done = cx.sessions.get() == 0 && span >= timing.close;
        if done || span >= timing.exit {
            break;
        }
        tokio::time::sleep(LOOK.duration()).await;
    }
    spdlog::info!("stop ends", kv: {sessions = cx.sessions.get(), took_ms = cx.now().since(began).0});
}

/// Serves one caller until it leaves.
pub async fn serve<T: Targets, C: Caller>(cx: Rc<Cx<T>>, mut caller: C) {
    cx.sessions.set(cx.sessions.get() + 1);
    if let Err(error) = run_session(&cx, &mut caller).await {
        spdlog::debug!("session ended: {error:#}");
    }
    cx.sessions.set(cx.sessions.get() - 1);
}

async fn run_session<T: Targets, C: Caller>(cx: &Rc<Cx<T>>, caller: &mut C) -> Result<()> {
    let mut phases = cx.phases();
    let Some(start) =
        unless(&mut phases, Phase::Closing, caller.start()).await.transpose()?.flatten()
    else {
        return Ok(());
    };
    let session = Session::new(start);
    if let Err(error) = check_start(cx, &session) {
        spdlog::info!("session refused", kv: {database = session.database.as_str(), code = error.code.to_string().as_str()});
        return caller.refuse(&error).await;
    }
    caller.accept().await?;
    let mut served = Served { cx: cx.clone(), session, transaction: None };
    let result = served.run(caller, &mut phases).await;
    if let Some(transaction) = &mut served.transaction {
        transaction.end(cx).await;
    }
    result
}

fn check_start<T: Targets>(cx: &Cx<T>, session: &Session) -> Result<(), StatementError> {
    let topology = cx.topology.borrow();
    if topology.config.version == 0 {
        return Err(StatementError::new(ErrorCode::Busy, "no configuration yet"));
    }
    session.access(&topology.config).map(|_| ())
}

/// Result of `work`, or `None` if the host reaches `phase` first.
async fn unless<R>(
    phases: &mut watch::Receiver<Phase>,
    phase: Phase,
    work: impl Future<Output = R>,
) -> Option<R> {
    tokio::select! {
        biased;
        result = work => Some(result),
        _ = phases.wait_for(|current| *current >= phase) => None,
    }
}

/// Session that was accepted.
struct Served<T: Targets> {
    cx: Rc<Cx<T>>,
    session: Session,
    transaction: Option<Transaction<T>>,
}

impl<T: Targets> Served<T> {
    async fn run<C: Caller>(
        &mut self,
        caller: &mut C,
        phases: &mut watch::Receiver<Phase>,
    ) -> Result<()> {
        loop {
            let Some(message) = self.next(caller, phases).await? else { return Ok(()) };
            let CallerMessage::Request(request) = message else { return Ok(()) };
            let arrived = self.cx.now();
            let answer = self.handle(&request).await;
            self.note_answer(&request, &answer, arrived);
            caller.answer(&answer).await?;
        }
    }

    /// Counts an answer, and writes a line for a request that failed, within the budget
    /// of lines.
    fn note_answer(&self, request: &Request, answer: &Answer, arrived: Millis) {
        let cx = &self.cx;
        let now = cx.now();
        let route = cx.topology.borrow().config.routes.get(self.session.database.as_str()).cloned();
        let consistency = route.map(|route| route.consistency);
        cx.metrics.answered(consistency, answer, now.since(arrived));
        let Err(error) = &answer.result else { return };
        let Line::Write { left_out } = cx.lines.borrow_mut().line(now) else { return };
        let topology = cx.topology.borrow();
        let route = topology.config.routes.get(self.session.database.as_str());
        let service = route.map_or("none", |route| route.service.as_str());
        let primary = route.and_then(|route| topology.primary(now, &route.service));
        spdlog::info!("request failed", kv: {
            id = request.id.as_str(),
            database = self.session.database.as_str(),
            service,
            code = error.code.to_string().as_str(),
            reason = error.text.as_str(),
            took_ms = now.since(arrived).0,
            primary = primary.as_ref().map_or("none", |it| it.id.as_str()),
            leased = cx.lease.borrow().is_valid(now),
            config = topology.config.version,
            view_term = topology.revision().term,
            view = topology.revision().number,
            left_out
        });
    }

    /// Next message; `None` if the host closes the session.
    async fn next<C: Caller>(
        &mut self,
        caller: &mut C,
        phases: &mut watch::Receiver<Phase>,
    ) -> Result<Option<CallerMessage>> {
        let Some(transaction) = &mut self.transaction else {
            return unless(phases, Phase::Closing, caller.next()).await.transpose();
        };
        if !transaction.holds_connection() {
            return unless(phases, Phase::Aborting, caller.next()).await.transpose();
        }
        let idle = self.cx.topology.borrow().config.transaction_idle_timeout;
        let next = unless(phases, Phase::Aborting, caller.next());
        match timeout(idle.duration(), next).await {
            Ok(next) => next.transpose(),
            Err(_) => {
                spdlog::info!("transaction ended after a long pause", kv: {began_ms_ago = self.cx.now().since(transaction.began()).0});
                transaction.abandon(&self.cx).await;
                unless(phases, Phase::Aborting, caller.next()).await.transpose()
            }
        }
    }

    async fn handle(&mut self, request: &Request) -> Answer {
        let state = self.transaction.as_ref().map_or(TransactionState::Idle, Transaction::state);
        if let Some(answer) = change_session(&mut self.session, &request.statement, state) {
            return answer;
        }
        match self.transaction.take() {
            Some(transaction) => self.continue_transaction(transaction, request).await,
            None => self.begin_operation(request).await,
        }
    }

    async fn continue_transaction(
        &mut self,
        mut transaction: Transaction<T>,
        request: &Request,
    ) -> Answer {
        match &request.statement {
            Statement::Commit => transaction.commit(&self.cx, &mut self.session, request).await,
            Statement::Rollback => {
                transaction.end(&self.cx).await;
                Answer::local(TransactionState::Idle)
            }
            Statement::Read | Statement::Write | Statement::Execute { .. } => {
                let failed_before = transaction.state() == TransactionState::Failed;
                let answer = match ResolvedRequest::new(&self.session, request) {
                    Some(prepared) => transaction.run(&self.cx, &self.session, prepared).await,
                    None => unknown_statement(transaction.state()),
                };
                if !failed_before && transaction.never_began() {
                    self.refund(transaction.workspace());
                }
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

    /// Handles a statement outside of transactions.
    async fn begin_operation(&mut self, request: &Request) -> Answer {
        let arrived = self.cx.now();
        let idle = TransactionState::Idle;
        if matches!(request.statement, Statement::Commit | Statement::Rollback | Statement::Invalid)
        {
            return Answer::error(ErrorCode::Malformed, "not possible outside a transaction", idle);
        }
        let access = self.session.access(&self.cx.topology.borrow().config);
        let access = match access {
            Ok(access) => access,
            Err(error) => return Answer::error(error.code, error.text, idle),
        };
        if let Some(workspace) = &access.workspace
            && let Err(retry) = self.admit(arrived, workspace)
        {
            let text = format!("rate of the workspace is exceeded; retry after {retry}");
            return Answer::error(ErrorCode::Busy, text, idle);
        }
        if let Statement::Begin { read_only } = request.statement {
            self.transaction = Some(Transaction::new(read_only, access, arrived));
            return Answer::local(TransactionState::Open);
        }
        let Some(prepared) = ResolvedRequest::new(&self.session, request) else {
            return unknown_statement(idle);
        };
        let operation =
            Operation { cx: &self.cx, session: &self.session, access: &access, arrived };
        if !prepared.writes() {
            let answer = operation.read(prepared).await;
            if answer.code() == Some(ErrorCode::Busy) {
                self.refund(access.workspace.as_ref());
            }
            return answer;
        }
        let answer = operation.write(prepared).await;
        if let (Ok(_), Some(position)) = (&answer.result, answer.position) {
            let service = &access.route.service;
            self.session.committed(service, position);
            self.cx.note_commit(service, position);
        }
        if answer.code() == Some(ErrorCode::Busy) {
            self.refund(access.workspace.as_ref());
        }
        answer
    }
}

impl<T: Targets> Served<T> {
    fn refund(&self, workspace: Option<&Workspace>) {
        if let Some(workspace) = workspace {
            self.cx.rate_limiter.borrow_mut().refund(workspace);
        }
    }

    fn admit(&self, now: Millis, workspace: &Workspace) -> Result<(), Millis> {
        let topology = self.cx.topology.borrow();
        let Some(limits) = topology.config.workspaces.get(workspace) else { return Ok(()) };
        let in_contact = self.cx.lease.borrow().is_valid(now);
        let mut rate_limiter = self.cx.rate_limiter.borrow_mut();
        let admitted = rate_limiter.admit(now, workspace, limits, in_contact);
        if rate_limiter.is_urgent() {
            self.cx.report_soon.notify_one();
        }
        admitted
    }
}

fn unknown_statement(state: TransactionState) -> Answer {
    Answer::error(ErrorCode::NoStatement, "no such prepared statement", state)
}
