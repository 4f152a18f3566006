//! Election timer and the count of votes.

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{clock::Millis, ids::ControlId, settings::timing::GroupTiming, wire::group::Members};

/// Time of the next election; random, so that two hosts rarely start together.
#[derive(Debug)]
pub struct ElectionTimer {
    rng: SmallRng,
    deadline: Millis,
    /// Time before which no vote is granted: a leader was heard, or this process
    /// started and may have heard one before.
    quiet_until: Millis,
}

impl ElectionTimer {
    /// Timer of a process that starts at `now`.
    pub fn new(now: Millis, seed: u64, timing: &GroupTiming) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let mut timer = Self { rng, deadline: now, quiet_until: now };
        timer.heard_leader(now, timing);
        timer
    }

    /// Starts again after a message of the leader.
    pub fn heard_leader(&mut self, now: Millis, timing: &GroupTiming) {
        self.quiet_until = now + timing.election_min;
        self.restart(now, timing);
    }

    /// Starts again without the promise to a leader.
    pub fn restart(&mut self, now: Millis, timing: &GroupTiming) {
        self.schedule(now, timing.election_min, timing.election_max);
    }

    /// Schedules the repetition of an undecided election.
    pub fn retry(&mut self, now: Millis, timing: &GroupTiming) {
        self.schedule(now, timing.retry_min, timing.retry_max);
    }

    /// Whether an election is due.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.deadline
    }

    /// Whether a leader may still rely on this host not voting for another.
    pub fn is_quiet(&self, now: Millis) -> bool {
        now < self.quiet_until
    }

    fn schedule(&mut self, now: Millis, min: Millis, max: Millis) {
        self.deadline = now + Millis(self.rng.random_range(min.0..=max.0));
    }
}

/// Votes given to this host in one round.
#[derive(Debug, Default)]
pub struct Ballot {
    granted: BTreeSet<ControlId>,
}

impl Ballot {
    /// Ballot with the vote of the candidate itself.
    pub fn new(own: &ControlId) -> Self {
        Self { granted: BTreeSet::from([own.clone()]) }
    }

    /// Counts the vote of `from`.
    pub fn grant(&mut self, from: &ControlId) {
        self.granted.insert(from.clone());
    }

    /// Whether a majority of `members` has given its vote.
    pub fn has_won(&self, members: &Members) -> bool {
        let votes = self.granted.iter().filter(|id| members.0.contains_key(*id)).count();
        votes >= members.quorum()
    }
}
