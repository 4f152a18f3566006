//! Acknowledgement of a configuration to the operator.
//!
//! The operator is promised that no host acts on an older configuration later than a given
//! delay after the acknowledgement. Hosts may be slow, or out of contact, for any time. Two
//! rules keep the promise all the same:
//!
//! - A host renews its configuration with an answer of the leader: up to the time at which it
//!   sent the answered report, less the time for which the leader says that the configuration
//!   in this report has been superseded. [`MAX_CONFIG_AGE`] after the newest renewal the host
//!   refuses whatever depends on the configuration.
//! - The leader acknowledges a version once each host has confirmed it, or will have stopped
//!   acting on an older one within the promised delay. From then on it renews no older one.
//!
//! Until the acknowledgement, a host that lacks the version is renewed at most up to the time at
//! which that version was committed, and at most up to its last report. A host that the leader
//! does not know was renewed by an earlier leader, at most up to the time at which this one took
//! the lead. [`RENEWAL_EXPIRY`] after the earlier of these times the host has stopped, by its own
//! clock.

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    fleet::{
        hosts::{Hosts, VIEW_EXPIRY},
        messages::ConfigStatus,
    },
    gateway::primary_proof::MAX_VIEW_AGE,
};

/// Time from the newest renewal of a host's configuration until the host no longer acts on it;
/// as for the rest of what it knows from control.
pub const MAX_CONFIG_AGE: Millis = MAX_VIEW_AGE;

/// Time from a renewal until the leader counts on it that the host has stopped acting on the
/// configuration: [`MAX_CONFIG_AGE`] and 10 % for clock drift.
pub const RENEWAL_EXPIRY: Millis = VIEW_EXPIRY;

/// Commit times of the versions that one leader has put in force.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// Newest version than which no older one is renewed: its commit time is not known, since an
    /// earlier leader committed it or since it was long ago, or it was acknowledged.
    base: u64,
    commits: VecDeque<Commit>,
}

#[derive(Debug, Clone, Copy)]
struct Commit {
    version: u64,
    at: Millis,
}

impl ConfigHistory {
    /// History of a leader that finds `version` in force.
    pub fn new(version: u64) -> Self {
        Self { base: version, commits: VecDeque::new() }
    }

    /// Records a version that an earlier leader has proposed, and may have committed.
    pub fn record_inherited(&mut self, version: u64) {
        *self = Self::new(version);
    }

    /// Records a version that this leader has committed.
    pub fn record(&mut self, now: Millis, version: u64) {
        self.commits.push_back(Commit { version, at: now });
        self.drop_while(|oldest| now.since(oldest.at) > RENEWAL_EXPIRY);
    }

    /// Records that `version` is about to be acknowledged: the leader counts on it that hosts
    /// which lack it are not renewed any more.
    pub fn record_acknowledged(&mut self, version: u64) {
        self.drop_while(|oldest| oldest.version <= version);
    }

    fn drop_while(&mut self, is_dropped: impl Fn(&Commit) -> bool) {
        while let Some(oldest) = self.commits.front().copied().filter(&is_dropped) {
            self.base = oldest.version;
            self.commits.pop_front();
        }
    }

    /// Whether a host's `version` is in force, or for how long it has been superseded.
    pub fn status(&self, now: Millis, version: u64) -> ConfigStatus {
        if version < self.base {
            return ConfigStatus::Outdated;
        }
        let successor = self.commits.iter().find(|commit| commit.version > version);
        ConfigStatus::SupersededFor(successor.map_or(Millis(0), |commit| now.since(commit.at)))
    }
}

/// Version that waits for its acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigRollout {
    pub version: u64,
    /// When this process learned that the version is committed.
    pub committed_at: Millis,
}

impl ConfigRollout {
    /// Whether no host can act on an older version later than `max_delay` from now.
    pub fn is_complete(&self, now: Millis, hosts: &Hosts, max_delay: Millis) -> bool {
        let last_renewal = hosts.last_renewal_before(self.version, self.committed_at);
        last_renewal + RENEWAL_EXPIRY <= now + max_delay
    }
}
