//! Writes outside transactions.
//!
//! A write that is not idempotent carries a request record, which the target stores in
//! the transaction of the write. An attempt of unknown outcome can therefore be retried
//! with the same record: the unique key on the record lets at most one attempt commit.

use std::{sync::Arc, time::Duration};

use sha2::{Digest, Sha256};
use tokio::time::Instant;

use super::{
    admission::StatementPolicy,
    caller::{Caller, CallerState, mark_text},
    cx::Cx,
    dispatch::{OwnerRef, StatementRequest},
    error,
    retries::FailedAttempt,
};
use crate::{
    adapters::caller::{Reply, ReplyResult},
    ids::{Mark, RequestKey, Service, Term},
    wire::peer::{Failure, Mode, Outcome, Refusal, RequestRecord, Rows, Statement},
};

/// SQLSTATE of a write that was rolled back and may be retried.
const ROLLED_BACK: &str = "40001";

/// Primary of a service with its owner and term, according to the view.
#[derive(Debug, Clone)]
pub struct PrimaryRef {
    pub owner: OwnerRef,
    pub term: Term,
}

impl Cx {
    /// Runs a write at the primary and stores its mark.
    pub(super) async fn write(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        statement: &Statement,
        policy: &StatementPolicy,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        let record = (!policy.idempotent).then(|| RequestRecord {
            key: state.request_key.take().unwrap_or_else(random_key),
            digest: digest(std::slice::from_ref(statement)),
        });
        let rows = self.write_with_retries(caller, statement, policy, record, deadline).await?;
        let mark = rows.mark;
        let result = if rows.fields.is_empty() {
            ReplyResult::Command(rows.tag)
        } else {
            ReplyResult::Rows(rows)
        };
        self.acknowledge(caller, state, result, mark, deadline).await
    }

    /// Stores the mark of a committed write, then builds the reply, which reports the mark
    /// as `pomelopin.mark`.
    pub(super) async fn acknowledge(
        self: &Arc<Self>,
        caller: &Caller,
        state: &mut CallerState,
        result: ReplyResult,
        mark: Option<Mark>,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        let Some(mark) = mark else { return Ok(result.into()) };
        self.store_mark(caller, state, mark, deadline).await?;
        let parameters = vec![("pomelopin.mark", mark_text(&caller.service, mark))];
        Ok(Reply { result, parameters })
    }

    async fn write_with_retries(
        &self,
        caller: &Caller,
        statement: &Statement,
        policy: &StatementPolicy,
        record: Option<RequestRecord>,
        deadline: Instant,
    ) -> Result<Rows, Failure> {
        let key = record.as_ref().map(|record| record.key.clone());
        let request = StatementRequest {
            workspace: policy.workspace.as_ref(),
            weight: policy.weight,
            statement,
        };
        let mut attempts = 0;
        self.deposit_retry_budget(policy.workspace.as_ref());
        let mut last: Option<Outcome> = None;
        loop {
            let Some(primary) = self.wait_for_primary(caller, deadline).await else {
                return Err(final_error(last, key.as_ref()));
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            let mode = Mode::Write { term: primary.term, record: record.clone() };
            let outcome = self.execute_at_primary(&primary, caller, request, mode, remaining).await;
            match outcome {
                Outcome::Done(rows) => return Ok(rows),
                Outcome::Failed(failure) if failure.code != ROLLED_BACK => return Err(failure),
                _ => {}
            }
            attempts += 1;
            let failed = FailedAttempt {
                workspace: policy.workspace.as_ref(),
                outcome: &outcome,
                attempts,
                replaced: self.is_replaced(&caller.service, primary.term),
            };
            let again = self.wait_before_retry(failed, deadline).await;
            // A refused retry says nothing about an earlier attempt of unknown outcome.
            if !matches!(last, Some(Outcome::Unknown { .. }))
                || !matches!(outcome, Outcome::Refused(_))
            {
                last = Some(outcome);
            }
            if !again {
                return Err(final_error(last, key.as_ref()));
            }
        }
    }

    /// Runs `request` at the primary; stops waiting when the primary is replaced.
    ///
    /// A primary behind a network partition would delay the request until its deadline,
    /// although the new primary can serve it.
    pub(super) async fn execute_at_primary(
        &self,
        primary: &PrimaryRef,
        caller: &Caller,
        request: StatementRequest<'_>,
        mode: Mode,
        remaining: Duration,
    ) -> Outcome {
        tokio::select! {
            biased;
            outcome = self.execute(&primary.owner, request, mode, remaining) => outcome,
            () = self.until_replaced(&caller.service, primary.term) => {
                Outcome::Unknown { reason: "the primary was replaced".to_owned() }
            }
        }
    }

    /// Waits until the service has a newer term than `term`.
    async fn until_replaced(&self, service: &Service, term: Term) {
        let mut revision = self.view.subscribe();
        while !self.is_replaced(service, term) {
            if revision.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Whether the service has a newer term than `term`.
    fn is_replaced(&self, service: &Service, term: Term) -> bool {
        self.view.load().view.groups.get(service).is_some_and(|group| group.term > term)
    }

    /// Primary of the caller's service; waits for one until the deadline.
    pub(super) async fn wait_for_primary(
        &self,
        caller: &Caller,
        deadline: Instant,
    ) -> Option<PrimaryRef> {
        let mut revision = self.view.subscribe();
        loop {
            if let Some(primary) = self.current_primary(caller) {
                return (Instant::now() < deadline).then_some(primary);
            }
            tokio::time::timeout_at(deadline, revision.changed()).await.ok()?.ok()?;
        }
    }

    fn current_primary(&self, caller: &Caller) -> Option<PrimaryRef> {
        let state = self.view.load();
        let id = state.instances.get(&caller.service)?.primary.as_ref().ok()?;
        let owner = OwnerRef::find(&state.view, id)?;
        let term = state.view.groups.get(&caller.service)?.term;
        Some(PrimaryRef { owner, term })
    }
}

/// Error for the caller after the last attempt, from the outcome that is certain.
fn final_error(last: Option<Outcome>, key: Option<&RequestKey>) -> Failure {
    match last {
        Some(Outcome::Unknown { reason }) => error::unknown(&reason, key.map(RequestKey::as_str)),
        Some(Outcome::Refused(refusal)) => error::refused(&refusal),
        Some(Outcome::Failed(failure)) => failure,
        _ => error::no_primary(),
    }
}

/// Random request key for a write or transaction without one from the caller.
pub fn random_key() -> RequestKey {
    RequestKey::from(hex::encode(rand::random::<[u8; 16]>()))
}

/// SHA-256 digest of statements and their parameters in hexadecimal.
pub fn digest(statements: &[Statement]) -> String {
    let mut hash = Sha256::new();
    for statement in statements {
        update_digest(&mut hash, statement);
    }
    hex::encode(hash.finalize())
}

/// Adds a statement and its parameters to a digest, each with its length, so that
/// different statements cannot yield the same bytes.
pub fn update_digest(hash: &mut Sha256, statement: &Statement) {
    let mut part = |bytes: &[u8]| {
        hash.update((bytes.len() as u64).to_be_bytes());
        hash.update(bytes);
    };
    part(statement.sql.as_bytes());
    let Some(bind) = &statement.bind else { return };
    for value in &bind.values {
        match value {
            Some(value) => part(value),
            None => part(b"\0null"),
        }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        error::refused(&refusal)
    }
}
