//! Faults that tests inject into an instance.

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::Instant};

use crate::clock::Millis;

/// Hosts from which the instance is cut off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Partition {
    /// The text `all`.
    All(AllHosts),
    /// Names of instances and entry hosts, or their addresses.
    From(BTreeSet<String>),
}

/// Word that stands for every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AllHosts {
    All,
}

/// FaultState faults of one instance.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether any fault is in force; keeps the check cheap without faults.
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
    /// No faults, and the given replication lag.
    pub fn new(lag: Millis) -> Self {
        Self { lag_ms: AtomicU64::new(lag.0), ..Self::default() }
    }

    /// Current replication lag.
    pub fn lag(&self) -> Millis {
        Millis(self.lag_ms.load(Ordering::Relaxed))
    }

    /// Changes the replication lag.
    pub fn set_lag(&self, lag: Millis) {
        self.lag_ms.store(lag.0, Ordering::Relaxed);
    }

    /// Cuts the instance off.
    pub fn partition(&self, partition: Partition) {
        self.change(|state| state.partition = Some(partition));
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.change(|state| state.partition = None);
    }

    /// Stops the instance for `span`.
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

    /// Whether the instance is cut off from `host`.
    pub fn blocks(&self, host: &str) -> bool {
        self.active.load(Ordering::Acquire) && self.state.lock().blocks(host)
    }

    /// Waits until the instance is neither frozen nor cut off from `host`.
    pub async fn wait_until_reachable(&self, host: &str) {
        while self.active.load(Ordering::Acquire) {
            let changed = self.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let Some(delay) = self.state.lock().recheck_delay(host) else { return };
            // A freeze ends without a change.
            let _ = tokio::time::timeout(delay, changed).await;
        }
    }

    /// Waits until the instance is not frozen.
    pub async fn wait_while_frozen(&self) {
        while self.active.load(Ordering::Acquire) {
            let Some(span) = self.state.lock().remaining_freeze() else { return };
            tokio::time::sleep(span).await;
        }
    }
}

/// Longest time between two looks at a partition.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl FaultState {
    fn blocks(&self, host: &str) -> bool {
        match &self.partition {
            None => false,
            Some(Partition::All(_)) => true,
            Some(Partition::From(hosts)) => hosts.contains(host),
        }
    }

    /// Rest of the freeze.
    fn remaining_freeze(&mut self) -> Option<Duration> {
        let remaining = self.frozen_until?.checked_duration_since(Instant::now());
        if remaining.is_none_or(|remaining| remaining.is_zero()) {
            self.frozen_until = None;
            return None;
        }
        remaining
    }

    /// Time after which `host` may be able to pass; `None` if it can now.
    fn recheck_delay(&mut self, host: &str) -> Option<Duration> {
        self.remaining_freeze().or_else(|| self.blocks(host).then_some(PARTITION_CHECK_INTERVAL))
    }
}
