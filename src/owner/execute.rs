//! Execution of requests on owned instances.

use std::sync::Arc;

use crate::{
    adapters::backend::BackendError,
    clock::{Clock, Millis},
    ids::{Epoch, InstanceId, Term},
    owner::{
        Shared,
        instance::Instance,
        pooled::PooledConnection,
        semaphore::Permit,
        statements::{self, POSITION, Position},
        transaction, write,
    },
    wire::peer::{Description, Execute, Failure, Mode, Outcome, ReadBound, Refusal, Rows},
};

/// Result of one step of a request. An error ends the request with that outcome.
pub(crate) type StepResult<T> = Result<T, Outcome>;

/// Context of a request while it runs.
pub(crate) struct Cx<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) req: &'a Execute,
    pub(crate) deadline: Millis,
}

/// Runs a request and returns its outcome.
pub(crate) async fn execute(shared: &Shared, req: Execute) -> Outcome {
    let cx = Cx { shared, req: &req, deadline: shared.deadline(req.deadline_ms) };
    let result = match &req.mode {
        Mode::Read(bound) => read(&cx, bound).await,
        Mode::Write { term, record } => write::write(&cx, *term, record.as_ref()).await,
        Mode::ReadRecord { term, record } => write::read_record(&cx, *term, record).await,
        Mode::Begin { transaction, term } => transaction::begin(&cx, transaction, *term).await,
        Mode::InTransaction { transaction } => transaction::in_transaction(&cx, transaction).await,
        Mode::Commit { transaction, record } => {
            transaction::commit(&cx, transaction, record.as_ref()).await
        }
        Mode::Rollback { transaction } => transaction::rollback(&cx, transaction).await,
    };
    result.map_or_else(|outcome| outcome, Outcome::Done)
}

/// Types of a statement's parameters and columns.
pub(crate) async fn describe(
    shared: &Shared,
    id: &InstanceId,
    epoch: Epoch,
    sql: &str,
) -> Result<Description, Failure> {
    let refused = |refusal: Refusal| Failure { code: "57P03".into(), message: refusal.to_string() };
    let instance = shared.instance(id, Some(epoch)).map_err(refused)?;
    instance.accepts_work().map_err(refused)?;
    let deadline = shared.deadline(shared.settings.describe_timeout.0);
    let _permit = instance.slots.acquire(&None, 1, deadline).await.map_err(refused)?;
    let mut connection = instance.checkout(None, deadline).await.map_err(refused)?;
    match connection.describe(sql, deadline).await {
        Ok(described) => described,
        Err(error) => Err(Failure { code: "57P03".into(), message: error.to_string() }),
    }
}

/// Runs a read and verifies the position that the instance had before it. If the
/// position does not satisfy the bound, the result is discarded, which is safe because
/// reads have no effects.
async fn read(cx: &Cx<'_>, bound: &ReadBound) -> StepResult<Rows> {
    let instance = cx.instance()?;
    let term = bound.max_staleness_ms.is_none().then_some(bound.term);
    let mut connection = cx.acquire_connection(&instance, term).await?;
    let workspace = &cx.req.workspace;
    let batch = |connection: &mut PooledConnection| {
        connection.set_workspace(workspace)?;
        connection.query(POSITION)?;
        connection.statement(&cx.req.statement)
    };
    batch(&mut connection).map_err(read_failed)?;
    connection.flush(cx.deadline).await.map_err(read_failed)?;
    let preamble = cx.receive_preamble(&mut connection).await.map_err(read_failed)?;
    let answer = connection.receive(cx.deadline).await.map_err(read_failed)?;
    let position = preamble.map_err(Outcome::Failed)?;
    check_read_bound(&instance, &position, bound).map_err(Outcome::Refused)?;
    let mut rows = answer.result.map_err(Outcome::Failed)?;
    rows.mark = Some(position.mark);
    rows.age_ms = position.age_ms;
    Ok(rows)
}

fn check_read_bound(instance: &Instance, at: &Position, bound: &ReadBound) -> Result<(), Refusal> {
    // A replaced primary still reports an age of zero, although its data may be stale.
    if at.is_primary && instance.is_fenced(at.mark.term) {
        return Err(Refusal::NotPrimary);
    }
    let behind = Refusal::Behind { position: at.mark, age_ms: at.age_ms };
    if bound.mark.is_some_and(|mark| !at.mark.has_reached(mark)) {
        return Err(behind);
    }
    match bound.max_staleness_ms {
        Some(limit) if at.age_ms > limit => Err(behind),
        Some(_) => Ok(()),
        None if at.is_primary && at.mark.term == bound.term => Ok(()),
        None => Err(Refusal::NotPrimary),
    }
}

impl Cx<'_> {
    /// Instance of the request; refused unless it is owned under the request's epoch.
    pub(crate) fn instance(&self) -> StepResult<Arc<Instance>> {
        let owned = self.shared.instance(&self.req.instance, Some(self.req.epoch));
        owned.map_err(Outcome::Refused)
    }

    /// Waits for a slot and a connection. Requests that need the primary pass its term.
    pub(crate) async fn acquire_connection(
        &self,
        instance: &Arc<Instance>,
        term: Option<Term>,
    ) -> StepResult<PooledConnection> {
        if term.is_some_and(|term| instance.is_fenced(term)) {
            return Err(Outcome::Refused(Refusal::NotPrimary));
        }
        instance.accepts_work().map_err(Outcome::Refused)?;
        let slot = self.acquire_slot(instance).await?;
        // Ownership may have changed while the request was queued.
        instance.accepts_work().map_err(Outcome::Refused)?;
        let connection = instance.checkout(term, self.deadline).await;
        let mut connection = connection.map_err(Outcome::Refused)?;
        connection.set_slot(slot);
        Ok(connection)
    }

    /// Waits for a slot in the fair queue.
    pub(crate) async fn acquire_slot(&self, instance: &Arc<Instance>) -> StepResult<Permit> {
        let slot = instance.slots.acquire(&self.req.workspace, self.req.weight, self.deadline);
        slot.await.map_err(Outcome::Refused)
    }

    /// Receives the answers to the statements at the head of a batch: the workspace
    /// setting, if one was sent, and [`POSITION`].
    pub(crate) async fn receive_preamble(
        &self,
        connection: &mut PooledConnection,
    ) -> Result<Result<Position, Failure>, BackendError> {
        let set = connection.receive_workspace_set(&self.req.workspace, self.deadline).await?;
        let answer = connection.receive(self.deadline).await?;
        let rows = match set.and(answer.result) {
            Ok(rows) => rows,
            Err(failure) => return Ok(Err(failure)),
        };
        let malformed = || BackendError::Protocol("malformed position".to_owned());
        let position = statements::parse_position(&rows).ok_or_else(malformed)?;
        connection.instance().record_position(&position);
        Ok(Ok(position))
    }

    /// Longest time that the target may wait for a majority, so that its answer still
    /// arrives before the deadline.
    pub(crate) fn commit_wait_limit(&self) -> Millis {
        /// Time for the answer to arrive.
        const ANSWER_MARGIN: Millis = Millis(20);
        self.deadline.since(self.shared.clock.now()).since(ANSWER_MARGIN)
    }
}

/// Whether the instance was the primary of `term` at `position`, and `term` is not fenced.
pub(crate) fn is_primary_of(instance: &Instance, position: &Position, term: Term) -> bool {
    position.is_primary && position.mark.term == term && !instance.is_fenced(term)
}

/// Outcome of a request whose connection failed before a `COMMIT` was sent. The target
/// rolls such a request back.
pub(crate) fn failed_before_commit(error: BackendError) -> Outcome {
    match error {
        BackendError::TimedOut => failed("57014", "the deadline has passed"),
        BackendError::TooLarge(_) => failed("54000", &error.to_string()),
        _ => failed("40001", &format!("the statement was rolled back: {error}")),
    }
}

/// Outcome of a request whose connection failed when it may have been committed.
pub(crate) fn unknown_outcome(error: BackendError) -> Outcome {
    Outcome::Unknown { reason: error.to_string() }
}

pub(crate) fn failed(code: &str, message: &str) -> Outcome {
    Outcome::Failed(Failure { code: code.to_owned(), message: message.to_owned() })
}

/// Outcome of a read whose connection failed. The read may have run, so it is not
/// reported as refused; callers may repeat it.
fn read_failed(error: BackendError) -> Outcome {
    match error {
        BackendError::TimedOut | BackendError::TooLarge(_) => failed_before_commit(error),
        _ => unknown_outcome(error),
    }
}
