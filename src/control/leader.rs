//! Leader: replication, lease and changes of the voters.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    control::{
        membership::MAX_VOTERS,
        node::{Node, Output, Proposal, State},
        replication::{Progress, Replication},
        snapshot::SnapshotTransfer,
    },
    ids::ControlId,
    wire::group::{
        Append, AppendResponse, AppendResult, GroupBody, InstallSnapshot, InstallSnapshotResponse,
        LogEntry, Member, Payload,
    },
};

/// Size of the entries in one message, in bytes.
const BATCH_BYTES: usize = 1024 * 1024;

/// Largest proposal in bytes; leaves room in a message for its envelope.
pub const MAX_PROPOSAL_BYTES: usize = 8 * 1024 * 1024;

/// Silence after which a host that is no voter is not sent entries any more.
const LEARNER_SILENCE: Millis = Millis(5_000);

/// Voters that a group needs before it serves, unless fewer are configured. While
/// a group forms, its first host alone would lose everything with its disk.
const MIN_VOTERS: usize = 3;

/// State of a leader.
pub(super) struct LeaderState {
    pub(super) replication: Replication,
    /// When the host became the leader.
    since: Millis,
    /// Index of its first entry.
    first: u64,
}

impl Node {
    /// Whether this host may answer: it leads, all earlier entries are committed
    /// and a majority has confirmed it within its lease.
    pub fn is_serving(&self, now: Millis) -> bool {
        let State::Leader(state) = &self.state else { return false };
        self.commit_index >= state.first
            && self.has_majority(now, self.settings.timing.leader_lease())
            && self.members().0.len() >= self.settings.group.len().min(MIN_VOTERS)
    }

    /// Whether a majority answered messages that were sent within the last `span`.
    pub(super) fn has_majority(&self, now: Millis, span: Millis) -> bool {
        let State::Leader(state) = &self.state else { return false };
        let acked = state.replication.majority_acked(self.members(), &self.settings.id, now);
        acked.is_some_and(|at| now.since(at) < span)
    }

    /// When the leader last heard each other host; empty on other hosts.
    pub fn last_contacts(&self) -> BTreeMap<ControlId, Millis> {
        let State::Leader(state) = &self.state else { return BTreeMap::new() };
        let hosts = state.replication.hosts.iter();
        hosts.map(|(id, progress)| (id.clone(), progress.heard)).collect()
    }

    pub(super) fn become_leader(&mut self, now: Millis) {
        let own = self.settings.id.clone();
        let last = self.log.last().index;
        let others = self.members().0.iter().filter(|(id, _)| **id != own);
        let hosts = others
            .map(|(id, member)| (id.clone(), Progress::new(now, member.clone(), last)))
            .collect();
        let replication = Replication { hosts, lease_floor: now };
        self.leader = Some(own);
        self.state =
            State::Leader(Box::new(LeaderState { replication, since: now, first: last + 1 }));
        let mut payloads = vec![Payload::Noop];
        if std::mem::take(&mut self.forming) {
            payloads.push(Payload::Members(self.members().clone()));
        }
        self.append_as_leader(now, payloads);
    }

    pub(super) fn propose(&mut self, now: Millis, proposals: Vec<Proposal>) {
        let serving = self.is_serving(now);
        let mut payloads = Vec::new();
        for Proposal { id, bytes } in proposals {
            if !serving || bytes.len() > MAX_PROPOSAL_BYTES {
                let leader = self.leader.clone();
                self.out.push(Output::ProposalRejected { id, leader });
                continue;
            }
            payloads.push(Payload::Command(bytes));
            let index = self.log.last().index + payloads.len() as u64;
            self.out.push(Output::Proposed { id, index, term: self.vote.term });
        }
        if !payloads.is_empty() {
            self.append_as_leader(now, payloads);
        }
    }

    fn append_as_leader(&mut self, now: Millis, payloads: Vec<Payload>) {
        let term = self.vote.term;
        let entries = payloads.into_iter().map(|payload| LogEntry { term, payload }).collect();
        self.append_entries(entries);
        for id in self.followers() {
            self.send_entries(now, &id);
        }
        self.commit_majority(now);
    }

    /// Regular work of a leader.
    pub(super) fn tick_leader(&mut self, now: Millis) {
        let timing = &self.settings.timing;
        let (patience, heartbeat) = (timing.election_max, timing.heartbeat);
        let State::Leader(state) = &mut self.state else { return };
        let is_new = now.since(state.since.max(state.replication.lease_floor)) < patience;
        if !is_new && !self.has_majority(now, patience) {
            self.become_follower(now, self.vote.term, None);
            return;
        }
        self.forget_learners(now);
        self.change_members(now);
        for id in self.followers() {
            let progress = self.progress(&id);
            let is_due =
                |progress: &Progress| progress.sent.is_none_or(|sent| now.since(sent) >= heartbeat);
            if progress.is_some_and(is_due) {
                self.send_message(now, &id);
            }
        }
    }

    fn followers(&self) -> Vec<ControlId> {
        let State::Leader(state) = &self.state else { return Vec::new() };
        state.replication.hosts.keys().cloned().collect()
    }

    fn progress(&self, id: &ControlId) -> Option<&Progress> {
        let State::Leader(state) = &self.state else { return None };
        state.replication.hosts.get(id)
    }

    fn progress_mut(&mut self, id: &ControlId) -> Option<&mut Progress> {
        let State::Leader(state) = &mut self.state else { return None };
        state.replication.hosts.get_mut(id)
    }

    /// Sends entries as far as the window allows.
    fn send_entries(&mut self, now: Millis, id: &ControlId) {
        let last = self.log.last().index;
        while self.progress(id).is_some_and(|p| p.has_window() && p.next <= last) {
            self.send_message(now, id);
        }
    }

    /// Sends one message: entries, part of the snapshot, or a heartbeat.
    fn send_message(&mut self, now: Millis, id: &ControlId) {
        let Some(progress) = self.progress(id) else { return };
        let (next, addr) = (progress.next, self.bus_addr(&progress.member));
        let body = match self.log.mark(next - 1) {
            None => self.install_part(now, id),
            Some(previous) => {
                let wanted = progress.probing || progress.has_window();
                let entries = if wanted { self.log.batch(next, BATCH_BYTES) } else { Vec::new() };
                let count = entries.len() as u64;
                if let Some(progress) = self.progress_mut(id).filter(|p| !p.probing) {
                    progress.next += count;
                }
                let append = Append { previous, entries, commit: self.commit_index, sent_at: now };
                Some(GroupBody::Append(append))
            }
        };
        if let Some(progress) = self.progress_mut(id) {
            progress.sent = Some(now);
        }
        if let Some(body) = body {
            self.send(addr, Some(id.clone()), self.vote.term, body);
        }
    }

    fn install_part(&mut self, now: Millis, id: &ControlId) -> Option<GroupBody> {
        let snapshot = self.snapshot.clone()?;
        let progress = self.progress_mut(id)?;
        let fresh = SnapshotTransfer { last: snapshot.last, received: 0 };
        let transfer = progress.transfer.filter(|t| t.last == snapshot.last).unwrap_or(fresh);
        progress.transfer = Some(transfer);
        let (offset, data) = transfer.part(&snapshot);
        Some(GroupBody::InstallSnapshot(InstallSnapshot {
            last: snapshot.last,
            members: snapshot.members,
            offset,
            total: snapshot.data.len() as u64,
            data,
            sent_at: now,
        }))
    }

    pub(super) fn on_append_answer(
        &mut self,
        now: Millis,
        from: &ControlId,
        answer: &AppendResponse,
    ) {
        let Some(progress) = self.progress_mut(from) else { return };
        progress.answered(now, answer.echo);
        match answer.result {
            AppendResult::Matched { index } => {
                progress.match_up_to(index);
                self.commit_majority(now);
                self.send_entries(now, from);
            }
            AppendResult::Mismatch { hint } => {
                progress.mismatch(hint);
                self.send_message(now, from);
            }
        }
    }

    pub(super) fn on_install_answer(
        &mut self,
        now: Millis,
        from: &ControlId,
        answer: &InstallSnapshotResponse,
    ) {
        let Some(snapshot) = &self.snapshot else { return };
        let (last, total) = (snapshot.last, snapshot.data.len() as u64);
        let Some(progress) = self.progress_mut(from) else { return };
        progress.answered(now, answer.echo);
        if answer.last != last {
            return;
        }
        if answer.received >= total {
            progress.match_up_to(last.index);
            self.commit_majority(now);
        } else {
            progress.transfer = Some(SnapshotTransfer { last, received: answer.received });
        }
        self.send_message(now, from);
    }

    /// Commits what a majority holds. Entries of earlier terms are committed only
    /// together with one of the own term: a majority that holds an older entry
    /// does not keep another leader from replacing it.
    pub(super) fn commit_majority(&mut self, now: Millis) {
        let State::Leader(state) = &self.state else { return };
        let synced = self.synced();
        let index = state.replication.majority_index(self.members(), &self.settings.id, synced);
        let is_own = self.log.mark(index).is_some_and(|mark| mark.term == self.vote.term);
        if index > self.commit_index && is_own {
            self.advance_commit(index);
            if !self.is_voter() && self.history.last_change() <= self.commit_index {
                self.become_follower(now, self.vote.term, None);
            }
        }
    }

    /// Starts to send the log to a host that wants to become a voter.
    pub(super) fn consider_learner(&mut self, now: Millis, id: ControlId, member: Member) {
        let silence = self.settings.timing.replace;
        let is_configured = self.settings.policy.dynamic_membership
            || self.settings.group.contains_key(&member.name);
        let predecessor = self.members().named(&member.name).map(|(id, _)| id.clone());
        let replaces_live = predecessor.is_some_and(|old| {
            old == self.settings.id
                || self.progress(&old).is_some_and(|p| now.since(p.heard) < silence)
        });
        let last = self.log.last().index;
        let State::Leader(state) = &mut self.state else { return };
        if !is_configured || replaces_live {
            return;
        }
        let hosts = &mut state.replication.hosts;
        hosts.entry(id).or_insert_with(|| Progress::new(now, member, last));
    }

    fn forget_learners(&mut self, now: Millis) {
        let members = self.history.current();
        let State::Leader(state) = &mut self.state else { return };
        state.replication.hosts.retain(|id, progress| {
            members.0.contains_key(id) || now.since(progress.heard) < LEARNER_SILENCE
        });
    }

    /// Adds a host that has caught up, or removes one that was replaced. The last
    /// change and an entry of the own term must be committed first; otherwise
    /// two majorities without a common host could exist.
    fn change_members(&mut self, now: Millis) {
        let State::Leader(state) = &self.state else { return };
        if self.commit_index < state.first.max(self.history.last_change()) {
            return;
        }
        let silent = self.silent_voter(now);
        let State::Leader(state) = &mut self.state else { return };
        let mut next = self.history.current().clone();
        if let Some(id) = next.replaced().cloned().or(silent) {
            next.0.remove(&id);
            // Without its progress the host is not taken for one that wants to join.
            state.replication.hosts.remove(&id);
        } else if let Some((id, member)) = self.learner(now) {
            next.0.insert(id, member);
        } else {
            return;
        }
        self.append_as_leader(now, vec![Payload::Members(next)]);
    }

    /// Voter of an open group that has been silent for long, if the others can go on
    /// without it.
    fn silent_voter(&self, now: Millis) -> Option<ControlId> {
        let State::Leader(state) = &self.state else { return None };
        let policy = &self.settings.policy;
        let voters = &self.members().0;
        if !policy.dynamic_membership || voters.len() <= MIN_VOTERS {
            return None;
        }
        let silence = |id: &ControlId| {
            state.replication.hosts.get(id).map_or(Millis(0), |p| now.since(p.heard))
        };
        let live = voters.keys().filter(|id| silence(id) < self.settings.timing.replace).count();
        let quorum_after = (voters.len() - 1) / 2 + 1;
        let is_new = now.since(state.since) < policy.remove_after;
        if is_new || live < quorum_after {
            return None;
        }
        voters.keys().find(|id| silence(id) >= policy.remove_after).cloned()
    }

    /// Host that is no voter yet, holds nearly all entries and answers.
    fn learner(&self, now: Millis) -> Option<(ControlId, Member)> {
        let State::Leader(state) = &self.state else { return None };
        let (members, last) = (self.members(), self.log.last().index);
        let silence = self.settings.timing.replace;
        let mut learners = state.replication.hosts.iter();
        let (id, progress) = learners.find(|(id, progress)| {
            !members.0.contains_key(*id)
                && progress.is_caught_up(last)
                && now.since(progress.heard) < silence
        })?;
        let member = Member { added_index: last + 1, ..progress.member.clone() };
        (members.0.len() < MAX_VOTERS).then(|| (id.clone(), member))
    }
}
