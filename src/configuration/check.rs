//! Validation across the entries of a file, which yields the desired state.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use toml_span::Spanned;

use crate::{
    configuration::{
        finding::Findings,
        parse::{DrainEntry, File, HostEntry, KeyEntry, RouteEntry, ServiceEntry, WorkspaceEntry},
    },
    ids::{HostId, KeyId, Service, Workspace},
    state::model::{
        Access, Action, DesiredState, Drain, HostSpec, KeySpec, KeyState, Route, ServiceSpec,
        WorkspaceSpec,
    },
};

/// Desired state described by `file`; only complete if there are no findings.
pub fn check(file: &File, findings: &mut Findings<'_>) -> DesiredState {
    let mut checker = Checker { findings, services: IndexSet::new() };
    let services = checker.services(&file.services);
    checker.services = services.keys().cloned().collect();
    let hosts = checker.hosts(&file.hosts);
    DesiredState {
        routes: checker.routes(&file.routes),
        workspaces: checker.workspaces(&file.workspaces),
        drains: checker.drains(&file.drains, &hosts),
        services,
        hosts,
    }
}

struct Checker<'a, 'b> {
    findings: &'a mut Findings<'b>,
    /// All services in the file.
    services: IndexSet<Service>,
}

/// Values seen so far, with the byte offset of the first occurrence.
type Seen<T> = BTreeMap<T, usize>;

impl Checker<'_, '_> {
    fn services(&mut self, entries: &[ServiceEntry]) -> IndexMap<Service, ServiceSpec> {
        let mut seen = Seen::new();
        let mut services = IndexMap::new();
        for entry in entries {
            let Some(name) = &entry.name else { continue };
            self.unique(&mut seen, "service", name);
            // A service with an invalid number of instances stays known, so that references
            // to it are not reported as well.
            let instances = entry.instances.unwrap_or_default();
            services.insert(name.value.as_str().into(), ServiceSpec { instances });
        }
        services
    }

    fn routes(&mut self, entries: &[RouteEntry]) -> Vec<Route> {
        let mut seen = Seen::new();
        entries.iter().filter_map(|entry| self.route(entry, &mut seen)).collect()
    }

    fn route(&mut self, entry: &RouteEntry, seen: &mut Seen<String>) -> Option<Route> {
        let service = entry.service.as_ref().and_then(|service| self.known_service(service));
        let action = entry.action;
        if let Some(action) = action {
            self.check_reads_and_writes(entry, action);
        }
        let (service, table, action) = (service?, entry.table.as_ref()?, action?);
        let name = format!("{service}.{} {action}", table.value);
        self.unique_at(seen, "route", &name, entry.offset);
        Some(Route {
            service,
            table: table.value.clone(),
            action,
            access: entry.access.unwrap_or(Access::Keyed),
            idempotent: entry.idempotent.as_ref().map_or(!action.is_write(), |it| it.value),
            max_staleness_ms: entry.max_staleness_ms.as_ref().map(|age| age.value),
        })
    }

    fn check_reads_and_writes(&mut self, entry: &RouteEntry, action: Action) {
        if let Some(age) = entry.max_staleness_ms.as_ref().filter(|_| action.is_write()) {
            let message = format!("`max_staleness_ms` is allowed on select only, not on {action}");
            self.findings.add(age.span.start, message);
        }
        let declared = entry.idempotent.as_ref();
        if let Some(declared) = declared.filter(|it| !it.value && !action.is_write()) {
            self.findings.add(declared.span.start, "a select is always idempotent");
        }
    }

    fn workspaces(&mut self, entries: &[WorkspaceEntry]) -> IndexMap<Workspace, WorkspaceSpec> {
        let (mut seen, mut ids, mut verifiers) = (Seen::new(), Seen::new(), Seen::new());
        let mut workspaces = IndexMap::new();
        for entry in entries {
            let spec = WorkspaceSpec {
                rate: entry.rate.unwrap_or_default(),
                burst: entry.burst.unwrap_or_default(),
                services: self.workspace_services(&entry.services),
                keys: self.keys(&entry.keys, &mut ids, &mut verifiers),
            };
            let Some(name) = &entry.name else { continue };
            self.unique(&mut seen, "workspace", name);
            workspaces.insert(name.value.as_str().into(), spec);
        }
        workspaces
    }

    fn workspace_services(&mut self, names: &[Spanned<String>]) -> Vec<Service> {
        let mut seen = Seen::new();
        let mut services = Vec::new();
        for name in names {
            self.unique(&mut seen, "service", name);
            services.extend(self.known_service(name));
        }
        services
    }

    fn keys(
        &mut self,
        entries: &[KeyEntry],
        ids: &mut Seen<String>,
        verifiers: &mut Seen<String>,
    ) -> IndexMap<KeyId, KeySpec> {
        let mut keys = IndexMap::new();
        for entry in entries {
            if let Some(id) = &entry.id {
                self.unique(ids, "key id", id);
            }
            if let Some(verifier) = &entry.verifier {
                // Verifiers are salted with the key id, so a copy under another id matches
                // no key.
                let offset = verifier.span.start;
                if let Some(first) = verifiers.insert(verifier.value.clone(), offset) {
                    let (line, _) = self.findings.location(first);
                    let message = format!("`verifier` is a copy of the one at line {line}");
                    self.findings.add(offset, message);
                }
            }
            if let (Some(id), Some(verifier)) = (&entry.id, &entry.verifier) {
                let state = entry.state.unwrap_or(KeyState::Active);
                let verifier = verifier.value.clone();
                keys.insert(id.value.as_str().into(), KeySpec { verifier, state });
            }
        }
        keys
    }

    fn hosts(&mut self, entries: &[HostEntry]) -> IndexMap<HostId, HostSpec> {
        let mut seen = Seen::new();
        let mut hosts = IndexMap::new();
        for entry in entries {
            let Some(name) = &entry.name else { continue };
            self.unique(&mut seen, "host", name);
            let domain = entry.failure_domain.as_ref().map_or("", |domain| &domain.value);
            hosts.insert(name.value.as_str().into(), HostSpec { failure_domain: domain.into() });
        }
        hosts
    }

    fn drains(&mut self, entries: &[DrainEntry], hosts: &IndexMap<HostId, HostSpec>) -> Vec<Drain> {
        let mut seen = Seen::new();
        let mut drains = Vec::new();
        for entry in entries {
            let drain = match (&entry.host, &entry.instance) {
                (Some(host), None) => {
                    self.check_host(host, hosts);
                    Drain::Host(host.value.as_str().into())
                }
                (None, Some(instance)) => Drain::Instance(instance.value.as_str().into()),
                _ => {
                    self.findings.add(entry.offset, "[[drain]] needs either `host` or `instance`");
                    continue;
                }
            };
            self.unique_at(&mut seen, "drain of", &drain.to_string(), entry.offset);
            drains.push(drain);
        }
        drains
    }

    fn check_host(&mut self, name: &Spanned<String>, hosts: &IndexMap<HostId, HostSpec>) {
        if !hosts.contains_key(&HostId::from(name.value.as_str())) {
            let message = unknown("host", &name.value, hosts.keys());
            self.findings.add(name.span.start, message);
        }
    }

    fn known_service(&mut self, name: &Spanned<String>) -> Option<Service> {
        let service = Service::from(name.value.as_str());
        if self.services.contains(&service) {
            return Some(service);
        }
        let message = unknown("service", &name.value, self.services.iter());
        self.findings.add(name.span.start, message);
        None
    }

    fn unique(&mut self, seen: &mut Seen<String>, kind: &str, name: &Spanned<String>) {
        self.unique_at(seen, kind, &name.value, name.span.start);
    }

    fn unique_at(&mut self, seen: &mut Seen<String>, kind: &str, name: &str, offset: usize) {
        if let Some(first) = seen.get(name) {
            let (line, _) = self.findings.location(*first);
            let message = format!("{kind} `{name}` is already at line {line}");
            self.findings.add(offset, message);
        } else {
            seen.insert(name.to_owned(), offset);
        }
    }
}

fn unknown<'a, T: ToString + 'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a T>,
) -> String {
    let known = known.map(ToString::to_string).collect::<Vec<_>>();
    if known.is_empty() {
        return format!("unknown {kind} `{name}`; the file has no [[{kind}]]");
    }
    format!("unknown {kind} `{name}`; the file has {}", known.join(", "))
}
