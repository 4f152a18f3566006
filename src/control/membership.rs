//! Voters of the control group and how they change.
//!
//! The voters are those of the last `Members` entry of the log, committed or
//! not. One host is added or removed at a time, so that any majority before a
//! change shares a host with any majority after it.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    ids::ControlId,
    wire::group::{Hello, LogEntry, Member, Members, Payload},
};

/// Largest number of voters.
pub const MAX_VOTERS: usize = 7;

/// Time for which an introduction counts.
const INTRODUCTION_LIFETIME: Millis = Millis(2_000);

impl Members {
    /// Number of hosts in the smallest majority.
    pub fn quorum(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Voter with the configured `name`; the oldest one if there are two.
    pub fn named(&self, name: &str) -> Option<(&ControlId, &Member)> {
        self.0.iter().filter(|(_, member)| member.name == name).min_by_key(|(_, m)| m.added_index)
    }

    /// Voter that another one of the same name has replaced.
    pub fn replaced(&self) -> Option<&ControlId> {
        self.0
            .iter()
            .find(|(_, old)| {
                self.0.values().any(|new| new.name == old.name && new.added_index > old.added_index)
            })
            .map(|(id, _)| id)
    }
}

/// Members entries of the log, so that a truncation restores earlier voters.
#[derive(Debug, Clone, Default)]
pub struct MembershipHistory {
    /// Index and voters; the first is the snapshot's.
    changes: Vec<(u64, Members)>,
    none: Members,
}

impl MembershipHistory {
    /// History of a log that starts after `index` with the voters `members`.
    pub fn new(index: u64, members: Members) -> Self {
        Self { changes: vec![(index, members)], none: Members::default() }
    }

    /// Notes the entries that begin at `first`.
    pub fn append<'a>(&mut self, first: u64, entries: impl IntoIterator<Item = &'a LogEntry>) {
        for (index, entry) in (first..).zip(entries) {
            if let Payload::Members(members) = &entry.payload {
                self.changes.push((index, members.clone()));
            }
        }
    }

    /// Forgets the entries from `from` on.
    pub fn truncate(&mut self, from: u64) {
        self.changes.retain(|(index, _)| *index < from);
    }

    /// Forgets what is not needed for entries after `index`.
    pub fn compact(&mut self, index: u64) {
        let covered = self.changes.iter().rposition(|(at, _)| *at <= index).unwrap_or(0);
        self.changes.drain(..covered);
    }

    /// Voters in force.
    pub fn current(&self) -> &Members {
        self.changes.last().map_or(&self.none, |(_, members)| members)
    }

    /// Voters as of the entry at `index`.
    pub fn at(&self, index: u64) -> &Members {
        let change = self.changes.iter().rfind(|(at, _)| *at <= index);
        change.map_or(&self.none, |(_, members)| members)
    }

    /// Index of the entry with the voters in force.
    pub fn last_change(&self) -> u64 {
        self.changes.last().map_or(0, |(index, _)| *index)
    }
}

/// HelloAnswers that a host has received, by configured name.
#[derive(Debug, Default)]
pub struct HelloAnswers {
    heard: BTreeMap<String, (Millis, bool)>,
}

impl HelloAnswers {
    /// Notes an answer to an introduction of the process with the number `nonce`.
    /// A message to an earlier process may be older than a log that the sender has
    /// since received, so it does not count.
    pub fn note(&mut self, now: Millis, hello: &Hello, nonce: u64) {
        if !hello.reply_requested && hello.nonce == nonce {
            self.heard.insert(hello.member.name.clone(), (now, hello.initialized));
        }
    }

    /// Whether the host `own` must form the group. It is the first of the
    /// configured names and has just heard from all others that they hold no log;
    /// a host that lost its disk therefore never forms a second group.
    pub fn may_bootstrap(&self, now: Millis, own: &str, group: &BTreeMap<String, String>) -> bool {
        let is_first = group.keys().next().is_none_or(|first| first == own);
        let is_blank = |name: &String| {
            self.heard.get(name).is_some_and(|(at, initialized)| {
                !initialized && now.since(*at) < INTRODUCTION_LIFETIME
            })
        };
        is_first && group.keys().filter(|name| *name != own).all(is_blank)
    }
}
