//! Replication progress of the other hosts, as a leader tracks it.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    control::snapshot::SnapshotTransfer,
    ids::ControlId,
    wire::group::{Member, Members},
};

/// Largest number of unacknowledged entries in flight to one host.
const MAX_INFLIGHT_ENTRIES: u64 = 512;

/// Largest number of entries that a caught-up host may lack.
const CAUGHT_UP_LAG_ENTRIES: u64 = 8;

/// Replication progress of one host.
#[derive(Debug, Clone)]
pub struct Progress {
    pub member: Member,
    /// Largest index up to which the host's log is known to be synced and equal to the
    /// leader's.
    pub matched: u64,
    /// Index of the next entry to send.
    pub next: u64,
    /// Whether it is unknown where the host's log matches; only one batch is then in
    /// flight.
    pub probing: bool,
    /// Sending time of the newest acknowledged message.
    pub acked_sent_at: Option<Millis>,
    /// When the last message was sent.
    pub last_sent: Option<Millis>,
    /// When the last response arrived, or when the host was first known.
    pub last_contact: Millis,
    /// Since when the host has not held nearly all entries; `None` if it holds them.
    pub behind_since: Option<Millis>,
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
            acked_sent_at: None,
            last_sent: None,
            last_contact: now,
            behind_since: Some(now),
            transfer: None,
        }
    }

    /// Records a response to a message sent at `echo`.
    pub fn record_response(&mut self, now: Millis, echo: Millis) {
        self.last_contact = now;
        self.acked_sent_at = self.acked_sent_at.max(Some(echo));
    }

    /// Records that the log is equal up to `index`.
    pub fn record_match(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        let after = self.matched + 1;
        self.next = if self.probing { after } else { self.next.max(after) };
        self.probing = false;
        self.transfer = None;
    }

    /// Records that a message was lost or that the log differs after `hint`.
    pub fn record_mismatch(&mut self, hint: u64) {
        self.next = hint.max(self.matched) + 1;
        self.probing = true;
    }

    /// Whether more entries may be sent before a response arrives.
    pub fn has_window(&self) -> bool {
        !self.probing && self.next <= self.matched + MAX_INFLIGHT_ENTRIES
    }

    /// Records whether the host has nearly all entries up to `last`.
    pub fn record_lag(&mut self, now: Millis, last: u64) {
        let is_caught_up = !self.probing && self.matched + CAUGHT_UP_LAG_ENTRIES >= last;
        self.behind_since = (!is_caught_up).then(|| self.behind_since.unwrap_or(now));
    }
}

/// Progress of all hosts that a leader replicates to.
#[derive(Debug, Default)]
pub struct Replication {
    pub hosts: BTreeMap<ControlId, Progress>,
    /// Responses to messages sent before this time do not extend the leader's lease.
    pub lease_floor: Millis,
}

impl Replication {
    /// Largest index that a majority of `members` has synced.
    pub fn majority_index(&self, members: &Members, own: &ControlId, synced: u64) -> u64 {
        let index =
            |id| if id == own { synced } else { self.hosts.get(id).map_or(0, |p| p.matched) };
        nth_largest(members.0.keys().map(index), members.quorum()).unwrap_or(0)
    }

    /// Latest sending time such that a majority of `members` has responded to a message sent
    /// then or later.
    pub fn majority_acked(
        &self,
        members: &Members,
        own: &ControlId,
        now: Millis,
    ) -> Option<Millis> {
        let acked = |id| if id == own { Some(now) } else { self.hosts.get(id)?.acked_sent_at };
        let acked = members.0.keys().map(acked).map(|at| at.filter(|at| *at >= self.lease_floor));
        nth_largest(acked, members.quorum()).flatten()
    }

    /// Ends the leader's lease until a majority responds to messages sent from `now` on.
    pub fn invalidate_lease(&mut self, now: Millis) {
        self.lease_floor = now;
    }
}

fn nth_largest<T: Ord>(values: impl Iterator<Item = T>, nth: usize) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    let position = values.len().checked_sub(nth)?;
    values.into_iter().nth(position)
}
