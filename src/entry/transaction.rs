//! Transactions of callers.
//!
//! `BEGIN` is answered here; the transaction starts at its target with its first
//! statement, so that idle callers hold no connection. All statements go to the
//! owner that started it, which pins a connection to it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use sha2::{Digest, Sha256};
use tokio::time::Instant;

use super::{
    admission::Rule,
    caller::{Caller, CallerState, Running},
    cx::Cx,
    dispatch::Work,
    error,
    write::{PrimaryRef, random_key, update_digest},
};
use crate::{
    adapters::caller::{Reply, ReplyResult},
    ids::{Mark, RequestKey, Workspace},
    wire::peer::{Failure, Mode, Outcome, Refusal, RequestRecord, Rows, Statement, TransactionId},
};

/// Time that a rollback may take; the owner rolls back by itself afterwards.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two reads of the record of a commit with unknown outcome.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Open transaction of a caller.
pub struct Transaction {
    /// Set once the transaction has started at its target.
    open: Option<Open>,
    key: Option<RequestKey>,
    digest: Sha256,
    has_written: bool,
    failed: bool,
}

/// Transaction that runs at a target.
#[derive(Clone)]
struct Open {
    id: TransactionId,
    primary: PrimaryRef,
    workspace: Option<Workspace>,
    weight: u32,
}

impl Open {
    fn work<'a>(&'a self, statement: &'a Statement) -> Work<'a> {
        Work { workspace: self.workspace.as_ref(), weight: self.weight, statement }
    }
}

impl CallerState {
    /// Starts a transaction; a second `BEGIN` has no effect.
    pub(super) fn begin(&mut self) -> ReplyResult {
        if self.transaction.is_none() {
            self.transaction = Some(Transaction {
                open: None,
                key: self.request_key.take(),
                digest: Sha256::new(),
                has_written: false,
                failed: false,
            });
        }
        ReplyResult::TransactionStarted("BEGIN".to_owned())
    }

    /// Whether the transaction has failed.
    pub(super) fn is_failed(&self) -> bool {
        self.transaction.as_ref().is_some_and(|transaction| transaction.failed)
    }
}

impl Cx {
    /// Runs a statement inside the caller's transaction.
    pub(super) async fn within(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        statement: &Statement,
        rule: &Rule,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        let Some(transaction) = &mut state.transaction else {
            return Err(error::failed_transaction());
        };
        let open = match &transaction.open {
            Some(open) => open.clone(),
            None => {
                let open = self.open(caller, rule, deadline).await?;
                transaction.open.insert(open).clone()
            }
        };
        if open.workspace != rule.workspace {
            return Err(error::mixed_routes());
        }
        update_digest(&mut transaction.digest, statement);
        transaction.has_written |= rule.is_write;
        let mode = Mode::InTransaction { transaction: open.id.clone() };
        let running = Running { owner: open.primary.owner.clone(), transaction: open.id.clone() };
        *caller.running.lock() = Some(running);
        let outcome = self.execute_in(caller, &open, statement, mode, deadline).await;
        caller.running.lock().take();
        match outcome {
            Outcome::Done(rows) if rows.fields.is_empty() => {
                Ok(ReplyResult::Command(rows.tag).into())
            }
            Outcome::Done(rows) => Ok(ReplyResult::Rows(rows).into()),
            Outcome::Failed(failure) => Err(failure),
            Outcome::Refused(Refusal::UnknownTransaction) => {
                Err(error::rolled_back("its owner no longer knows it"))
            }
            Outcome::Refused(refusal) => Err(error::rolled_back(&refusal.to_string())),
            // Without a commit nothing of the transaction can take effect.
            Outcome::Unknown { reason } => Err(error::rolled_back(&reason)),
        }
    }

    /// Starts the transaction at the primary; tries again while nothing was sent.
    async fn open(
        self: &Arc<Self>,
        caller: &Caller,
        rule: &Rule,
        deadline: Instant,
    ) -> Result<Open, Failure> {
        loop {
            let Some(primary) = self.primary(caller, deadline).await else {
                return Err(error::no_primary());
            };
            let open = Open {
                id: TransactionId {
                    host: self.settings.host.clone(),
                    incarnation: self.incarnation,
                    number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
                },
                primary,
                workspace: rule.workspace.clone(),
                weight: rule.weight,
            };
            let statement = Statement { sql: "BEGIN".to_owned(), bind: None };
            let mode = Mode::Begin { transaction: open.id.clone(), term: open.primary.term };
            match self.execute_in(caller, &open, &statement, mode, deadline).await {
                Outcome::Done(_) => return Ok(open),
                Outcome::Failed(failure) => return Err(failure),
                Outcome::Refused(refusal) => {
                    spdlog::debug!("cannot begin at {}: {refusal}", open.primary.owner.instance);
                }
                // An abandoned `BEGIN` has no effect; its owner rolls it back.
                Outcome::Unknown { .. } => self.clone().abandon_open(open),
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
    }

    /// Commits the caller's transaction.
    pub(super) async fn commit(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        let ended = |tag: &str| ReplyResult::TransactionEnded(tag.to_owned());
        let key_check = self.check_caller(caller);
        let Some(transaction) = state.transaction.take() else { return Ok(ended("COMMIT").into()) };
        let Some(open) = transaction.open else {
            let tag = if transaction.failed { "ROLLBACK" } else { "COMMIT" };
            return Ok(ended(tag).into());
        };
        if let Err(failure) = key_check {
            self.roll_back(&open).await;
            return Err(failure);
        }
        let record = transaction.has_written.then(|| RequestRecord {
            key: transaction.key.unwrap_or_else(random_key),
            digest: hex::encode(transaction.digest.finalize()),
        });
        let mark = self.commit_open(caller, &open, record, deadline).await?;
        self.acknowledge(caller, state, ended("COMMIT"), mark, deadline).await
    }

    async fn commit_open(
        self: &Arc<Self>,
        caller: &Caller,
        open: &Open,
        record: Option<RequestRecord>,
        deadline: Instant,
    ) -> Result<Option<Mark>, Failure> {
        let statement = Statement { sql: "COMMIT".to_owned(), bind: None };
        let mode = Mode::Commit { transaction: open.id.clone(), record: record.clone() };
        match self.execute_in(caller, open, &statement, mode, deadline).await {
            Outcome::Done(rows) => Ok(rows.mark.filter(|_| record.is_some())),
            Outcome::Failed(failure) => Err(failure),
            Outcome::Refused(refusal) => Err(error::rolled_back(&refusal.to_string())),
            Outcome::Unknown { reason } => match record {
                Some(record) => self.settle(caller, open, &record, &reason, deadline).await,
                None => Ok(None),
            },
        }
    }

    /// Learns the outcome of a commit from its request record.
    async fn settle(
        self: &Arc<Self>,
        caller: &Caller,
        open: &Open,
        record: &RequestRecord,
        reason: &str,
        deadline: Instant,
    ) -> Result<Option<Mark>, Failure> {
        let statement = Statement::default();
        let work = open.work(&statement);
        while let Some(primary) = self.primary(caller, deadline).await {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let mode = Mode::ReadRecord { term: primary.term, record: record.clone() };
            match self.execute_at(&primary, caller, work, mode, remaining).await {
                Outcome::Done(Rows { mark, .. }) => return Ok(mark),
                // Under a newer term the old primary can no longer commit.
                Outcome::Refused(Refusal::NoRecord) if primary.term > open.primary.term => {
                    return Err(error::rolled_back(reason));
                }
                Outcome::Failed(failure) => return Err(failure),
                Outcome::Refused(_) | Outcome::Unknown { .. } => {}
            }
            tokio::time::sleep(SETTLE_PAUSE.min(remaining)).await;
        }
        Err(error::unknown(reason, Some(record.key.as_str())))
    }

    /// Rolls the caller's transaction back.
    pub(super) async fn rollback(self: &Arc<Self>, state: &mut CallerState) -> ReplyResult {
        if let Some(open) = state.transaction.take().and_then(|transaction| transaction.open) {
            self.roll_back(&open).await;
        }
        ReplyResult::TransactionEnded("ROLLBACK".to_owned())
    }

    /// Marks the transaction as failed, if there is one, and rolls it back.
    ///
    /// Its caller may stay silent after the error, and its locks must not wait for that.
    pub(super) async fn fail_transaction(&self, state: &mut CallerState) {
        let Some(transaction) = &mut state.transaction else { return };
        transaction.failed = true;
        if let Some(open) = transaction.open.take() {
            self.roll_back(&open).await;
        }
    }

    /// Rolls back the transaction of a caller that has gone.
    pub(super) fn abandon(self: Arc<Self>, transaction: Transaction) {
        if let Some(open) = transaction.open {
            self.abandon_open(open);
        }
    }

    fn abandon_open(self: Arc<Self>, open: Open) {
        tokio::spawn(async move { self.roll_back(&open).await });
    }

    async fn roll_back(&self, open: &Open) {
        let statement = Statement { sql: "ROLLBACK".to_owned(), bind: None };
        let mode = Mode::Rollback { transaction: open.id.clone() };
        let work = open.work(&statement);
        let outcome = self.execute(&open.primary.owner, work, mode, ROLLBACK_TIMEOUT).await;
        if !matches!(outcome, Outcome::Done(_)) {
            spdlog::debug!("rollback of {} was not confirmed; its owner ends it", open.id);
        }
    }

    async fn execute_in(
        &self,
        caller: &Caller,
        open: &Open,
        statement: &Statement,
        mode: Mode,
        deadline: Instant,
    ) -> Outcome {
        let remaining = deadline.saturating_duration_since(Instant::now());
        self.execute_at(&open.primary, caller, open.work(statement), mode, remaining).await
    }
}
