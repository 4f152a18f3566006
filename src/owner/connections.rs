//! Opening and closing of an instance's connections.

use std::sync::Arc;

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::{
    adapters::backend_startup::{Credentials, connect},
    clock::Clock,
    owner::{
        instance::{Instance, State},
        pooled::BackendConnection,
    },
    pool::connections::{ConnectionId, PoolAction},
};

impl Instance {
    /// Opens and closes connections as planned by the pool.
    pub(crate) fn maintain(self: &Arc<Self>) {
        let mut state = self.state.lock();
        let waiting = state.waiting;
        let actions = state.pool.plan(self.clock.now(), waiting);
        for action in actions {
            match action {
                PoolAction::Open(id) => self.open(&state, id),
                PoolAction::Close(id) => {
                    if let Some(backend) = state.idle.remove(&id) {
                        self.close(id, backend);
                    }
                }
            }
        }
    }

    fn open(self: &Arc<Self>, state: &State, id: ConnectionId) {
        let (addr, service) = (state.spec.sql_addr.clone(), state.spec.service.clone());
        let (instance, stop) = (self.clone(), state.stop.clone());
        tokio::spawn(async move {
            let credentials = Credentials::from(&instance.settings);
            let connect_timeout = instance.settings.connect_timeout.duration();
            let opened = tokio::select! {
                () = stop.cancelled() => return,
                opened = timeout(connect_timeout, connect(&addr, &service, &credentials)) => opened,
            };
            match opened {
                Ok(Ok(connection)) => {
                    instance.opened(id, BackendConnection::new(connection), &stop)
                }
                Ok(Err(error)) => instance.open_failed(id, &error.to_string()),
                Err(_) => instance.open_failed(id, "connection attempt timed out"),
            }
        });
    }

    fn open_failed(&self, id: ConnectionId, reason: &str) {
        spdlog::warn!("cannot connect to instance {}: {reason}", self.id);
        self.state.lock().pool.open_failed(self.clock.now(), id);
    }

    fn opened(
        self: &Arc<Self>,
        id: ConnectionId,
        backend: BackendConnection,
        stop: &CancellationToken,
    ) {
        let mut state = self.state.lock();
        if stop.is_cancelled() {
            return;
        }
        if state.pool.opened(id) {
            state.idle.insert(id, backend);
            state.observed.answered_at = self.clock.now();
            drop(state);
            self.available.notify_waiters();
        } else {
            drop(state);
            self.close(id, backend);
        }
    }

    pub(super) fn close(self: &Arc<Self>, id: ConnectionId, backend: BackendConnection) {
        let instance = self.clone();
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        runtime.spawn(async move {
            let close_timeout = instance.settings.close_timeout.duration();
            let _ = timeout(close_timeout, backend.connection.close()).await;
            instance.state.lock().pool.closed(id);
            instance.maintain();
        });
    }
}
