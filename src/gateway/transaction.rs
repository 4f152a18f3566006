//! Transactions: a connection belongs to one from its first statement to its end.
//!
//! The beginning is answered at once and reaches a target together with the first
//! statement, so that a pause in between holds no connection.

use crate::{
    clock::Millis,
    gateway::{
        cx::Cx,
        job::{JobError, JobKind, Reason},
        operation::{Need, Operation, Placement},
        ports::Targets,
        prepare::ResolvedRequest,
        session::{Authorization, Session},
        statement::{Answer, ErrorCode, LOCAL_SIGNATURE, Request, Statement, TransactionState},
    },
    ids::Workspace,
};

/// Advice to callers whose transaction no target began.
const RETRY_BEGIN: Millis = Millis(300);

/// Attempts to begin at a target before the transaction is refused.
const BEGIN_ATTEMPTS: usize = 4;

/// Open transaction of a caller.
pub struct Transaction<T: Targets> {
    read_only: bool,
    access: Authorization,
    arrived: Millis,
    placed: Option<Placement<T>>,
    wrote: bool,
    failed: bool,
    began_at_target: bool,
}

impl<T: Targets> Transaction<T> {
    /// Transaction that begins at `arrived`.
    pub fn new(read_only: bool, access: Authorization, arrived: Millis) -> Self {
        Self {
            read_only,
            access,
            arrived,
            placed: None,
            wrote: false,
            failed: false,
            began_at_target: false,
        }
    }

    /// Whether the transaction holds a connection.
    pub fn holds_connection(&self) -> bool {
        self.placed.is_some()
    }

    /// State for answers that the gateway gives itself.
    pub fn state(&self) -> TransactionState {
        if self.failed { TransactionState::Failed } else { TransactionState::Open }
    }

    /// Runs a read or a write.
    pub async fn run(
        &mut self,
        cx: &Cx<T>,
        session: &Session,
        prepared: ResolvedRequest<'_>,
    ) -> Answer {
        if self.failed {
            let text = "the transaction has failed";
            return Answer::error(ErrorCode::Malformed, text, TransactionState::Failed);
        }
        let arrived = cx.now();
        if let Err(answer) = self.begin(cx, session, arrived).await {
            self.failed = true;
            return Answer { state: TransactionState::Failed, ..answer };
        }
        self.wrote |= prepared.writes();
        let operation = Operation { cx, session, access: &self.access, arrived };
        let deadline = arrived + self.access.route.statement_timeout;
        let Some(placed) = &mut self.placed else { return operation.lost() };
        let (request, shape) = (prepared.request.clone(), prepared.shape.cloned());
        let work = JobKind::Statement { request, shape, after: None, in_transaction: true };
        let job = operation.job(&placed.client.target.id, work, deadline);
        match operation.run(&mut placed.client, &job).await {
            Ok(answer) => {
                self.failed = answer.state != TransactionState::Open;
                self.failed_answer(answer)
            }
            Err(_) => {
                // No commit was sent, so the target rolls back when the connection ends.
                self.end(cx).await;
                self.failed = true;
                let text = "connection to the target was lost; nothing is kept";
                Answer::error(ErrorCode::Aborted, text, TransactionState::Failed)
            }
        }
    }

    fn failed_answer(&self, answer: Answer) -> Answer {
        if self.failed { Answer { state: TransactionState::Failed, ..answer } } else { answer }
    }

    /// Begins at a target unless that was done.
    async fn begin(
        &mut self,
        cx: &Cx<T>,
        session: &Session,
        arrived: Millis,
    ) -> Result<(), Answer> {
        if self.placed.is_some() {
            return Ok(());
        }
        let operation = Operation { cx, session, access: &self.access, arrived };
        let need = if self.read_only { Need::Readable } else { Need::Writable };
        let mut tried = Vec::new();
        let mut last = JobError::Unreachable;
        for _ in 0..BEGIN_ATTEMPTS {
            let mut placed = match operation.place(need, true, &mut tried).await {
                Ok(placed) => placed,
                Err(obstacle) => return Err(operation.refusal(&obstacle)),
            };
            let target = placed.client.target.clone();
            let work = JobKind::Begin { read_only: self.read_only, after: placed.after };
            let deadline = arrived + self.access.route.statement_timeout;
            let job = operation.job(&target.id, work, deadline);
            match operation.run(&mut placed.client, &job).await {
                Ok(answer) if answer.result.is_ok() => {
                    self.placed = Some(placed);
                    self.began_at_target = true;
                    return Ok(());
                }
                Ok(answer) => {
                    if answer.code() == Some(ErrorCode::ReadOnly) {
                        let now = cx.now();
                        cx.topology.borrow_mut().disprove(now, &target.service, &target.id);
                    }
                }
                // Nothing of a transaction without a commit is kept.
                Err(obstacle) => last = obstacle,
            }
            placed.client.end(cx).await;
            tried.push(target.id.clone());
        }
        let not_run = JobError::Rejected(RETRY_BEGIN, Reason::NoTarget);
        Err(operation.refusal(if matches!(last, JobError::Rejected(..)) {
            &last
        } else {
            &not_run
        }))
    }

    /// Commits; the transaction is over in any case.
    pub async fn commit(mut self, cx: &Cx<T>, session: &mut Session, request: &Request) -> Answer {
        if self.failed {
            self.end(cx).await;
            let text = "the transaction was rolled back";
            return Answer::error(ErrorCode::Aborted, text, TransactionState::Idle);
        }
        let arrived = cx.now();
        if let Err(answer) = self.begin(cx, session, arrived).await {
            return Answer { state: TransactionState::Idle, ..answer };
        }
        let Some(mut placed) = self.placed.take() else {
            return Answer::error(ErrorCode::Aborted, "no connection", TransactionState::Idle);
        };
        let operation = Operation { cx, session, access: &self.access, arrived };
        let deadline = arrived + self.access.route.statement_timeout;
        let request = request.clone();
        let work = JobKind::Statement { request, shape: None, after: None, in_transaction: true };
        let job = operation.job(&placed.client.target.id, work, deadline);
        let result = operation.run(&mut placed.client, &job).await;
        let answer = result.unwrap_or_else(|_| operation.lost());
        placed.client.end(cx).await;
        if let (Ok(_), Some(position), true) = (&answer.result, answer.position, self.wrote) {
            let service = &self.access.route.service;
            cx.freshness.borrow_mut().observe(service, arrived, position);
            session.committed(service, position);
            cx.note_commit(service, position);
        }
        Answer { state: TransactionState::Idle, ..answer }
    }

    /// Rolls back and gives the connection back.
    pub async fn end(&mut self, cx: &Cx<T>) {
        if let Some(placed) = self.placed.take() {
            placed.client.end(cx).await;
        }
    }

    /// Ends the transaction because it rested for too long or the host stops.
    pub async fn abandon(&mut self, cx: &Cx<T>) {
        self.end(cx).await;
        self.failed = true;
    }

    /// Whether no target has begun the transaction and none will.
    pub fn never_began(&self) -> bool {
        self.failed && !self.began_at_target
    }

    /// Workspace of the transaction.
    pub fn workspace(&self) -> Option<&Workspace> {
        self.access.workspace.as_ref()
    }

    /// Time at which the transaction began.
    pub fn began(&self) -> Millis {
        self.arrived
    }
}

/// Answer to a statement that only changes the session itself.
pub fn change_session(
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
