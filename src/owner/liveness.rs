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

/// Keeps connections warm and ends abandoned transactions.
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

/// Rolls an abandoned transaction back. Its connection is used again only if the
/// target confirms the rollback.
async fn roll_back_abandoned(mut pinned: PinnedConnection, limit: Millis) {
    let deadline = Millis(pinned.connection.instance().clock.now().0 + limit.0);
    if pinned.connection.query(ROLLBACK).is_ok() && pinned.connection.flush(deadline).await.is_ok()
    {
        let _ = pinned.connection.receive(deadline).await;
    }
}

/// Asks the instance for its position at regular times and notices its silence.
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
            spdlog::warn!("instance {} has given no answer for {silence}", instance.id);
            instance.reconnect();
            urgent_reports.notify_one();
        }
    }
}

/// Probes once; returns the connection if it can be used again.
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
    /// Time until which an answer is in time to avoid a suspicion.
    fn probe_deadline(&self) -> Millis {
        /// Least time that a probe gets, in milliseconds.
        const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(100);
        let answered_at = self.with_observed(|observed| observed.answered_at);
        let least = self.clock.now().0 + MIN_PROBE_TIMEOUT.as_millis() as u64;
        Millis((answered_at.0 + self.settings.silence.0).max(least))
    }

    /// Whether the instance has become silent since the last call.
    fn became_silent(&self) -> bool {
        let (now, silence) = (self.clock.now(), self.settings.silence);
        self.with_observed(|observed| {
            let silent = now.since(observed.answered_at) >= silence;
            let was_silent = std::mem::replace(&mut observed.silent, silent);
            silent && !was_silent
        })
    }
}
