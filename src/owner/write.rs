//! Writes outside transactions, commits and request records.
//!
//! A write runs in a transaction of its own. Everything that can be refused is
//! checked before the batch with the `COMMIT` is sent; from then on a lost answer
//! makes the outcome unknown.

use crate::{
    adapters::backend::TransactionStatus,
    ids::Term,
    owner::{
        execute::{Cx, Run, failed, is_primary_of, rolled_back, unknown},
        lent::Lent,
        statements::{
            BEGIN, COMMIT, Held, POSITION, ROLLBACK, held, insert_record, select_record, stored,
            update_record, wait_commit,
        },
    },
    wire::peer::{Failure, Outcome, Refusal, RequestRecord, Rows},
};

/// SQLSTATE of an insert whose key exists.
pub(crate) const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE of a write on an instance that is not the primary.
pub(crate) const READ_ONLY: &str = "25006";

/// Runs a write in its own transaction.
pub(crate) async fn write(cx: &Cx<'_>, term: Term, record: Option<&RequestRecord>) -> Run<Rows> {
    let instance = cx.instance()?;
    let mut lent = cx.enter(&instance, Some(term)).await?;
    let workspace = &cx.req.workspace;
    let batch = |lent: &mut Lent| {
        lent.set_workspace(workspace)?;
        lent.query(POSITION)?;
        lent.query(BEGIN)?;
        if let Some(record) = record {
            lent.query(&insert_record(workspace.as_ref(), record, ""))?;
        }
        lent.statement(&cx.req.statement)
    };
    batch(&mut lent).map_err(rolled_back)?;
    lent.flush(cx.deadline).await.map_err(rolled_back)?;

    let head = cx.head(&mut lent).await.map_err(rolled_back)?;
    let begun = lent.receive(cx.deadline).await.map_err(rolled_back)?;
    let recorded = match record {
        Some(_) => lent.receive(cx.deadline).await.map_err(rolled_back)?.result,
        None => Ok(Rows::default()),
    };
    let ran = lent.receive(cx.deadline).await.map_err(rolled_back)?;
    match &head {
        Ok(position) if !is_primary_of(&instance, position, term) => {
            roll_back(cx, lent).await;
            return Err(Outcome::Refused(Refusal::NotPrimary));
        }
        _ => {}
    }
    if let (Some(record), Err(failure)) = (record, &recorded)
        && failure.code == UNIQUE_VIOLATION
    {
        return replay(cx, lent, term, record).await;
    }
    let result = head.and(begun.result).and(recorded).and(ran.result);
    let rows = match result {
        Ok(_) if ran.status != TransactionStatus::Transaction => return Err(left_transaction()),
        Ok(rows) => rows,
        Err(failure) => {
            roll_back(cx, lent).await;
            return Err(refused_or_failed(failure));
        }
    };
    let update = record.map(|record| update_record(workspace.as_ref(), record, &rows.tag));
    commit(cx, lent, term, update, rows).await
}

/// Commits and waits until a majority holds the commit under `term`.
pub(crate) async fn commit(
    cx: &Cx<'_>,
    mut lent: Lent,
    term: Term,
    update: Option<String>,
    mut rows: Rows,
) -> Run<Rows> {
    if lent.instance().is_fenced(term) {
        roll_back(cx, lent).await;
        return Err(failed("40001", "the primary was replaced; the request was rolled back"));
    }
    let batch = |lent: &mut Lent| {
        if let Some(update) = &update {
            lent.query(update)?;
        }
        lent.query(COMMIT)?;
        lent.query(&wait_commit(cx.wait_limit()))
    };
    batch(&mut lent).map_err(rolled_back)?;
    lent.flush(cx.deadline).await.map_err(unknown)?;

    let updated = match update {
        Some(_) => lent.receive(cx.deadline).await.map_err(unknown)?.result,
        None => Ok(Rows::default()),
    };
    let committed = lent.receive(cx.deadline).await.map_err(unknown)?.result;
    // Waiting for the majority occupies no slot.
    lent.release_slot();
    match updated.and(committed) {
        Ok(rows) if rows.tag == COMMIT => {}
        Ok(_) => return Err(failed("40001", "the target rolled the transaction back")),
        Err(failure) if is_ambiguous(&failure) => return Err(undecided(failure)),
        Err(failure) => return Err(refused_or_failed(failure)),
    }
    rows.mark = Some(wait(cx, &mut lent, term).await?.mark);
    Ok(rows)
}

/// Reads the record of an earlier attempt under the current term.
pub(crate) async fn settle(cx: &Cx<'_>, term: Term, record: &RequestRecord) -> Run<Rows> {
    let instance = cx.instance()?;
    let mut lent = cx.enter(&instance, Some(term)).await?;
    let workspace = &cx.req.workspace;
    let batch = |lent: &mut Lent| {
        lent.set_workspace(workspace)?;
        lent.query(POSITION)?;
        lent.query(&select_record(workspace.as_ref(), record))?;
        lent.query(&wait_commit(cx.wait_limit()))
    };
    batch(&mut lent).map_err(unknown)?;
    lent.flush(cx.deadline).await.map_err(unknown)?;
    let head = cx.head(&mut lent).await.map_err(unknown)?;
    let position = head.map_err(undecided)?;
    if !is_primary_of(&instance, &position, term) {
        return Err(Outcome::Refused(Refusal::NotPrimary));
    }
    match recorded_answer(cx, &mut lent, term, record).await? {
        Some(rows) => Ok(rows),
        None => Err(Outcome::Refused(Refusal::NoRecord)),
    }
}

/// Answers a repeated request with the recorded tag.
pub(crate) async fn replay(
    cx: &Cx<'_>,
    mut lent: Lent,
    term: Term,
    record: &RequestRecord,
) -> Run<Rows> {
    let batch = |lent: &mut Lent| {
        lent.query(ROLLBACK)?;
        lent.query(&select_record(cx.req.workspace.as_ref(), record))?;
        lent.query(&wait_commit(cx.wait_limit()))
    };
    batch(&mut lent).map_err(unknown)?;
    lent.flush(cx.deadline).await.map_err(unknown)?;
    lent.receive(cx.deadline).await.map_err(unknown)?.result.map_err(undecided)?;
    let answer = recorded_answer(cx, &mut lent, term, record).await?;
    answer.ok_or_else(|| failed("40001", "another attempt of the request is running"))
}

/// Receives a record and the wait that follows it. The record counts once a
/// majority holds it; so does its absence.
async fn recorded_answer(
    cx: &Cx<'_>,
    lent: &mut Lent,
    term: Term,
    record: &RequestRecord,
) -> Run<Option<Rows>> {
    let read = lent.receive(cx.deadline).await.map_err(unknown)?.result;
    lent.release_slot();
    let stored = stored(&read.map_err(undecided)?);
    let held = wait(cx, lent, term).await?;
    match stored {
        None => Ok(None),
        Some(stored) if stored.digest != record.digest => {
            Err(failed("22023", "the request key was used for another request"))
        }
        Some(stored) => {
            Ok(Some(Rows { tag: stored.tag, mark: Some(held.mark), ..Rows::default() }))
        }
    }
}

/// Receives the answer to the wait for a majority.
async fn wait(cx: &Cx<'_>, lent: &mut Lent, term: Term) -> Run<Held> {
    let answer = lent.receive(cx.deadline).await.map_err(unknown)?;
    let rows = answer.result.map_err(undecided)?;
    match held(&rows) {
        Some(held) if held.held && held.mark.term == term => Ok(held),
        _ => Err(Outcome::Unknown { reason: "no majority holds the write".to_owned() }),
    }
}

/// Rolls back; a connection that fails to do so is closed.
pub(crate) async fn roll_back(cx: &Cx<'_>, mut lent: Lent) {
    if lent.query(ROLLBACK).is_ok() && lent.flush(cx.deadline).await.is_ok() {
        let _ = lent.receive(cx.deadline).await;
    }
}

/// Outcome of a statement that has ended the transaction that it ran in, so that
/// its effects cannot be told.
pub(crate) fn left_transaction() -> Outcome {
    Outcome::Unknown { reason: "the statement ended its transaction".to_owned() }
}

/// Outcome of a rolled back write. An instance that lost its role between the
/// check of its position and the write has refused it.
fn refused_or_failed(failure: Failure) -> Outcome {
    match failure.code.as_str() {
        READ_ONLY => Outcome::Refused(Refusal::NotPrimary),
        _ => Outcome::Failed(failure),
    }
}

/// Outcome of an earlier attempt whose record cannot be read.
fn undecided(failure: Failure) -> Outcome {
    Outcome::Unknown { reason: failure.to_string() }
}

/// Whether the target's error leaves open if the commit took effect.
fn is_ambiguous(failure: &Failure) -> bool {
    failure.code.starts_with("08") || failure.code.starts_with("57P")
}
