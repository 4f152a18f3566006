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
        lent::Lent,
        statements::{self, POSITION, ROLLBACK},
        transactions::Pinned,
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
            tokio::spawn(end_abandoned(pinned, shared.settings.close_timeout));
        }
        for instance in shared.list() {
            instance.maintain();
            if instance.has_released() {
                shared.urgent.notify_one();
            }
        }
    }
}

/// Rolls an abandoned transaction back. Its connection is used again only if the
/// target confirms the rollback.
async fn end_abandoned(mut pinned: Pinned, limit: Millis) {
    let deadline = Millis(pinned.lent.instance().clock.now().0 + limit.0);
    if pinned.lent.query(ROLLBACK).is_ok() && pinned.lent.flush(deadline).await.is_ok() {
        let _ = pinned.lent.receive(deadline).await;
    }
}

/// Asks the instance for its position at regular times and notices its silence.
pub(crate) async fn probe(instance: Weak<Instance>, urgent: Arc<Notify>) {
    let Some(period) = instance.upgrade().map(|i| i.settings.probe_interval) else { return };
    let mut interval = interval(period.duration());
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut connection = None;
    loop {
        interval.tick().await;
        let Some(instance) = instance.upgrade() else { return };
        if instance.is_released() {
            connection = None;
            continue;
        }
        connection = ask(&instance, connection.take()).await;
        if !instance.can_spare_connection() {
            connection = None;
        }
        if instance.note_silence() {
            let silence = instance.settings.silence;
            spdlog::warn!("instance {} has given no answer for {silence}", instance.id);
            instance.restart();
            urgent.notify_one();
        }
    }
}

/// Probes once; returns the connection if it can be used again.
async fn ask(instance: &Arc<Instance>, connection: Option<Lent>) -> Option<Lent> {
    let deadline = instance.silence_deadline();
    let connection = match connection {
        Some(connection) => connection,
        None => instance.checkout(None, deadline).await.ok()?,
    };
    let asked = timeout(instance.settings.silence.duration(), position(connection, deadline)).await;
    asked.ok()?.ok()
}

async fn position(mut connection: Lent, deadline: Millis) -> Result<Lent, BackendError> {
    connection.query(POSITION)?;
    connection.flush(deadline).await?;
    let answer = connection.receive(deadline).await?;
    if let Some(position) = answer.result.ok().as_ref().and_then(statements::position) {
        connection.instance().located(&position);
    }
    Ok(connection)
}

impl Instance {
    /// Time until which an answer is in time to avoid a suspicion.
    fn silence_deadline(&self) -> Millis {
        /// Least time that a probe gets, in milliseconds.
        const MIN_WAIT: Duration = Duration::from_millis(100);
        let answered_at = self.known(|known| known.answered_at);
        let least = self.clock.now().0 + MIN_WAIT.as_millis() as u64;
        Millis((answered_at.0 + self.settings.silence.0).max(least))
    }

    /// Whether the instance has become silent since the last call.
    fn note_silence(&self) -> bool {
        let (now, silence) = (self.clock.now(), self.settings.silence);
        self.known(|known| {
            let silent = now.since(known.answered_at) >= silence;
            let was_silent = std::mem::replace(&mut known.silent, silent);
            silent && !was_silent
        })
    }
}
