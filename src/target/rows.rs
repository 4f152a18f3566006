//! Committed rows of an instance.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::value::Value;

/// Values in the order of the schema's columns.
pub type Row = Arc<[Value]>;

/// Identity of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    pub table: Arc<str>,
    pub workspace: Arc<str>,
    pub id: Arc<str>,
}

/// New state of one row; `None` deletes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    pub key: RowKey,
    pub row: Option<Row>,
}

/// Rows of one workspace by id.
type Ids = BTreeMap<Arc<str>, Row>;

/// Rows by table, workspace and id; tables exist once they hold a row.
#[derive(Debug, Default)]
pub struct Database {
    tables: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Ids>>,
}

impl Database {
    /// Row under `key`.
    pub fn get(&self, key: &RowKey) -> Option<&Row> {
        self.tables.get(&key.table)?.get(&key.workspace)?.get(&key.id)
    }

    /// Rows of `table` in one workspace, or in all of them.
    pub fn scan<'a>(
        &'a self,
        table: &'a Arc<str>,
        workspace: Option<&'a Arc<str>>,
    ) -> impl Iterator<Item = (RowKey, &'a Row)> {
        let workspaces = self.tables.get(table).into_iter().flatten();
        workspaces.filter(move |(name, _)| workspace.is_none_or(|wanted| wanted == *name)).flat_map(
            move |(name, ids)| {
                ids.iter().map(move |(id, row)| {
                    let key =
                        RowKey { table: table.clone(), workspace: name.clone(), id: id.clone() };
                    (key, row)
                })
            },
        )
    }

    /// Applies one change.
    pub fn apply(&mut self, change: &RowChange) {
        let RowKey { table, workspace, id } = &change.key;
        match &change.row {
            Some(row) => {
                let workspaces = self.tables.entry(table.clone()).or_default();
                workspaces.entry(workspace.clone()).or_default().insert(id.clone(), row.clone());
            }
            None => {
                let ids = self.tables.get_mut(table).and_then(|table| table.get_mut(workspace));
                if let Some(ids) = ids {
                    ids.remove(id);
                }
            }
        }
    }
}
