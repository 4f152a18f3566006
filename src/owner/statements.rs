//! SQL of the project's own statements and their answers.

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
/// Position, age and role of the instance.
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
pub(crate) struct Held {
    pub(crate) mark: Mark,
    /// Whether a majority holds the position under the term.
    pub(crate) held: bool,
}

/// Stored request record.
#[derive(Debug, Clone)]
pub(crate) struct Stored {
    pub(crate) digest: String,
    pub(crate) tag: String,
}

/// Sets the workspace of the connection.
pub(crate) fn set_workspace(workspace: Option<&Workspace>) -> String {
    format!("SET pomelopin.workspace = {}", quoted(workspace.map_or("", |name| name)))
}

/// Waits until a majority holds the connection's position.
pub(crate) fn wait_commit(limit: Millis) -> String {
    format!("SELECT pomelopin_wait_commit({})", limit.0)
}

/// Inserts the record of a request; fails with 23505 if the request ran before.
pub(crate) fn insert_record(
    workspace: Option<&Workspace>,
    record: &RequestRecord,
    tag: &str,
) -> String {
    format!(
        "INSERT INTO pomelopin_requests (workspace, id, digest, tag) VALUES ({}, {}, {}, {})",
        quoted(workspace.map_or("", |name| name)),
        quoted(&record.key),
        quoted(&record.digest),
        quoted(tag),
    )
}

/// Stores the command tag that the request was answered with.
pub(crate) fn update_record(
    workspace: Option<&Workspace>,
    record: &RequestRecord,
    tag: &str,
) -> String {
    let condition = condition(workspace, record);
    format!("UPDATE pomelopin_requests SET tag = {} WHERE {condition}", quoted(tag))
}

/// Reads the record of a request.
pub(crate) fn select_record(workspace: Option<&Workspace>, record: &RequestRecord) -> String {
    let condition = condition(workspace, record);
    format!("SELECT digest, tag FROM pomelopin_requests WHERE {condition}")
}

/// Reads the answer to [`POSITION`].
pub(crate) fn position(rows: &Rows) -> Option<Position> {
    let columns = columns(rows.rows.first()?)?;
    let mark = Mark::new(number(&columns, 0)?, number(&columns, 1)?);
    Some(Position { mark, age_ms: number(&columns, 2)?, is_primary: boolean(&columns, 3)? })
}

/// Reads the answer to [`wait_commit`].
pub(crate) fn held(rows: &Rows) -> Option<Held> {
    let columns = columns(rows.rows.first()?)?;
    let mark = Mark::new(number(&columns, 0)?, number(&columns, 1)?);
    Some(Held { mark, held: boolean(&columns, 2)? })
}

/// Reads the answer to [`select_record`].
pub(crate) fn stored(rows: &Rows) -> Option<Stored> {
    let mut columns = columns(rows.rows.first()?)?.into_iter();
    let mut text = || columns.next().map(Option::unwrap_or_default);
    Some(Stored { digest: text()?, tag: text()? })
}

fn condition(workspace: Option<&Workspace>, record: &RequestRecord) -> String {
    let workspace = quoted(workspace.map_or("", |name| name));
    format!("workspace = {workspace} AND id = {}", quoted(&record.key))
}

/// Text as an SQL literal.
fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

/// Columns of a DataRow body in text format.
fn columns(row: &Bytes) -> Option<Vec<Option<String>>> {
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
