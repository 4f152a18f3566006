//! Voters of the control group and how they change.
//!
//! The voters are those of the last `Members` entry of the log, whether it is committed
//! or not. One host is added or removed at a time, so that any majority before a change
//! overlaps with any majority after it.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    ids::ControlId,
    wire::group::{Hello, LogEntry, Member, Members, Payload},
};

/// Largest number of voters.
pub const MAX_VOTERS: usize = 7;

/// Time for which the reply to a hello is valid.
const HELLO_LIFETIME: Millis = Millis(2_000);

/// Number of hosts in the smallest majority of `voters`.
pub fn quorum_of(voters: usize) -> usize {
    voters / 2 + 1
}

impl Members {
    /// Number of hosts in the smallest majority.
    pub fn quorum(&self) -> usize {
        quorum_of(self.0.len())
    }

    /// Voter with the configured `name`; the oldest if there are two.
    pub fn named(&self, name: &str) -> Option<(&ControlId, &Member)> {
        self.0.iter().filter(|(_, member)| member.name == name).min_by_key(|(_, m)| m.added_index)
    }

    /// Voter that a newer one with the same name has replaced.
    pub fn replaced(&self) -> Option<&ControlId> {
        self.0
            .iter()
            .find(|(_, old)| {
                self.0.values().any(|new| new.name == old.name && new.added_index > old.added_index)
            })
            .map(|(id, _)| id)
    }
}

/// Membership entries of the log, so that a truncation restores earlier voters.
#[derive(Debug, Clone, Default)]
pub struct MembershipHistory {
    /// Index of the entry and its voters; the first pair is that of the snapshot.
    changes: Vec<(u64, Members)>,
    empty: Members,
}

impl MembershipHistory {
    /// History of a log that starts after `index` with `members` as voters.
    pub fn new(index: u64, members: Members) -> Self {
        Self { changes: vec![(index, members)], empty: Members::default() }
    }

    /// Adds the membership entries among `entries`, which start at `first`.
    pub fn append<'a>(&mut self, first: u64, entries: impl IntoIterator<Item = &'a LogEntry>) {
        for (index, entry) in (first..).zip(entries) {
            if let Payload::Members(members) = &entry.payload {
                self.changes.push((index, members.clone()));
            }
        }
    }

    /// Removes the entries from `from` on.
    pub fn truncate(&mut self, from: u64) {
        self.changes.retain(|(index, _)| *index < from);
    }

    /// Removes the changes that entries after `index` do not need.
    pub fn compact(&mut self, index: u64) {
        let covered = self.changes.iter().rposition(|(at, _)| *at <= index).unwrap_or(0);
        self.changes.drain(..covered);
    }

    /// Voters of all entries, the earliest first.
    pub fn voters(&self) -> impl Iterator<Item = (&ControlId, &Member)> {
        self.changes.iter().flat_map(|(_, members)| &members.0)
    }

    /// Voters according to the last entry.
    pub fn current(&self) -> &Members {
        self.changes.last().map_or(&self.empty, |(_, members)| members)
    }

    /// Voters as of the entry at `index`.
    pub fn at(&self, index: u64) -> &Members {
        let change = self.changes.iter().rfind(|(at, _)| *at <= index);
        change.map_or(&self.empty, |(_, members)| members)
    }

    /// Index of the entry with the current voters.
    pub fn last_change(&self) -> u64 {
        self.changes.last().map_or(0, |(index, _)| *index)
    }
}

/// Replies to the hellos of this host, by configured name.
#[derive(Debug, Default)]
pub struct HelloReplies {
    /// Arrival of the last reply, and whether its sender holds a log.
    replies: BTreeMap<String, (Millis, bool)>,
}

impl HelloReplies {
    /// Records a reply to a hello of this process, which `nonce` identifies. A reply
    /// to an earlier process is ignored: its sender may have received a log since.
    pub fn record(&mut self, now: Millis, hello: &Hello, nonce: u64) {
        if !hello.reply_requested && hello.nonce == nonce {
            self.replies.insert(hello.member.name.clone(), (now, hello.initialized));
        }
    }

    /// Whether the host `own` must create the group: it is the first of the configured
    /// names, and all other hosts have just reported that they hold no log. A host that
    /// lost its disk therefore never creates a second group.
    pub fn may_bootstrap(&self, now: Millis, own: &str, group: &BTreeMap<String, String>) -> bool {
        let is_first = group.keys().next().is_none_or(|first| first == own);
        let is_uninitialized = |name: &String| {
            self.replies
                .get(name)
                .is_some_and(|(at, initialized)| !initialized && now.since(*at) < HELLO_LIFETIME)
        };
        is_first && group.keys().filter(|name| *name != own).all(is_uninitialized)
    }
}
