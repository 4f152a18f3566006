//! Settings of owners, the entry hosts that hold the connections to an instance.

use crate::clock::Millis;

/// Settings for executing statements on owned instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerSettings {
    /// User name at the targets.
    pub user: String,
    pub password: String,
    pub pool: PoolSettings,
    pub queue: QueueSettings,
    /// Maximum time to open a connection.
    pub connect_timeout: Millis,
    /// Maximum wait for a free connection; opening a new one takes 10 to 30 ms. A request
    /// that would wait longer has a better chance at another instance.
    pub connection_wait: Millis,
    /// Time for which the requests of a term may continue after a promotion has started.
    /// In a planned promotion their responses arrive within it; responses of an isolated
    /// primary never arrive.
    pub fence_grace: Millis,
    /// Maximum time to close a connection.
    pub close_timeout: Millis,
    /// Interval of the liveness probe.
    pub probe_interval: Millis,
    /// Time without a response after which an instance counts as unreachable.
    pub liveness_timeout: Millis,
    /// Age from which an announcement is ignored as outdated.
    pub announcement_expiry: Millis,
    /// Interval between observations of a primary that is not suspected.
    pub observation_interval: Millis,
    /// Time for which a drained primary still accepts new work, so that a planned
    /// promotion can complete first. New work must stop within 2,000 ms.
    pub drain_grace: Millis,
    /// Time after which a running statement releases its slot. Such a statement most
    /// likely waits for a row lock, which occupies no slot of the target.
    pub max_slot_hold: Millis,
    /// Interval of periodic maintenance.
    pub tick: Millis,
    /// Maximum duration of `describe`.
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

/// Settings of the connection pool of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// Minimum number of idle connections, which are opened ahead of demand.
    pub min_idle: u32,
    /// Delay after the first failed attempt to open a connection; it doubles with
    /// each further failure.
    pub backoff_base: Millis,
    /// Maximum delay between attempts.
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

/// Limits of the queue for the slots of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests of one workspace.
    pub per_workspace: usize,
    /// Maximum number of waiting requests of all workspaces.
    pub total: usize,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { per_workspace: 256, total: 2_048 }
    }
}
