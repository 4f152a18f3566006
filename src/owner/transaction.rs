//! Statements of transactions.

use tokio::time::timeout;

use crate::{
    adapters::backend::{BackendError, TransactionStatus},
    clock::Clock,
    ids::Term,
    owner::{
        execute::{Cx, Run, failed, is_primary_of, rolled_back},
        lent::Lent,
        statements::{COMMIT, POSITION, ROLLBACK, insert_record},
        transactions::Pinned,
        write::{self, READ_ONLY, UNIQUE_VIOLATION, left_transaction, replay, roll_back},
    },
    wire::peer::{Outcome, Refusal, RequestRecord, Rows, TransactionId},
};

/// Pins a connection to a new transaction.
pub(crate) async fn begin(cx: &Cx<'_>, id: &TransactionId, term: Term) -> Run<Rows> {
    let instance = cx.instance()?;
    instance.accepts_work().map_err(Outcome::Refused)?;
    let workspace = &cx.req.workspace;
    let permit = instance.transactions.acquire(workspace, cx.req.weight, cx.deadline);
    let permit = permit.await.map_err(Outcome::Refused)?;
    let mut lent = cx.enter(&instance, Some(term)).await?;
    let batch = |lent: &mut Lent| {
        lent.set_workspace(workspace)?;
        lent.query(POSITION)?;
        lent.statement(&cx.req.statement)
    };
    batch(&mut lent).map_err(rolled_back)?;
    lent.flush(cx.deadline).await.map_err(rolled_back)?;
    let head = cx.head(&mut lent).await.map_err(rolled_back)?;
    let begun = lent.receive(cx.deadline).await.map_err(rolled_back)?;
    let is_primary = head.as_ref().is_ok_and(|position| is_primary_of(&instance, position, term));
    let result = head.and(begun.result);
    if result.is_err() || !is_primary || begun.status != TransactionStatus::Transaction {
        roll_back(cx, lent).await;
        result.map_err(Outcome::Failed)?;
        return Err(Outcome::Refused(Refusal::NotPrimary));
    }
    let mut pinned =
        Pinned { lent, permit, term, workspace: workspace.clone(), ran: false, failed: false };
    pinned.park(cx);
    let checkout = pinned.lent.checkout();
    cx.shared.transactions.insert(id, pinned);
    if !instance.is_current(checkout) {
        cx.shared.transactions.remove(id);
        return Err(rolled_back(BackendError::Closed));
    }
    result.map_err(Outcome::Failed)
}

/// Runs a statement inside a transaction.
pub(crate) async fn within(cx: &Cx<'_>, id: &TransactionId) -> Run<Rows> {
    let transactions = &cx.shared.transactions;
    let transaction = transactions.get(id).ok_or(unknown_transaction())?;
    let limit = cx.deadline.since(cx.shared.clock.now()).duration();
    let guard = timeout(limit, transaction.pinned.lock()).await;
    let mut guard = guard.map_err(|_| Outcome::Refused(Refusal::Deadline))?;
    let mut pinned = take(cx, &mut guard)?;
    if let Err(outcome) = wait_for_slot(cx, &mut pinned).await {
        pinned.park(cx);
        *guard = Some(pinned);
        return Err(outcome);
    }
    match run(cx, &mut pinned).await {
        Ok((result, failed)) => {
            (pinned.ran, pinned.failed) = (true, failed);
            pinned.park(cx);
            *guard = Some(pinned);
            result
        }
        Err(outcome) => {
            transactions.remove(id);
            Err(outcome)
        }
    }
}

/// Commits a transaction, with its record if it has one. It needs no slot, since
/// it frees what others wait for.
pub(crate) async fn commit(
    cx: &Cx<'_>,
    id: &TransactionId,
    record: Option<&RequestRecord>,
) -> Run<Rows> {
    let pinned = end(cx, id).await?;
    let Pinned { mut lent, permit: _permit, term, workspace, failed: has_failed, .. } = pinned;
    if has_failed {
        roll_back(cx, lent).await;
        return Err(failed("25P02", "the transaction has failed and was rolled back"));
    }
    let batch = |lent: &mut Lent| {
        lent.query(POSITION)?;
        match record {
            Some(record) => lent.query(&insert_record(workspace.as_ref(), record, COMMIT)),
            None => Ok(()),
        }
    };
    batch(&mut lent).map_err(rolled_back)?;
    lent.flush(cx.deadline).await.map_err(rolled_back)?;
    let head = cx.head(&mut lent).await.map_err(rolled_back)?;
    let recorded = match record {
        Some(_) => lent.receive(cx.deadline).await.map_err(rolled_back)?.result,
        None => Ok(Rows::default()),
    };
    let is_primary =
        head.as_ref().is_ok_and(|position| is_primary_of(lent.instance(), position, term));
    if !is_primary {
        roll_back(cx, lent).await;
        return Err(replaced());
    }
    match (record, recorded) {
        (Some(record), Err(failure)) if failure.code == UNIQUE_VIOLATION => {
            replay(cx, lent, term, record).await
        }
        (_, Err(failure)) => {
            roll_back(cx, lent).await;
            Err(Outcome::Failed(failure))
        }
        (_, Ok(_)) => {
            let rows = Rows { tag: COMMIT.to_owned(), ..Rows::default() };
            let committed = write::commit(cx, lent, term, None, rows).await;
            committed.map_err(|outcome| match outcome {
                Outcome::Refused(_) => replaced(),
                other => other,
            })
        }
    }
}

/// Rolls a transaction back. It needs no slot, since it frees what it holds.
pub(crate) async fn rollback(cx: &Cx<'_>, id: &TransactionId) -> Run<Rows> {
    let pinned = end(cx, id).await?;
    roll_back(cx, pinned.lent).await;
    Ok(Rows { tag: ROLLBACK.to_owned(), ..Rows::default() })
}

/// Takes a transaction out of the table for its last statement.
async fn end(cx: &Cx<'_>, id: &TransactionId) -> Run<Pinned> {
    let transactions = &cx.shared.transactions;
    let transaction = transactions.get(id).ok_or(unknown_transaction())?;
    let limit = cx.deadline.since(cx.shared.clock.now()).duration();
    let guard = timeout(limit, transaction.pinned.lock()).await;
    let mut guard = guard.map_err(|_| Outcome::Refused(Refusal::Deadline))?;
    let pinned = take(cx, &mut guard)?;
    transactions.remove(id);
    Ok(pinned)
}

/// Takes the connection of a transaction that belongs to the request.
fn take(cx: &Cx<'_>, place: &mut Option<Pinned>) -> Run<Pinned> {
    let is_own = |pinned: &mut Pinned| {
        pinned.workspace == cx.req.workspace && pinned.lent.instance().id == cx.req.instance
    };
    let pinned = place.take_if(is_own).ok_or(unknown_transaction())?;
    pinned.lent.instance().park(pinned.lent.checkout(), None);
    Ok(pinned)
}

/// Waits for a slot, unless the transaction may hold row locks: those who wait for
/// the locks occupy slots, so that it could wait for itself.
async fn wait_for_slot(cx: &Cx<'_>, pinned: &mut Pinned) -> Run<()> {
    if pinned.ran {
        return Ok(());
    }
    let slot = cx.slot(pinned.lent.instance()).await?;
    pinned.lent.occupy(slot);
    Ok(())
}

/// Runs a statement. The error is the outcome of a transaction that has ended;
/// otherwise the statement's result is returned with whether it failed.
async fn run(cx: &Cx<'_>, pinned: &mut Pinned) -> Run<(Run<Rows>, bool)> {
    if pinned.lent.instance().is_fenced(pinned.term) {
        return Err(replaced());
    }
    pinned.lent.statement(&cx.req.statement).map_err(rolled_back)?;
    pinned.lent.flush(cx.deadline).await.map_err(rolled_back)?;
    let answer = pinned.lent.receive(cx.deadline).await.map_err(rolled_back)?;
    if pinned.lent.instance().is_fenced(pinned.term) {
        return Err(replaced());
    }
    match answer.status {
        _ if answer.result.as_ref().is_err_and(|failure| failure.code == READ_ONLY) => {
            Err(replaced())
        }
        TransactionStatus::Idle => Err(left_transaction()),
        status => {
            let failed = status == TransactionStatus::FailedTransaction;
            Ok((answer.result.map_err(Outcome::Failed), failed))
        }
    }
}

impl Pinned {
    /// Counts the transaction as idle from now on.
    fn park(&mut self, cx: &Cx<'_>) {
        self.lent.release_slot();
        let now = cx.shared.clock.now();
        self.lent.instance().park(self.lent.checkout(), Some(now));
    }
}

fn replaced() -> Outcome {
    failed("40001", "the primary was replaced; the transaction was rolled back")
}

fn unknown_transaction() -> Outcome {
    Outcome::Refused(Refusal::UnknownTransaction)
}
