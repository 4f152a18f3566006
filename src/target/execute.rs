//! Execution of SELECT, INSERT, UPDATE and DELETE against the state of an instance.

use std::{fmt::Write, sync::Arc};

use super::{
    error::SqlError,
    plan::{Aggregate, Change, Operand, Plan, Projection, Schema, Source},
    rows::{Row, RowKey},
    state::State,
    transaction::Transaction,
    value::Value,
};

/// Result of a statement.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// Result set; columns in the order of [`Plan::fields`].
    Rows(Vec<Vec<Value>>),
    /// Command tag of a statement that returns no rows.
    Tag(String),
}

/// Outcome of one attempt to execute a statement.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    Done(Answer),
    /// Another transaction holds a required row lock; nothing was written.
    Locked,
}

/// Statement to execute, with its parameters and session context.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    pub plan: &'a Plan,
    pub parameters: &'a [Value],
    /// Workspace of the connection.
    pub workspace: &'a Arc<str>,
}

/// Runs a SELECT, INSERT, UPDATE or DELETE.
pub fn execute(
    state: &mut State,
    transaction: &mut Transaction,
    call: Call<'_>,
) -> Result<Step, SqlError> {
    match call.plan {
        Plan::Select { source, projection } => {
            let rows = matching_rows(state, transaction, call, source)?;
            Ok(Step::Done(Answer::Rows(project(projection, &rows))))
        }
        Plan::Insert { table, schema, rows } => {
            state.check_writable(transaction.term())?;
            insert(state, transaction, call, table, schema, rows)
        }
        Plan::Update { source, changes } => {
            state.check_writable(transaction.term())?;
            write_matching_rows(state, transaction, call, source, "UPDATE", |row| {
                apply_changes(source.schema, row, changes, call.parameters).map(Some)
            })
        }
        Plan::Delete { source } => {
            state.check_writable(transaction.term())?;
            write_matching_rows(state, transaction, call, source, "DELETE", |_| Ok(None))
        }
        _ => Err(SqlError::unsupported("this statement")),
    }
}

fn matching_rows(
    state: &State,
    transaction: &Transaction,
    call: Call<'_>,
    source: &Source,
) -> Result<Vec<(RowKey, Row)>, SqlError> {
    let mut filters = Vec::with_capacity(source.filters.len());
    for (index, operand) in &source.filters {
        let kind = source.schema.columns[*index].kind;
        filters.push((*index, operand.value(call.parameters).clone().coerce(kind)?));
    }
    let required_text = |column: usize| {
        filters.iter().find(|(index, _)| *index == column).and_then(|(_, value)| value.as_text())
    };
    let workspace = match source.schema.workspace {
        Some(column) => required_text(column),
        None => Some(call.workspace),
    };
    let accepts = |row: &Row| {
        filters.iter().all(|(index, value)| *value != Value::Null && row[*index] == *value)
    };
    if let (Some(id), Some(workspace)) = (required_text(source.schema.id), workspace) {
        let key =
            RowKey { table: source.table.clone(), workspace: workspace.clone(), id: id.clone() };
        let found = transaction.get(&state.rows, &key).filter(|row| accepts(row)).cloned();
        return Ok(found.map(|row| (key, row)).into_iter().collect());
    }
    let mut rows = transaction.scan(&state.rows, &source.table, workspace);
    rows.retain(|(_, row)| accepts(row));
    Ok(rows)
}

fn project(projection: &Projection, rows: &[(RowKey, Row)]) -> Vec<Vec<Value>> {
    match projection {
        Projection::Columns(columns) => rows
            .iter()
            .map(|(_, row)| columns.iter().map(|index| row[*index].clone()).collect())
            .collect(),
        Projection::Aggregates(aggregates) => {
            vec![aggregates.iter().map(|aggregate| aggregate_value(*aggregate, rows)).collect()]
        }
    }
}

fn aggregate_value(aggregate: Aggregate, rows: &[(RowKey, Row)]) -> Value {
    match aggregate {
        Aggregate::Count => Value::Int(rows.len() as i64),
        Aggregate::Sum(column) => {
            let numbers = rows.iter().filter_map(|(_, row)| match row[column] {
                Value::Int(number) => Some(number),
                _ => None,
            });
            numbers.reduce(i64::wrapping_add).map_or(Value::Null, Value::Int)
        }
    }
}

fn insert(
    state: &mut State,
    transaction: &mut Transaction,
    call: Call<'_>,
    table: &Arc<str>,
    schema: &'static Schema,
    rows: &[Vec<Operand>],
) -> Result<Step, SqlError> {
    let mut new = Vec::with_capacity(rows.len());
    for operands in rows {
        let row = evaluate_row(schema, operands, call.parameters)?;
        let key = row_key(table, schema, &row, call.workspace)?;
        if !transaction.lock(state, &key) {
            return Ok(Step::Locked);
        }
        new.push((key, row));
    }
    let count = new.len();
    for (key, row) in new {
        if transaction.get(&state.rows, &key).is_some() {
            return Err(SqlError::duplicate(table, &key.id));
        }
        transaction.write(state.term, key, Some(row));
    }
    Ok(Step::Done(Answer::Tag(command_tag("INSERT 0", count))))
}

fn evaluate_row(
    schema: &'static Schema,
    operands: &[Operand],
    parameters: &[Value],
) -> Result<Row, SqlError> {
    let columns = schema.columns.iter().zip(operands);
    columns
        .map(|(column, operand)| operand.value(parameters).clone().coerce(column.kind))
        .collect::<Result<Vec<_>, _>>()
        .map(Row::from)
}

fn row_key(
    table: &Arc<str>,
    schema: &'static Schema,
    row: &Row,
    workspace: &Arc<str>,
) -> Result<RowKey, SqlError> {
    let text = |index: usize| {
        row[index].as_text().cloned().ok_or_else(|| {
            let name = schema.columns[index].name;
            SqlError::new("23502", format!("column `{name}` must not be null"))
        })
    };
    let workspace = match schema.workspace {
        Some(index) => text(index)?,
        None => workspace.clone(),
    };
    Ok(RowKey { table: table.clone(), workspace, id: text(schema.id)? })
}

fn write_matching_rows(
    state: &mut State,
    transaction: &mut Transaction,
    call: Call<'_>,
    source: &Source,
    command: &str,
    mut new_row: impl FnMut(&Row) -> Result<Option<Row>, SqlError>,
) -> Result<Step, SqlError> {
    let rows = matching_rows(state, transaction, call, source)?;
    for (key, _) in &rows {
        if !transaction.lock(state, key) {
            return Ok(Step::Locked);
        }
    }
    let count = rows.len();
    for (key, row) in rows {
        let row = new_row(&row)?;
        transaction.write(state.term, key, row);
    }
    Ok(Step::Done(Answer::Tag(command_tag(command, count))))
}

fn apply_changes(
    schema: &'static Schema,
    row: &Row,
    changes: &[(usize, Change)],
    parameters: &[Value],
) -> Result<Row, SqlError> {
    let mut values = row.to_vec();
    for (index, change) in changes {
        let kind = schema.columns[*index].kind;
        let value = |operand: &Operand| operand.value(parameters).clone().coerce(kind);
        values[*index] = match change {
            Change::Set(operand) => value(operand)?,
            Change::Add(operand) => {
                checked_arithmetic(&row[*index], &value(operand)?, i64::checked_add)?
            }
            Change::Subtract(operand) => {
                checked_arithmetic(&row[*index], &value(operand)?, i64::checked_sub)?
            }
        };
    }
    Ok(values.into())
}

fn checked_arithmetic(
    left: &Value,
    right: &Value,
    operation: fn(i64, i64) -> Option<i64>,
) -> Result<Value, SqlError> {
    let (Value::Int(left), Value::Int(right)) = (left, right) else { return Ok(Value::Null) };
    operation(*left, *right)
        .map(Value::Int)
        .ok_or_else(|| SqlError::new("22003", "integer out of range"))
}

/// Command tag such as `UPDATE 1`.
pub fn command_tag(command: &str, count: usize) -> String {
    let mut text = String::with_capacity(command.len() + 8);
    // Writing to a `String` cannot fail.
    let _ = write!(text, "{command} {count}");
    text
}
