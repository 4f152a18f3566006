//! Replication on a follower.

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

/// Acknowledgement of entries that are not synced yet.
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
            self.follow_leader(now, term, &from);
            self.merge(&append)
        };
        let result = self.limit_to_synced(&from, append.sent_at, result);
        let response = AppendResponse { echo: append.sent_at, result };
        self.respond_to_leader(from, GroupBody::AppendResponse(response));
    }

    /// Acknowledges only synced entries; the others are acknowledged once they are
    /// synced. The response is not delayed, because it also extends the leader's lease.
    fn limit_to_synced(
        &mut self,
        leader: &ControlId,
        echo: Millis,
        result: AppendResult,
    ) -> AppendResult {
        let AppendResult::Matched { index } = result else { return result };
        let synced = self.synced_index();
        let (leader, term) = (leader.clone(), self.vote.term);
        self.pending_ack = (index > synced).then_some(PendingAck { leader, term, echo, index });
        AppendResult::Matched { index: index.min(synced) }
    }

    /// Sends the pending acknowledgement if its entries are synced.
    pub(super) fn send_pending_ack(&mut self) {
        let synced = self.synced_index();
        let term = self.vote.term;
        let is_due = |ack: &mut PendingAck| ack.term != term || ack.index <= synced;
        let Some(ack) = self.pending_ack.take_if(is_due) else { return };
        if ack.term == term {
            let result = AppendResult::Matched { index: ack.index };
            let response = AppendResponse { echo: ack.echo, result };
            self.respond_to_leader(ack.leader, GroupBody::AppendResponse(response));
        }
    }

    fn follow_leader(&mut self, now: Millis, term: GroupTerm, leader: &ControlId) {
        self.become_follower(now, term, Some(leader.clone()));
        self.leader_heard_at = now;
        self.timer.record_leader_contact(now, &self.settings.timing);
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
            self.follow_leader(now, term, &from);
            received = self.receive_snapshot_chunk(&install);
        }
        let response =
            InstallSnapshotResponse { echo: install.sent_at, last: install.last, received };
        self.respond_to_leader(from, GroupBody::InstallSnapshotResponse(response));
    }

    /// Returns the number of bytes received so far.
    fn receive_snapshot_chunk(&mut self, install: &InstallSnapshot) -> u64 {
        if install.last.index <= self.commit_index {
            return install.total;
        }
        match self.snapshot_assembly.add(install) {
            Assembled::Partial(received) => received,
            Assembled::Complete(snapshot) => {
                self.restore_snapshot(snapshot);
                install.total
            }
        }
    }

    /// Replaces the state by the leader's snapshot. Entries after the snapshot remain
    /// only if the log holds the snapshot's last entry.
    fn restore_snapshot(&mut self, snapshot: Snapshot) {
        let last = snapshot.last;
        if self.log.id_at(last.index) == Some(last) {
            self.log.compact(last);
        } else {
            self.log.reset(last);
        }
        self.history = MembershipHistory::new(last.index, snapshot.members.clone());
        self.history.append(last.index + 1, &self.log.after(last));
        self.learn_voters();
        self.commit_index = last.index;
        self.holds_commands = true;
        self.was_member |= snapshot.members.0.contains_key(&self.settings.id);
        let data = snapshot.data.clone();
        self.store_snapshot(snapshot);
        self.outputs.push(Output::RestoreSnapshot { index: last.index, data });
    }

    fn respond_to_leader(&mut self, leader: ControlId, body: GroupBody) {
        self.send_response(leader, body);
    }
}
