//! Ownership of targets. The owner is the entry host that holds the connections to a
//! target.
//!
//! Every host computes the same ranking of owners for a target: the hosts in the target's
//! failure domain first, then the others, each ordered by rendezvous hashing. A host uses
//! the first one that answers and has not recently reported the target as unreachable. If
//! hosts disagree on the owner for a time, the target's own connection limit still holds.
//!
//! A target may have several owners, one for each shard of the workspaces. Load: at a peak the
//! traffic of a busy target exceeds the network link of one small host, while other hosts of the
//! failure domain have room. All work of a workspace goes to one owner, so that the connections,
//! which belong to workspaces, are used as well as by a single owner.

use std::cmp::Reverse;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Millis,
    fleet::messages::{Announcement, EntryHost},
    ids::{HostId, InstanceId, Workspace},
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

/// Most owners of one target.
const MAX_SHARDS: u32 = 4;

/// Connections that each owner of a target must have, so that few workspaces wait for one.
const MIN_SHARD_CONNECTIONS: u32 = 16;

/// Part of the workspaces whose work for a target goes to the same owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Shard(pub u32);

impl Shard {
    /// Shard of a workspace among `shards`. Halving the number of shards moves only the
    /// workspaces of the upper half.
    pub fn of(workspace: &Workspace, shards: u32) -> Self {
        let hash = xxh3_64(workspace.as_str().as_bytes());
        Self((hash % u64::from(shards.max(1))) as u32)
    }
}

/// Number of shards of each target of a service, of which a target accepts `max_connections`.
/// A power of two, at most the number of hosts for each target.
pub fn shard_count(hosts: usize, targets: usize, max_connections: u32) -> u32 {
    let by_hosts = u32::try_from(hosts / targets.max(1)).unwrap_or(MAX_SHARDS);
    let by_connections = owner_connections(max_connections) / MIN_SHARD_CONNECTIONS;
    let most = by_hosts.min(by_connections).clamp(1, MAX_SHARDS);
    1 << most.ilog2()
}

/// Hosts ordered by precedence as the owner of a shard of `target`.
pub fn rank_owners<'a>(
    target: &Announcement,
    shard: Shard,
    hosts: &'a [EntryHost],
) -> Vec<&'a EntryHost> {
    let item = match shard {
        Shard(0) => target.addr.clone(),
        Shard(number) => format!("{}/{number}", target.addr),
    };
    let mut ranked: Vec<&EntryHost> = hosts.iter().collect();
    ranked.sort_by_cached_key(|host| {
        let local = host.domain == target.domain;
        Reverse((local, score(&item, &host.id), &host.id))
    });
    ranked
}

/// Role of a host for a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerRole {
    /// First in the ranking of owners for this number of shards.
    Owner(u32),
    /// Used by other hosts because the owner is unusable to them.
    Fallback,
    Other,
}

/// Connections to a target that its owners may hold together.
fn owner_connections(max_connections: u32) -> u32 {
    max_connections * OWNER_PERCENT / 100
}

/// Number of connections that a host may hold, of the `max_connections` that a target with so
/// many `shards` accepts from `hosts` hosts. While the primary of the target's service changes,
/// the owners leave some to control, whose commands would otherwise be refused.
pub fn connection_quota(
    max_connections: u32,
    hosts: usize,
    shards: u32,
    role: OwnerRole,
    changing: bool,
) -> u32 {
    let owner_quota = owner_connections(max_connections);
    let rest = max_connections - owner_quota;
    let quota = match role {
        OwnerRole::Owner(owned) if changing => {
            owner_quota.saturating_sub(CONTROL_CONNECTIONS) * owned / shards
        }
        OwnerRole::Owner(owned) => owner_quota * owned / shards,
        OwnerRole::Fallback => rest / 2 / shards,
        // Without a view it is unknown how many hosts share the rest.
        OwnerRole::Other => {
            u32::try_from(hosts).ok().and_then(|hosts| rest.checked_div(hosts)).unwrap_or(1)
        }
    };
    quota.max(1)
}

/// Slots of a target that a host may use which owns `owned` of its `shards`. A host that owns
/// none serves others for a short time only, and uses all.
pub fn slot_share(slots: u32, owned: u32, shards: u32) -> u32 {
    if owned == 0 { slots } else { (slots * owned).div_ceil(shards) }
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
