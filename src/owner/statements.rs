//! SQL statements that the proxy itself issues, and parsers for their answers.

use std::str::FromStr;

use bytes::{Buf, Bytes};

use crate::{
    clock::Millis,
    ids::{Mark, Workspace},
    wire::peer::{RequestRecord, Rows},
};

pub(crate) const BEGIN: &str = "BEGIN";
pub(crate) const COMMIT: &str = "COMMIT";
pub(crate) const ROLLBACK: &str = "ROLLBACK";
/// Returns the position, age and role of the instance.
pub(crate) const POSITION: &str = "SELECT pomelopin_position()";

/// Answer to [`POSITION`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    pub(crate) mark: Mark,
    pub(crate) age_ms: u64,
    pub(crate) is_primary: bool,
}

/// Answer to [`wait_commit`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitCommit {
    pub(crate) mark: Mark,
    /// Whether a majority of the group has replicated the position in this term.
    pub(crate) has_majority: bool,
}

/// Request record as stored at the target.
#[derive(Debug, Clone)]
pub(crate) struct StoredRecord {
    pub(crate) digest: String,
    /// Command tag that the request was answered with.
    pub(crate) tag: String,
}

/// Sets the workspace of the connection.
pub(crate) fn set_workspace(workspace: Option<&Workspace>) -> String {
    format!("SET pomelopin.workspace = {}", quote_literal(workspace.map_or("", |name| name)))
}

/// Waits up to `limit` until a majority has replicated the connection's position.
pub(crate) fn wait_commit(limit: Millis) -> String {
    format!("SELECT pomelopin_wait_commit({})", limit.0)
}

/// Inserts the record of a request. Fails with SQLSTATE 23505 if the request has
/// already run.
pub(crate) fn insert_record(
    workspace: Option<&Workspace>,
    record: &RequestRecord,
    tag: &str,
) -> String {
    format!(
        "INSERT INTO pomelopin_requests (workspace, id, digest, tag) VALUES ({}, {}, {}, {})",
        quote_literal(workspace.map_or("", |name| name)),
        quote_literal(&record.key),
        quote_literal(&record.digest),
        quote_literal(tag),
    )
}

/// Stores the command tag that the request was answered with.
pub(crate) fn update_record(
    workspace: Option<&Workspace>,
    record: &RequestRecord,
    tag: &str,
) -> String {
    let condition = record_condition(workspace, record);
    format!("UPDATE pomelopin_requests SET tag = {} WHERE {condition}", quote_literal(tag))
}

/// Reads the record of a request.
pub(crate) fn select_record(workspace: Option<&Workspace>, record: &RequestRecord) -> String {
    let condition = record_condition(workspace, record);
    format!("SELECT digest, tag FROM pomelopin_requests WHERE {condition}")
}

/// Parses the answer to [`POSITION`].
pub(crate) fn parse_position(rows: &Rows) -> Option<Position> {
    let columns = parse_columns(rows.rows.first()?)?;
    let mark = Mark::new(number(&columns, 0)?, number(&columns, 1)?);
    Some(Position { mark, age_ms: number(&columns, 2)?, is_primary: boolean(&columns, 3)? })
}

/// Parses the answer to [`wait_commit`].
pub(crate) fn parse_wait_commit(rows: &Rows) -> Option<WaitCommit> {
    let columns = parse_columns(rows.rows.first()?)?;
    let mark = Mark::new(number(&columns, 0)?, number(&columns, 1)?);
    Some(WaitCommit { mark, has_majority: boolean(&columns, 2)? })
}

/// Parses the answer to [`select_record`].
pub(crate) fn parse_record(rows: &Rows) -> Option<StoredRecord> {
    let mut columns = parse_columns(rows.rows.first()?)?.into_iter();
    let mut text = || columns.next().map(Option::unwrap_or_default);
    Some(StoredRecord { digest: text()?, tag: text()? })
}

fn record_condition(workspace: Option<&Workspace>, record: &RequestRecord) -> String {
    let workspace = quote_literal(workspace.map_or("", |name| name));
    format!("workspace = {workspace} AND id = {}", quote_literal(&record.key))
}

/// Formats a text as an SQL string literal.
fn quote_literal(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

/// Parses the body of a DataRow message in text format.
fn parse_columns(row: &Bytes) -> Option<Vec<Option<String>>> {
    let mut buf = row.clone();
    let count = buf.try_get_u16().ok()?;
    let mut columns = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let Ok(len) = usize::try_from(buf.try_get_i32().ok()?) else {
            columns.push(None);
            continue;
        };
        if buf.len() < len {
            return None;
        }
        columns.push(Some(String::from_utf8(buf.split_to(len).to_vec()).ok()?));
    }
    Some(columns)
}

fn number<T: FromStr>(columns: &[Option<String>], index: usize) -> Option<T> {
    columns.get(index)?.as_ref()?.parse().ok()
}

fn boolean(columns: &[Option<String>], index: usize) -> Option<bool> {
    match columns.get(index)?.as_deref()? {
        "t" | "true" => Some(true),
        "f" | "false" => Some(false),
        _ => None,
    }
}
