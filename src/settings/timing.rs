//! Timing of the control group and of the leases of entry hosts.

use crate::clock::Millis;

/// Timing of the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupTiming {
    /// Interval between ticks.
    pub tick: Millis,
    /// Interval between heartbeats of an idle leader.
    pub heartbeat_interval: Millis,
    /// Minimum election timeout. A host withholds its vote until this time has passed since
    /// its last contact with a leader, and since its start unless an early election
    /// releases it.
    pub election_min: Millis,
    /// Maximum election timeout; also the maximum time that a leader waits for responses
    /// from a majority before it steps down.
    pub election_max: Millis,
    /// Minimum time before an undecided election is repeated.
    pub retry_min: Millis,
    /// Maximum time before an undecided election is repeated.
    pub retry_max: Millis,
    /// Time after the start of a process from which it requests an early election and
    /// reports that it follows no leader, so that other hosts need not wait until votes
    /// that it withholds on behalf of its earlier processes are available.
    pub start_wait: Millis,
    /// Maximum time between a pre-vote and the responses that count for an early election.
    /// Shorter than [`Self::start_wait`] by the clock drift.
    pub start_poll: Millis,
    /// Minimum time before a process that has just started repeats an early election.
    pub start_retry_min: Millis,
    /// Maximum time before a process that has just started repeats an early election.
    pub start_retry_max: Millis,
    /// Interval between `Hello` messages of a host that is not a voter.
    pub hello_interval: Millis,
    /// Time between two ticks above which the process counts as having been frozen.
    pub freeze_threshold: Millis,
    /// Time without contact after which a voter may be replaced by a host of the same name.
    pub replace_after: Millis,
    /// Maximum drift between two clocks in percent.
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
    /// Time for which a leader may act after responses from a majority. Shorter than
    /// [`Self::election_min`] by the clock drift, because voters measure on their own
    /// clocks.
    pub fn leader_lease(&self) -> Millis {
        Millis(self.election_min.0 * (100 - self.drift_percent) / 100)
    }
}

/// Timing of the leases of entry hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Duration of a lease; the entry host measures it from when it sent the renewal.
    pub lease: Millis,
    /// Maximum drift between two clocks in percent.
    pub drift_percent: u64,
    /// Time that an entry host needs to close its connections after its lease ends.
    pub margin: Millis,
    /// Time after which a proposal that has not taken effect is repeated.
    pub proposal_retry: Millis,
    /// Time without renewals after which a host that has not joined is forgotten.
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
    /// Time after the receipt of a renewal at which the leader considers the lease expired:
    /// the lease plus clock drift and `margin`.
    pub fn expires_after(&self) -> Millis {
        Millis(self.lease.0 * (100 + self.drift_percent) / 100 + self.margin.0)
    }
}
