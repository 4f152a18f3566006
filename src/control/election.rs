//! Election timer and vote counting.
//!
//! A voter withholds its vote for the minimum election timeout after contact with a
//! leader, which lets the leader hold a lease. A process that has just started does
//! not know whether an earlier process of its host had such contact, so it withholds
//! its vote as well. It is released from that only if every voter reports in the same
//! pre-vote round that it follows no leader.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{clock::Millis, ids::ControlId, settings::timing::GroupTiming, wire::group::Members};

/// Pause of a host that is told that it was removed. Without it, each voter would tell it several
/// times a second; a longer one would delay the election of a host that is told so wrongly.
const REMOVED_PAUSE: Millis = Millis(1_000);

/// Randomized election timeout, so that two hosts rarely start an election together.
#[derive(Debug)]
pub struct ElectionTimer {
    rng: SmallRng,
    deadline: Millis,
    /// Time before which no vote is granted, because of contact with a leader or
    /// because an earlier process of this host may have had contact.
    votes_withheld_until: Millis,
    started: Millis,
    /// Time before which this host starts no election, because it was told of its removal.
    paused_until: Millis,
    /// Whether this process has received a message from a leader.
    leader_contacted: bool,
}

impl ElectionTimer {
    /// Timer of a process that starts at `now`.
    pub fn new(now: Millis, seed: u64, timing: &GroupTiming) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let votes_withheld_until = now + timing.election_min;
        let mut timer = Self {
            rng,
            deadline: now,
            votes_withheld_until,
            started: now,
            paused_until: now,
            leader_contacted: false,
        };
        timer.schedule(now + timing.start_wait, Millis(0), timing.start_retry_max);
        timer
    }

    /// Restarts the timeout and withholds votes after a message from the leader.
    pub fn record_leader_contact(&mut self, now: Millis, timing: &GroupTiming) {
        self.votes_withheld_until = now + timing.election_min;
        self.leader_contacted = true;
        self.reset(now, timing);
    }

    /// Restarts the timeout without withholding votes.
    pub fn reset(&mut self, now: Millis, timing: &GroupTiming) {
        self.schedule(now, timing.election_min, timing.election_max);
    }

    /// Schedules a new attempt after an undecided election.
    pub fn schedule_retry(&mut self, now: Millis, timing: &GroupTiming) {
        if self.is_starting(now) {
            self.schedule(now, timing.start_retry_min, timing.start_retry_max);
        } else {
            self.schedule(now, timing.retry_min, timing.retry_max);
        }
    }

    /// Schedules the next attempt after a pause, because this host was told of its removal.
    pub fn pause(&mut self, now: Millis, timing: &GroupTiming) {
        self.paused_until = now + REMOVED_PAUSE;
        self.schedule(self.paused_until, timing.retry_min, timing.retry_max);
    }

    /// Whether the pause after a removal lasts.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Whether votes are withheld only because of an earlier process of this host.
    pub fn is_starting(&self, now: Millis) -> bool {
        !self.leader_contacted && self.withholds_votes(now)
    }

    /// Whether this host may report that it follows no leader. By then, a leader of an
    /// earlier process has had no response from this host for longer than a pre-vote
    /// round lasts.
    pub fn may_release(&self, now: Millis, timing: &GroupTiming) -> bool {
        self.is_starting(now) && now.since(self.started) >= timing.start_wait
    }

    /// Whether an election is due.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.deadline
    }

    /// Whether a leader may still rely on this host not voting for another host.
    pub fn withholds_votes(&self, now: Millis) -> bool {
        now < self.votes_withheld_until
    }

    fn schedule(&mut self, now: Millis, min: Millis, max: Millis) {
        self.deadline = now + Millis(self.rng.random_range(min.0..=max.0));
    }
}

/// Votes granted to this host in one election.
#[derive(Debug, Default)]
pub struct VoteTally {
    granted: BTreeSet<ControlId>,
}

impl VoteTally {
    /// Tally with the vote of the candidate itself.
    pub fn new(own: &ControlId) -> Self {
        Self { granted: BTreeSet::from([own.clone()]) }
    }

    /// Counts the vote of `from`.
    pub fn record_grant(&mut self, from: &ControlId) {
        self.granted.insert(from.clone());
    }

    /// Whether a majority of `members` has granted its vote.
    pub fn has_won(&self, members: &Members) -> bool {
        let votes = self.granted.iter().filter(|id| members.0.contains_key(*id)).count();
        votes >= members.quorum()
    }
}

/// Responses to the pre-votes of this host.
#[derive(Debug)]
pub struct PreVoteTally {
    pub round: u64,
    started_at: Millis,
    votes: VoteTally,
    /// Voters that follow no leader, with the process to release from withholding its
    /// vote on behalf of an earlier process.
    leaderless: BTreeMap<ControlId, Option<u64>>,
}

impl PreVoteTally {
    /// Tally of a round that starts at `started_at`, with the vote of the candidate
    /// itself.
    pub fn new(own: &ControlId, round: u64, started_at: Millis) -> Self {
        let leaderless = BTreeMap::from([(own.clone(), None)]);
        Self { round, started_at, votes: VoteTally::new(own), leaderless }
    }

    /// Counts a granted pre-vote, including one of an earlier round.
    pub fn record_grant(&mut self, from: &ControlId) {
        self.votes.record_grant(from);
    }

    /// Records that `from` follows no leader. Responses to earlier rounds and late
    /// responses are ignored, because they do not describe the current state.
    pub fn record_leaderless(
        &mut self,
        now: Millis,
        timing: &GroupTiming,
        from: &ControlId,
        round: u64,
        released: Option<u64>,
    ) {
        if round == self.round && now.since(self.started_at) <= timing.start_poll {
            self.leaderless.insert(from.clone(), released);
        }
    }

    /// Whether an election would succeed. A candidate that withholds its own vote needs
    /// responses from all voters: a leader that any earlier process followed is one of
    /// them.
    pub fn would_win(&self, members: &Members, withholds_votes: bool) -> bool {
        self.all_leaderless(members) || (!withholds_votes && self.votes.has_won(members))
    }

    fn all_leaderless(&self, members: &Members) -> bool {
        members.0.keys().all(|id| self.leaderless.contains_key(id))
    }

    /// Processes to release from withholding their votes; empty unless no voter follows
    /// a leader.
    pub fn released(&self, members: &Members) -> BTreeMap<ControlId, u64> {
        if !self.all_leaderless(members) {
            return BTreeMap::new();
        }
        self.leaderless.iter().filter_map(|(id, process)| Some((id.clone(), (*process)?))).collect()
    }
}
