//! Application of changes to a [`ClusterView`].
//!
//! Control hosts and entry hosts use the same code, so a delta leads to the view
//! that the control group holds. Each change replaces a whole item.

use std::hash::Hash;

use indexmap::IndexMap;

use crate::{
    ids::Service,
    state::model::{Change, ClusterView, Route},
};

impl ClusterView {
    /// Replaces the items that `changes` name; the revision stays. The result is the
    /// same whether changes are applied together or one after another.
    pub fn apply_changes(&mut self, changes: impl IntoIterator<Item = Change>) {
        let mut routes = IndexMap::new();
        for change in changes {
            self.apply_change(change, &mut routes);
        }
        if !routes.is_empty() {
            self.desired.routes.retain(|route| !routes.contains_key(&route.service));
            self.desired.routes.extend(routes.into_values().flatten());
        }
    }

    /// Applies one change. Routes are collected first, because a pass over all routes
    /// for each service takes seconds at the target size.
    fn apply_change(&mut self, change: Change, changed_routes: &mut IndexMap<Service, Vec<Route>>) {
        let desired = &mut self.desired;
        match change {
            Change::Version(version) => self.version = version,
            Change::Service(service, spec) => replace(&mut desired.services, service, spec),
            Change::Routes(service, routes) => {
                changed_routes.shift_remove(&service);
                changed_routes.insert(service, routes);
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
