//! Uncommitted writes of a transaction.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    rows::{Database, Row, RowChange, RowKey},
    state::State,
};
use crate::ids::Term;

/// Transaction number, unique within one instance.
pub type TransactionNumber = u64;

/// Open transaction with its buffered writes and row locks.
#[derive(Debug)]
pub struct Transaction {
    number: TransactionNumber,
    /// Term of the primary at the first write.
    term: Option<Term>,
    writes: BTreeMap<RowKey, Option<Row>>,
    locked: Vec<RowKey>,
}

impl Transaction {
    /// Transaction without writes.
    pub fn new(number: TransactionNumber) -> Self {
        Self { number, term: None, writes: BTreeMap::new(), locked: Vec::new() }
    }

    pub fn number(&self) -> TransactionNumber {
        self.number
    }

    /// Term of the primary at the first write; `None` without writes.
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// Keys of the rows locked by this transaction.
    pub fn locked(&self) -> &[RowKey] {
        &self.locked
    }

    /// Whether a commit appends an entry to the log.
    pub fn has_writes(&self) -> bool {
        !self.writes.is_empty()
    }

    /// Locks a row; false if another transaction holds it.
    pub fn lock(&mut self, state: &mut State, key: &RowKey) -> bool {
        if !state.try_lock(key, self.number) {
            return false;
        }
        self.locked.push(key.clone());
        true
    }

    /// Buffers a write to a locked row; `None` deletes it.
    pub fn write(&mut self, term: Term, key: RowKey, row: Option<Row>) {
        self.term.get_or_insert(term);
        self.writes.insert(key, row);
    }

    /// Row as visible to the transaction.
    pub fn get<'a>(&'a self, rows: &'a Database, key: &RowKey) -> Option<&'a Row> {
        match self.writes.get(key) {
            Some(written) => written.as_ref(),
            None => rows.get(key),
        }
    }

    /// Rows of a table as visible to the transaction, ordered by workspace and id.
    pub fn scan(
        &self,
        rows: &Database,
        table: &Arc<str>,
        workspace: Option<&Arc<str>>,
    ) -> Vec<(RowKey, Row)> {
        let committed = rows.scan(table, workspace);
        if self.writes.is_empty() {
            return committed.map(|(key, row)| (key, row.clone())).collect();
        }
        let mut visible: BTreeMap<RowKey, Row> =
            committed.map(|(key, row)| (key, row.clone())).collect();
        for (key, written) in &self.writes {
            let in_workspace = workspace.is_none_or(|workspace| *workspace == key.workspace);
            if key.table != *table || !in_workspace {
                continue;
            }
            match written {
                Some(row) => visible.insert(key.clone(), row.clone()),
                None => visible.remove(key),
            };
        }
        visible.into_iter().collect()
    }

    /// Row changes for the log entry.
    pub fn into_changes(self) -> Vec<RowChange> {
        self.writes.into_iter().map(|(key, row)| RowChange { key, row }).collect()
    }
}
