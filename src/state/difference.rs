//! Differences between two desired states, by item and without secrets.
//!
//! The audit trail and the `diff` command use the same texts.

use std::hash::Hash;

use derive_more::Display;
use indexmap::IndexMap;

use crate::{
    ids::{KeyId, Service, Workspace},
    state::model::{
        Change, DesiredState, Drain, HostSpec, KeySpec, Route, ServiceSpec, WorkspaceSpec,
    },
};

/// Text for an item that does not exist.
pub const ABSENT: &str = "-";

/// Leading digits of a verifier that are shown to distinguish it from others.
const FINGERPRINT_DIGITS: usize = 8;

/// Item that differs between two desired states.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{item}: {before} -> {after}")]
pub struct Difference {
    pub item: String,
    pub before: String,
    pub after: String,
}

/// Differences from `before` to `after`, in the order of the file's sections.
pub fn differences(before: &DesiredState, after: &DesiredState) -> Vec<Difference> {
    let mut found = Vec::new();
    for (name, old, new) in pairs(&before.services, &after.services) {
        push(&mut found, format!("service {name}"), old.map(service), new.map(service));
    }
    let (old_routes, new_routes) = (routes(before), routes(after));
    for (name, old, new) in pairs(&old_routes, &new_routes) {
        push(&mut found, format!("route {name}"), old.cloned(), new.cloned());
    }
    for (name, old, new) in pairs(&before.workspaces, &after.workspaces) {
        push(&mut found, format!("workspace {name}"), old.map(workspace), new.map(workspace));
        push_keys(&mut found, name, old, new);
    }
    for (name, old, new) in pairs(&before.hosts, &after.hosts) {
        push(&mut found, format!("host {name}"), old.map(host), new.map(host));
    }
    let (old_drains, new_drains) = (drains(before), drains(after));
    for (drain, old, new) in pairs(&old_drains, &new_drains) {
        push(&mut found, format!("drain of {drain}"), old.cloned(), new.cloned());
    }
    found
}

/// Changes that turn `before` into `after`.
pub fn changes(before: &DesiredState, after: &DesiredState) -> Vec<Change> {
    let mut changes = Vec::new();
    for (name, old, new) in pairs(&before.services, &after.services) {
        if old != new {
            changes.push(Change::Service(name.clone(), new.cloned()));
        }
    }
    // Only the routes of changed services are sent: at the target size all routes
    // together take megabytes.
    let (old_routes, new_routes) = (routes_by_service(before), routes_by_service(after));
    for (service, old, new) in pairs(&old_routes, &new_routes) {
        if old != new {
            let routes = new.into_iter().flatten().map(|route| Route::clone(route)).collect();
            changes.push(Change::Routes(Service::clone(service), routes));
        }
    }
    for (name, old, new) in pairs(&before.workspaces, &after.workspaces) {
        if old != new {
            changes.push(Change::Workspace(name.clone(), new.cloned()));
        }
    }
    for (name, old, new) in pairs(&before.hosts, &after.hosts) {
        if old != new {
            changes.push(Change::ExpectedHost(name.clone(), new.cloned()));
        }
    }
    if before.drains != after.drains {
        changes.push(Change::Drains(after.drains.clone()));
    }
    changes
}

/// Entries of both maps by key: first those in `before`, then the added ones.
fn pairs<'a, K: Hash + Eq, V>(
    before: &'a IndexMap<K, V>,
    after: &'a IndexMap<K, V>,
) -> impl Iterator<Item = (&'a K, Option<&'a V>, Option<&'a V>)> {
    let old = before.iter().map(|(key, value)| (key, Some(value), after.get(key)));
    let added = after.iter().filter(|(key, _)| !before.contains_key(*key));
    old.chain(added.map(|(key, value)| (key, None, Some(value))))
}

fn push(found: &mut Vec<Difference>, item: String, before: Option<String>, after: Option<String>) {
    if before != after {
        let text = |value: Option<String>| value.unwrap_or_else(|| ABSENT.to_owned());
        found.push(Difference { item, before: text(before), after: text(after) });
    }
}

fn push_keys(
    found: &mut Vec<Difference>,
    workspace: &Workspace,
    before: Option<&WorkspaceSpec>,
    after: Option<&WorkspaceSpec>,
) {
    let none = IndexMap::<KeyId, KeySpec>::new();
    let old_keys = before.map_or(&none, |spec| &spec.keys);
    let new_keys = after.map_or(&none, |spec| &spec.keys);
    for (id, old, new) in pairs(old_keys, new_keys) {
        push(found, format!("key {id} of workspace {workspace}"), old.map(key), new.map(key));
    }
}

fn routes_by_service(state: &DesiredState) -> IndexMap<&Service, Vec<&Route>> {
    let mut routes = IndexMap::<_, Vec<_>>::new();
    for route in &state.routes {
        routes.entry(&route.service).or_default().push(route);
    }
    routes
}

fn service(spec: &ServiceSpec) -> String {
    format!("{} instances", spec.instances)
}

fn routes(state: &DesiredState) -> IndexMap<String, String> {
    let name = |route: &Route| format!("{}.{} {}", route.service, route.table, route.action);
    state.routes.iter().map(|route| (name(route), rule(route))).collect()
}

fn rule(route: &Route) -> String {
    let idempotent = if route.idempotent { "idempotent" } else { "not idempotent" };
    match route.max_staleness_ms {
        Some(age) => format!("{}, {idempotent}, staleness {age} ms", route.access),
        None => format!("{}, {idempotent}", route.access),
    }
}

fn workspace(spec: &WorkspaceSpec) -> String {
    let services = spec.services.iter().map(|service| service.as_str()).collect::<Vec<_>>();
    format!("rate {}/s, burst {}, services {}", spec.rate, spec.burst, services.join(" "))
}

fn key(spec: &KeySpec) -> String {
    let fingerprint = spec.verifier.get(..FINGERPRINT_DIGITS).unwrap_or(&spec.verifier);
    format!("{}, verifier {fingerprint}...", spec.state)
}

fn host(spec: &HostSpec) -> String {
    spec.failure_domain.to_string()
}

fn drains(state: &DesiredState) -> IndexMap<String, String> {
    let text = |drain: &Drain| (drain.to_string(), "drained".to_owned());
    state.drains.iter().map(text).collect()
}
