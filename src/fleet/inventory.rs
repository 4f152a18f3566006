//! Targets, primaries and entry hosts in the log.
//!
//! The leader knows them from announcements and reports. A new leader starts with what
//! is in the log, so that entry hosts which have lost their knowledge as well need not
//! wait for the next announcement of each target, and so that targets keep their owners
//! while the hosts find the new leader. All promotions end in the log, so a primary from
//! the log is as certain as one that the earlier leader knew.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    fleet::{
        messages::{Announcement, EntryHost},
        registry::{Registry, is_same},
    },
    ids::{HostId, InstanceId, Service},
};

/// What a new leader starts with.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    pub targets: IndexMap<InstanceId, Announcement>,
    pub primaries: IndexMap<Service, InstanceId>,
    /// Hosts that may own targets.
    pub hosts: IndexMap<HostId, EntryHost>,
}

/// What a leader knows now.
pub struct Known<'a, P> {
    pub registry: &'a Registry,
    /// Primaries that are not about to change.
    pub primaries: P,
    pub hosts: &'a [EntryHost],
}

/// Difference between two inventories.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryChange {
    /// Targets that are new or that say something else than before.
    pub noted: Vec<Announcement>,
    pub left: Vec<InstanceId>,
    pub primaries: Vec<(Service, InstanceId)>,
    pub hosts: Vec<EntryHost>,
    pub hosts_left: Vec<HostId>,
}

impl InventoryChange {
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl Inventory {
    /// Applies a committed change.
    pub fn apply(&mut self, change: &InventoryChange) {
        for target in &change.noted {
            self.targets.insert(target.id.clone(), target.clone());
        }
        for id in &change.left {
            self.targets.shift_remove(id);
        }
        for (service, primary) in &change.primaries {
            self.primaries.insert(service.clone(), primary.clone());
        }
        for host in &change.hosts {
            self.hosts.insert(host.id.clone(), host.clone());
        }
        for id in &change.hosts_left {
            self.hosts.shift_remove(id);
        }
    }

    /// Change that leads to what a leader knows; `None` if nothing differs.
    pub fn change_to<'a, P>(&self, known: Known<'_, P>) -> Option<InventoryChange>
    where
        P: Iterator<Item = (&'a Service, &'a InstanceId)>,
    {
        let Known { registry, primaries, hosts } = known;
        let differs = |target: &&Announcement| {
            self.targets.get(&target.id).is_none_or(|stored| !is_same(stored, target))
        };
        let is_gone = |id: &&InstanceId| registry.get(id).is_none();
        let is_new =
            |(service, id): &(&Service, &InstanceId)| self.primaries.get(*service) != Some(*id);
        let is_new_host = |host: &&EntryHost| self.hosts.get(&host.id) != Some(*host);
        let has_left = |id: &&HostId| !hosts.iter().any(|host| host.id == **id);
        let change = InventoryChange {
            noted: registry.all().filter(differs).cloned().collect(),
            left: self.targets.keys().filter(is_gone).cloned().collect(),
            primaries: primaries.filter(is_new).map(|(s, id)| (s.clone(), id.clone())).collect(),
            hosts: hosts.iter().filter(is_new_host).cloned().collect(),
            hosts_left: self.hosts.keys().filter(has_left).cloned().collect(),
        };
        (!change.is_empty()).then_some(change)
    }
}
