//! What a leader knows of the logs and answers of the other hosts.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    control::snapshot::SnapshotTransfer,
    ids::ControlId,
    wire::group::{Member, Members},
};

/// Entries that may be on their way to one host.
const WINDOW_ENTRIES: u64 = 512;

/// Entries that a host may lack and still count as caught up.
const CAUGHT_UP_ENTRIES: u64 = 8;

/// Leader's knowledge of one other host.
#[derive(Debug, Clone)]
pub struct Progress {
    pub member: Member,
    /// Largest index up to which the host's log is known to be synced and equal.
    pub matched: u64,
    /// First index to send.
    pub next: u64,
    /// Whether the host's log is not known; then only one batch is on its way.
    pub probing: bool,
    /// Sending time of the newest answered message.
    pub acked: Option<Millis>,
    /// When the last message was sent.
    pub sent: Option<Millis>,
    /// When the last answer arrived, or when the host was first known.
    pub heard: Millis,
    pub transfer: Option<SnapshotTransfer>,
}

impl Progress {
    /// Progress of a host whose log may be equal up to `last`.
    pub fn new(now: Millis, member: Member, last: u64) -> Self {
        Self {
            member,
            matched: 0,
            next: last + 1,
            probing: true,
            acked: None,
            sent: None,
            heard: now,
            transfer: None,
        }
    }

    /// Notes an answer to a message sent at `echo`.
    pub fn answered(&mut self, now: Millis, echo: Millis) {
        self.heard = now;
        self.acked = self.acked.max(Some(echo));
    }

    /// Notes that the log is equal up to `index`.
    pub fn match_up_to(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        let after = self.matched + 1;
        self.next = if self.probing { after } else { self.next.max(after) };
        self.probing = false;
        self.transfer = None;
    }

    /// Notes that a message was lost or that the log differs after `hint`.
    pub fn mismatch(&mut self, hint: u64) {
        self.next = hint.max(self.matched) + 1;
        self.probing = true;
    }

    /// Whether more entries may be sent before an answer arrives.
    pub fn has_window(&self) -> bool {
        !self.probing && self.next <= self.matched + WINDOW_ENTRIES
    }

    /// Whether the host has nearly all entries up to `last`.
    pub fn is_caught_up(&self, last: u64) -> bool {
        !self.probing && self.matched + CAUGHT_UP_ENTRIES >= last
    }
}

/// Progress of all hosts that a leader sends to.
#[derive(Debug, Default)]
pub struct Replication {
    pub hosts: BTreeMap<ControlId, Progress>,
    /// Answers to messages sent before this time do not count for the lease.
    pub lease_floor: Millis,
}

impl Replication {
    /// Largest index that a majority of `members` has synced.
    pub fn majority_index(&self, members: &Members, own: &ControlId, synced: u64) -> u64 {
        let index =
            |id| if id == own { synced } else { self.hosts.get(id).map_or(0, |p| p.matched) };
        nth_largest(members.0.keys().map(index), members.quorum()).unwrap_or(0)
    }

    /// Time up to which a majority of `members` had answered.
    pub fn majority_acked(
        &self,
        members: &Members,
        own: &ControlId,
        now: Millis,
    ) -> Option<Millis> {
        let acked = |id| if id == own { Some(now) } else { self.hosts.get(id)?.acked };
        let acked = members.0.keys().map(acked).map(|at| at.filter(|at| *at >= self.lease_floor));
        nth_largest(acked, members.quorum()).flatten()
    }

    /// Makes the lease depend on answers to messages sent from `now` on.
    pub fn restart_lease(&mut self, now: Millis) {
        self.lease_floor = now;
    }
}

fn nth_largest<T: Ord>(values: impl Iterator<Item = T>, nth: usize) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    let position = values.len().checked_sub(nth)?;
    values.into_iter().nth(position)
}
