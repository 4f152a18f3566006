//! Targets and primaries in the log.
//!
//! The leader knows them from announcements, which arrive about every second. A new
//! leader starts with what is in the log, so that entry hosts which have lost their
//! knowledge as well need not wait for the next announcement of each target. All
//! promotions end in the log, so a primary from the log is as certain as one that the
//! earlier leader knew.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    fleet::{
        messages::Announcement,
        registry::{Registry, is_same},
    },
    ids::{InstanceId, Service},
};

/// Targets and primaries that a new leader starts with.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    pub targets: IndexMap<InstanceId, Announcement>,
    pub primaries: IndexMap<Service, InstanceId>,
}

/// Difference between two inventories.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryChange {
    /// Targets that are new or that say something else than before.
    pub noted: Vec<Announcement>,
    pub left: Vec<InstanceId>,
    pub primaries: Vec<(Service, InstanceId)>,
}

impl InventoryChange {
    fn is_empty(&self) -> bool {
        self.noted.is_empty() && self.left.is_empty() && self.primaries.is_empty()
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
    }

    /// Change that leads to what a leader knows; `None` if nothing differs. `primaries`
    /// are those that are not about to change.
    pub fn change_to<'a>(
        &self,
        registry: &Registry,
        primaries: impl Iterator<Item = (&'a Service, &'a InstanceId)>,
    ) -> Option<InventoryChange> {
        let differs = |target: &&Announcement| {
            self.targets.get(&target.id).is_none_or(|stored| !is_same(stored, target))
        };
        let is_gone = |id: &&InstanceId| registry.get(id).is_none();
        let is_new =
            |(service, id): &(&Service, &InstanceId)| self.primaries.get(*service) != Some(*id);
        let change = InventoryChange {
            noted: registry.all().filter(differs).cloned().collect(),
            left: self.targets.keys().filter(is_gone).cloned().collect(),
            primaries: primaries.filter(is_new).map(|(s, id)| (s.clone(), id.clone())).collect(),
        };
        (!change.is_empty()).then_some(change)
    }
}
