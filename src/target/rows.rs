//! In-memory storage of the committed rows of an instance.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::value::Value;

/// Row values, in the column order of the schema.
pub type Row = Arc<[Value]>;

/// Primary key of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    pub table: Arc<str>,
    pub workspace: Arc<str>,
    pub id: Arc<str>,
}

/// Insert, update or deletion of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    pub key: RowKey,
    /// New row; `None` deletes it.
    pub row: Option<Row>,
}

/// Rows of one table and workspace by id.
type RowsById = BTreeMap<Arc<str>, Row>;

/// Rows by table, workspace and id; the first row inserted creates its table.
#[derive(Debug, Default)]
pub struct Database {
    tables: BTreeMap<Arc<str>, BTreeMap<Arc<str>, RowsById>>,
}

impl Database {
    pub fn get(&self, key: &RowKey) -> Option<&Row> {
        self.tables.get(&key.table)?.get(&key.workspace)?.get(&key.id)
    }

    /// Iterates over the rows of `table` in `workspace`, or in all workspaces if `None`.
    pub fn scan<'a>(
        &'a self,
        table: &'a Arc<str>,
        workspace: Option<&'a Arc<str>>,
    ) -> impl Iterator<Item = (RowKey, &'a Row)> {
        let workspaces = self.tables.get(table).into_iter().flatten();
        workspaces
            .filter(move |(name, _)| workspace.is_none_or(|selected| selected == *name))
            .flat_map(move |(name, rows)| {
                rows.iter().map(move |(id, row)| {
                    let key =
                        RowKey { table: table.clone(), workspace: name.clone(), id: id.clone() };
                    (key, row)
                })
            })
    }

    pub fn apply(&mut self, change: &RowChange) {
        let RowKey { table, workspace, id } = &change.key;
        match &change.row {
            Some(row) => {
                let workspaces = self.tables.entry(table.clone()).or_default();
                workspaces.entry(workspace.clone()).or_default().insert(id.clone(), row.clone());
            }
            None => {
                let rows = self.tables.get_mut(table).and_then(|table| table.get_mut(workspace));
                if let Some(rows) = rows {
                    rows.remove(id);
                }
            }
        }
    }
}
