//! Transactions and settings of one connection.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::Notify, time::Instant};

use super::{
    error::SqlError,
    execute::{Answer, Call, Step, execute},
    instance::Instance,
    plan::{Operand, Plan},
    transaction::Transaction,
    value::{Kind, Value},
};
use crate::ids::Mark;

/// Longest wait for a row lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest span that the runtime's timer can wait with little error.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Running statements by process id and secret of their connection.
#[derive(Debug, Default)]
pub struct Cancellations {
    connections: Mutex<BTreeMap<(i32, i32), Arc<Notify>>>,
}

impl Cancellations {
    /// Adds a connection; its statement stops when the result is notified.
    pub fn register(&self, pid: i32, secret: i32) -> Arc<Notify> {
        let cancel = Arc::new(Notify::new());
        self.connections.lock().insert((pid, secret), cancel.clone());
        cancel
    }

    /// Removes a connection.
    pub fn remove(&self, pid: i32, secret: i32) {
        self.connections.lock().remove(&(pid, secret));
    }

    /// Cancels the running statement of a connection.
    pub fn cancel(&self, pid: i32, secret: i32) {
        if let Some(cancel) = self.connections.lock().get(&(pid, secret)) {
            cancel.notify_waiters();
        }
    }
}

/// Transaction block of a connection.
#[derive(Debug)]
enum Block {
    Idle,
    /// `implicit` blocks come from several statements in one simple query.
    Open {
        transaction: Transaction,
        implicit: bool,
    },
    Failed,
}

/// What ReadyForQuery reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    Idle,
    Open,
    Failed,
}

/// State of one connection.
#[derive(Debug)]
pub struct Session {
    instance: Arc<Instance>,
    workspace: Arc<str>,
    block: Block,
    /// Mark of the last commit, or of the data that a later read saw.
    seen: Option<Mark>,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.roll_back();
    }
}

impl Session {
    /// Session outside a transaction in the shared workspace.
    pub fn new(instance: Arc<Instance>) -> Self {
        Self { instance, workspace: "".into(), block: Block::Idle, seen: None }
    }

    /// Sets the workspace whose rows statements see.
    pub fn set_workspace(&mut self, workspace: &str) {
        self.workspace = workspace.into();
    }

    /// Transaction status.
    pub fn status(&self) -> Status {
        match self.block {
            Block::Idle | Block::Open { implicit: true, .. } => Status::Idle,
            Block::Open { implicit: false, .. } => Status::Open,
            Block::Failed => Status::Failed,
        }
    }

    /// Opens a block for several statements unless one is open.
    pub fn begin_implicit(&mut self) {
        if matches!(self.block, Block::Idle) {
            let transaction = self.instance.transaction();
            self.block = Block::Open { transaction, implicit: true };
        }
    }

    /// Commits a block that [`Self::begin_implicit`] opened.
    pub fn end_implicit(&mut self) -> Result<(), SqlError> {
        if !matches!(self.block, Block::Open { implicit: true, .. }) {
            return Ok(());
        }
        match std::mem::replace(&mut self.block, Block::Idle) {
            Block::Open { transaction, .. } => self.commit(transaction),
            _ => Ok(()),
        }
    }

    /// Notes an error: an explicit transaction fails, an implicit one ends.
    pub fn fail(&mut self) {
        let explicit = match self.block {
            Block::Idle => return,
            Block::Open { implicit, .. } => !implicit,
            Block::Failed => true,
        };
        self.roll_back();
        if explicit {
            self.block = Block::Failed;
        }
    }

    /// Runs a statement.
    pub async fn run(&mut self, plan: &Plan, parameters: &[Value]) -> Result<Answer, SqlError> {
        if matches!(self.block, Block::Failed) && !matches!(plan, Plan::Commit | Plan::Rollback) {
            return Err(SqlError::failed_transaction());
        }
        match plan {
            Plan::Begin => self.begin(),
            Plan::Commit => self.end(),
            Plan::Rollback => {
                self.roll_back();
                Ok(Answer::Tag("ROLLBACK".to_owned()))
            }
            Plan::SetWorkspace(name) => self.set(name, parameters),
            Plan::SetOther => Ok(Answer::Tag("SET".to_owned())),
            Plan::Constants(operands) => {
                let row = operands.iter().map(|operand| operand.value(parameters).clone());
                Ok(Answer::Rows(vec![row.collect()]))
            }
            Plan::Position => Ok(self.position()),
            Plan::WaitCommit { timeout_ms } => {
                let Value::Int(timeout) = timeout_ms.value(parameters).clone().coerce(Kind::Int)?
                else {
                    return Err(SqlError::new("22004", "the timeout must not be null"));
                };
                Ok(self.wait_commit(Duration::from_millis(timeout.max(0).unsigned_abs())).await)
            }
            _ => self.execute(plan, parameters).await,
        }
    }

    fn begin(&mut self) -> Result<Answer, SqlError> {
        match &mut self.block {
            // PostgreSQL answers a nested BEGIN with a warning only.
            Block::Open { implicit, .. } => *implicit = false,
            _ => {
                let transaction = self.instance.transaction();
                self.block = Block::Open { transaction, implicit: false };
            }
        }
        Ok(Answer::Tag("BEGIN".to_owned()))
    }

    fn end(&mut self) -> Result<Answer, SqlError> {
        match std::mem::replace(&mut self.block, Block::Idle) {
            Block::Idle => Ok(Answer::Tag("COMMIT".to_owned())),
            Block::Failed => Ok(Answer::Tag("ROLLBACK".to_owned())),
            Block::Open { transaction, .. } => {
                self.commit(transaction)?;
                Ok(Answer::Tag("COMMIT".to_owned()))
            }
        }
    }

    fn set(&mut self, name: &Operand, parameters: &[Value]) -> Result<Answer, SqlError> {
        let value = name.value(parameters).clone().coerce(Kind::Text)?;
        self.set_workspace(value.as_text().map_or("", |text| text));
        Ok(Answer::Tag("SET".to_owned()))
    }

    fn position(&self) -> Answer {
        let now = self.instance.now();
        let row = self.instance.with(|state| {
            state.apply_due(now);
            let applied = state.applied();
            vec![
                Value::Int(applied.term.0 as i64),
                Value::Int(applied.position.0 as i64),
                Value::Int(state.age(now).0 as i64),
                Value::Bool(state.is_primary()),
            ]
        });
        Answer::Rows(vec![row])
    }

    /// Waits until a majority holds what this connection wrote and saw.
    async fn wait_commit(&self, timeout: Duration) -> Answer {
        let mark = self.seen.unwrap_or_else(|| self.instance.with(|state| state.applied()));
        let held = tokio::time::timeout(timeout, self.majority_holds(mark)).await;
        Answer::Rows(vec![vec![
            Value::Int(mark.term.0 as i64),
            Value::Int(mark.position.0 as i64),
            Value::Bool(held.unwrap_or(false)),
        ]])
    }

    async fn majority_holds(&self, mark: Mark) -> bool {
        loop {
            let acknowledged = self.instance.acknowledged.notified();
            let mut acknowledged = std::pin::pin!(acknowledged);
            acknowledged.as_mut().enable();
            match self.instance.with(|state| state.majority_holds(mark)) {
                None => return false,
                Some(true) => return true,
                Some(false) => acknowledged.await,
            }
        }
    }

    /// Runs a data statement, in its own transaction outside a block.
    async fn execute(&mut self, plan: &Plan, parameters: &[Value]) -> Result<Answer, SqlError> {
        let instance = self.instance.clone();
        let call = Call { plan, parameters, workspace: &self.workspace };
        if let Block::Open { transaction, .. } = &mut self.block {
            return run_in(&instance, transaction, call).await;
        }
        let mut guard = Autocommit { instance: &instance, transaction: instance.transaction() };
        let answer = run_in(&instance, &mut guard.transaction, call).await?;
        let transaction = guard.take();
        self.commit(transaction)?;
        Ok(answer)
    }

    fn commit(&mut self, transaction: Transaction) -> Result<(), SqlError> {
        let wrote = transaction.has_writes();
        let locked = !transaction.locked().is_empty();
        let result = self.instance.with(|state| state.commit(transaction));
        if locked {
            self.instance.locks_released.notify_waiters();
        }
        if wrote {
            self.instance.log_grew.notify_waiters();
            // A group of one instance has its majority at once.
            self.instance.acknowledged.notify_waiters();
        }
        self.seen = Some(result?);
        Ok(())
    }

    fn roll_back(&mut self) {
        if let Block::Open { transaction, .. } = std::mem::replace(&mut self.block, Block::Idle) {
            release(&self.instance, &transaction);
        }
    }
}

/// Transaction of one statement; its locks are released if the statement is dropped.
struct Autocommit<'a> {
    instance: &'a Instance,
    transaction: Transaction,
}

impl Autocommit<'_> {
    /// Transaction, for the commit.
    fn take(&mut self) -> Transaction {
        std::mem::replace(&mut self.transaction, Transaction::new(0))
    }
}

impl Drop for Autocommit<'_> {
    fn drop(&mut self) {
        release(self.instance, &self.transaction);
    }
}

fn release(instance: &Instance, transaction: &Transaction) {
    if !transaction.locked().is_empty() {
        instance.with(|state| state.release(transaction));
        instance.locks_released.notify_waiters();
    }
}

/// Runs a statement in a slot; waits for row locks without a slot, because their
/// holder may need one.
async fn run_in(
    instance: &Instance,
    transaction: &mut Transaction,
    call: Call<'_>,
) -> Result<Answer, SqlError> {
    let mut deadline = None;
    loop {
        let released = instance.locks_released.notified();
        let mut released = std::pin::pin!(released);
        {
            let closed = |_| SqlError::new("57P01", "the instance is stopping");
            let _slot = instance.slots.acquire().await.map_err(closed)?;
            if deadline.is_none() {
                hold(Duration::from_micros(instance.settings.service_time_us)).await;
            }
            released.as_mut().enable();
            let now = instance.now();
            let step = instance.with(|state| {
                state.apply_due(now);
                execute(state, transaction, call)
            })?;
            if let Step::Done(answer) = step {
                return Ok(answer);
            }
        }
        let end = *deadline.get_or_insert_with(|| Instant::now() + LOCK_TIMEOUT);
        if tokio::time::timeout_at(end, released).await.is_err() {
            return Err(SqlError::lock_timeout());
        }
    }
}

/// Occupies the slot for `span`.
async fn hold(span: Duration) {
    if span >= TIMER_RESOLUTION {
        tokio::time::sleep(span).await;
    } else if !span.is_zero() {
        let end = Instant::now() + span;
        while Instant::now() < end {
            tokio::task::yield_now().await;
        }
    }
}
