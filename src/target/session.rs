//! Session of one connection: transaction state, workspace and statement execution.

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

/// Shortest wait for which the runtime's timer is accurate; shorter waits poll the clock.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Cancellation signals by process id and secret of the connection.
#[derive(Debug, Default)]
pub struct Cancellations {
    connections: Mutex<BTreeMap<(i32, i32), Arc<Notify>>>,
}

impl Cancellations {
    /// Registers a connection; notifying the returned signal cancels its running statement.
    pub fn register(&self, pid: i32, secret: i32) -> Arc<Notify> {
        let cancel = Arc::new(Notify::new());
        self.connections.lock().insert((pid, secret), cancel.clone());
        cancel
    }

    /// Unregisters a connection.
    pub fn remove(&self, pid: i32, secret: i32) {
        self.connections.lock().remove(&(pid, secret));
    }

    /// Cancels the running statement of a connection; unknown keys are ignored.
    pub fn cancel(&self, pid: i32, secret: i32) {
        if let Some(cancel) = self.connections.lock().get(&(pid, secret)) {
            cancel.notify_waiters();
        }
    }
}

/// Transaction block of a session.
#[derive(Debug)]
enum TransactionBlock {
    Idle,
    /// `implicit` blocks wrap the statements of a simple query that has several.
    Open {
        transaction: Transaction,
        implicit: bool,
    },
    Failed,
}

/// Transaction status reported in ReadyForQuery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    Idle,
    Open,
    Failed,
}

/// Session state of one connection.
#[derive(Debug)]
pub struct Session {
    instance: Arc<Instance>,
    workspace: Arc<str>,
    block: TransactionBlock,
    /// Mark of the last commit, or of the data seen by a later read.
    last_mark: Option<Mark>,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.roll_back();
    }
}

impl Session {
    /// Idle session in the shared workspace, whose name is empty.
    pub fn new(instance: Arc<Instance>) -> Self {
        Self { instance, workspace: "".into(), block: TransactionBlock::Idle, last_mark: None }
    }

    /// Sets the workspace whose rows later statements access.
    pub fn set_workspace(&mut self, workspace: &str) {
        self.workspace = workspace.into();
    }

    /// An implicit block counts as idle.
    pub fn status(&self) -> Status {
        match self.block {
            TransactionBlock::Idle | TransactionBlock::Open { implicit: true, .. } => Status::Idle,
            TransactionBlock::Open { implicit: false, .. } => Status::Open,
            TransactionBlock::Failed => Status::Failed,
        }
    }

    /// Opens an implicit block if the session is idle.
    pub fn begin_implicit(&mut self) {
        if matches!(self.block, TransactionBlock::Idle) {
            let transaction = self.instance.transaction();
            self.block = TransactionBlock::Open { transaction, implicit: true };
        }
    }

    /// Commits the block opened by [`Self::begin_implicit`], if it is still open.
    pub fn end_implicit(&mut self) -> Result<(), SqlError> {
        if !matches!(self.block, TransactionBlock::Open { implicit: true, .. }) {
            return Ok(());
        }
        match std::mem::replace(&mut self.block, TransactionBlock::Idle) {
            TransactionBlock::Open { transaction, .. } => self.commit(transaction),
            _ => Ok(()),
        }
    }

    /// Rolls back after an error; an explicit block then stays failed until it is ended.
    pub fn fail(&mut self) {
        let explicit = match self.block {
            TransactionBlock::Idle => return,
            TransactionBlock::Open { implicit, .. } => !implicit,
            TransactionBlock::Failed => true,
        };
        self.roll_back();
        if explicit {
            self.block = TransactionBlock::Failed;
        }
    }

    /// Runs one planned statement.
    pub async fn run(&mut self, plan: &Plan, parameters: &[Value]) -> Result<Answer, SqlError> {
        if matches!(self.block, TransactionBlock::Failed)
            && !matches!(plan, Plan::Commit | Plan::Rollback)
        {
            return Err(SqlError::failed_transaction());
        }
        match plan {
            Plan::Begin => self.begin(),
            Plan::Commit => self.commit_block(),
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
            // PostgreSQL only warns about a nested BEGIN.
            TransactionBlock::Open { implicit, .. } => *implicit = false,
            _ => {
                let transaction = self.instance.transaction();
                self.block = TransactionBlock::Open { transaction, implicit: false };
            }
        }
        Ok(Answer::Tag("BEGIN".to_owned()))
    }

    fn commit_block(&mut self) -> Result<Answer, SqlError> {
        match std::mem::replace(&mut self.block, TransactionBlock::Idle) {
            TransactionBlock::Idle => Ok(Answer::Tag("COMMIT".to_owned())),
            TransactionBlock::Failed => Ok(Answer::Tag("ROLLBACK".to_owned())),
            TransactionBlock::Open { transaction, .. } => {
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

    /// Waits until a majority of the group holds what this session has written and read.
    async fn wait_commit(&self, timeout: Duration) -> Answer {
        let mark = self.last_mark.unwrap_or_else(|| self.instance.with(|state| state.applied()));
        let held = tokio::time::timeout(timeout, self.wait_for_majority(mark)).await;
        Answer::Rows(vec![vec![
            Value::Int(mark.term.0 as i64),
            Value::Int(mark.position.0 as i64),
            Value::Bool(held.unwrap_or(false)),
        ]])
    }

    async fn wait_for_majority(&self, mark: Mark) -> bool {
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

    /// Runs a data statement, in a transaction of its own if no block is open.
    async fn execute(&mut self, plan: &Plan, parameters: &[Value]) -> Result<Answer, SqlError> {
        let instance = self.instance.clone();
        let call = Call { plan, parameters, workspace: &self.workspace };
        if let TransactionBlock::Open { transaction, .. } = &mut self.block {
            return run_in_transaction(&instance, transaction, call).await;
        }
        let mut guard = Autocommit { instance: &instance, transaction: instance.transaction() };
        let answer = run_in_transaction(&instance, &mut guard.transaction, call).await?;
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
            // A group of one instance has its majority at once, without acknowledgements.
            self.instance.acknowledged.notify_waiters();
        }
        self.last_mark = Some(result?);
        Ok(())
    }

    fn roll_back(&mut self) {
        if let TransactionBlock::Open { transaction, .. } =
            std::mem::replace(&mut self.block, TransactionBlock::Idle)
        {
            release_locks(&self.instance, &transaction);
        }
    }
}

/// Single-statement transaction; releases its locks if the statement is cancelled or fails.
struct Autocommit<'a> {
    instance: &'a Instance,
    transaction: Transaction,
}

impl Autocommit<'_> {
    /// Takes the transaction out for the commit.
    fn take(&mut self) -> Transaction {
        std::mem::replace(&mut self.transaction, Transaction::new(0))
    }
}

impl Drop for Autocommit<'_> {
    fn drop(&mut self) {
        release_locks(self.instance, &self.transaction);
    }
}

fn release_locks(instance: &Instance, transaction: &Transaction) {
    if !transaction.locked().is_empty() {
        instance.with(|state| state.release(transaction));
        instance.locks_released.notify_waiters();
    }
}

/// Runs a statement while holding an execution slot.
///
/// The slot is given up while waiting for row locks, because the lock holder may
/// need one to finish.
async fn run_in_transaction(
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
                occupy_slot(Duration::from_micros(instance.settings.service_time_us)).await;
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

/// Simulates the service time while the caller holds a slot.
async fn occupy_slot(span: Duration) {
    if span >= TIMER_RESOLUTION {
        tokio::time::sleep(span).await;
    } else if !span.is_zero() {
        let end = Instant::now() + span;
        while Instant::now() < end {
            tokio::task::yield_now().await;
        }
    }
}
