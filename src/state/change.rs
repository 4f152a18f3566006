//! Application of changes to a [`ClusterView`].
//!
//! Control hosts and entry hosts run the same code, so an entry host that applies a
//! delta has the same view as the control group. Each change replaces a whole item.

use std::hash::Hash;

use indexmap::IndexMap;

use crate::{
    ids::Service,
    state::model::{Change, ClusterView, Route},
};

impl ClusterView {
    /// Applies `changes` without raising the revision. The result is the same whether
    /// changes are applied together or one after another.
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

    /// Applies one change. Route changes are only collected in `changed_routes`, because
    /// a pass over all routes for each service takes seconds at the target size.
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

/// Sets `key` to `value`, or removes it; keeps the order of the other items.
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
