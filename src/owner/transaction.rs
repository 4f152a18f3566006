//! Execution of transactions that span several requests.

use tokio::time::timeout;

use crate::{
    adapters::backend::{BackendError, TransactionStatus},
    clock::Clock,
    ids::Term,
    owner::{
        execute::{Cx, StepResult, failed, failed_before_commit, is_primary_of},
        pooled::PooledConnection,
        statements::{COMMIT, POSITION, ROLLBACK, insert_record},
        transactions::PinnedConnection,
        write::{self, READ_ONLY, UNIQUE_VIOLATION, ended_by_statement, replay, roll_back},
    },
    wire::peer::{Outcome, Refusal, RequestRecord, Rows, TransactionId},
};

/// Begins a transaction and pins a connection to it.
pub(crate) async fn begin(cx: &Cx<'_>, id: &TransactionId, term: Term) -> StepResult<Rows> {
    let instance = cx.instance()?;
    instance.accepts_work().map_err(Outcome::Refused)?;
    let workspace = &cx.req.workspace;
    let permit = instance.transaction_slots.acquire(workspace, cx.req.weight, cx.deadline);
    let permit = permit.await.map_err(Outcome::Refused)?;
    let mut connection = cx.acquire_connection(&instance, Some(term)).await?;
    let batch = |connection: &mut PooledConnection| {
        connection.set_workspace(workspace)?;
        connection.query(POSITION)?;
        connection.statement(&cx.req.statement)
    };
    batch(&mut connection).map_err(failed_before_commit)?;
    connection.flush(cx.deadline).await.map_err(failed_before_commit)?;
    let preamble = cx.receive_preamble(&mut connection).await.map_err(failed_before_commit)?;
    let begun = connection.receive(cx.deadline).await.map_err(failed_before_commit)?;
    let is_primary =
        preamble.as_ref().is_ok_and(|position| is_primary_of(&instance, position, term));
    let result = preamble.and(begun.result);
    if result.is_err() || !is_primary || begun.status != TransactionStatus::Transaction {
        roll_back(cx, connection).await;
        result.map_err(Outcome::Failed)?;
        return Err(Outcome::Refused(Refusal::NotPrimary));
    }
    let mut pinned = PinnedConnection {
        connection,
        permit,
        term,
        workspace: workspace.clone(),
        may_hold_locks: false,
        failed: false,
    };
    pinned.mark_idle(cx);
    let checkout = pinned.connection.checkout();
    cx.shared.transactions.insert(id, pinned);
    if !instance.is_current(checkout) {
        cx.shared.transactions.remove(id);
        return Err(failed_before_commit(BackendError::Closed));
    }
    result.map_err(Outcome::Failed)
}

/// Runs a statement inside a transaction.
pub(crate) async fn in_transaction(cx: &Cx<'_>, id: &TransactionId) -> StepResult<Rows> {
    let transactions = &cx.shared.transactions;
    let transaction = transactions.get(id).ok_or(unknown_transaction())?;
    let limit = cx.deadline.since(cx.shared.clock.now()).duration();
    let guard = timeout(limit, transaction.pinned.lock()).await;
    let mut guard = guard.map_err(|_| Outcome::Refused(Refusal::Deadline))?;
    let mut pinned = take_pinned(cx, &mut guard)?;
    if let Err(outcome) = acquire_slot(cx, &mut pinned).await {
        pinned.mark_idle(cx);
        *guard = Some(pinned);
        return Err(outcome);
    }
    match run_statement(cx, &mut pinned).await {
        Ok((result, failed)) => {
            (pinned.may_hold_locks, pinned.failed) = (true, failed);
            pinned.mark_idle(cx);
            *guard = Some(pinned);
            result
        }
        Err(outcome) => {
            transactions.remove(id);
            Err(outcome)
        }
    }
}

/// Commits a transaction and stores its record, if it has one. Needs no slot, because
/// it releases the locks and the connection that others wait for.
pub(crate) async fn commit(
    cx: &Cx<'_>,
    id: &TransactionId,
    record: Option<&RequestRecord>,
) -> StepResult<Rows> {
    let pinned = take_for_end(cx, id).await?;
    let PinnedConnection {
        mut connection,
        permit: _permit,
        term,
        workspace,
        failed: has_failed,
        ..
    } = pinned;
    if has_failed {
        roll_back(cx, connection).await;
        return Err(failed("25P02", "the transaction has failed and was rolled back"));
    }
    let batch = |connection: &mut PooledConnection| {
        connection.query(POSITION)?;
        match record {
            Some(record) => connection.query(&insert_record(workspace.as_ref(), record, COMMIT)),
            None => Ok(()),
        }
    };
    batch(&mut connection).map_err(failed_before_commit)?;
    connection.flush(cx.deadline).await.map_err(failed_before_commit)?;
    let preamble = cx.receive_preamble(&mut connection).await.map_err(failed_before_commit)?;
    let recorded = match record {
        Some(_) => connection.receive(cx.deadline).await.map_err(failed_before_commit)?.result,
        None => Ok(Rows::default()),
    };
    let is_primary = preamble
        .as_ref()
        .is_ok_and(|position| is_primary_of(connection.instance(), position, term));
    if !is_primary {
        roll_back(cx, connection).await;
        return Err(primary_replaced());
    }
    match (record, recorded) {
        (Some(record), Err(failure)) if failure.code == UNIQUE_VIOLATION => {
            replay(cx, connection, term, record).await
        }
        (_, Err(failure)) => {
            roll_back(cx, connection).await;
            Err(Outcome::Failed(failure))
        }
        (_, Ok(_)) => {
            let rows = Rows { tag: COMMIT.to_owned(), ..Rows::default() };
            let committed = write::commit(cx, connection, term, None, rows).await;
            committed.map_err(|outcome| match outcome {
                Outcome::Refused(_) => primary_replaced(),
                other => other,
            })
        }
    }
}

/// Rolls back a transaction. Needs no slot, because it releases what it holds.
pub(crate) async fn rollback(cx: &Cx<'_>, id: &TransactionId) -> StepResult<Rows> {
    let pinned = take_for_end(cx, id).await?;
    roll_back(cx, pinned.connection).await;
    Ok(Rows { tag: ROLLBACK.to_owned(), ..Rows::default() })
}

/// Removes a transaction from the table and takes its connection for the last statement.
async fn take_for_end(cx: &Cx<'_>, id: &TransactionId) -> StepResult<PinnedConnection> {
    let transactions = &cx.shared.transactions;
    let transaction = transactions.get(id).ok_or(unknown_transaction())?;
    let limit = cx.deadline.since(cx.shared.clock.now()).duration();
    let guard = timeout(limit, transaction.pinned.lock()).await;
    let mut guard = guard.map_err(|_| Outcome::Refused(Refusal::Deadline))?;
    let pinned = take_pinned(cx, &mut guard)?;
    transactions.remove(id);
    Ok(pinned)
}

/// Takes the connection of a transaction if it belongs to the workspace and the
/// instance of the request.
fn take_pinned(cx: &Cx<'_>, pinned: &mut Option<PinnedConnection>) -> StepResult<PinnedConnection> {
    let is_own = |pinned: &mut PinnedConnection| {
        pinned.workspace == cx.req.workspace && pinned.connection.instance().id == cx.req.instance
    };
    let pinned = pinned.take_if(is_own).ok_or(unknown_transaction())?;
    pinned.connection.instance().set_transaction_idle(pinned.connection.checkout(), None);
    Ok(pinned)
}

/// Waits for a slot, unless the transaction may hold row locks. Statements that wait
/// for those locks hold slots, so waiting for a slot could deadlock.
async fn acquire_slot(cx: &Cx<'_>, pinned: &mut PinnedConnection) -> StepResult<()> {
    if pinned.may_hold_locks {
        return Ok(());
    }
    let slot = cx.acquire_slot(pinned.connection.instance()).await?;
    pinned.connection.set_slot(slot);
    Ok(())
}

/// Runs a statement. Returns its result and whether the transaction has failed. An
/// error is the outcome of a transaction that has ended.
async fn run_statement(
    cx: &Cx<'_>,
    pinned: &mut PinnedConnection,
) -> StepResult<(StepResult<Rows>, bool)> {
    if pinned.connection.instance().is_fenced(pinned.term) {
        return Err(primary_replaced());
    }
    pinned.connection.statement(&cx.req.statement).map_err(failed_before_commit)?;
    pinned.connection.flush(cx.deadline).await.map_err(failed_before_commit)?;
    let answer = pinned.connection.receive(cx.deadline).await.map_err(failed_before_commit)?;
    if pinned.connection.instance().is_fenced(pinned.term) {
        return Err(primary_replaced());
    }
    match answer.status {
        _ if answer.result.as_ref().is_err_and(|failure| failure.code == READ_ONLY) => {
            Err(primary_replaced())
        }
        TransactionStatus::Idle => Err(ended_by_statement()),
        status => {
            let failed = status == TransactionStatus::FailedTransaction;
            Ok((answer.result.map_err(Outcome::Failed), failed))
        }
    }
}

impl PinnedConnection {
    /// Releases the slot and marks the transaction as idle from now on.
    fn mark_idle(&mut self, cx: &Cx<'_>) {
        self.connection.release_slot();
        let now = cx.shared.clock.now();
        self.connection.instance().set_transaction_idle(self.connection.checkout(), Some(now));
    }
}

fn primary_replaced() -> Outcome {
    failed("40001", "the primary was replaced; the transaction was rolled back")
}

fn unknown_transaction() -> Outcome {
    Outcome::Refused(Refusal::UnknownTransaction)
}
