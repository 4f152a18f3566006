//! Connection that is checked out by one request or transaction.

use std::{
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::{
    adapters::backend::{BackendError, CancelKey, Connection, Response, cancel},
    clock::{Clock, Millis},
    ids::Workspace,
    owner::{instance::Instance, semaphore::Permit, statements},
    pool::connections::Checkout,
    wire::peer::{Description, Failure, Statement},
};

/// Connection to an instance with the session state that its last user left.
pub(crate) struct BackendConnection {
    pub(crate) connection: Connection,
    /// Workspace that is set on the connection; `None` if that is unknown.
    workspace: Option<Option<Workspace>>,
}

impl BackendConnection {
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection, workspace: None }
    }
}

/// Checked-out connection. Dropping it returns the connection to the pool if it is
/// clean and closes it otherwise.
pub(crate) struct PooledConnection {
    instance: Arc<Instance>,
    checkout: Checkout,
    backend: Option<BackendConnection>,
    stop: CancellationToken,
    /// A CancelRequest was sent. It may arrive late and cancel a statement of the next
    /// user, so the connection is not used again.
    cancel_sent: Arc<AtomicBool>,
    /// The batch begins with a workspace setting whose answer is outstanding.
    workspace_pending: bool,
    slot: Option<Permit>,
    /// When the slot is released even if the statement is still running.
    slot_deadline: Instant,
}

impl PooledConnection {
    pub(crate) fn new(
        instance: Arc<Instance>,
        checkout: Checkout,
        backend: BackendConnection,
        stop: CancellationToken,
    ) -> Self {
        let cancel_sent = Arc::default();
        let backend = Some(backend);
        Self {
            instance,
            checkout,
            backend,
            stop,
            cancel_sent,
            workspace_pending: false,
            slot: None,
            slot_deadline: Instant::now(),
        }
    }

    /// Sets the slot that is held for the next batch.
    pub(crate) fn set_slot(&mut self, slot: Permit) {
        self.slot = Some(slot);
    }

    pub(crate) fn release_slot(&mut self) {
        self.slot = None;
    }

    pub(crate) fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    pub(crate) fn checkout(&self) -> Checkout {
        self.checkout
    }

    /// Address and key for a CancelRequest, and the flag to set before it is sent.
    pub(crate) fn cancel_handle(&self) -> Option<(String, CancelKey, Arc<AtomicBool>)> {
        let (addr, key) = self.backend.as_ref()?.connection.cancel_key()?;
        Some((addr, key, self.cancel_sent.clone()))
    }

    /// Adds a workspace setting to the batch if another workspace is set.
    pub(crate) fn set_workspace(
        &mut self,
        workspace: &Option<Workspace>,
    ) -> Result<(), BackendError> {
        let backend = self.backend()?;
        if backend.workspace.as_ref() == Some(workspace) {
            return Ok(());
        }
        backend.workspace = None;
        backend.connection.queue_query(&statements::set_workspace(workspace.as_ref()))?;
        self.workspace_pending = true;
        Ok(())
    }

    /// Receives the answer to the workspace setting, if one was sent.
    pub(crate) async fn receive_workspace_set(
        &mut self,
        workspace: &Option<Workspace>,
        deadline: Millis,
    ) -> Result<Result<(), Failure>, BackendError> {
        if !std::mem::take(&mut self.workspace_pending) {
            return Ok(Ok(()));
        }
        let answer = self.receive(deadline).await?;
        if answer.result.is_ok() {
            self.backend()?.workspace = Some(workspace.clone());
        }
        Ok(answer.result.map(|_| ()))
    }

    /// Adds a simple query to the batch.
    pub(crate) fn query(&mut self, sql: &str) -> Result<(), BackendError> {
        self.backend()?.connection.queue_query(sql)
    }

    /// Adds a caller's statement to the batch.
    pub(crate) fn statement(&mut self, statement: &Statement) -> Result<(), BackendError> {
        self.backend()?.connection.queue_statement(statement)
    }

    /// Sends the batch.
    pub(crate) async fn flush(&mut self, deadline: Millis) -> Result<(), BackendError> {
        let (until, stop) = (self.instant(deadline), self.stop.clone());
        self.slot_deadline = Instant::now() + self.instance.settings.slot_hold.duration();
        let backend = self.backend()?;
        run_until(until, &stop, backend.connection.flush()).await
    }

    /// Receives the next answer of the batch. Answers that arrive after the checkout has
    /// ended are discarded.
    pub(crate) async fn receive(&mut self, deadline: Millis) -> Result<Response, BackendError> {
        let (until, stop) = (self.instant(deadline), self.stop.clone());
        let backend = self.backend.as_mut().ok_or(BackendError::Closed)?;
        let receive = pin!(run_until(until, &stop, backend.connection.receive()));
        let answer = receive_holding_slot(&mut self.slot, self.slot_deadline, receive).await?;
        if !self.instance.is_current(self.checkout) {
            return Err(BackendError::Closed);
        }
        let now = self.instance.clock.now();
        self.instance.with_observed(|observed| observed.answered_at = now);
        Ok(answer)
    }

    pub(crate) async fn describe(
        &mut self,
        sql: &str,
        deadline: Millis,
    ) -> Result<Result<Description, Failure>, BackendError> {
        let (until, stop) = (self.instant(deadline), self.stop.clone());
        let backend = self.backend()?;
        run_until(until, &stop, backend.connection.describe(sql)).await
    }

    fn backend(&mut self) -> Result<&mut BackendConnection, BackendError> {
        self.backend.as_mut().ok_or(BackendError::Closed)
    }

    /// Converts a deadline to the clock of Tokio's timers.
    fn instant(&self, deadline: Millis) -> Instant {
        Instant::now() + deadline.since(self.instance.clock.now()).duration()
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(backend) = self.backend.take() {
            let clean = backend.connection.is_clean() && !self.cancel_sent.load(Ordering::SeqCst);
            if backend.connection.is_running() && !self.stop.is_cancelled() {
                cancel_running(&backend.connection);
            }
            self.instance.check_in(self.checkout, backend, clean);
        }
    }
}

/// Waits for an answer. Releases the slot at `slot_deadline` if the answer takes longer.
async fn receive_holding_slot<T>(
    slot: &mut Option<Permit>,
    slot_deadline: Instant,
    mut answer: Pin<&mut impl Future<Output = T>>,
) -> T {
    if slot.is_some() {
        if let Ok(answer) = timeout_at(slot_deadline, answer.as_mut()).await {
            return answer;
        }
        *slot = None;
    }
    answer.await
}

/// Cancels the running statement of a connection that is about to be closed, because
/// the target notices a closed connection only after the statement has finished.
fn cancel_running(connection: &Connection) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
    if let Some((addr, key)) = connection.cancel_key() {
        runtime.spawn(async move { cancel(&addr, key).await });
    }
}

/// Runs `operation` until it finishes, `until` passes or `stop` is cancelled.
async fn run_until<T>(
    until: Instant,
    stop: &CancellationToken,
    operation: impl Future<Output = Result<T, BackendError>>,
) -> Result<T, BackendError> {
    tokio::select! {
        biased;
        () = stop.cancelled() => Err(BackendError::Closed),
        result = timeout_at(until, operation) => result.unwrap_or(Err(BackendError::TimedOut)),
    }
}
