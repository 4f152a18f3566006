//! Shared context of an entry host: settings, clock and state tables.
//!
//! Locks are acquired in the order view, sessions, limits, hints. No lock is held
//! across an await.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::Notify;

use super::{
    describe::DescriptionCache,
    lease::Lease,
    marks::HomeMarks,
    rate_limit::WorkspaceLimits,
    shutdown::Shutdown,
    view::{SharedView, ViewChange},
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

/// State shared by all tasks of an entry host.
pub struct Cx {
    pub settings: EntrySettings,
    pub routing: RoutingSettings,
    pub incarnation: Incarnation,
    pub clock: SystemClock,
    pub view: SharedView,
    pub lease: Mutex<Lease>,
    pub owner: Owner,
    pub peers: PeerClient,
    pub session_settings: SessionSettings,
    pub sessions: Mutex<HomeMarks>,
    pub limits: WorkspaceLimits,
    pub retry: RetrySettings,
    pub budgets: Mutex<Budgets>,
    pub hints: Mutex<Hints>,
    pub rng: Mutex<SmallRng>,
    pub statements: ClassificationCache,
    pub descriptions: Mutex<DescriptionCache>,
    pub metrics: Arc<EntryMetrics>,
    pub shutdown: Shutdown,
    /// Makes the control client send a renewal without waiting for the interval.
    pub renew_now: Arc<Notify>,
    /// Announced instance specs that the cluster view does not contain yet.
    pub pending_announcements: Mutex<IndexMap<InstanceId, InstanceSpec>>,
}

impl Cx {
    /// Creates a context with empty tables.
    pub fn new(settings: EntrySettings, incarnation: Incarnation, owner: Owner) -> Self {
        let routing = RoutingSettings::default();
        let session_settings = SessionSettings::default();
        let sessions = HomeMarks::new(settings.host.clone(), &session_settings);
        let limits = WorkspaceLimits::new(settings.host.clone(), LimitSettings::default());
        let peers = PeerClient::new(settings.host.clone(), settings.host_key.clone());
        Self {
            statements: ClassificationCache::new(&routing),
            descriptions: Mutex::default(),
            metrics: Arc::default(),
            settings,
            routing,
            incarnation,
            clock: SystemClock::default(),
            view: SharedView::default(),
            lease: Mutex::default(),
            renew_now: owner.urgent_reports(),
            owner,
            peers,
            session_settings,
            sessions: Mutex::new(sessions),
            limits,
            retry: RetrySettings::default(),
            budgets: Mutex::default(),
            hints: Mutex::default(),
            rng: Mutex::new(SmallRng::from_os_rng()),
            shutdown: Shutdown::default(),
            pending_announcements: Mutex::default(),
        }
    }

    /// Whether this host holds a valid lease.
    pub fn has_lease(&self) -> bool {
        self.lease.lock().is_valid(self.clock.now())
    }

    /// Whether this host can store session marks. It cannot shortly after its start,
    /// until its history of host lists is long enough.
    pub fn can_store_marks(&self) -> bool {
        let item = SessionItem::new(&Workspace::from(""), &SessionId::from(""));
        self.sessions.lock().history.store_set(self.clock.now(), &item).is_ok()
    }

    /// Updates the tables that are derived from the cluster view.
    pub fn apply_view_change(&self, change: &ViewChange) {
        let now = self.clock.now();
        let mut sessions = self.sessions.lock();
        for hosts in &change.host_lists {
            sessions.history.record(now, hosts, change.is_contiguous);
        }
        drop(sessions);
        let view = &change.state.view;
        self.metrics.set_revision(view.revision);
        self.limits.retain(view);
        self.budgets.lock().retain(|name| view.desired.workspaces.contains_key(name));
        self.owner.update_view(view);
        self.hints.lock().retain(|instance| view.instances.contains_key(instance));
    }

    /// Records the replication position of an instance and the age of its data.
    pub fn record_position(&self, instance: &InstanceId, position: Mark, age_ms: u64) {
        let now = self.clock.now();
        self.hints.lock().record_position(now, instance, position, age_ms);
    }
}
