//! Writes of a transaction before its commit.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    rows::{Database, Row, RowChange, RowKey},
    state::State,
};
use crate::ids::Term;

/// Number of a transaction within one instance.
pub type TransactionNumber = u64;

/// Uncommitted writes with their row locks.
#[derive(Debug)]
pub struct Transaction {
    number: TransactionNumber,
    /// Term of the primary when the first row was written.
    term: Option<Term>,
    writes: BTreeMap<RowKey, Option<Row>>,
    locked: Vec<RowKey>,
}

impl Transaction {
    /// Transaction without writes.
    pub fn new(number: TransactionNumber) -> Self {
        Self { number, term: None, writes: BTreeMap::new(), locked: Vec::new() }
    }

    /// Number of the transaction.
    pub fn number(&self) -> TransactionNumber {
        self.number
    }

    /// Term under which the transaction began to write.
    pub fn term(&self) -> Option<Term> {
        self.term
    }

    /// Rows that the transaction has locked.
    pub fn locked(&self) -> &[RowKey] {
        &self.locked
    }

    /// Whether a commit adds an entry to the log.
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

    /// Writes a locked row; `None` deletes it.
    pub fn write(&mut self, term: Term, key: RowKey, row: Option<Row>) {
        self.term.get_or_insert(term);
        self.writes.insert(key, row);
    }

    /// Row as the transaction sees it.
    pub fn get<'a>(&'a self, rows: &'a Database, key: &RowKey) -> Option<&'a Row> {
        match self.writes.get(key) {
            Some(written) => written.as_ref(),
            None => rows.get(key),
        }
    }

    /// Rows of a table as the transaction sees them, ordered by workspace and id.
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
        let mut seen: BTreeMap<RowKey, Row> =
            committed.map(|(key, row)| (key, row.clone())).collect();
        for (key, written) in &self.writes {
            let in_workspace = workspace.is_none_or(|workspace| *workspace == key.workspace);
            if key.table != *table || !in_workspace {
                continue;
            }
            match written {
                Some(row) => seen.insert(key.clone(), row.clone()),
                None => seen.remove(key),
            };
        }
        seen.into_iter().collect()
    }

    /// Changes for the log.
    pub fn into_changes(self) -> Vec<RowChange> {
        self.writes.into_iter().map(|(key, row)| RowChange { key, row }).collect()
    }
}
