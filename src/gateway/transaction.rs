//! Transactions of a session. A transaction holds a connection from its first statement
//! to its end.
//!
//! BEGIN is answered at once and reaches a target only with the first statement, so that
//! no connection is held until then.

use crate::{
    clock::Millis,
    fleet::config::FleetConfig,
    gateway::{
        cx::Cx,
        job::{Execution, Job, JobError, JobKind, RejectReason},
        operation::{AccessMode, Operation, SelectedTarget},
        ports::Targets,
        prepare::ResolvedRequest,
        rate_admission::Admission,
        retry_budget::is_costly,
        session::{Authorization, Session},
        statement::{Answer, ErrorCode, LOCAL_SIGNATURE, Request, Statement, TransactionState},
        target_use::Refusal,
    },
};

/// Retry delay reported to callers when no target began the transaction.
const RETRY_AFTER_BEGIN: Millis = Millis(300);

/// Attempts to begin at a target before the transaction fails.
const MAX_BEGIN_ATTEMPTS: usize = 4;

/// Interval between checks whether the target of an idle transaction is still in use.
const TARGET_CHECK_INTERVAL: Millis = Millis(250);

/// Open transaction of a caller.
pub struct Transaction<T: Targets> {
    read_only: bool,
    auth: Authorization,
    arrived: Millis,
    selected: Option<SelectedTarget<T>>,
    wrote: bool,
    failed: bool,
    /// Why the host has rolled back, until the caller is told.
    refusal: Option<Refusal>,
    /// Token of the workspace, until a target begins the transaction.
    admission: Option<Admission<T>>,
}

impl<T: Targets> Transaction<T> {
    pub fn new(
        read_only: bool,
        auth: Authorization,
        arrived: Millis,
        admission: Option<Admission<T>>,
    ) -> Self {
        Self {
            read_only,
            auth,
            arrived,
            selected: None,
            wrote: false,
            failed: false,
            refusal: None,
            admission,
        }
    }

    pub fn holds_connection(&self) -> bool {
        self.selected.is_some()
    }

    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Whether the transaction began without a key.
    pub fn is_anonymous(&self) -> bool {
        self.auth.workspace.is_none()
    }

    /// Whether the session's key still stands for the workspace in whose name the transaction
    /// began.
    pub fn is_authorized(&self, session: &Session, config: &FleetConfig) -> bool {
        session.workspace(config) == self.auth.workspace.as_ref()
    }

    /// State to report in answers that the gateway gives without a target.
    pub fn state(&self) -> TransactionState {
        if self.failed { TransactionState::Failed } else { TransactionState::Open }
    }

    /// Runs a read or a write.
    pub async fn run(
        &mut self,
        cx: &Cx<T>,
        session: &Session,
        resolved: ResolvedRequest<'_>,
    ) -> Answer {
        if let Some(refusal) = self.refusal.take() {
            let text = refusal.transaction_text();
            return Answer::error(ErrorCode::Aborted, text, TransactionState::Failed);
        }
        if self.failed {
            let text = "the transaction has failed";
            return Answer::error(ErrorCode::Malformed, text, TransactionState::Failed);
        }
        let arrived = cx.now();
        let (request, prepared) = (resolved.request.clone(), resolved.prepared.cloned());
        let kind = JobKind::Statement { request, prepared, after: None, in_transaction: true };
        let first = match self.begin(cx, session, arrived, Some(&kind)).await {
            Ok(first) => first,
            Err(answer) => {
                self.failed = true;
                self.refund();
                return Answer { state: TransactionState::Failed, ..answer };
            }
        };
        self.wrote |= resolved.writes();
        let operation = Operation { cx, session, auth: &self.auth, arrived };
        let deadline = arrived + self.auth.route.statement_timeout;
        let Some(selected) = &mut self.selected else { return operation.unanswered() };
        let result = match first {
            Some(result) => result,
            None => {
                let job = operation.job(&selected.client.target.id, kind, deadline);
                operation.run(&mut selected.client, &job).await
            }
        };
        match result {
            Ok(answer) => {
                self.failed = answer.state != TransactionState::Open;
                self.with_failed_state(answer)
            }
            Err(error) => {
                // COMMIT was not sent, so the target rolls back when the connection closes.
                self.roll_back(cx).await;
                self.failed = true;
                Answer::error(ErrorCode::Aborted, rollback_text(error), TransactionState::Failed)
            }
        }
    }

    fn with_failed_state(&self, answer: Answer) -> Answer {
        if self.failed { Answer { state: TransactionState::Failed, ..answer } } else { answer }
    }

    /// Begins the transaction at a target unless it has begun. The begin carries the statement
    /// `first`; returns its result, or `None` if it is still to be run.
    async fn begin(
        &mut self,
        cx: &Cx<T>,
        session: &Session,
        arrived: Millis,
        first: Option<&JobKind>,
    ) -> Result<Option<Result<Answer, JobError>>, Answer> {
        if self.selected.is_some() {
            return Ok(None);
        }
        let operation = Operation { cx, session, auth: &self.auth, arrived };
        let mode = if self.read_only { AccessMode::Read } else { AccessMode::Write };
        let mut tried = Vec::new();
        let mut last = JobError::Unreachable;
        cx.retry_budgets.borrow_mut().record_first_attempt(&self.auth.route.service);
        for _ in 0..MAX_BEGIN_ATTEMPTS {
            let mut selected = match operation.select_target(mode, true, &mut tried).await {
                Ok(selected) => selected,
                Err(error) => return Err(operation.error_answer(&error)),
            };
            let target = selected.client.target.clone();
            let kind = JobKind::Begin { read_only: self.read_only, after: selected.after };
            let deadline = arrived + self.auth.route.statement_timeout;
            let then = first.cloned().map(Box::new);
            let job = Job { then, ..operation.job(&target.id, kind, deadline) };
            let is_probe = operation.is_probe(&target.id);
            let Execution { result, then } =
                operation.run_with_next(&mut selected.client, &job).await;
            let takes_token = !is_probe && is_costly(&result);
            match result {
                Ok(answer) if answer.result.is_ok() => {
                    self.selected = Some(selected);
                    self.admission = None;
                    return Ok(then);
                }
                Ok(answer) => {
                    if answer.code() == Some(ErrorCode::ReadOnly) {
                        let now = cx.now();
                        cx.topology.borrow_mut().mark_not_primary(now, &target.service, &target.id);
                    }
                }
                // Without a COMMIT nothing is kept, so another attempt is safe.
                Err(error) => last = error,
            }
            selected.client.close(cx).await;
            // The primary's queue would refuse the next attempt for the same reason.
            let is_refused = matches!(last, JobError::Rejected(_, RejectReason::Queue));
            if is_refused && mode == AccessMode::Write || takes_token && !operation.may_retry() {
                break;
            }
            tried.push(target.id.clone());
        }
        let rejected = JobError::Rejected(RETRY_AFTER_BEGIN, RejectReason::NoTarget);
        Err(operation.error_answer(if matches!(last, JobError::Rejected(..)) {
            &last
        } else {
            &rejected
        }))
    }

    /// Commits the transaction, which is over whatever the result.
    pub async fn commit(mut self, cx: &Cx<T>, session: &mut Session, request: &Request) -> Answer {
        if self.failed {
            self.roll_back(cx).await;
            let refused = self.refusal.map(Refusal::transaction_text);
            let text = refused.unwrap_or("the transaction was rolled back");
            return Answer::error(ErrorCode::Aborted, text, TransactionState::Idle);
        }
        let arrived = cx.now();
        if let Err(answer) = self.begin(cx, session, arrived, None).await {
            return Answer { state: TransactionState::Idle, ..answer };
        }
        let Some(mut selected) = self.selected.take() else {
            return Answer::error(ErrorCode::Aborted, "no connection", TransactionState::Idle);
        };
        let operation = Operation { cx, session, auth: &self.auth, arrived };
        let target = selected.client.target.id.clone();
        if self.wrote && !operation.may_commit(&target).await {
            // COMMIT was not sent, so the target rolls back.
            selected.client.close(cx).await;
            let text = "an earlier commit is not confirmed yet; nothing is kept";
            return Answer::error(ErrorCode::Aborted, text, TransactionState::Idle);
        }
        let deadline = arrived + self.auth.route.statement_timeout;
        let request = request.clone();
        let kind =
            JobKind::Statement { request, prepared: None, after: None, in_transaction: true };
        let job = operation.job(&selected.client.target.id, kind, deadline);
        let result = operation.run(&mut selected.client, &job).await;
        let answer = match result {
            Ok(answer) => answer,
            // COMMIT was not sent.
            Err(error @ (JobError::Rejected(..) | JobError::Unreachable)) => {
                Answer::error(ErrorCode::Aborted, rollback_text(error), TransactionState::Idle)
            }
            Err(JobError::Lost) => operation.unanswered(),
        };
        selected.client.close(cx).await;
        if self.wrote
            && answer.result.is_ok()
            && !operation.confirm_commit(&target, answer.position).await
        {
            return operation.unconfirmed();
        }
        if let (Ok(_), Some(position), true) = (&answer.result, answer.position, self.wrote) {
            let service = &self.auth.route.service;
            cx.freshness.borrow_mut().observe(service, arrived, position);
            session.record_commit(service, position);
            cx.record_commit(service, position);
        }
        Answer { state: TransactionState::Idle, ..answer }
    }

    /// Rolls back and returns the connection.
    pub async fn roll_back(&mut self, cx: &Cx<T>) {
        if let Some(selected) = self.selected.take() {
            selected.client.close(cx).await;
        }
    }

    /// Rolls back a transaction that must not go on, and marks it as failed.
    pub async fn abandon(&mut self, cx: &Cx<T>) {
        self.roll_back(cx).await;
        self.failed = true;
        self.refund();
    }

    /// Waits until the transaction must be rolled back while its caller sends nothing: its target
    /// gets no more statements, or `idle_timeout` has passed (`None`).
    pub async fn end_of_idleness(&self, cx: &Cx<T>, idle_timeout: Millis) -> Option<Refusal> {
        let idle_since = cx.now();
        loop {
            if let Some(refusal) = self.target_refusal(cx) {
                return Some(refusal);
            }
            let left = idle_timeout.since(cx.now().since(idle_since));
            tokio::time::sleep(left.min(TARGET_CHECK_INTERVAL).duration()).await;
            if cx.now().since(idle_since) >= idle_timeout {
                return None;
            }
        }
    }

    /// Rolls back the transaction if its target gets no more statements.
    pub async fn end_if_refused(&mut self, cx: &Cx<T>) {
        if let Some(refusal) = self.target_refusal(cx) {
            self.end(cx, refusal).await;
        }
    }

    /// Rolls back the transaction; the next statement's answer says why.
    pub async fn end(&mut self, cx: &Cx<T>, refusal: Refusal) {
        if let Some(selected) = &self.selected {
            cx.record_refusal(&selected.client.target, refusal);
        }
        self.abandon(cx).await;
        self.refusal = Some(refusal);
    }

    fn target_refusal(&self, cx: &Cx<T>) -> Option<Refusal> {
        let selected = self.selected.as_ref()?;
        cx.refusal(&selected.client.target)
    }

    /// Gives the workspace's token back if no target has begun the transaction.
    fn refund(&mut self) {
        if let Some(admission) = self.admission.take() {
            admission.refund();
        }
    }

    /// Time at which the caller began the transaction.
    pub fn began(&self) -> Millis {
        self.arrived
    }
}

/// Error message for a transaction that is rolled back because a job failed.
fn rollback_text(error: JobError) -> String {
    let cause = match error {
        JobError::Rejected(_, reason) => reason.text(),
        JobError::Unreachable | JobError::Lost => "connection to the target was lost",
    };
    format!("{cause}; nothing is kept")
}

/// Applies a statement that changes only the session; `None` for any other statement.
pub fn apply_session_statement(
    session: &mut Session,
    statement: &Statement,
    state: TransactionState,
) -> Option<Answer> {
    match statement {
        Statement::Set { name, value } => {
            session.variables.insert(name.clone(), value.clone());
        }
        Statement::Prepare { name, statement } => {
            session.prepared.insert(name.clone(), statement.clone());
        }
        Statement::Deallocate { name } => {
            if session.prepared.shift_remove(name).is_none() {
                let text = "no such prepared statement";
                return Some(Answer::error(ErrorCode::NoStatement, text, state));
            }
        }
        _ => return None,
    }
    let result = Ok(LOCAL_SIGNATURE.to_owned());
    Some(Answer { rows: Vec::new(), result, state, position: None })
}
