//! Election timer and the count of votes.

use std::collections::{BTreeMap, BTreeSet};

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
    started: Millis,
    /// This process has heard a leader.
    heard: bool,
}

impl ElectionTimer {
    /// Timer of a process that starts at `now`.
    pub fn new(now: Millis, seed: u64, timing: &GroupTiming) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let quiet_until = now + timing.election_min;
        let mut timer = Self { rng, deadline: now, quiet_until, started: now, heard: false };
        timer.schedule(now + timing.start_wait, Millis(0), timing.start_retry_max);
        timer
    }

    /// Starts again after a message of the leader.
    pub fn heard_leader(&mut self, now: Millis, timing: &GroupTiming) {
        self.quiet_until = now + timing.election_min;
        self.heard = true;
        self.restart(now, timing);
    }

    /// Starts again without the promise to a leader.
    pub fn restart(&mut self, now: Millis, timing: &GroupTiming) {
        self.schedule(now, timing.election_min, timing.election_max);
    }

    /// Schedules the repetition of an undecided election.
    pub fn retry(&mut self, now: Millis, timing: &GroupTiming) {
        if self.is_starting(now) {
            self.schedule(now, timing.start_retry_min, timing.start_retry_max);
        } else {
            self.schedule(now, timing.retry_min, timing.retry_max);
        }
    }

    /// Whether only an earlier process of this host may have promised not to vote.
    pub fn is_starting(&self, now: Millis) -> bool {
        !self.heard && self.is_quiet(now)
    }

    /// Whether this host may say that it follows no leader. A leader that an earlier
    /// process followed has then lost this host's answers for longer than a poll lasts.
    pub fn may_release(&self, now: Millis, timing: &GroupTiming) -> bool {
        self.is_starting(now) && now.since(self.started) >= timing.start_wait
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
pub struct VoteTally {
    granted: BTreeSet<ControlId>,
}

impl VoteTally {
    /// VoteTally with the vote of the candidate itself.
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

/// Answers to the question whether an election would succeed.
#[derive(Debug)]
pub struct PreVoteTally {
    pub round: u64,
    since: Millis,
    ballot: VoteTally,
    /// Voters that follow no leader, with the process that is to be released from the
    /// promise of an earlier one.
    free: BTreeMap<ControlId, Option<u64>>,
}

impl PreVoteTally {
    /// PreVoteTally that begins at `since`, with the vote of the candidate itself.
    pub fn new(own: &ControlId, round: u64, since: Millis) -> Self {
        let free = BTreeMap::from([(own.clone(), None)]);
        Self { round, since, ballot: VoteTally::new(own), free }
    }

    /// Counts a granted vote, also one of an earlier round.
    pub fn grant(&mut self, from: &ControlId) {
        self.ballot.grant(from);
    }

    /// Notes that `from` follows no leader, if it was asked in this round just before.
    pub fn note_free(
        &mut self,
        now: Millis,
        timing: &GroupTiming,
        from: &ControlId,
        round: u64,
        released: Option<u64>,
    ) {
        if round == self.round && now.since(self.since) <= timing.start_poll {
            self.free.insert(from.clone(), released);
        }
    }

    /// Whether an election would succeed. A candidate that must be quiet itself needs
    /// all voters: a leader that any earlier process followed would be among them.
    pub fn would_win(&self, members: &Members, is_quiet: bool) -> bool {
        self.all_free(members) || (!is_quiet && self.ballot.has_won(members))
    }

    fn all_free(&self, members: &Members) -> bool {
        members.0.keys().all(|id| self.free.contains_key(id))
    }

    /// Processes that are to be released; empty unless all voters are free.
    pub fn released(&self, members: &Members) -> BTreeMap<ControlId, u64> {
        if !self.all_free(members) {
            return BTreeMap::new();
        }
        self.free.iter().filter_map(|(id, process)| Some((id.clone(), (*process)?))).collect()
    }
}
