//! Replicated inventory of targets, primaries and entry hosts.
//!
//! The leader learns them from announcements and reports, and stores them in the log for
//! the next leader. Entry hosts that have lost their state as well then need not wait for
//! the next announcement of each target, and targets keep their owners while the hosts find
//! the new leader. A primary is stored while no other target may be promoted, so one from the
//! log is as reliable as one that the previous leader knew.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    fleet::{
        messages::{Announcement, EntryHost},
        registry::{Registry, is_routing_equal},
    },
    ids::{HostId, InstanceId, Service},
};

/// State with which a new leader starts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    pub targets: IndexMap<InstanceId, Announcement>,
    pub primaries: IndexMap<Service, InstanceId>,
    /// Hosts that may own targets.
    pub hosts: IndexMap<HostId, EntryHost>,
}

/// Current state as observed by the leader.
pub struct Observed<'a, P> {
    pub registry: &'a Registry,
    /// Targets that stay in the inventory also if they have left the registry: they may have held
    /// commits that only the primary holds as well, and the next leader has to know of them.
    pub remembered: &'a [&'a InstanceId],
    /// Primaries without a change in progress.
    pub primaries: P,
    pub hosts: &'a [EntryHost],
}

/// Difference between the stored inventory and the observed state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryDelta {
    /// Targets that are new or whose announcement changed.
    pub updated: Vec<Announcement>,
    pub removed: Vec<InstanceId>,
    pub primaries: Vec<(Service, InstanceId)>,
    pub hosts: Vec<EntryHost>,
    pub removed_hosts: Vec<HostId>,
}

impl InventoryDelta {
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl Inventory {
    /// Applies a committed delta.
    pub fn apply(&mut self, delta: &InventoryDelta) {
        for target in &delta.updated {
            self.targets.insert(target.id.clone(), target.clone());
        }
        for id in &delta.removed {
            self.targets.shift_remove(id);
        }
        for (service, primary) in &delta.primaries {
            self.primaries.insert(service.clone(), primary.clone());
        }
        for host in &delta.hosts {
            self.hosts.insert(host.id.clone(), host.clone());
        }
        for id in &delta.removed_hosts {
            self.hosts.shift_remove(id);
        }
    }

    /// Delta from this inventory to the observed state; `None` if they are equal.
    pub fn delta_to<'a, P>(&self, observed: Observed<'_, P>) -> Option<InventoryDelta>
    where
        P: Iterator<Item = (&'a Service, &'a InstanceId)>,
    {
        let Observed { registry, remembered, primaries, hosts } = observed;
        let differs = |target: &&Announcement| {
            self.targets.get(&target.id).is_none_or(|stored| !is_routing_equal(stored, target))
        };
        let is_removed = |id: &&InstanceId| registry.get(id).is_none() && !remembered.contains(id);
        let is_new =
            |(service, id): &(&Service, &InstanceId)| self.primaries.get(*service) != Some(*id);
        let is_new_host = |host: &&EntryHost| self.hosts.get(&host.id) != Some(*host);
        let is_removed_host = |id: &&HostId| !hosts.iter().any(|host| host.id == **id);
        let delta = InventoryDelta {
            updated: registry.all().filter(differs).cloned().collect(),
            removed: self.targets.keys().filter(is_removed).cloned().collect(),
            primaries: primaries.filter(is_new).map(|(s, id)| (s.clone(), id.clone())).collect(),
            hosts: hosts.iter().filter(is_new_host).cloned().collect(),
            removed_hosts: self.hosts.keys().filter(is_removed_host).cloned().collect(),
        };
        (!delta.is_empty()).then_some(delta)
    }
}
