//! Liveness probes and housekeeping.

use std::{
    sync::{Arc, Weak, atomic::Ordering},
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{MissedTickBehavior, interval, timeout},
};

use crate::{
    adapters::backend::BackendError,
    clock::{Clock, Millis},
    owner::{
        Shared,
        instance::Instance,
        pooled::PooledConnection,
        statements::{self, POSITION, ROLLBACK},
        transactions::PinnedConnection,
    },
};

/// Maintains the connection pools, rolls back abandoned transactions and reports
/// releases of instances that have moved to another owner, once per tick.
pub(crate) async fn housekeeping(shared: Weak<Shared>) {
    let Some(tick) = shared.upgrade().map(|shared| shared.settings.tick) else { return };
    let mut interval = interval(tick.duration());
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Some(shared) = shared.upgrade() else { return };
        if !shared.leased.load(Ordering::SeqCst) {
            continue;
        }
        for pinned in shared.transactions.sweep(shared.clock.now()) {
            tokio::spawn(roll_back_abandoned(pinned, shared.settings.close_timeout));
        }
        for instance in shared.owned_instances() {
            instance.maintain();
            if instance.has_unreported_release() {
                shared.urgent_reports.notify_one();
            }
        }
    }
}

/// Rolls back an abandoned transaction. Its connection returns to the pool only if the
/// target confirms the rollback.
async fn roll_back_abandoned(mut pinned: PinnedConnection, close_timeout: Millis) {
    let deadline = Millis(pinned.connection.instance().clock.now().0 + close_timeout.0);
    if pinned.connection.query(ROLLBACK).is_ok() && pinned.connection.flush(deadline).await.is_ok()
    {
        let _ = pinned.connection.receive(deadline).await;
    }
}

/// Queries the position of the instance at the probe interval. Replaces all connections
/// when the instance becomes unresponsive.
pub(crate) async fn probe(instance: Weak<Instance>, urgent_reports: Arc<Notify>) {
    let Some(period) = instance.upgrade().map(|i| i.settings.probe_interval) else { return };
    let mut interval = interval(period.duration());
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut connection = None;
    loop {
        interval.tick().await;
        let Some(instance) = instance.upgrade() else { return };
        if instance.is_closed() {
            connection = None;
            continue;
        }
        connection = probe_once(&instance, connection.take()).await;
        if !instance.can_spare_connection() {
            connection = None;
        }
        if instance.became_silent() {
            let silence = instance.settings.silence;
            spdlog::warn!(
                "instance {} has not answered for {silence}; replacing its connections",
                instance.id
            );
            instance.reconnect();
            urgent_reports.notify_one();
        }
    }
}

/// Probes the instance once. Returns the connection if it can be reused.
async fn probe_once(
    instance: &Arc<Instance>,
    connection: Option<PooledConnection>,
) -> Option<PooledConnection> {
    let deadline = instance.probe_deadline();
    let connection = match connection {
        Some(connection) => connection,
        None => instance.checkout(None, deadline).await.ok()?,
    };
    let probed =
        timeout(instance.settings.silence.duration(), read_position(connection, deadline)).await;
    probed.ok()?.ok()
}

async fn read_position(
    mut connection: PooledConnection,
    deadline: Millis,
) -> Result<PooledConnection, BackendError> {
    connection.query(POSITION)?;
    connection.flush(deadline).await?;
    let answer = connection.receive(deadline).await?;
    if let Some(position) = answer.result.ok().as_ref().and_then(statements::parse_position) {
        connection.instance().record_position(&position);
    }
    Ok(connection)
}

impl Instance {
    /// Latest time at which an answer keeps the instance from counting as silent, but at
    /// least the minimum probe timeout from now.
    fn probe_deadline(&self) -> Millis {
        /// Shortest time that a probe is given, also when the instance is already silent.
        const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(100);
        let answered_at = self.with_observed(|observed| observed.answered_at);
        let earliest = self.clock.now().0 + MIN_PROBE_TIMEOUT.as_millis() as u64;
        Millis((answered_at.0 + self.settings.silence.0).max(earliest))
    }

    /// Updates `silent`. Returns whether the instance has become silent since the last
    /// call.
    fn became_silent(&self) -> bool {
        let (now, silence) = (self.clock.now(), self.settings.silence);
        self.with_observed(|observed| {
            let silent = now.since(observed.answered_at) >= silence;
            let was_silent = std::mem::replace(&mut observed.silent, silent);
            silent && !was_silent
        })
    }
}
