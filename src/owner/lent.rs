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
    adapters::backend::{BackendError, CancelKey, Connection, Response, cancel},
    clock::{Clock, Millis},
    ids::Workspace,
    owner::{gate::Permit, instance::Instance, statements},
    pool::connections::Checkout,
    wire::peer::{Description, Failure, Statement},
};

/// Connection with what its last user left.
pub(crate) struct Socket {
    pub(crate) connection: Connection,
    /// Workspace that was set last; `None` if it is not known.
    workspace: Option<Option<Workspace>>,
}

impl Socket {
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection, workspace: None }
    }
}

/// Exclusive use of a connection. Dropping it gives the connection back if it is
/// clean and closes it in any other state.
pub(crate) struct Lent {
    instance: Arc<Instance>,
    checkout: Checkout,
    socket: Option<Socket>,
    stop: CancellationToken,
    /// A CancelRequest was sent; it may arrive late and hit a later statement.
    cancelled: Arc<AtomicBool>,
    /// The batch began with the setting of the workspace.
    settings_pending: bool,
    slot: Option<Permit>,
    /// When the slot is given back although the statement still runs.
    slot_end: Instant,
}

impl Lent {
    pub(crate) fn new(
        instance: Arc<Instance>,
        checkout: Checkout,
        socket: Socket,
        stop: CancellationToken,
    ) -> Self {
        let cancelled = Arc::default();
        let socket = Some(socket);
        Self {
            instance,
            checkout,
            socket,
            stop,
            cancelled,
            settings_pending: false,
            slot: None,
            slot_end: Instant::now(),
        }
    }

    /// Takes the slot for the next batch.
    pub(crate) fn occupy(&mut self, slot: Permit) {
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
        let (addr, key) = self.socket.as_ref()?.connection.cancel_key()?;
        Some((addr, key, self.cancelled.clone()))
    }

    /// Adds the setting of the workspace to the batch if it differs from the last.
    pub(crate) fn set_workspace(&mut self, flow: &Option<Workspace>) -> Result<(), BackendError> {
        let socket = self.socket()?;
        if socket.workspace.as_ref() == Some(flow) {
            return Ok(());
        }
        socket.workspace = None;
        socket.connection.queue_query(&statements::set_workspace(flow.as_ref()))?;
        self.settings_pending = true;
        Ok(())
    }

    /// Receives the answer to the workspace setting, if one was sent.
    pub(crate) async fn workspace_set(
        &mut self,
        flow: &Option<Workspace>,
        deadline: Millis,
    ) -> Result<Result<(), Failure>, BackendError> {
        if !std::mem::take(&mut self.settings_pending) {
            return Ok(Ok(()));
        }
        let answer = self.receive(deadline).await?;
        if answer.result.is_ok() {
            self.socket()?.workspace = Some(flow.clone());
        }
        Ok(answer.result.map(|_| ()))
    }

    /// Adds a simple query to the batch.
    pub(crate) fn query(&mut self, sql: &str) -> Result<(), BackendError> {
        self.socket()?.connection.queue_query(sql)
    }

    /// Adds a caller's statement to the batch.
    pub(crate) fn statement(&mut self, statement: &Statement) -> Result<(), BackendError> {
        self.socket()?.connection.queue_statement(statement)
    }

    /// Writes the batch.
    pub(crate) async fn flush(&mut self, deadline: Millis) -> Result<(), BackendError> {
        let (until, stop) = (self.until(deadline), self.stop.clone());
        self.slot_end = Instant::now() + self.instance.settings.slot_hold.duration();
        let socket = self.socket()?;
        bounded(until, &stop, socket.connection.flush()).await
    }

    /// Receives the next answer of the batch. Answers that arrive after the
    /// connection was taken away are dropped.
    pub(crate) async fn receive(&mut self, deadline: Millis) -> Result<Response, BackendError> {
        let (until, stop) = (self.until(deadline), self.stop.clone());
        let socket = self.socket.as_mut().ok_or(BackendError::Closed)?;
        let receive = pin!(bounded(until, &stop, socket.connection.receive()));
        let answer = hold_slot(&mut self.slot, self.slot_end, receive).await?;
        if !self.instance.is_current(self.checkout) {
            return Err(BackendError::Closed);
        }
        let now = self.instance.clock.now();
        self.instance.known(|known| known.answered_at = now);
        Ok(answer)
    }

    pub(crate) async fn describe(
        &mut self,
        sql: &str,
        deadline: Millis,
    ) -> Result<Result<Description, Failure>, BackendError> {
        let (until, stop) = (self.until(deadline), self.stop.clone());
        let socket = self.socket()?;
        bounded(until, &stop, socket.connection.describe(sql)).await
    }

    fn socket(&mut self) -> Result<&mut Socket, BackendError> {
        self.socket.as_mut().ok_or(BackendError::Closed)
    }

    fn until(&self, deadline: Millis) -> Instant {
        Instant::now() + deadline.since(self.instance.clock.now()).duration()
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        if let Some(socket) = self.socket.take() {
            let clean = socket.connection.is_clean() && !self.cancelled.load(Ordering::SeqCst);
            if socket.connection.is_running() && !self.stop.is_cancelled() {
                cancel_running(&socket.connection);
            }
            self.instance.give_back(self.checkout, socket, clean);
        }
    }
}

/// Waits for an answer and gives the slot back at `end` if it takes longer.
async fn hold_slot<T>(
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

async fn bounded<T>(
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
