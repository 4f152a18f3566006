//! Follower's side of replication.

use crate::{
    clock::Millis,
    control::{
        log::Merge,
        membership::MembershipHistory,
        node::{Node, Output},
        snapshot::Assembled,
        storage::{Snapshot, Write},
    },
    ids::ControlId,
    wire::group::{
        Append, AppendResponse, AppendResult, GroupBody, GroupTerm, InstallSnapshot,
        InstallSnapshotResponse,
    },
};

/// Entries of a leader that were not synced when they were answered.
#[derive(Debug)]
pub(super) struct PendingAck {
    leader: ControlId,
    term: GroupTerm,
    echo: Millis,
    index: u64,
}

impl Node {
    pub(super) fn on_append(
        &mut self,
        now: Millis,
        from: ControlId,
        term: GroupTerm,
        append: Append,
    ) {
        let result = if term < self.vote.term {
            AppendResult::Mismatch { hint: self.commit_index }
        } else {
            self.follow(now, term, &from);
            self.merge(&append)
        };
        let result = self.limit_to_synced(&from, append.sent_at, result);
        let answer = AppendResponse { echo: append.sent_at, result };
        self.answer_leader(from, GroupBody::AppendResponse(answer));
    }

    /// Claims only synced entries; the others are answered once they are synced.
    /// The answer is not delayed, because it also confirms the leader.
    fn limit_to_synced(
        &mut self,
        leader: &ControlId,
        echo: Millis,
        result: AppendResult,
    ) -> AppendResult {
        let AppendResult::Matched { index } = result else { return result };
        let synced = self.synced();
        let (leader, term) = (leader.clone(), self.vote.term);
        self.pending_ack = (index > synced).then_some(PendingAck { leader, term, echo, index });
        AppendResult::Matched { index: index.min(synced) }
    }

    /// Answers entries that are synced now.
    pub(super) fn answer_synced(&mut self) {
        let synced = self.synced();
        let term = self.vote.term;
        let due = |it: &mut PendingAck| it.term != term || it.index <= synced;
        let Some(answered) = self.pending_ack.take_if(due) else { return };
        if answered.term == term {
            let result = AppendResult::Matched { index: answered.index };
            let answer = AppendResponse { echo: answered.echo, result };
            self.answer_leader(answered.leader, GroupBody::AppendResponse(answer));
        }
    }

    fn follow(&mut self, now: Millis, term: GroupTerm, leader: &ControlId) {
        self.become_follower(now, term, Some(leader.clone()));
        self.timer.heard_leader(now, &self.settings.timing);
    }

    fn merge(&mut self, append: &Append) -> AppendResult {
        match self.log.merge(append.previous, &append.entries) {
            Merge::Mismatch { hint } => AppendResult::Mismatch { hint },
            Merge::Consistent { matched, truncate, entries } => {
                if let Some(from) = truncate {
                    self.log.truncate(from);
                    self.history.truncate(from);
                    self.persist(from, Write::Truncate { from });
                }
                if !entries.is_empty() {
                    self.append_entries(entries);
                }
                self.advance_commit(append.commit.min(matched));
                AppendResult::Matched { index: matched }
            }
        }
    }

    pub(super) fn on_install(
        &mut self,
        now: Millis,
        from: ControlId,
        term: GroupTerm,
        install: InstallSnapshot,
    ) {
        let mut received = 0;
        if term >= self.vote.term {
            self.follow(now, term, &from);
            received = self.assemble(&install);
        }
        let answer =
            InstallSnapshotResponse { echo: install.sent_at, last: install.last, received };
        self.answer_leader(from, GroupBody::InstallSnapshotResponse(answer));
    }

    fn assemble(&mut self, install: &InstallSnapshot) -> u64 {
        if install.last.index <= self.commit_index {
            return install.total;
        }
        match self.assembly.add(install) {
            Assembled::Partial(received) => received,
            Assembled::Complete(snapshot) => {
                self.restore(snapshot);
                install.total
            }
        }
    }

    /// Replaces the state by the leader's snapshot; entries after it remain only
    /// if the log holds the snapshot's last entry.
    fn restore(&mut self, snapshot: Snapshot) {
        let last = snapshot.last;
        if self.log.mark(last.index) == Some(last) {
            self.log.compact(last);
        } else {
            self.log.reset(last);
        }
        self.history = MembershipHistory::new(last.index, snapshot.members.clone());
        self.history.append(last.index + 1, &self.log.after(last));
        self.commit_index = last.index;
        self.was_member |= snapshot.members.0.contains_key(&self.settings.id);
        let data = snapshot.data.clone();
        self.store_snapshot(snapshot);
        self.out.push(Output::RestoreSnapshot { index: last.index, data });
    }

    fn answer_leader(&mut self, leader: ControlId, body: GroupBody) {
        self.answer_vote(leader, body);
    }
}
