//! Connection that is in use by one request or transaction.

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
    adapters::backend::{Answer, BackendError, CancelKey, Connection, cancel},
    clock::{Clock, Millis},
    ids::Workspace,
    owner::{instance::Instance, semaphore::Permit, statements},
    pool::connections::Checkout,
    wire::peer::{Description, Failure, Statement},
};

/// Connection with what its last user left.
pub(crate) struct BackendConnection {
    pub(crate) connection: Connection,
    /// Workspace that was set last; `None` if it is not known.
    workspace: Option<Option<Workspace>>,
}

impl BackendConnection {
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection, workspace: None }
    }
}

/// Exclusive use of a connection. Dropping it gives the connection back if it is
/// clean and closes it in any other state.
pub(crate) struct PooledConnection {
    instance: Arc<Instance>,
    checkout: Checkout,
    backend: Option<BackendConnection>,
    stop: CancellationToken,
    /// A CancelRequest was sent; it may arrive late and hit a later statement.
    cancel_sent: Arc<AtomicBool>,
    /// The batch began with the setting of the workspace.
    workspace_pending: bool,
    slot: Option<Permit>,
    /// When the slot is given back although the statement still runs.
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

    /// Takes the slot for the next batch.
    pub(crate) fn set_slot(&mut self, slot: Permit) {
        self.slot = Some(slot);
    }

    /// Gives the slot back.
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

    /// Adds the setting of the workspace to the batch if it differs from the last.
    pub(crate) fn set_workspace(
        &mut self,
        workspace: &Option<Workspace>,
    ) -> Result<(), BackendError> {
        let backend = self.backend()?;
        if backend.workspace.as_ref() == Some(workspace) {
            return Ok(());
        }
        backend.workspace = None;
        backend.connection.query(&statements::set_workspace(workspace.as_ref()))?;
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
        self.backend()?.connection.query(sql)
    }

    /// Adds a caller's statement to the batch.
    pub(crate) fn statement(&mut self, statement: &Statement) -> Result<(), BackendError> {
        self.backend()?.connection.statement(statement)
    }

    /// Writes the batch.
    pub(crate) async fn flush(&mut self, deadline: Millis) -> Result<(), BackendError> {
        let (until, stop) = (self.instant(deadline), self.stop.clone());
        self.slot_deadline = Instant::now() + self.instance.settings.slot_hold.duration();
        let backend = self.backend()?;
        run_until(until, &stop, backend.connection.flush()).await
    }

    /// Receives the next answer of the batch. Answers that arrive after the
    /// connection was taken away are dropped.
    pub(crate) async fn receive(&mut self, deadline: Millis) -> Result<Answer, BackendError> {
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
            self.instance.return_connection(self.checkout, backend, clean);
        }
    }
}

/// Waits for an answer and gives the slot back at `end` if it takes longer.
async fn receive_holding_slot<T>(
    slot: &mut Option<Permit>,
    end: Instant,
    mut answer: Pin<&mut impl Future<Output = T>>,
) -> T {
    if slot.is_some() {
        if let Ok(answer) = timeout_at(end, answer.as_mut()).await {
            return answer;
        }
        *slot = None;
    }
    answer.await
}

/// Cancels what runs on a connection that is about to be closed, because the
/// target notices the end of a connection only after the statement.
fn cancel_running(connection: &Connection) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
    if let Some((addr, key)) = connection.cancel_key() {
        runtime.spawn(async move { cancel(&addr, key).await });
    }
}

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
