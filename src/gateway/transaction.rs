//! Transactions: a connection belongs to one from its first statement to its end.
//!
//! The beginning is answered at once and reaches a target together with the first
//! statement, so that a pause in between holds no connection.

use crate::{
    clock::Millis,
    gateway::{
        cx::Cx,
        operation::{Need, Obstacle, Operation, Placed, exchange},
        ports::{TargetRequest, Targets},
        prepare::Prepared,
        session::{Access, Session},
        statement::{Answer, ErrorCode, OWN_SIGNATURE, Request, Statement, TransactionState},
    },
};

/// Time for a target to roll back before the connection is closed instead.
const ROLLBACK_TIMEOUT: Millis = Millis(300);

/// Attempts to begin at a target before the transaction is refused.
const BEGIN_ATTEMPTS: usize = 4;

/// Open transaction of a caller.
pub struct Transaction<T: Targets> {
    read_only: bool,
    access: Access,
    arrived: Millis,
    placed: Option<Placed<T::Connection>>,
    wrote: bool,
    failed: bool,
}

impl<T: Targets> Transaction<T> {
    /// Transaction that begins at `arrived`.
    pub fn new(read_only: bool, access: Access, arrived: Millis) -> Self {
        Self { read_only, access, arrived, placed: None, wrote: false, failed: false }
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
    pub async fn run(&mut self, cx: &Cx<T>, session: &Session, prepared: Prepared<'_>) -> Answer {
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
        placed.checkout.rest(false);
        match operation.forward(&mut placed.checkout, prepared, None, deadline).await {
            Ok(answer) => {
                placed.checkout.rest(true);
                self.failed = answer.state != TransactionState::Open;
                if self.failed && answer.state == TransactionState::Idle {
                    self.placed = None;
                }
                self.failed_answer(answer)
            }
            Err(_) => {
                // No commit was sent, so the target rolls back when the connection ends.
                self.placed = None;
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
        let mut last = Obstacle::Elsewhere;
        for _ in 0..BEGIN_ATTEMPTS {
            let mut placed = match operation.place(need, &mut tried).await {
                Ok(placed) => placed,
                Err(obstacle) => return Err(operation.refusal(&obstacle)),
            };
            let request = TargetRequest::Begin { read_only: self.read_only, after: placed.after };
            let mut requests = Vec::new();
            if let Some(pooled) = placed.checkout.pooled() {
                pooled.state.set_values(session, &mut requests);
            }
            requests.push(request);
            let deadline = arrived + self.access.route.statement_timeout;
            let target = placed.checkout.target.clone();
            match operation.exchange(&mut placed.checkout, &requests, deadline).await {
                Ok(answers) if answers.iter().all(|answer| answer.result.is_ok()) => {
                    self.placed = Some(placed);
                    return Ok(());
                }
                Ok(answers) => {
                    let code = answers.iter().find_map(Answer::code);
                    if code == Some(ErrorCode::ReadOnly) {
                        let now = cx.now();
                        cx.knowledge.borrow_mut().disprove(now, &target.service, &target.id);
                    }
                    // A refused beginning leaves the connection as it was.
                    let usable =
                        answers.last().is_some_and(|it| it.state == TransactionState::Idle);
                    if usable && answers.len() == 1 {
                        placed.checkout.release(cx.now());
                    }
                }
                // Nothing of a transaction without a commit is kept.
                Err(obstacle) => last = obstacle,
            }
            tried.push(target.id.clone());
        }
        let not_run = Obstacle::NotRun(ROLLBACK_TIMEOUT, "no target begins a transaction");
        Err(operation.refusal(if matches!(last, Obstacle::NotRun(..)) { &last } else { &not_run }))
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
        placed.checkout.rest(false);
        let deadline = arrived + self.access.route.statement_timeout;
        let forward = TargetRequest::Forward { request, after: None };
        let result = exchange(cx, &mut placed.checkout, &[forward], deadline).await;
        let answer = result.ok().and_then(|mut answers| answers.pop());
        let Some(answer) = answer else {
            let operation = Operation { cx, session, access: &self.access, arrived };
            return operation.lost();
        };
        if answer.state == TransactionState::Idle {
            placed.checkout.release(cx.now());
        }
        if let (Ok(_), Some(position), true) = (&answer.result, answer.position, self.wrote) {
            let service = &self.access.route.service;
            cx.freshness.borrow_mut().observe(service, arrived, position);
            session.committed(service, position);
            cx.note_commit(service, position);
        }
        Answer { state: TransactionState::Idle, ..answer }
    }

    /// Rolls back and returns the connection.
    pub async fn end(&mut self, cx: &Cx<T>) {
        let Some(mut placed) = self.placed.take() else { return };
        let deadline = cx.now() + ROLLBACK_TIMEOUT;
        let result = exchange(cx, &mut placed.checkout, &[TargetRequest::Rollback], deadline).await;
        let is_idle = |answers: &Vec<Answer>| {
            answers.iter().all(|it| it.result.is_ok() && it.state == TransactionState::Idle)
        };
        if result.is_ok_and(|answers| is_idle(&answers)) {
            placed.checkout.release(cx.now());
        }
    }

    /// Ends the transaction because it rested for too long or the host stops.
    pub async fn abandon(&mut self, cx: &Cx<T>) {
        self.end(cx).await;
        self.failed = true;
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
            session.values.insert(name.clone(), value.clone());
        }
        Statement::Prepare { name, shape } => {
            session.prepared.insert(name.clone(), shape.clone());
        }
        Statement::Deallocate { name } => {
            if session.prepared.shift_remove(name).is_none() {
                let text = "no such prepared statement";
                return Some(Answer::error(ErrorCode::NoStatement, text, state));
            }
        }
        _ => return None,
    }
    let result = Ok(OWN_SIGNATURE.to_owned());
    Some(Answer { rows: Vec::new(), result, state, position: None })
}
