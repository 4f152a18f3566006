//! Execution of requests on owned instances.

use std::sync::Arc;

use crate::{
    adapters::backend::BackendError,
    clock::{Clock, Millis},
    ids::{Epoch, InstanceId, Term},
    owner::{
        Shared,
        gate::Permit,
        instance::Instance,
        lent::Lent,
        statements::{self, POSITION, Position},
        transaction, write,
    },
    wire::peer::{Description, Execute, Failure, Mode, Outcome, ReadBound, Refusal, Rows},
};

/// Result of a step; the error is the outcome of the whole request.
pub(crate) type Run<T> = Result<T, Outcome>;

/// Request with what is needed to run it.
pub(crate) struct Cx<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) req: &'a Execute,
    pub(crate) deadline: Millis,
}

/// Runs a request to its outcome.
pub(crate) async fn execute(shared: &Shared, req: Execute) -> Outcome {
    let cx = Cx { shared, req: &req, deadline: shared.deadline(req.deadline_ms) };
    let result = match &req.mode {
        Mode::Read(bound) => read(&cx, bound).await,
        Mode::Write { term, record } => write::write(&cx, *term, record.as_ref()).await,
        Mode::ReadRecord { term, record } => write::settle(&cx, *term, record).await,
        Mode::Begin { transaction, term } => transaction::begin(&cx, transaction, *term).await,
        Mode::InTransaction { transaction } => transaction::within(&cx, transaction).await,
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
    let mut lent = instance.checkout(None, deadline).await.map_err(refused)?;
    match lent.describe(sql, deadline).await {
        Ok(described) => described,
        Err(error) => Err(Failure { code: "57P03".into(), message: error.to_string() }),
    }
}

/// Runs a read and verifies the position that the instance had before it. An
/// answer that does not satisfy the bound is dropped; the read had no effect.
async fn read(cx: &Cx<'_>, bound: &ReadBound) -> Run<Rows> {
    let instance = cx.instance()?;
    let term = bound.max_staleness_ms.is_none().then_some(bound.term);
    let mut lent = cx.enter(&instance, term).await?;
    let flow = &cx.req.workspace;
    let send = |lent: &mut Lent| {
        lent.set_workspace(flow)?;
        lent.query(POSITION)?;
        lent.statement(&cx.req.statement)
    };
    send(&mut lent).map_err(read_lost)?;
    lent.flush(cx.deadline).await.map_err(read_lost)?;
    let head = cx.head(&mut lent).await.map_err(read_lost)?;
    let answer = lent.receive(cx.deadline).await.map_err(read_lost)?;
    let position = head.map_err(Outcome::Failed)?;
    satisfies(&instance, &position, bound).map_err(Outcome::Refused)?;
    let mut rows = answer.result.map_err(Outcome::Failed)?;
    rows.mark = Some(position.mark);
    rows.age_ms = position.age_ms;
    Ok(rows)
}

fn satisfies(instance: &Instance, at: &Position, bound: &ReadBound) -> Result<(), Refusal> {
    // A replaced primary reports an age of zero, which says nothing.
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
    /// Instance of the request, if it is owned under the request's epoch.
    pub(crate) fn instance(&self) -> Run<Arc<Instance>> {
        let owned = self.shared.instance(&self.req.instance, Some(self.req.epoch));
        owned.map_err(Outcome::Refused)
    }

    /// Waits for a slot and a connection. A request of the primary names its term.
    pub(crate) async fn enter(&self, instance: &Arc<Instance>, term: Option<Term>) -> Run<Lent> {
        if term.is_some_and(|term| instance.is_fenced(term)) {
            return Err(Outcome::Refused(Refusal::NotPrimary));
        }
        instance.accepts_work().map_err(Outcome::Refused)?;
        let slot = self.slot(instance).await?;
        // Ownership may have changed in the queue.
        instance.accepts_work().map_err(Outcome::Refused)?;
        let lent = instance.checkout(term, self.deadline).await;
        let mut lent = lent.map_err(Outcome::Refused)?;
        lent.occupy(slot);
        Ok(lent)
    }

    /// Waits for a slot.
    pub(crate) async fn slot(&self, instance: &Arc<Instance>) -> Run<Permit> {
        let slot = instance.slots.acquire(&self.req.workspace, self.req.weight, self.deadline);
        slot.await.map_err(Outcome::Refused)
    }

    /// Receives the answers to the workspace setting and to [`POSITION`].
    pub(crate) async fn head(
        &self,
        lent: &mut Lent,
    ) -> Result<Result<Position, Failure>, BackendError> {
        let set = lent.workspace_set(&self.req.workspace, self.deadline).await?;
        let answer = lent.receive(self.deadline).await?;
        let rows = match set.and(answer.result) {
            Ok(rows) => rows,
            Err(failure) => return Ok(Err(failure)),
        };
        let malformed = || BackendError::Protocol("malformed position".to_owned());
        let position = statements::position(&rows).ok_or_else(malformed)?;
        lent.instance().located(&position);
        Ok(Ok(position))
    }

    /// Time left for waiting at the target, so that its answer is still in time.
    pub(crate) fn wait_limit(&self) -> Millis {
        /// Time for the answer to arrive, in milliseconds.
        const MARGIN: Millis = Millis(20);
        self.deadline.since(self.shared.clock.now()).since(MARGIN)
    }
}

/// Whether the instance is the primary of `term` and the term has not ended.
pub(crate) fn is_primary_of(instance: &Instance, position: &Position, term: Term) -> bool {
    position.is_primary && position.mark.term == term && !instance.is_fenced(term)
}

/// Outcome of a request whose connection was lost before any commit.
pub(crate) fn rolled_back(error: BackendError) -> Outcome {
    match error {
        BackendError::TimedOut => failed("57014", "the deadline has passed"),
        BackendError::TooLarge(_) => failed("54000", &error.to_string()),
        _ => failed("40001", &format!("the statement was rolled back: {error}")),
    }
}

/// Outcome of a request that may have been committed.
pub(crate) fn unknown(error: BackendError) -> Outcome {
    Outcome::Unknown { reason: error.to_string() }
}

pub(crate) fn failed(code: &str, message: &str) -> Outcome {
    Outcome::Failed(Failure { code: code.to_owned(), message: message.to_owned() })
}

/// Outcome of a read whose connection was lost. It may have run, so it is not
/// refused; a caller may repeat it.
fn read_lost(error: BackendError) -> Outcome {
    match error {
        BackendError::TimedOut | BackendError::TooLarge(_) => rolled_back(error),
        _ => unknown(error),
    }
}
