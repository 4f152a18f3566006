//! Writes outside explicit transactions, commits and request records.
//!
//! A write runs in its own transaction. Everything that can lead to a refusal is
//! checked before the batch with the `COMMIT` is sent; after that, a lost answer makes
//! the outcome unknown.

use crate::{
    adapters::backend::TransactionStatus,
    ids::Term,
    owner::{
        execute::{Cx, StepResult, failed, failed_before_commit, is_primary_of, unknown_outcome},
        pooled::PooledConnection,
        statements::{
            BEGIN, COMMIT, POSITION, ROLLBACK, WaitCommit, insert_record, parse_record,
            parse_wait_commit, select_record, update_record, wait_commit,
        },
    },
    wire::peer::{Failure, Outcome, Refusal, RequestRecord, Rows},
};

/// SQLSTATE of an insert with a duplicate key.
pub(crate) const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE of a write on an instance that is not the primary.
pub(crate) const READ_ONLY: &str = "25006";

/// Runs a write in its own transaction.
pub(crate) async fn write(
    cx: &Cx<'_>,
    term: Term,
    record: Option<&RequestRecord>,
) -> StepResult<Rows> {
    let instance = cx.instance()?;
    let mut connection = cx.acquire_connection(&instance, Some(term)).await?;
    let workspace = &cx.req.workspace;
    let batch = |connection: &mut PooledConnection| {
        connection.set_workspace(workspace)?;
        connection.query(POSITION)?;
        connection.query(BEGIN)?;
        if let Some(record) = record {
            connection.query(&insert_record(workspace.as_ref(), record, ""))?;
        }
        connection.statement(&cx.req.statement)
    };
    batch(&mut connection).map_err(failed_before_commit)?;
    connection.flush(cx.deadline).await.map_err(failed_before_commit)?;

    let preamble = cx.receive_preamble(&mut connection).await.map_err(failed_before_commit)?;
    let begun = connection.receive(cx.deadline).await.map_err(failed_before_commit)?;
    let recorded = match record {
        Some(_) => connection.receive(cx.deadline).await.map_err(failed_before_commit)?.result,
        None => Ok(Rows::default()),
    };
    let answer = connection.receive(cx.deadline).await.map_err(failed_before_commit)?;
    match &preamble {
        Ok(position) if !is_primary_of(&instance, position, term) => {
            roll_back(cx, connection).await;
            return Err(Outcome::Refused(Refusal::NotPrimary));
        }
        _ => {}
    }
    if let (Some(record), Err(failure)) = (record, &recorded)
        && failure.code == UNIQUE_VIOLATION
    {
        return replay(cx, connection, term, record).await;
    }
    let result = preamble.and(begun.result).and(recorded).and(answer.result);
    let rows = match result {
        Ok(_) if answer.status != TransactionStatus::Transaction => {
            return Err(ended_by_statement());
        }
        Ok(rows) => rows,
        Err(failure) => {
            roll_back(cx, connection).await;
            return Err(refused_or_failed(failure));
        }
    };
    let update = record.map(|record| update_record(workspace.as_ref(), record, &rows.tag));
    commit(cx, connection, term, update, rows).await
}

/// Commits and waits until a majority has replicated the commit in `term`. `update` is
/// run before the `COMMIT`.
pub(crate) async fn commit(
    cx: &Cx<'_>,
    mut connection: PooledConnection,
    term: Term,
    update: Option<String>,
    mut rows: Rows,
) -> StepResult<Rows> {
    if connection.instance().is_fenced(term) {
        roll_back(cx, connection).await;
        return Err(failed("40001", "the primary was replaced; the request was rolled back"));
    }
    let batch = |connection: &mut PooledConnection| {
        if let Some(update) = &update {
            connection.query(update)?;
        }
        connection.query(COMMIT)?;
        connection.query(&wait_commit(cx.commit_wait_limit()))
    };
    batch(&mut connection).map_err(failed_before_commit)?;
    connection.flush(cx.deadline).await.map_err(unknown_outcome)?;

    let updated = match update {
        Some(_) => connection.receive(cx.deadline).await.map_err(unknown_outcome)?.result,
        None => Ok(Rows::default()),
    };
    let committed = connection.receive(cx.deadline).await.map_err(unknown_outcome)?.result;
    // The slot is not held while waiting for the majority.
    connection.release_slot();
    match updated.and(committed) {
        Ok(rows) if rows.tag == COMMIT => {}
        Ok(_) => return Err(failed("40001", "the target rolled the transaction back")),
        Err(failure) if is_ambiguous(&failure) => return Err(unknown_after_failure(failure)),
        Err(failure) => return Err(refused_or_failed(failure)),
    }
    rows.mark = Some(receive_wait_commit(cx, &mut connection, term).await?.mark);
    Ok(rows)
}

/// Reads the record of an earlier attempt of a request from the primary of `term`.
pub(crate) async fn read_record(
    cx: &Cx<'_>,
    term: Term,
    record: &RequestRecord,
) -> StepResult<Rows> {
    let instance = cx.instance()?;
    let mut connection = cx.acquire_connection(&instance, Some(term)).await?;
    let workspace = &cx.req.workspace;
    let batch = |connection: &mut PooledConnection| {
        connection.set_workspace(workspace)?;
        connection.query(POSITION)?;
        connection.query(&select_record(workspace.as_ref(), record))?;
        connection.query(&wait_commit(cx.commit_wait_limit()))
    };
    batch(&mut connection).map_err(unknown_outcome)?;
    connection.flush(cx.deadline).await.map_err(unknown_outcome)?;
    let preamble = cx.receive_preamble(&mut connection).await.map_err(unknown_outcome)?;
    let position = preamble.map_err(unknown_after_failure)?;
    if !is_primary_of(&instance, &position, term) {
        return Err(Outcome::Refused(Refusal::NotPrimary));
    }
    match receive_recorded_answer(cx, &mut connection, term, record).await? {
        Some(rows) => Ok(rows),
        None => Err(Outcome::Refused(Refusal::NoRecord)),
    }
}

/// Rolls back a repeated attempt and answers it with the recorded tag.
pub(crate) async fn replay(
    cx: &Cx<'_>,
    mut connection: PooledConnection,
    term: Term,
    record: &RequestRecord,
) -> StepResult<Rows> {
    let batch = |connection: &mut PooledConnection| {
        connection.query(ROLLBACK)?;
        connection.query(&select_record(cx.req.workspace.as_ref(), record))?;
        connection.query(&wait_commit(cx.commit_wait_limit()))
    };
    batch(&mut connection).map_err(unknown_outcome)?;
    connection.flush(cx.deadline).await.map_err(unknown_outcome)?;
    connection
        .receive(cx.deadline)
        .await
        .map_err(unknown_outcome)?
        .result
        .map_err(unknown_after_failure)?;
    let answer = receive_recorded_answer(cx, &mut connection, term, record).await?;
    answer.ok_or_else(|| failed("40001", "another attempt of the request is running"))
}

/// Receives a record and the answer to the [`wait_commit`] that follows it. The presence
/// or absence of a record is final only once a majority has replicated that position.
async fn receive_recorded_answer(
    cx: &Cx<'_>,
    connection: &mut PooledConnection,
    term: Term,
    record: &RequestRecord,
) -> StepResult<Option<Rows>> {
    let read = connection.receive(cx.deadline).await.map_err(unknown_outcome)?.result;
    connection.release_slot();
    let stored = parse_record(&read.map_err(unknown_after_failure)?);
    let waited = receive_wait_commit(cx, connection, term).await?;
    match stored {
        None => Ok(None),
        Some(stored) if stored.digest != record.digest => {
            Err(failed("22023", "the request key was used for another request"))
        }
        Some(stored) => {
            Ok(Some(Rows { tag: stored.tag, mark: Some(waited.mark), ..Rows::default() }))
        }
    }
}

/// Receives the answer to [`wait_commit`].
async fn receive_wait_commit(
    cx: &Cx<'_>,
    connection: &mut PooledConnection,
    term: Term,
) -> StepResult<WaitCommit> {
    let answer = connection.receive(cx.deadline).await.map_err(unknown_outcome)?;
    let rows = answer.result.map_err(unknown_after_failure)?;
    match parse_wait_commit(&rows) {
        Some(waited) if waited.has_majority && waited.mark.term == term => Ok(waited),
        _ => Err(Outcome::Unknown { reason: "no majority holds the write".to_owned() }),
    }
}

/// Rolls back the transaction. The connection is closed if that fails.
pub(crate) async fn roll_back(cx: &Cx<'_>, mut connection: PooledConnection) {
    if connection.query(ROLLBACK).is_ok() && connection.flush(cx.deadline).await.is_ok() {
        let _ = connection.receive(cx.deadline).await;
    }
}

/// Outcome of a statement that ended its own transaction, so that it is unknown whether
/// its effects were committed.
pub(crate) fn ended_by_statement() -> Outcome {
    Outcome::Unknown { reason: "the statement ended its transaction".to_owned() }
}

/// Outcome of a write that was rolled back. If the instance stopped being the primary
/// between the position check and the write, the write counts as refused.
fn refused_or_failed(failure: Failure) -> Outcome {
    match failure.code.as_str() {
        READ_ONLY => Outcome::Refused(Refusal::NotPrimary),
        _ => Outcome::Failed(failure),
    }
}

/// Outcome of a request for which the target's error leaves open whether it, or an
/// earlier attempt of it, was committed.
fn unknown_after_failure(failure: Failure) -> Outcome {
    Outcome::Unknown { reason: failure.to_string() }
}

/// Whether the target's error leaves open whether the commit took effect.
fn is_ambiguous(failure: &Failure) -> bool {
    failure.code.starts_with("08") || failure.code.starts_with("57P")
}
