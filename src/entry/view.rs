//! Cluster view of this host with what is derived from it.

use std::sync::Arc;

use parking_lot::RwLock;
use tokio::sync::watch;

use crate::{
    ids::Revision,
    routing::route::RouteIndex,
    state::{delta::UpdateError, model::ClusterView},
    wire::control::Update,
};

/// View with its index of routes.
#[derive(Debug, Default)]
pub struct ViewState {
    pub view: ClusterView,
    pub routes: RouteIndex,
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
    pub fn update(&self, update: Update) -> Result<Option<Arc<ViewState>>, UpdateError> {
        if matches!(update, Update::None) {
            return Ok(None);
        }
        let old = self.load();
        let mut view = old.view.clone();
        if !view.apply_update(update)? {
            return Ok(None);
        }
        let routes = RouteIndex::build(&view.desired);
        let revision = view.revision;
        let state = Arc::new(ViewState { view, routes });
        *self.current.write() = state.clone();
        self.revision.send_replace(revision);
        Ok(Some(state))
    }

    /// Receiver that wakes at each new revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }
}
