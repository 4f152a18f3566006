//! Cluster view of this host and the indexes built from it.

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

/// Cluster view with its indexes.
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

    /// Chooses the instance that a read is sent to.
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

/// Result of an update that changed the view.
#[derive(Debug)]
pub struct ViewChange {
    pub state: Arc<ViewState>,
    /// Live hosts after each change of a host within the update, in order.
    pub host_lists: Vec<IndexMap<HostId, Host>>,
    /// Whether `host_lists` contains every intermediate list; false for a snapshot.
    pub is_contiguous: bool,
}

/// Live hosts after each change of a host in a delta; empty for other updates.
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

/// Current view; a reader keeps the version that it loaded.
#[derive(Debug)]
pub struct SharedView {
    current: RwLock<Arc<ViewState>>,
    revision: watch::Sender<Revision>,
}

impl Default for SharedView {
    fn default() -> Self {
        Self { current: RwLock::default(), revision: watch::Sender::new(Revision(0)) }
    }
}

impl SharedView {
    /// Current view.
    pub fn load(&self) -> Arc<ViewState> {
        self.current.read().clone()
    }

    /// Applies an update; returns `None` if the view did not change.
    pub fn update(&self, update: Update) -> Result<Option<ViewChange>, UpdateError> {
        if matches!(update, Update::None) {
            return Ok(None);
        }
        let old = self.load();
        let mut view = old.view.clone();
        let is_contiguous = matches!(update, Update::Delta { .. });
        let mut host_lists = host_lists(&view.hosts, &update);
        if !view.apply_update(update)? {
            return Ok(None);
        }
        let revision = view.revision;
        let state = Arc::new(ViewState::new(view));
        *self.current.write() = state.clone();
        self.revision.send_replace(revision);
        if !is_contiguous {
            host_lists.push(state.view.hosts.clone());
        }
        Ok(Some(ViewChange { state, host_lists, is_contiguous }))
    }

    /// Subscribes to the revisions of the view.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }
}
