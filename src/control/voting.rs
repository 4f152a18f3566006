//! Elections: requesting and granting votes.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    control::{
        election::{PreVoteTally, VoteTally},
        node::{Node, Output, State},
        storage::Vote,
    },
    ids::ControlId,
    wire::group::{GroupBody, GroupTerm, LogId, PreVoteResult},
};

/// Response to a pre-vote.
pub(super) struct PreVoteResponse {
    pub(super) result: PreVoteResult,
    pub(super) round: u64,
    /// Seed of the responding process, which identifies it.
    pub(super) process: u64,
}

impl Node {
    /// Asks the voters whether they would grant a vote. A host that cannot win, because
    /// it was partitioned or lacks entries, thus does not raise the term of the group.
    pub(super) fn start_pre_vote(&mut self, now: Millis) {
        self.timer.schedule_retry(now, &self.settings.timing);
        self.leader = None;
        self.pre_vote_round += 1;
        let round = self.pre_vote_round;
        self.state = State::PreCandidate(PreVoteTally::new(&self.settings.id, round, now));
        if !self.start_election_if_winnable(now) {
            let last = self.log.last();
            let term = GroupTerm(self.vote.term.0 + 1);
            self.broadcast(term, |_| GroupBody::PreVote { last, round });
        }
    }

    /// Starts the election if the pre-vote responses show that it would succeed.
    fn start_election_if_winnable(&mut self, now: Millis) -> bool {
        let State::PreCandidate(tally) = &self.state else { return false };
        let members = self.history.current();
        if !tally.would_win(members, self.timer.withholds_votes(now)) {
            return false;
        }
        let released = tally.released(members);
        self.start_election(now, &released);
        true
    }

    /// Starts an election. `released` holds the processes of voters that no longer
    /// withhold their votes on behalf of an earlier process.
    pub(super) fn start_election(&mut self, now: Millis, released: &BTreeMap<ControlId, u64>) {
        self.timer.schedule_retry(now, &self.settings.timing);
        let term = GroupTerm(self.vote.term.0 + 1);
        self.store_vote(Vote { term, voted_for: Some(self.settings.id.clone()) });
        let tally = VoteTally::new(&self.settings.id);
        let won = tally.has_won(self.members());
        self.state = State::Candidate(tally);
        if won {
            self.become_leader(now);
        } else {
            let last = self.log.last();
            self.broadcast(term, |id| GroupBody::Vote {
                last,
                released: released.get(id).copied(),
            });
        }
    }

    fn broadcast(&mut self, term: GroupTerm, body: impl Fn(&ControlId) -> GroupBody) {
        let own = &self.settings.id;
        let others = self.members().0.iter().filter(|(id, _)| *id != own);
        let others: Vec<_> = others.map(|(id, m)| (id.clone(), self.bus_addr(m))).collect();
        for (id, addr) in others {
            let body = body(&id);
            self.send(addr, Some(id), term, body);
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: Millis,
        from: ControlId,
        term: GroupTerm,
        last: LogId,
        round: u64,
    ) {
        let timing = &self.settings.timing;
        let is_leader = matches!(self.state, State::Leader(_));
        let is_known = self.members().0.contains_key(&from);
        // A log that is not newer may lack the entry that added the candidate.
        let result = if !is_known && last < self.log.last() {
            PreVoteResult::Removed
        } else if term < self.vote.term || last < self.log.last() {
            PreVoteResult::Rejected
        } else if !is_leader && self.timer.may_release(now, timing) {
            PreVoteResult::Starting
        } else if self.follows_leader(now) {
            PreVoteResult::Rejected
        } else {
            PreVoteResult::Granted
        };
        let process = self.settings.seed;
        self.send_response(from, GroupBody::PreVoteResponse { result, round, process });
    }

    pub(super) fn on_vote(
        &mut self,
        now: Millis,
        from: ControlId,
        term: GroupTerm,
        last: LogId,
        released: Option<u64>,
    ) {
        let is_leader = matches!(self.state, State::Leader(_));
        let is_released =
            !is_leader && released == Some(self.settings.seed) && self.timer.is_starting(now);
        if self.follows_leader(now) && !is_released {
            return;
        }
        if term > self.vote.term {
            self.become_follower(now, term, None);
        }
        let can_vote = self.vote.voted_for.as_ref().is_none_or(|voted| *voted == from);
        let granted = term == self.vote.term && can_vote && last >= self.log.last();
        if granted {
            self.timer.reset(now, &self.settings.timing);
            self.store_vote(Vote { term, voted_for: Some(from.clone()) });
        }
        self.send_response(from, GroupBody::VoteResponse { granted });
    }

    pub(super) fn on_pre_vote_response(
        &mut self,
        now: Millis,
        from: ControlId,
        response: PreVoteResponse,
    ) {
        let PreVoteResponse { result, round, process } = response;
        if result == PreVoteResult::Removed {
            self.on_removed(now, from);
            return;
        }
        let State::PreCandidate(tally) = &mut self.state else { return };
        let timing = &self.settings.timing;
        match result {
            PreVoteResult::Granted => {
                tally.record_grant(&from);
                tally.record_leaderless(now, timing, &from, round, None);
            }
            PreVoteResult::Starting => {
                tally.record_leaderless(now, timing, &from, round, Some(process))
            }
            PreVoteResult::Rejected | PreVoteResult::Removed => {}
        }
        self.start_election_if_winnable(now);
    }

    /// Asks to join with dynamic membership, because a host with a newer log says that this one
    /// was removed. The host goes on requesting pre-votes after a pause, as the answer may be wrong.
    fn on_removed(&mut self, now: Millis, by: ControlId) {
        let is_wanted = self.leader.is_some() || matches!(self.state, State::Candidate(_));
        if is_wanted || self.timer.is_paused(now) {
            return;
        }
        self.was_member &= !self.settings.policy.dynamic_membership;
        self.timer.pause(now, &self.settings.timing);
        self.outputs.push(Output::Removed { by });
    }

    pub(super) fn on_vote_response(
        &mut self,
        now: Millis,
        from: ControlId,
        term: GroupTerm,
        granted: bool,
    ) {
        let State::Candidate(tally) = &mut self.state else { return };
        if granted && term == self.vote.term {
            tally.record_grant(&from);
            if tally.has_won(self.history.current()) {
                self.become_leader(now);
            }
        }
    }

    /// Whether a leader may rely on this host not voting for another host.
    ///
    /// A leader counts itself as long as a majority responds to it.
    fn follows_leader(&self, now: Millis) -> bool {
        match &self.state {
            State::Leader(_) => self.has_majority(now, self.settings.timing.election_min),
            _ => self.timer.withholds_votes(now),
        }
    }

    pub(super) fn send_response(&mut self, to: ControlId, body: GroupBody) {
        let addr = self.address_of(&to);
        if let Some(addr) = addr {
            self.send(addr, Some(to), self.vote.term, body);
        }
    }

    /// Bus address of a host. With dynamic membership, the name in its id is the address.
    pub(super) fn address_of(&self, id: &ControlId) -> Option<String> {
        let member = self.members().0.get(id).map(|member| self.bus_addr(member));
        member.or_else(|| {
            let name = id.as_str().rsplit_once('.').map(|(name, _)| name)?;
            let open = self.settings.policy.dynamic_membership.then(|| name.to_owned());
            self.settings.group.get(name).cloned().or(open)
        })
    }
}
