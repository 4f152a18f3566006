//! Cluster view of this host with what is derived from it.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::RwLock;
use rand::Rng;
use tokio::sync::watch;

use crate::{
    clock::Millis,
    ids::{HostId, Revision},
    routing::{
        hints::Hints,
        instances::InstanceIndex,
        replica_selection::{ReadConstraints, Selection, SelectionError, select_among},
        route::RouteIndex,
    },
    settings::routing::RoutingSettings,
    state::{
        delta::UpdateError,
        model::{Change, ClusterView, Host},
    },
    wire::control::Update,
};

/// View with its indexes.
#[derive(Debug, Default)]
pub struct ViewState {
    pub view: ClusterView,
    pub routes: RouteIndex,
    pub instances: InstanceIndex,
}

impl ViewState {
    fn new(view: ClusterView) -> Self {
        let routes = RouteIndex::build(&view.desired);
        let instances = InstanceIndex::build(&view);
        Self { view, routes, instances }
    }

    /// Chooses the instance for a read.
    pub fn choose(
        &self,
        now: Millis,
        hints: &Hints,
        need: &ReadConstraints<'_>,
        settings: &RoutingSettings,
        rng: &mut impl Rng,
    ) -> Result<Selection, SelectionError> {
        match self.instances.get(need.service) {
            Some(instances) => select_among(now, instances, hints, need, settings, rng),
            None => Err(SelectionError::NoPrimary { service: need.service.clone() }),
        }
    }
}

/// Effect of an update.
#[derive(Debug)]
pub struct ViewChange {
    pub state: Arc<ViewState>,
    /// Live hosts after each change of hosts within the update.
    pub host_lists: Vec<IndexMap<HostId, Host>>,
    /// Whether no change of hosts is hidden; false for a snapshot.
    pub unbroken: bool,
}

/// Live hosts after each change of hosts in a delta.
fn host_lists(hosts: &IndexMap<HostId, Host>, update: &Update) -> Vec<IndexMap<HostId, Host>> {
    let Update::Delta { changes, .. } = update else { return Vec::new() };
    let mut lists: Vec<IndexMap<HostId, Host>> = Vec::new();
    for change in changes {
        let Change::Host(id, host) = change else { continue };
        let mut hosts = lists.last().unwrap_or(hosts).clone();
        match host {
            Some(host) => hosts.insert(id.clone(), host.clone()),
            None => hosts.shift_remove(id),
        };
        lists.push(hosts);
    }
    lists
}

/// Current view; readers keep the one they loaded.
#[derive(Debug)]
pub struct ViewCell {
    current: RwLock<Arc<ViewState>>,
    revision: watch::Sender<Revision>,
}

impl Default for ViewCell {
    fn default() -> Self {
        Self { current: RwLock::default(), revision: watch::Sender::new(Revision(0)) }
    }
}

impl ViewCell {
    /// View that is in force.
    pub fn load(&self) -> Arc<ViewState> {
        self.current.read().clone()
    }

    /// Applies an update; returns the new view if it differs.
    pub fn update(&self, update: Update) -> Result<Option<ViewChange>, UpdateError> {
        if matches!(update, Update::None) {
            return Ok(None);
        }
        let old = self.load();
        let mut view = old.view.clone();
        let unbroken = matches!(update, Update::Delta { .. });
        let mut host_lists = host_lists(&view.hosts, &update);
        if !view.apply_update(update)? {
            return Ok(None);
        }
        let revision = view.revision;
        let state = Arc::new(ViewState::new(view));
        *self.current.write() = state.clone();
        self.revision.send_replace(revision);
        if !unbroken {
            host_lists.push(state.view.hosts.clone());
        }
        Ok(Some(ViewChange { state, host_lists, unbroken }))
    }

    /// Receiver that wakes at each new revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }
}
