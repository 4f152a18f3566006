//! Context of an entry host: settings, clock and shared tables.
//!
//! Lock order: view, sessions, limits, hints. No lock is held across an await.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::Notify;

use super::{
    describe::Descriptions,
    lease::Lease,
    marks::HomeMarks,
    stop::Stop,
    tokens::Limits,
    view::{ViewCell, ViewChange},
};
use crate::{
    adapters::{metrics::EntryMetrics, peer::client::PeerClient},
    clock::{Clock, SystemClock},
    ids::{Incarnation, InstanceId, Mark, SessionId, Workspace},
    owner::Owner,
    retry::budget::Budgets,
    routing::{cache::ClassificationCache, hints::Hints},
    session::home_set::SessionItem,
    settings::{
        entry::EntrySettings, limits::LimitSettings, retry::RetrySettings,
        routing::RoutingSettings, session::SessionSettings,
    },
    state::model::InstanceSpec,
};

/// Everything that the parts of an entry host share.
pub struct Cx {
    pub settings: EntrySettings,
    pub routing: RoutingSettings,
    pub incarnation: Incarnation,
    pub clock: SystemClock,
    pub view: ViewCell,
    pub lease: Mutex<Lease>,
    pub owner: Owner,
    pub peers: PeerClient,
    pub session_settings: SessionSettings,
    pub sessions: Mutex<HomeMarks>,
    pub limits: Limits,
    pub retry: RetrySettings,
    pub budgets: Mutex<Budgets>,
    pub hints: Mutex<Hints>,
    pub rng: Mutex<SmallRng>,
    pub statements: ClassificationCache,
    pub descriptions: Mutex<Descriptions>,
    pub metrics: Arc<EntryMetrics>,
    pub stop: Stop,
    /// Wakes the control link when something must be reported at once.
    pub report_soon: Arc<Notify>,
    /// Announced properties that the view may not show yet.
    pub announced: Mutex<IndexMap<InstanceId, InstanceSpec>>,
}

impl Cx {
    /// Context with empty tables.
    pub fn new(settings: EntrySettings, incarnation: Incarnation, owner: Owner) -> Self {
        let routing = RoutingSettings::default();
        let session_settings = SessionSettings::default();
        let sessions = HomeMarks::new(settings.host.clone(), &session_settings);
        let limits = Limits::new(settings.host.clone(), LimitSettings::default());
        let peers = PeerClient::new(settings.host.clone(), settings.host_key.clone());
        Self {
            statements: ClassificationCache::new(&routing),
            descriptions: Mutex::default(),
            metrics: Arc::default(),
            settings,
            routing,
            incarnation,
            clock: SystemClock::default(),
            view: ViewCell::default(),
            lease: Mutex::default(),
            report_soon: owner.urgent_reports(),
            owner,
            peers,
            session_settings,
            sessions: Mutex::new(sessions),
            limits,
            retry: RetrySettings::default(),
            budgets: Mutex::default(),
            hints: Mutex::default(),
            rng: Mutex::new(SmallRng::from_os_rng()),
            stop: Stop::default(),
            announced: Mutex::default(),
        }
    }

    /// Whether this host holds a valid lease.
    pub fn has_lease(&self) -> bool {
        self.lease.lock().is_valid(self.clock.now())
    }

    /// Whether this host can store session marks; not yet shortly after its start.
    pub fn stores_marks(&self) -> bool {
        let item = SessionItem::new(&Workspace::from(""), &SessionId::from(""));
        self.sessions.lock().history.store_set(self.clock.now(), &item).is_ok()
    }

    /// Passes a new view on to the tables that depend on it.
    pub fn view_changed(&self, change: &ViewChange) {
        let now = self.clock.now();
        let mut sessions = self.sessions.lock();
        for hosts in &change.host_lists {
            sessions.history.record(now, hosts, change.unbroken);
        }
        drop(sessions);
        let view = &change.state.view;
        self.metrics.set_revision(view.revision);
        self.limits.retain(view);
        self.budgets.lock().retain(|name| view.desired.workspaces.contains_key(name));
        self.owner.update_view(view);
        self.hints.lock().retain(|instance| view.instances.contains_key(instance));
    }

    /// Records where an instance stands.
    pub fn observe(&self, instance: &InstanceId, position: Mark, age_ms: u64) {
        let now = self.clock.now();
        self.hints.lock().record_position(now, instance, position, age_ms);
    }
}
