//! Fault injection: partitions, freezes and replication lag.

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::Instant};

use crate::clock::Millis;

/// Hosts that the instance cannot exchange messages with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Partition {
    /// Every host; written as the text `all`.
    All(AllHosts),
    /// Names or addresses of instances and entry hosts.
    From(BTreeSet<String>),
}

/// Serializes as the text `all`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AllHosts {
    All,
}

/// Injected faults of one instance.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether a partition or freeze is set; avoids locking `state` when there is none.
    active: AtomicBool,
    state: Mutex<FaultState>,
    changed: Notify,
    lag_ms: AtomicU64,
}

#[derive(Debug, Default)]
struct FaultState {
    partition: Option<Partition>,
    frozen_until: Option<Instant>,
}

impl Faults {
    /// Creates a fault set with the given replication lag and no other fault.
    pub fn new(lag: Millis) -> Self {
        Self { lag_ms: AtomicU64::new(lag.0), ..Self::default() }
    }

    pub fn lag(&self) -> Millis {
        Millis(self.lag_ms.load(Ordering::Relaxed))
    }

    pub fn set_lag(&self, lag: Millis) {
        self.lag_ms.store(lag.0, Ordering::Relaxed);
    }

    /// Starts a partition, replacing any earlier one.
    pub fn partition(&self, partition: Partition) {
        self.change(|state| state.partition = Some(partition));
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.change(|state| state.partition = None);
    }

    /// Suspends the instance for `span`, replacing any earlier freeze.
    pub fn freeze(&self, span: Millis) {
        self.change(|state| state.frozen_until = Some(Instant::now() + span.duration()));
    }

    fn change(&self, change: impl FnOnce(&mut FaultState)) {
        let mut state = self.state.lock();
        change(&mut state);
        let active = state.partition.is_some() || state.frozen_until.is_some();
        self.active.store(active, Ordering::Release);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Whether a partition separates the instance from `host`.
    pub fn blocks(&self, host: &str) -> bool {
        self.active.load(Ordering::Acquire) && self.state.lock().blocks(host)
    }

    /// Waits until the instance is not frozen and no partition separates it from `host`.
    pub async fn wait_until_reachable(&self, host: &str) {
        while self.active.load(Ordering::Acquire) {
            let changed = self.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let Some(delay) = self.state.lock().recheck_delay(host) else { return };
            // A freeze expires without a notification.
            let _ = tokio::time::timeout(delay, changed).await;
        }
    }

    pub async fn wait_while_frozen(&self) {
        while self.active.load(Ordering::Acquire) {
            let Some(span) = self.state.lock().remaining_freeze() else { return };
            tokio::time::sleep(span).await;
        }
    }
}

/// Longest time between two checks of a partition.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl FaultState {
    fn blocks(&self, host: &str) -> bool {
        match &self.partition {
            None => false,
            Some(Partition::All(_)) => true,
            Some(Partition::From(hosts)) => hosts.contains(host),
        }
    }

    /// Remaining time of the freeze; clears an expired one.
    fn remaining_freeze(&mut self) -> Option<Duration> {
        let remaining = self.frozen_until?.checked_duration_since(Instant::now());
        if remaining.is_none_or(|remaining| remaining.is_zero()) {
            self.frozen_until = None;
            return None;
        }
        remaining
    }

    /// Time until the next check for `host`; `None` if it is reachable now.
    fn recheck_delay(&mut self, host: &str) -> Option<Duration> {
        self.remaining_freeze().or_else(|| self.blocks(host).then_some(PARTITION_CHECK_INTERVAL))
    }
}
