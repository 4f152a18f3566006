//! Transactions of callers.
//!
//! `BEGIN` is answered by this host. The transaction starts at the target with its
//! first statement, so that idle callers hold no connection to it. All statements go
//! to the owner that started the transaction, which reserves a connection for it.

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
    admission::StatementPolicy,
    caller::{Caller, CallerState, RunningStatement},
    cx::Cx,
    dispatch::StatementRequest,
    error,
    write::{PrimaryRef, random_key, update_digest},
};
use crate::{
    adapters::caller::{Reply, ReplyResult},
    ids::{Mark, RequestKey, Workspace},
    wire::peer::{Failure, Mode, Outcome, Refusal, RequestRecord, Rows, Statement, TransactionId},
};

/// Timeout of a rollback request; the owner rolls the transaction back by itself if the
/// request is lost.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between attempts to start a transaction, and between reads of the request
/// record of a commit with unknown outcome.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

static NEXT_TRANSACTION_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Open transaction of a caller.
pub struct Transaction {
    /// Set after the first statement has started the transaction at the target.
    started: Option<StartedTransaction>,
    key: Option<RequestKey>,
    digest: Sha256,
    has_written: bool,
    failed: bool,
}

/// Transaction that has started at a target.
#[derive(Clone)]
struct StartedTransaction {
    id: TransactionId,
    primary: PrimaryRef,
    workspace: Option<Workspace>,
    weight: u32,
}

impl StartedTransaction {
    fn request<'a>(&'a self, statement: &'a Statement) -> StatementRequest<'a> {
        StatementRequest { workspace: self.workspace.as_ref(), weight: self.weight, statement }
    }
}

impl CallerState {
    /// Opens a transaction; a second `BEGIN` has no effect.
    pub(super) fn begin(&mut self) -> ReplyResult {
        if self.transaction.is_none() {
            self.transaction = Some(Transaction {
                started: None,
                key: self.request_key.take(),
                digest: Sha256::new(),
                has_written: false,
                failed: false,
            });
        }
        ReplyResult::TransactionStarted("BEGIN".to_owned())
    }

    /// Whether there is a transaction that has failed.
    pub(super) fn is_failed(&self) -> bool {
        self.transaction.as_ref().is_some_and(|transaction| transaction.failed)
    }
}

impl Cx {
    /// Runs a statement inside the caller's transaction.
    pub(super) async fn run_in_transaction(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        statement: &Statement,
        policy: &StatementPolicy,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        let Some(transaction) = &mut state.transaction else {
            return Err(error::failed_transaction());
        };
        let started = match &transaction.started {
            Some(started) => started.clone(),
            None => {
                let started = self.start_transaction(caller, policy, deadline).await?;
                transaction.started.insert(started).clone()
            }
        };
        if started.workspace != policy.workspace {
            return Err(error::mixed_routes());
        }
        update_digest(&mut transaction.digest, statement);
        transaction.has_written |= policy.is_write;
        let mode = Mode::InTransaction { transaction: started.id.clone() };
        let running = RunningStatement {
            owner: started.primary.owner.clone(),
            transaction: started.id.clone(),
        };
        *caller.running.lock() = Some(running);
        let outcome =
            self.execute_in_transaction(caller, &started, statement, mode, deadline).await;
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
            // Without a commit, no write of the transaction can take effect.
            Outcome::Unknown { reason } => Err(error::rolled_back(&reason)),
        }
    }

    /// Starts the transaction at the primary; retries until the deadline, because a lost
    /// `BEGIN` has no effect.
    async fn start_transaction(
        self: &Arc<Self>,
        caller: &Caller,
        policy: &StatementPolicy,
        deadline: Instant,
    ) -> Result<StartedTransaction, Failure> {
        loop {
            let Some(primary) = self.wait_for_primary(caller, deadline).await else {
                return Err(error::no_primary());
            };
            let started = StartedTransaction {
                id: TransactionId {
                    host: self.settings.host.clone(),
                    incarnation: self.incarnation,
                    number: NEXT_TRANSACTION_NUMBER.fetch_add(1, Ordering::Relaxed),
                },
                primary,
                workspace: policy.workspace.clone(),
                weight: policy.weight,
            };
            let statement = Statement { sql: "BEGIN".to_owned(), bind: None };
            let mode = Mode::Begin { transaction: started.id.clone(), term: started.primary.term };
            match self.execute_in_transaction(caller, &started, &statement, mode, deadline).await {
                Outcome::Done(_) => return Ok(started),
                Outcome::Failed(failure) => return Err(failure),
                Outcome::Refused(refusal) => {
                    spdlog::debug!(
                        "cannot start transaction at instance {}: {refusal}",
                        started.primary.owner.instance
                    );
                }
                // The transaction may have started, so it is rolled back.
                Outcome::Unknown { .. } => self.clone().roll_back_in_background(started),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
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
        let key_check = self.check_caller_key(caller);
        let Some(transaction) = state.transaction.take() else { return Ok(ended("COMMIT").into()) };
        let Some(started) = transaction.started else {
            let tag = if transaction.failed { "ROLLBACK" } else { "COMMIT" };
            return Ok(ended(tag).into());
        };
        if let Err(failure) = key_check {
            self.roll_back_at_owner(&started).await;
            return Err(failure);
        }
        let record = transaction.has_written.then(|| RequestRecord {
            key: transaction.key.unwrap_or_else(random_key),
            digest: hex::encode(transaction.digest.finalize()),
        });
        let mark = self.commit_at_target(caller, &started, record, deadline).await?;
        self.acknowledge(caller, state, ended("COMMIT"), mark, deadline).await
    }

    async fn commit_at_target(
        self: &Arc<Self>,
        caller: &Caller,
        started: &StartedTransaction,
        record: Option<RequestRecord>,
        deadline: Instant,
    ) -> Result<Option<Mark>, Failure> {
        let statement = Statement { sql: "COMMIT".to_owned(), bind: None };
        let mode = Mode::Commit { transaction: started.id.clone(), record: record.clone() };
        match self.execute_in_transaction(caller, started, &statement, mode, deadline).await {
            Outcome::Done(rows) => Ok(rows.mark.filter(|_| record.is_some())),
            Outcome::Failed(failure) => Err(failure),
            Outcome::Refused(refusal) => Err(error::rolled_back(&refusal.to_string())),
            Outcome::Unknown { reason } => match record {
                Some(record) => {
                    self.resolve_commit(caller, started, &record, &reason, deadline).await
                }
                None => Ok(None),
            },
        }
    }

    /// Determines the outcome of a commit by reading its request record at the primary.
    async fn resolve_commit(
        self: &Arc<Self>,
        caller: &Caller,
        started: &StartedTransaction,
        record: &RequestRecord,
        reason: &str,
        deadline: Instant,
    ) -> Result<Option<Mark>, Failure> {
        let statement = Statement::default();
        let request = started.request(&statement);
        while let Some(primary) = self.wait_for_primary(caller, deadline).await {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let mode = Mode::ReadRecord { term: primary.term, record: record.clone() };
            match self.execute_at_primary(&primary, caller, request, mode, remaining).await {
                Outcome::Done(Rows { mark, .. }) => return Ok(mark),
                // A primary of an older term can no longer commit, so without a record
                // under a newer term the transaction was rolled back.
                Outcome::Refused(Refusal::NoRecord) if primary.term > started.primary.term => {
                    return Err(error::rolled_back(reason));
                }
                Outcome::Failed(failure) => return Err(failure),
                Outcome::Refused(_) | Outcome::Unknown { .. } => {}
            }
            tokio::time::sleep(RETRY_PAUSE.min(remaining)).await;
        }
        Err(error::unknown(reason, Some(record.key.as_str())))
    }

    /// Rolls back the caller's transaction.
    pub(super) async fn rollback(self: &Arc<Self>, state: &mut CallerState) -> ReplyResult {
        if let Some(started) = state.transaction.take().and_then(|transaction| transaction.started)
        {
            self.roll_back_at_owner(&started).await;
        }
        ReplyResult::TransactionEnded("ROLLBACK".to_owned())
    }

    /// Marks the transaction as failed, if there is one, and rolls it back.
    ///
    /// The rollback does not wait for the caller's `ROLLBACK`, because an idle caller
    /// would keep the locks of the transaction.
    pub(super) async fn fail_transaction(&self, state: &mut CallerState) {
        let Some(transaction) = &mut state.transaction else { return };
        transaction.failed = true;
        if let Some(started) = transaction.started.take() {
            self.roll_back_at_owner(&started).await;
        }
    }

    /// Rolls back the transaction of a caller that has disconnected.
    pub(super) fn abandon(self: Arc<Self>, transaction: Transaction) {
        if let Some(started) = transaction.started {
            self.roll_back_in_background(started);
        }
    }

    fn roll_back_in_background(self: Arc<Self>, started: StartedTransaction) {
        tokio::spawn(async move { self.roll_back_at_owner(&started).await });
    }

    async fn roll_back_at_owner(&self, started: &StartedTransaction) {
        let statement = Statement { sql: "ROLLBACK".to_owned(), bind: None };
        let mode = Mode::Rollback { transaction: started.id.clone() };
        let request = started.request(&statement);
        let outcome = self.execute(&started.primary.owner, request, mode, ROLLBACK_TIMEOUT).await;
        if !matches!(outcome, Outcome::Done(_)) {
            spdlog::debug!(
                "rollback of transaction {} was not confirmed; its owner ends it",
                started.id
            );
        }
    }

    async fn execute_in_transaction(
        &self,
        caller: &Caller,
        started: &StartedTransaction,
        statement: &Statement,
        mode: Mode,
        deadline: Instant,
    ) -> Outcome {
        let remaining = deadline.saturating_duration_since(Instant::now());
        self.execute_at_primary(
            &started.primary,
            caller,
            started.request(statement),
            mode,
            remaining,
        )
        .await
    }
}
