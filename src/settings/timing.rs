//! Times of the control group and of the leases of entry hosts.

use crate::clock::Millis;

/// Timing of the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupTiming {
    /// Interval between ticks.
    pub tick: Millis,
    /// Interval between messages of an idle leader.
    pub heartbeat_interval: Millis,
    /// Time without a leader before which no vote is granted.
    pub election_min: Millis,
    /// Longest time without a leader before an election starts, and longest time
    /// that a leader waits for answers from a majority.
    pub election_max: Millis,
    /// Shortest time before an undecided election is repeated.
    pub retry_min: Millis,
    /// Longest time before an undecided election is repeated.
    pub retry_max: Millis,
    /// Time after the start of a process from which it asks for an early election and
    /// releases others from waiting for promises of its earlier processes.
    pub start_wait: Millis,
    /// Longest time between question and answers of an early election. Shorter than
    /// [`Self::start_wait`] by the drift.
    pub start_poll: Millis,
    /// Shortest time before a process that has just started asks again.
    pub start_retry_min: Millis,
    /// Longest time before a process that has just started asks again.
    pub start_retry_max: Millis,
    /// Interval between introductions of a host that is no voter.
    pub hello_interval: Millis,
    /// Gap between two ticks that counts as a freeze of the process.
    pub freeze_threshold: Millis,
    /// Silence of a voter after which a host of the same name may replace it.
    pub replace_after: Millis,
    /// Largest drift between two clocks in percent.
    pub drift_percent: u64,
}

impl Default for GroupTiming {
    fn default() -> Self {
        Self {
            tick: Millis(25),
            heartbeat_interval: Millis(100),
            election_min: Millis(500),
            election_max: Millis(900),
            retry_min: Millis(150),
            retry_max: Millis(400),
            start_wait: Millis(100),
            start_poll: Millis(90),
            start_retry_min: Millis(60),
            start_retry_max: Millis(140),
            hello_interval: Millis(200),
            freeze_threshold: Millis(250),
            replace_after: Millis(1_000),
            drift_percent: 10,
        }
    }
}

impl GroupTiming {
    /// Time for which a leader may act after a majority answered it. Shorter than
    /// [`Self::election_min`] by the drift, because the voters count on their own
    /// clocks.
    pub fn leader_lease(&self) -> Millis {
        Millis(self.election_min.0 * (100 - self.drift_percent) / 100)
    }
}

/// Leases of entry hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Lease that an entry host counts from the time it sent its renewal.
    pub lease: Millis,
    /// Largest drift between two clocks in percent.
    pub drift_percent: u64,
    /// Time for an entry host to close its connections.
    pub margin: Millis,
    /// Time after which a proposal without effect is repeated.
    pub proposal_retry: Millis,
    /// Silence after which a host that has not joined is forgotten.
    pub forget_after: Millis,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease: Millis(2_000),
            drift_percent: 10,
            margin: Millis(200),
            proposal_retry: Millis(1_000),
            forget_after: Millis(5_000),
        }
    }
}

impl LeaseTiming {
    /// Time after which the leader regards a lease as ended, from the receipt of
    /// the renewal.
    pub fn expires_after(&self) -> Millis {
        Millis(self.lease.0 * (100 + self.drift_percent) / 100 + self.margin.0)
    }
}
