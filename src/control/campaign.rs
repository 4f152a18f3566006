//! Elections: asking for votes and granting them.

use crate::{
    clock::Millis,
    control::{
        election::Ballot,
        node::{Node, Output, State},
        storage::Vote,
    },
    ids::ControlId,
    wire::group::{GroupBody, GroupTerm, LogMark, Refused},
};

impl Node {
    /// Asks whether an election would succeed. A host that cannot win, because it
    /// was cut off or lacks entries, so leaves the term of the group as it is.
    pub(super) fn start_pre_vote(&mut self, now: Millis) {
        self.timer.retry(now, &self.settings.timing);
        self.leader = None;
        let ballot = Ballot::new(&self.settings.id);
        let won = ballot.has_won(self.members());
        self.state = State::PreCandidate(ballot);
        if won {
            self.start_vote(now);
        } else {
            let last = self.log.last();
            self.ask(GroupTerm(self.vote.term.0 + 1), &GroupBody::PreVote { last });
        }
    }

    pub(super) fn start_vote(&mut self, now: Millis) {
        self.timer.retry(now, &self.settings.timing);
        let term = GroupTerm(self.vote.term.0 + 1);
        self.store_vote(Vote { term, voted_for: Some(self.settings.id.clone()) });
        let ballot = Ballot::new(&self.settings.id);
        let won = ballot.has_won(self.members());
        self.state = State::Candidate(ballot);
        if won {
            self.become_leader(now);
        } else {
            let last = self.log.last();
            self.ask(term, &GroupBody::Vote { last });
        }
    }

    fn ask(&mut self, term: GroupTerm, body: &GroupBody) {
        let own = &self.settings.id;
        let others = self.members().0.iter().filter(|(id, _)| *id != own);
        let others: Vec<_> = others.map(|(id, m)| (id.clone(), self.bus_addr(m))).collect();
        for (id, addr) in others {
            self.send(addr, Some(id), term, body.clone());
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: Millis,
        from: ControlId,
        term: GroupTerm,
        last: LogMark,
    ) {
        let reason = if !self.is_blank() && !self.members().0.contains_key(&from) {
            Refused::Removed
        } else if self.follows_leader(now) || term < self.vote.term || last < self.log.last() {
            Refused::Now
        } else {
            Refused::No
        };
        let granted = reason == Refused::No;
        self.answer_vote(from, GroupBody::PreVoteAnswer { granted, reason });
    }

    pub(super) fn on_vote(&mut self, now: Millis, from: ControlId, term: GroupTerm, last: LogMark) {
        if self.follows_leader(now) {
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
        self.answer_vote(from, GroupBody::VoteAnswer { granted });
    }

    pub(super) fn on_pre_vote_answer(
        &mut self,
        now: Millis,
        from: ControlId,
        granted: bool,
        reason: Refused,
    ) {
        let State::PreCandidate(ballot) = &mut self.state else { return };
        if granted {
            ballot.grant(&from);
            if ballot.has_won(self.history.current()) {
                self.start_vote(now);
            }
        } else if reason == Refused::Removed {
            // A host that was removed while it was away joins an open group again.
            self.was_member &= !self.settings.policy.open;
            self.out.push(Output::Removed { by: from });
        }
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
            let open = self.settings.policy.open.then(|| name.to_owned());
            self.settings.group.get(name).cloned().or(open)
        })
    }
}
