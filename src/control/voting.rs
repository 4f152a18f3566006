//! Elections: asking for votes and granting them.

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

/// Answer to the question whether an election would succeed.
pub(super) struct PreVoteAnswer {
    pub(super) result: PreVoteResult,
    pub(super) round: u64,
    /// Process that answers.
    pub(super) process: u64,
}

impl Node {
    /// Asks whether an election would succeed. A host that cannot win, because it
    /// was cut off or lacks entries, so leaves the term of the group as it is.
    pub(super) fn start_pre_vote(&mut self, now: Millis) {
        self.timer.retry(now, &self.settings.timing);
        self.leader = None;
        self.pre_vote_round += 1;
        let round = self.pre_vote_round;
        self.state = State::PreCandidate(PreVoteTally::new(&self.settings.id, round, now));
        if !self.start_vote_if_won(now) {
            let last = self.log.last();
            let term = GroupTerm(self.vote.term.0 + 1);
            self.ask(term, |_| GroupBody::PreVote { last, round });
        }
    }

    /// Starts the election if the poll says that it would succeed.
    fn start_vote_if_won(&mut self, now: Millis) -> bool {
        let State::PreCandidate(poll) = &self.state else { return false };
        let members = self.history.current();
        if !poll.would_win(members, self.timer.is_quiet(now)) {
            return false;
        }
        let released = poll.released(members);
        self.start_vote(now, &released);
        true
    }

    /// Starts an election; `released` are the voters' processes that need not wait for
    /// the promise of an earlier one.
    pub(super) fn start_vote(&mut self, now: Millis, released: &BTreeMap<ControlId, u64>) {
        self.timer.retry(now, &self.settings.timing);
        let term = GroupTerm(self.vote.term.0 + 1);
        self.store_vote(Vote { term, voted_for: Some(self.settings.id.clone()) });
        let ballot = VoteTally::new(&self.settings.id);
        let won = ballot.has_won(self.members());
        self.state = State::Candidate(ballot);
        if won {
            self.become_leader(now);
        } else {
            let last = self.log.last();
            self.ask(term, |id| GroupBody::Vote { last, released: released.get(id).copied() });
        }
    }

    fn ask(&mut self, term: GroupTerm, body: impl Fn(&ControlId) -> GroupBody) {
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
        let result = if !self.is_blank() && !self.members().0.contains_key(&from) {
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
        self.answer_vote(from, GroupBody::PreVoteResponse { result, round, process });
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
        let is_free = self.vote.voted_for.as_ref().is_none_or(|voted| *voted == from);
        let granted = term == self.vote.term && is_free && last >= self.log.last();
        if granted {
            self.timer.restart(now, &self.settings.timing);
            self.store_vote(Vote { term, voted_for: Some(from.clone()) });
        }
        self.answer_vote(from, GroupBody::VoteResponse { granted });
    }

    pub(super) fn on_pre_vote_answer(
        &mut self,
        now: Millis,
        from: ControlId,
        answer: PreVoteAnswer,
    ) {
        let State::PreCandidate(poll) = &mut self.state else { return };
        let timing = &self.settings.timing;
        let PreVoteAnswer { result, round, process } = answer;
        match result {
            PreVoteResult::Granted => {
                poll.grant(&from);
                poll.note_free(now, timing, &from, round, None);
            }
            PreVoteResult::Starting => poll.note_free(now, timing, &from, round, Some(process)),
            PreVoteResult::Rejected => {}
            PreVoteResult::Removed => {
                // A host that was removed while it was away joins an open group again.
                self.was_member &= !self.settings.policy.dynamic_membership;
                self.out.push(Output::Removed { by: from });
                return;
            }
        }
        self.start_vote_if_won(now);
    }

    pub(super) fn on_vote_answer(
        &mut self,
        now: Millis,
        from: ControlId,
        term: GroupTerm,
        granted: bool,
    ) {
        let State::Candidate(ballot) = &mut self.state else { return };
        if granted && term == self.vote.term {
            ballot.grant(&from);
            if ballot.has_won(self.history.current()) {
                self.become_leader(now);
            }
        }
    }

    /// Whether a leader may rely on this host not voting for another host.
    fn follows_leader(&self, now: Millis) -> bool {
        match &self.state {
            State::Leader(_) => self.has_majority(now, self.settings.timing.election_min),
            _ => self.timer.is_quiet(now),
        }
    }

    pub(super) fn answer_vote(&mut self, to: ControlId, body: GroupBody) {
        let addr = self.address_of(&to);
        if let Some(addr) = addr {
            self.send(addr, Some(to), self.vote.term, body);
        }
    }

    fn address_of(&self, id: &ControlId) -> Option<String> {
        let member = self.members().0.get(id).map(|member| self.bus_addr(member));
        member.or_else(|| {
            let name = id.as_str().rsplit_once('.').map(|(name, _)| name)?;
            let open = self.settings.policy.dynamic_membership.then(|| name.to_owned());
            self.settings.group.get(name).cloned().or(open)
        })
    }
}
