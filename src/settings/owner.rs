//! Settings of an owner.

use crate::clock::Millis;

/// Settings of the runtime that runs statements on owned instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerSettings {
    /// User that the project has at the targets.
    pub user: String,
    /// Password of that user.
    pub password: String,
    pub pool: PoolSettings,
    pub queue: QueueSettings,
    /// Longest time for a connection to be opened.
    pub connect_timeout: Millis,
    /// Longest wait for a free connection; a new one takes 10 to 30 ms. A request
    /// that waits longer has a better chance at another instance.
    pub connection_wait: Millis,
    /// Time that the requests of a term may still run after a promotion has started.
    /// Answers of a planned change arrive within it; those of an isolated primary
    /// never do.
    pub fence_grace: Millis,
    /// Time that a closing connection may take to end.
    pub close_timeout: Millis,
    /// Interval of the liveness probe.
    pub probe_interval: Millis,
    /// Silence of an instance from which it counts as unreachable.
    pub liveness_timeout: Millis,
    /// Age from which an announcement says nothing about the present.
    pub announcement_expiry: Millis,
    /// Interval of observations of a primary without suspicion.
    pub observation_interval: Millis,
    /// Time that a drained primary still takes new work, so that a planned change
    /// can end before. New work must stop within 2,000 ms.
    pub drain_grace: Millis,
    /// Time after which a running statement gives its slot back. Such a statement
    /// most likely waits for a row lock, which occupies no slot of the target.
    pub max_slot_hold: Millis,
    /// Interval of housekeeping.
    pub tick: Millis,
    /// Longest time that `describe` may take.
    pub describe_timeout: Millis,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            user: "pomelopin".to_owned(),
            password: String::new(),
            pool: PoolSettings::default(),
            queue: QueueSettings::default(),
            connect_timeout: Millis(1_000),
            connection_wait: Millis(250),
            fence_grace: Millis(100),
            close_timeout: Millis(500),
            probe_interval: Millis(250),
            liveness_timeout: Millis(1_000),
            announcement_expiry: Millis(1_500),
            observation_interval: Millis(2_000),
            drain_grace: Millis(1_500),
            max_slot_hold: Millis(20),
            tick: Millis(50),
            describe_timeout: Millis(5_000),
        }
    }
}

/// Settings of the connections to one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// Idle connections that are opened ahead of demand.
    pub min_idle: u32,
    /// Delay after the first failed attempt to open a connection; it doubles with
    /// each further failure.
    pub backoff_base: Millis,
    /// Largest delay between attempts.
    pub backoff_cap: Millis,
    /// Time without a statement after which a transaction is rolled back.
    pub idle_transaction_timeout: Millis,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            min_idle: 4,
            backoff_base: Millis(50),
            backoff_cap: Millis(1_000),
            idle_transaction_timeout: Millis(10_000),
        }
    }
}

/// Bounds of the queue at an instance's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Waiting requests of one workspace.
    pub per_workspace: usize,
    /// Waiting requests of all workspaces.
    pub total: usize,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { per_workspace: 256, total: 2_048 }
    }
}
