//! State machine of an instance: rows, log, locks, term and role.
//!
//! All functions are synchronous and take the current time as an argument. The
//! runtime guards the state with one mutex and never awaits while holding it.

use std::collections::{BTreeMap, VecDeque};

use super::{
    error::SqlError,
    log::{Entry, Log},
    rows::{Database, RowKey},
    transaction::{Transaction, TransactionNumber},
};
use crate::{
    clock::Millis,
    ids::{InstanceId, Mark, Term},
    state::model::Role,
    wire::control::FenceResponse,
};

/// Received entries that are not applied before the replication lag has elapsed.
#[derive(Debug, Clone, Copy)]
struct PendingBatch {
    due: Millis,
    /// Position of the last entry in the batch.
    end: u64,
    /// Time at which the primary had no entry after `end`, if it reported that.
    current_at: Option<Millis>,
}

/// State of one instance.
#[derive(Debug)]
pub struct State {
    pub rows: Database,
    pub log: Log,
    /// Highest term that the instance has accepted.
    pub term: Term,
    pub role: Role,
    /// Position of the last applied entry.
    applied: u64,
    /// On a primary, position of the first entry of its term.
    term_start: u64,
    /// On a primary, log position that each replica has acknowledged in its term.
    acknowledged: BTreeMap<InstanceId, u64>,
    locks: BTreeMap<RowKey, TransactionNumber>,
    pending: VecDeque<PendingBatch>,
    /// Latest time at which the applied data was known to match the primary.
    current_at: Millis,
    /// Time of the last accepted answer from a primary.
    last_contact_at: Millis,
    /// Primary of the accepted term, if known.
    pub primary: Option<InstanceId>,
    group_size: usize,
}

impl State {
    /// Creates an empty replica in a group of `group_size` instances.
    pub fn new(group_size: usize, now: Millis) -> Self {
        Self {
            rows: Database::default(),
            log: Log::default(),
            term: Term(0),
            role: Role::Replica,
            applied: 0,
            term_start: 0,
            acknowledged: BTreeMap::new(),
            locks: BTreeMap::new(),
            pending: VecDeque::new(),
            current_at: now,
            last_contact_at: now,
            primary: None,
            group_size,
        }
    }

    /// Whether the instance accepts writes.
    pub fn is_primary(&self) -> bool {
        self.role == Role::Primary
    }

    /// Mark of the last applied entry.
    pub fn applied(&self) -> Mark {
        self.log.mark(self.applied)
    }

    /// Age of the applied data; 0 on the primary.
    pub fn age(&self, now: Millis) -> Millis {
        if self.is_primary() { Millis(0) } else { now.since(self.current_at) }
    }

    /// Time since the last answer from a primary; 0 on the primary.
    pub fn silence(&self, now: Millis) -> Millis {
        if self.is_primary() { Millis(0) } else { now.since(self.last_contact_at) }
    }

    /// Locks `key` for `owner`; false if another transaction holds it.
    pub fn try_lock(&mut self, key: &RowKey, owner: TransactionNumber) -> bool {
        match self.locks.get(key) {
            Some(holder) => *holder == owner,
            None => {
                self.locks.insert(key.clone(), owner);
                true
            }
        }
    }

    /// Releases the locks of `transaction`.
    pub fn release(&mut self, transaction: &Transaction) {
        for key in transaction.locked() {
            if self.locks.get(key) == Some(&transaction.number()) {
                self.locks.remove(key);
            }
        }
    }

    /// Checks that a transaction whose first write was in `term` may still write.
    pub fn check_writable(&self, term: Option<Term>) -> Result<(), SqlError> {
        let same_term = term.is_none_or(|term| term == self.term);
        if self.is_primary() && same_term { Ok(()) } else { Err(SqlError::read_only()) }
    }

    /// Commits the writes of `transaction` and releases its locks.
    pub fn commit(&mut self, transaction: Transaction) -> Result<Mark, SqlError> {
        self.release(&transaction);
        if !transaction.has_writes() {
            return Ok(self.applied());
        }
        self.check_writable(transaction.term())?;
        let entry = Entry { term: self.term, changes: transaction.into_changes() };
        Ok(self.append(entry))
    }

    fn append(&mut self, entry: Entry) -> Mark {
        for change in &entry.changes {
            self.rows.apply(change);
        }
        let mark = self.log.push(entry);
        self.applied = mark.position.0;
        mark
    }

    /// Rejects all terms older than `term` from now on.
    pub fn fence(&mut self, term: Term, now: Millis) -> FenceResponse {
        if term > self.term {
            self.adopt_term(term, now);
        }
        self.answer(self.term == term)
    }

    /// Promotes the instance to primary of `term`.
    pub fn promote(&mut self, term: Term, name: &InstanceId, now: Millis) -> FenceResponse {
        if term == self.term && self.is_primary() {
            return self.answer(true);
        }
        // A term has a single primary; entries of the term prove that another instance was it.
        let taken = self.primary.is_some() || self.log.last().term == term;
        if term < self.term || (term == self.term && taken) {
            return self.answer(false);
        }
        self.adopt_term(term, now);
        self.apply_to(self.log.len());
        self.pending.clear();
        self.role = Role::Primary;
        self.primary = Some(name.clone());
        self.acknowledged.clear();
        // The empty entry moves the last mark into the new term.
        self.append(Entry { term, changes: Vec::new() });
        self.term_start = self.log.len();
        self.answer(true)
    }

    fn answer(&self, accepted: bool) -> FenceResponse {
        FenceResponse { accepted, term: self.term, last: self.log.last() }
    }

    fn adopt_term(&mut self, term: Term, now: Millis) {
        if term <= self.term {
            return;
        }
        if self.is_primary() {
            self.current_at = now;
            self.last_contact_at = now;
        }
        self.term = term;
        self.role = Role::Replica;
        self.primary = None;
        self.acknowledged.clear();
    }

    /// Records that `replica` has accepted `term` and has the log up to `position`.
    pub fn acknowledge(&mut self, replica: &InstanceId, term: Term, position: u64) {
        if self.is_primary() && term == self.term {
            let held = self.acknowledged.entry(replica.clone()).or_default();
            *held = position.max(*held);
        }
    }

    /// Whether a majority holds `mark`; `None` if this instance cannot determine it,
    /// because it is not the primary or its log does not contain the entry.
    ///
    /// Entries of earlier terms count only once an entry of the current term is
    /// replicated: until then a primary of an intermediate term could replace them.
    pub fn majority_holds(&self, mark: Mark) -> Option<bool> {
        if !self.is_primary() || !self.log.holds(mark) {
            return None;
        }
        let needed = mark.position.0.max(self.term_start);
        let holders =
            1 + self.acknowledged.values().filter(|position| **position >= needed).count();
        Some(holders > self.group_size / 2)
    }

    /// Accepts entries from a primary; false if its term is stale, if this instance is the
    /// primary of that term, or if the local log has become shorter than the common prefix.
    ///
    /// The log is truncated only at the first differing entry: entries that the primary
    /// does not have were never acknowledged, and all others are kept.
    pub fn receive(&mut self, batch: ReceivedBatch, lag: Millis, now: Millis) -> bool {
        let own_term = batch.term == self.term && self.is_primary();
        if batch.term < self.term || own_term || batch.common > self.log.len() {
            return false;
        }
        self.adopt_term(batch.term, now);
        self.primary = Some(batch.from);
        self.last_contact_at = now;
        let mut position = batch.common;
        for entry in batch.entries {
            position += 1;
            match self.log.get(position) {
                Some(known) if known.term == entry.term => continue,
                Some(_) => self.truncate(position - 1),
                None => {}
            }
            self.log.push(entry);
        }
        let current_at = batch.complete.then_some(batch.current_at);
        self.pending.push_back(PendingBatch { due: now + lag, end: position, current_at });
        self.apply_due(now);
        true
    }

    /// Applies all batches whose replication lag has elapsed.
    pub fn apply_due(&mut self, now: Millis) {
        while let Some(batch) = self.pending.front().copied() {
            if batch.due > now {
                break;
            }
            self.pending.pop_front();
            self.apply_to(batch.end);
            if let Some(current_at) = batch.current_at {
                self.current_at = current_at.max(self.current_at);
            }
        }
    }

    /// Time at which the next pending batch is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.pending.front().map(|batch| batch.due)
    }

    fn apply_to(&mut self, end: u64) {
        while self.applied < end {
            let Some(entry) = self.log.get(self.applied + 1) else { break };
            for change in &entry.changes {
                self.rows.apply(change);
            }
            self.applied += 1;
        }
    }

    /// Truncates the log after `position` and rebuilds the rows if later entries were applied.
    fn truncate(&mut self, position: u64) {
        self.log.truncate(position);
        for batch in &mut self.pending {
            batch.end = batch.end.min(position);
            batch.current_at = None;
        }
        if self.applied > position {
            self.rows = Database::default();
            self.applied = 0;
            self.apply_to(position);
        }
    }
}

/// Entries that a replica received from a primary.
#[derive(Debug)]
pub struct ReceivedBatch {
    pub from: InstanceId,
    pub term: Term,
    /// Length of the prefix that both logs share.
    pub common: u64,
    pub entries: Vec<Entry>,
    /// Whether the primary had no later entry when it answered.
    pub complete: bool,
    /// Lower bound, on the local clock, of the time at which the primary answered.
    pub current_at: Millis,
}
