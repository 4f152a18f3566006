//! Replication, lease and membership changes on the leader.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    control::{
        node::{Node, Output, Proposal, State},
        replication::{Progress, Replication},
        snapshot::SnapshotTransfer,
        voter_changes::{
            HostState, RemovalReason, VoterChange, VoterChangeSettings, next_voter_change,
        },
    },
    ids::ControlId,
    wire::group::{
        Append, AppendResponse, AppendResult, GroupBody, InstallSnapshot, InstallSnapshotResponse,
        LogEntry, Member, Payload,
    },
};

/// Largest total size of the entries in one message.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// Largest proposal; leaves room in a message for the envelope.
pub const MAX_PROPOSAL_BYTES: usize = 8 * 1024 * 1024;

/// Time without a response after which replication to a non-voter stops.
const LEARNER_TIMEOUT: Millis = Millis(5_000);

/// Number of voters that a group needs before it serves, unless fewer are configured.
/// During bootstrap, data that only the first host holds would be lost with its disk.
pub(super) const MIN_VOTERS: usize = 3;

/// Time for which a leader of a group without data waits for all the voters that the tolerated
/// losses require. After that it serves with [`MIN_VOTERS`]: there may be no more hosts.
const FORMATION_TIMEOUT: Millis = Millis(10_000);

/// State of a leader.
pub(super) struct LeaderState {
    pub(super) replication: Replication,
    elected_at: Millis,
    /// Index of the leader's first entry.
    pub(super) first_index: u64,
}

impl Node {
    /// Whether the group has as many voters as it needs before it serves. Once it holds data,
    /// the rules in [`voter_changes`](crate::control::voter_changes) keep their number.
    pub(super) fn has_enough_voters(&self, now: Millis) -> bool {
        let State::Leader(state) = &self.state else { return false };
        let is_forming = !self.holds_commands && now.since(state.elected_at) < FORMATION_TIMEOUT;
        let required =
            if is_forming { self.voter_change_settings().min_voters() } else { MIN_VOTERS };
        // With dynamic membership, the configured hosts are only the first ones, unless there
        // are very few.
        let configured = self.settings.group.len();
        let is_complete = !self.settings.policy.dynamic_membership || configured < MIN_VOTERS;
        self.members().0.len() >= if is_complete { required.min(configured) } else { required }
    }

    /// Number of voters that respond to this host, including itself; 0 unless it leads.
    pub fn responding_voters(&self, now: Millis) -> usize {
        let State::Leader(state) = &self.state else { return 0 };
        let timeout = self.settings.timing.replace_after;
        let hosts = &state.replication.hosts;
        let has_responded = |p: &Progress| p.acked_sent_at.is_some();
        let responds = |p: &Progress| has_responded(p) && now.since(p.last_contact) < timeout;
        let responds = |id| hosts.get(id).is_none_or(responds);
        self.members().0.keys().filter(|id| responds(id)).count()
    }

    /// Whether a majority has responded to messages that were sent within the last `span`.
    pub(super) fn has_majority(&self, now: Millis, span: Millis) -> bool {
        let State::Leader(state) = &self.state else { return false };
        let acked = state.replication.majority_acked(self.members(), &self.settings.id, now);
        acked.is_some_and(|at| now.since(at) < span)
    }

    /// Time of the last response from each other host; empty unless this host is the
    /// leader.
    pub fn last_contacts(&self) -> BTreeMap<ControlId, Millis> {
        let State::Leader(state) = &self.state else { return BTreeMap::new() };
        let hosts = state.replication.hosts.iter();
        hosts.map(|(id, progress)| (id.clone(), progress.last_contact)).collect()
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
        self.state = State::Leader(Box::new(LeaderState {
            replication,
            elected_at: now,
            first_index: last + 1,
        }));
        let mut payloads = vec![Payload::Noop];
        if std::mem::take(&mut self.bootstrapping) {
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
                self.outputs.push(Output::ProposalRejected { id, leader });
                continue;
            }
            payloads.push(Payload::Command(bytes));
            let index = self.log.last().index + payloads.len() as u64;
            self.outputs.push(Output::Proposed { id, index, term: self.vote.term });
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

    /// Steps down without a majority, changes the membership and sends heartbeats.
    pub(super) fn tick_leader(&mut self, now: Millis) {
        let timing = &self.settings.timing;
        let (quorum_timeout, heartbeat) = (timing.election_max, timing.heartbeat_interval);
        let State::Leader(state) = &mut self.state else { return };
        let is_new =
            now.since(state.elected_at.max(state.replication.lease_floor)) < quorum_timeout;
        if !is_new && !self.has_majority(now, quorum_timeout) {
            self.become_follower(now, self.vote.term, None);
            return;
        }
        self.remove_unresponsive_learners(now);
        self.change_voters(now);
        for id in self.followers() {
            let progress = self.progress(&id);
            let is_due = |progress: &Progress| {
                progress.last_sent.is_none_or(|sent| now.since(sent) >= heartbeat)
            };
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

    /// Sends entries until the limit of entries in flight is reached. A host that needs the
    /// snapshot first is sent one chunk at a time, with heartbeats and after responses.
    fn send_entries(&mut self, now: Millis, id: &ControlId) {
        let (base, last) = (self.log.base().index, self.log.last().index);
        let has_due = |p: &Progress| p.has_window() && p.next > base && p.next <= last;
        while self.progress(id).is_some_and(has_due) {
            self.send_message(now, id);
        }
    }

    /// Sends one message: entries, a chunk of the snapshot, or a heartbeat.
    fn send_message(&mut self, now: Millis, id: &ControlId) {
        let Some(progress) = self.progress(id) else { return };
        let (next, addr) = (progress.next, self.bus_addr(&progress.member));
        let body = match self.log.id_at(next - 1) {
            None => self.next_install(now, id),
            Some(previous) => {
                let may_send = progress.probing || progress.has_window();
                let entries =
                    if may_send { self.log.batch(next, MAX_BATCH_BYTES) } else { Vec::new() };
                let count = entries.len() as u64;
                if let Some(progress) = self.progress_mut(id).filter(|p| !p.probing) {
                    progress.next += count;
                }
                let append = Append { previous, entries, commit: self.commit_index, sent_at: now };
                Some(GroupBody::Append(append))
            }
        };
        if let Some(progress) = self.progress_mut(id) {
            progress.last_sent = Some(now);
        }
        if let Some(body) = body {
            self.send(addr, Some(id.clone()), self.vote.term, body);
        }
    }

    fn next_install(&mut self, now: Millis, id: &ControlId) -> Option<GroupBody> {
        let snapshot = self.snapshot.clone()?;
        let progress = self.progress_mut(id)?;
        let new = SnapshotTransfer { last: snapshot.last, received: 0 };
        let transfer = progress.transfer.filter(|t| t.last == snapshot.last).unwrap_or(new);
        progress.transfer = Some(transfer);
        let (offset, data) = transfer.next_chunk(&snapshot);
        Some(GroupBody::InstallSnapshot(InstallSnapshot {
            last: snapshot.last,
            members: snapshot.members,
            offset,
            total: snapshot.data.len() as u64,
            data,
            sent_at: now,
        }))
    }

    pub(super) fn on_append_response(
        &mut self,
        now: Millis,
        from: &ControlId,
        response: &AppendResponse,
    ) {
        let Some(progress) = self.progress_mut(from) else { return };
        progress.record_response(now, response.echo);
        match response.result {
            AppendResult::Matched { index } => {
                progress.record_match(index);
                self.commit_majority(now);
                self.send_entries(now, from);
            }
            AppendResult::Mismatch { hint } => {
                progress.record_mismatch(hint);
                self.send_message(now, from);
            }
        }
    }

    pub(super) fn on_install_response(
        &mut self,
        now: Millis,
        from: &ControlId,
        response: &InstallSnapshotResponse,
    ) {
        let Some(snapshot) = &self.snapshot else { return };
        let (last, total) = (snapshot.last, snapshot.data.len() as u64);
        let Some(progress) = self.progress_mut(from) else { return };
        progress.record_response(now, response.echo);
        if response.last != last {
            return;
        }
        if response.received >= total {
            progress.record_match(last.index);
            self.commit_majority(now);
        } else {
            progress.transfer = Some(SnapshotTransfer { last, received: response.received });
        }
        self.send_message(now, from);
    }

    /// Commits the entries that a majority holds. Entries of earlier terms are committed
    /// only together with one of the current term: another leader may still replace an
    /// entry of an earlier term that a majority holds.
    pub(super) fn commit_majority(&mut self, now: Millis) {
        let State::Leader(state) = &self.state else { return };
        let synced = self.synced_index();
        let index = state.replication.majority_index(self.members(), &self.settings.id, synced);
        let is_own = self.log.id_at(index).is_some_and(|id| id.term == self.vote.term);
        if index > self.commit_index && is_own {
            self.advance_commit(index);
            if !self.is_voter() && self.history.last_change() <= self.commit_index {
                self.become_follower(now, self.vote.term, None);
            }
        }
    }

    /// Starts replication to a host that asks to join, if it may become a voter.
    pub(super) fn maybe_add_learner(&mut self, now: Millis, id: ControlId, member: Member) {
        let timeout = self.settings.timing.replace_after;
        let is_configured = self.settings.policy.dynamic_membership
            || self.settings.group.contains_key(&member.name);
        let predecessor = self.members().named(&member.name).map(|(id, _)| id.clone());
        let replaces_live = predecessor.is_some_and(|old| {
            old == self.settings.id
                || self.progress(&old).is_some_and(|p| now.since(p.last_contact) < timeout)
        });
        let last = self.log.last().index;
        let State::Leader(state) = &mut self.state else { return };
        // Before that, a new group exists only on this host, and perhaps not on its disk.
        let has_committed = self.commit_index >= state.first_index;
        if !is_configured || replaces_live || !has_committed {
            return;
        }
        let hosts = &mut state.replication.hosts;
        hosts.entry(id).or_insert_with(|| Progress::new(now, member, last));
    }

    fn remove_unresponsive_learners(&mut self, now: Millis) {
        let members = self.history.current();
        let State::Leader(state) = &mut self.state else { return };
        state.replication.hosts.retain(|id, progress| {
            members.0.contains_key(id) || now.since(progress.last_contact) < LEARNER_TIMEOUT
        });
    }

    /// Begins the next change of the voters. The last change and an entry of the current term
    /// must be committed first; otherwise two majorities without a common host could exist.
    fn change_voters(&mut self, now: Millis) {
        let last = self.log.last().index;
        let State::Leader(state) = &mut self.state else { return };
        for progress in state.replication.hosts.values_mut() {
            progress.record_lag(now, last);
        }
        if self.commit_index < state.first_index.max(self.history.last_change()) {
            return;
        }
        let (settings, voters) = (self.voter_change_settings(), self.members());
        let hosts = self.host_states(now);
        let Some(change) = next_voter_change(&settings, &self.settings.id, voters, &hosts) else {
            return;
        };
        let mut next = voters.clone();
        let (voters, responding) = (voters.0.len(), self.responding_voters(now));
        self.outputs.push(Output::VotersChanging { change: change.clone(), voters, responding });
        match change {
            VoterChange::Add { host, member } => {
                let added_index = self.log.last().index + 1;
                next.0.insert(host, Member { added_index, ..member });
            }
            VoterChange::Remove { host, reason } => {
                next.0.remove(&host);
                self.stop_replication(&host, reason);
            }
        }
        self.append_as_leader(now, vec![Payload::Members(next)]);
    }

    /// Stops replication to a removed voter, which would otherwise count as a learner. A host
    /// that is only one too many goes on as one.
    fn stop_replication(&mut self, host: &ControlId, reason: RemovalReason) {
        let State::Leader(state) = &mut self.state else { return };
        if reason != RemovalReason::Surplus {
            state.replication.hosts.remove(host);
        }
    }

    fn voter_change_settings(&self) -> VoterChangeSettings {
        let policy = &self.settings.policy;
        VoterChangeSettings {
            tolerated_losses: policy.tolerated_losses,
            respond_timeout: self.settings.timing.replace_after,
            remove_after: policy
                .dynamic_membership
                .then_some(policy.remove_after.max(self.settings.timing.replace_after)),
        }
    }

    /// What this leader knows of the hosts that it replicates to. Silence counts from its
    /// election or from the end of a freeze, because it could hear nobody before.
    fn host_states(&self, now: Millis) -> BTreeMap<ControlId, HostState> {
        let State::Leader(state) = &self.state else { return BTreeMap::new() };
        let since = |at: Millis| now.since(at.max(state.replication.lease_floor));
        let host_state = |progress: &Progress| HostState {
            member: progress.member.clone(),
            has_responded: progress.acked_sent_at >= Some(state.replication.lease_floor),
            silence: since(progress.last_contact),
            lag: progress.behind_since.map_or(Millis(0), |at| since(at).max(Millis(1))),
        };
        let hosts = state.replication.hosts.iter();
        hosts.map(|(id, progress)| (id.clone(), host_state(progress))).collect()
    }
}
