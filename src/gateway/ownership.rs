//! Ownership of targets. The owner is the entry host that holds the connections to a
//! target.
//!
//! Every host computes the same ranking of owners for a target: the hosts in the target's
//! failure domain first, then the others, each ordered by rendezvous hashing. A host uses
//! the first one that answers and has not recently reported the target as unreachable. If
//! hosts disagree on the owner for a time, the target's own connection limit still holds.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::messages::{Announcement, EntryHost},
    ids::{HostId, InstanceId},
    ownership::rendezvous::score,
};

/// Time for which a host is not used for a target that it could not reach.
const BLOCK_DURATION: Millis = Millis(1_000);

/// Time after the last job for another host during which a host counts as a fallback
/// owner: others use it because the owner is unusable.
const FALLBACK_DURATION: Millis = Millis(2_000);

/// Share of a target's connections that its owner may use, in percent. The rest is left
/// to hosts that cannot reach the owner, and to control.
const OWNER_PERCENT: u32 = 75;

/// Connections that control needs to one target while it changes the primary: it sends a
/// command every 100 ms, each of which takes at most 400 ms.
const CONTROL_CONNECTIONS: u32 = 4;

/// Hosts ordered by precedence as the owner of `target`.
pub fn rank_owners<'a>(target: &Announcement, hosts: &'a [EntryHost]) -> Vec<&'a EntryHost> {
    let mut ranked: Vec<&EntryHost> = hosts.iter().collect();
    ranked.sort_by_cached_key(|host| {
        let local = host.domain == target.domain;
        Reverse((local, score(&target.addr, &host.id), &host.id))
    });
    ranked
}

/// Role of a host for a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerRole {
    /// First in the ranking.
    Owner,
    /// Used by other hosts because the owner is unusable to them.
    Fallback,
    Other,
}

/// Number of connections that a host may hold, of the `max_connections` that a target
/// accepts from `hosts` hosts. While the primary of the target's service changes, the
/// owner leaves some to control, whose commands would otherwise be refused.
pub fn connection_quota(
    max_connections: u32,
    hosts: usize,
    role: OwnerRole,
    changing: bool,
) -> u32 {
    let owner_quota = max_connections * OWNER_PERCENT / 100;
    let rest = max_connections - owner_quota;
    let quota = match role {
        OwnerRole::Owner if changing => owner_quota.saturating_sub(CONTROL_CONNECTIONS),
        OwnerRole::Owner => owner_quota,
        OwnerRole::Fallback => rest / 2,
        // Without a view it is unknown how many hosts share the rest.
        OwnerRole::Other => {
            u32::try_from(hosts).ok().and_then(|hosts| rest.checked_div(hosts)).unwrap_or(1)
        }
    };
    quota.max(1)
}

/// Which owners are blocked for a target, and which targets this host serves for others.
#[derive(Debug, Default)]
pub struct OwnerTracker {
    /// Time until which a host is not used for a target.
    blocked: IndexMap<InstanceId, IndexMap<HostId, Millis>>,
    /// Time of the last job of another host for a target.
    served: IndexMap<InstanceId, Millis>,
}

impl OwnerTracker {
    /// Blocks `host` for a while, because it cannot reach `target`.
    pub fn block(&mut self, now: Millis, target: &InstanceId, host: &HostId) {
        let blocked = self.blocked.entry(target.clone()).or_default();
        blocked.insert(host.clone(), now + BLOCK_DURATION);
    }

    /// Records a job of another host for `target`.
    pub fn record_served(&mut self, now: Millis, target: &InstanceId) {
        self.served.insert(target.clone(), now);
    }

    /// Whether other hosts use this one as the owner of `target`.
    pub fn is_serving(&self, now: Millis, target: &InstanceId) -> bool {
        self.served.get(target).is_some_and(|at| now.since(*at) < FALLBACK_DURATION)
    }

    fn is_blocked(&self, now: Millis, target: &InstanceId, host: &HostId) -> bool {
        let until = self.blocked.get(target).and_then(|hosts| hosts.get(host));
        until.is_some_and(|until| now < *until)
    }

    /// Removes targets for which `exists` is false.
    pub fn retain(&mut self, exists: impl Fn(&InstanceId) -> bool) {
        self.blocked.retain(|id, _| exists(id));
        self.served.retain(|id, _| exists(id));
    }
}

/// Inputs of the selection of an owner.
pub struct OwnerSelection<'a> {
    pub now: Millis,
    pub target: &'a InstanceId,
    /// This host.
    pub own: &'a HostId,
    /// Whether this host can reach the target over its own connections.
    pub reachable: bool,
    pub owners: &'a OwnerTracker,
    /// Hosts that were already tried for the same job.
    pub tried: &'a [HostId],
}

impl OwnerSelection<'_> {
    /// First usable host of `ranked`; `None` if that is this host or none is usable.
    /// `is_usable` returns whether another host answers.
    pub fn select<'h>(
        &self,
        ranked: &'h [EntryHost],
        is_usable: impl Fn(&EntryHost) -> bool,
    ) -> Option<&'h EntryHost> {
        let can_use = |host: &&EntryHost| {
            if self.tried.contains(&host.id) {
                false
            } else if host.id == *self.own {
                self.reachable
            } else {
                !self.owners.is_blocked(self.now, self.target, &host.id) && is_usable(host)
            }
        };
        ranked.iter().find(can_use).filter(|host| host.id != *self.own)
    }
}
