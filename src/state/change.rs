//! Application of changes to a [`ClusterView`].
//!
//! Control hosts and entry hosts use the same code, so a delta leads to the view
//! that the control group holds. Each change replaces a whole item.

use std::hash::Hash;

use indexmap::IndexMap;

use crate::state::model::{Change, ClusterView};

impl ClusterView {
    /// Replaces the item that `change` names; the revision stays.
    pub fn apply_change(&mut self, change: Change) {
        let desired = &mut self.desired;
        match change {
            Change::Version(version) => self.version = version,
            Change::Service(service, spec) => replace(&mut desired.services, service, spec),
            Change::Routes(service, routes) => {
                desired.routes.retain(|route| route.service != service);
                desired.routes.extend(routes);
            }
            Change::Workspace(workspace, spec) => replace(&mut desired.workspaces, workspace, spec),
            Change::ExpectedHost(host, spec) => replace(&mut desired.hosts, host, spec),
            Change::Drains(drains) => desired.drains = drains,
            Change::Host(id, host) => replace(&mut self.hosts, id, host),
            Change::Instance(id, instance) => replace(&mut self.instances, id, instance),
            Change::Group(service, group) => replace(&mut self.groups, service, Some(group)),
        }
    }
}

/// Sets or removes `key`; keeps the order of the other items.
fn replace<K: Hash + Eq, V>(map: &mut IndexMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => {
            map.insert(key, value);
        }
        None => {
            map.shift_remove(&key);
        }
    }
}
