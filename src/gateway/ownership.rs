//! Owner of a target: the entry host that holds the connections to it.
//!
//! Each target has an order of hosts, the same everywhere: first those in its failure
//! domain, then the others, each by rendezvous hashing. The first one that can be used
//! is taken: one that answers, and that has not just said that it cannot reach the
//! target itself. If two hosts use different owners for a time, the target's own bound
//! on connections still holds.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::messages::{Announcement, EntryHost},
    ids::{HostId, InstanceId},
    ownership::rendezvous::score,
};

/// Time for which a host is not asked again for a target that it could not reach.
const BLOCKED_FOR: Millis = Millis(1_000);

/// Time after the last work for another host during which a host counts as an owner:
/// the others use it because the first one cannot be used.
const SERVES_FOR: Millis = Millis(2_000);

/// Percentage of a target's connections that its owner may use. The others remain for
/// hosts that cannot reach the owner, and for control.
const OWNER_PERCENT: u32 = 75;

/// Connections of control to one target while it changes the primary: an order every
/// 100 ms, each for at most 400 ms.
const ORDERS: u32 = 4;

/// Hosts in the order in which they own `target`.
pub fn rank_owners<'a>(target: &Announcement, hosts: &'a [EntryHost]) -> Vec<&'a EntryHost> {
    let mut ranked: Vec<&EntryHost> = hosts.iter().collect();
    ranked.sort_by_cached_key(|host| {
        let local = host.domain == target.domain;
        Reverse((local, score(&target.addr, &host.id), &host.id))
    });
    ranked
}

/// Part that a host plays for a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerRole {
    /// First in the order of hosts.
    Owner,
    /// Other hosts use it because they cannot use the owner.
    Fallback,
    Other,
}

/// Connections that a host may have, of `all` that a target accepts from `hosts` hosts.
/// While the primary of the target's service changes, the owner leaves some to control,
/// whose orders would be refused otherwise.
pub fn connection_quota(all: u32, hosts: usize, part: OwnerRole, changing: bool) -> u32 {
    let for_owner = all * OWNER_PERCENT / 100;
    let rest = all - for_owner;
    let allowed = match part {
        OwnerRole::Owner if changing => for_owner.saturating_sub(ORDERS),
        OwnerRole::Owner => for_owner,
        OwnerRole::Fallback => rest / 2,
        // Without hosts it is not known how many share the rest.
        OwnerRole::Other => {
            u32::try_from(hosts).ok().and_then(|hosts| rest.checked_div(hosts)).unwrap_or(1)
        }
    };
    allowed.max(1)
}

/// Experience with owners.
#[derive(Debug, Default)]
pub struct OwnerTracker {
    /// Until when a host is not asked for a target.
    blocked: IndexMap<InstanceId, IndexMap<HostId, Millis>>,
    /// When this host last worked on a target for another host.
    served: IndexMap<InstanceId, Millis>,
}

impl OwnerTracker {
    /// Notes that `host` cannot reach `target`.
    pub fn block(&mut self, now: Millis, target: &InstanceId, host: &HostId) {
        let blocked = self.blocked.entry(target.clone()).or_default();
        blocked.insert(host.clone(), now + BLOCKED_FOR);
    }

    /// Notes work on `target` for another host.
    pub fn serve(&mut self, now: Millis, target: &InstanceId) {
        self.served.insert(target.clone(), now);
    }

    /// Whether other hosts use this one as the owner of `target`.
    pub fn serves(&self, now: Millis, target: &InstanceId) -> bool {
        self.served.get(target).is_some_and(|at| now.since(*at) < SERVES_FOR)
    }

    fn is_blocked(&self, now: Millis, target: &InstanceId, host: &HostId) -> bool {
        let until = self.blocked.get(target).and_then(|hosts| hosts.get(host));
        until.is_some_and(|until| now < *until)
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, exists: impl Fn(&InstanceId) -> bool) {
        self.blocked.retain(|id, _| exists(id));
        self.served.retain(|id, _| exists(id));
    }
}

/// What the choice of an owner looks at.
pub struct OwnerSelection<'a> {
    pub now: Millis,
    pub target: &'a InstanceId,
    /// This host.
    pub own: &'a HostId,
    /// Whether this host can reach the target over connections of its own.
    pub reaches: bool,
    pub owners: &'a OwnerTracker,
    /// Hosts that were tried for the same work.
    pub tried: &'a [HostId],
}

impl OwnerSelection<'_> {
    /// First host of `ranked` that can be used; `None` if the work is for this host.
    /// `is_usable` tells whether another host answers.
    pub fn choose<'h>(
        &self,
        ranked: &'h [EntryHost],
        is_usable: impl Fn(&EntryHost) -> bool,
    ) -> Option<&'h EntryHost> {
        let can_use = |host: &&EntryHost| {
            if self.tried.contains(&host.id) {
                false
            } else if host.id == *self.own {
                self.reaches
            } else {
                !self.owners.is_blocked(self.now, self.target, &host.id) && is_usable(host)
            }
        };
        ranked.iter().find(can_use).filter(|host| host.id != *self.own)
    }
}
