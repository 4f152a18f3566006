//! What the sessions of an entry host share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use indexmap::IndexMap;
use tokio::sync::{Notify, watch};

use crate::{
    clock::{Clock, Millis, SystemClock},
    fleet::messages::Announcement,
    gateway::{
        executor::AdmissionQueues,
        freshness::Freshness,
        health::HealthTracker,
        lease::ControlLease,
        log_limit::{Line, LogLimiter},
        metrics::GatewayMetrics,
        ownership::{OwnerRole, OwnerTracker, connection_quota},
        peer_client::PeerClients,
        pool::Pools,
        ports::Targets,
        rate_limit::RateLimiter,
        topology::Topology,
    },
    ids::{FailureDomain, HostId, InstanceId, Mark, Service},
};

/// Settings of an entry host.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    pub host: HostId,
    pub domain: FailureDomain,
    /// Address for other entry hosts.
    pub bus_addr: String,
    /// Percentage of a statement's timeout for which a caller may wait for a
    /// connection. A longer wait leaves no time for a retry elsewhere.
    pub wait_percent: u64,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            host: HostId::from("entry"),
            domain: FailureDomain::from("local"),
            bus_addr: String::new(),
            wait_percent: 40,
        }
    }
}

/// Phase of an entry host's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Not ready for new sessions; open ones go on.
    Leaving,
    /// Sessions end between two operations.
    Closing,
    /// Open transactions end as well.
    Aborting,
}

/// Shared state of an entry host.
pub struct Cx<T: Targets> {
    pub clock: SystemClock,
    pub settings: GatewaySettings,
    pub targets: T,
    pub topology: RefCell<Topology>,
    pub lease: RefCell<ControlLease>,
    pub freshness: RefCell<Freshness>,
    /// How targets answer, whichever way the work takes.
    pub health: RefCell<HealthTracker>,
    /// How targets answer over connections of this host.
    pub paths: RefCell<HealthTracker>,
    pub owners: RefCell<OwnerTracker>,
    pub rate_limiter: RefCell<RateLimiter>,
    pub pools: Rc<Pools<T::Connection>>,
    pub admission: AdmissionQueues,
    pub peers: PeerClients,
    pub acknowledged: RefCell<IndexMap<Service, Mark>>,
    pub sessions: Cell<usize>,
    pub lines: RefCell<LogLimiter>,
    pub target_lines: RefCell<LogLimiter>,
    pub metrics: Arc<GatewayMetrics>,
    /// When the targets of a service were last asked which one leads.
    pub searched: RefCell<IndexMap<Service, Millis>>,
    /// Asks for a report to control before its usual time.
    pub report_soon: Notify,
    phase: watch::Sender<Phase>,
}

impl<T: Targets> Cx<T> {
    /// State of a host that knows nothing yet.
    pub fn new(settings: GatewaySettings, targets: T) -> Self {
        Self {
            clock: SystemClock::default(),
            settings,
            targets,
            topology: RefCell::default(),
            lease: RefCell::default(),
            freshness: RefCell::default(),
            health: RefCell::default(),
            paths: RefCell::default(),
            owners: RefCell::default(),
            rate_limiter: RefCell::default(),
            pools: Rc::new(Pools::default()),
            admission: AdmissionQueues::default(),
            peers: PeerClients::default(),
            acknowledged: RefCell::default(),
            sessions: Cell::new(0),
            lines: RefCell::default(),
            target_lines: RefCell::default(),
            metrics: GatewayMetrics::new(),
            searched: RefCell::default(),
            report_soon: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Receiver of changes of the phase.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Enters a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Whether new sessions should be sent here.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.topology.borrow().is_complete()
    }

    /// Whether the known primary of `service` leads without asking it.
    pub fn trusts_primary(&self, service: &Service) -> bool {
        let topology = self.topology.borrow();
        let changing = topology.service(service).is_none_or(|service| service.changing);
        !changing && self.lease.borrow().is_valid(self.now())
    }

    /// Connections to `target` that this host may have.
    pub fn connection_limit(&self, target: &Announcement) -> u32 {
        let now = self.now();
        let mut topology = self.topology.borrow_mut();
        let service = topology.config.services.get(&target.service);
        let all = service.map_or(1, |service| service.max_connections);
        let ranked = topology.ranked(target);
        let changing = topology.service(&target.service).is_some_and(|service| service.changing);
        let part = if ranked.first().is_some_and(|host| host.id == self.settings.host) {
            OwnerRole::Owner
        } else if self.owners.borrow().serves(now, &target.id) {
            OwnerRole::Fallback
        } else {
            OwnerRole::Other
        };
        connection_quota(all, ranked.len(), part, changing)
    }

    /// Closes idle connections that belong to other hosts now.
    pub fn trim_pools(&self) {
        for id in self.pools.targets() {
            let target = self.topology.borrow().target(&id);
            if let Some(target) = target {
                let limit = self.connection_limit(&target);
                self.pools.with(&id, |pool| pool.trim(limit));
            }
        }
    }

    /// Writes a line on a target that did not answer, within the budget of lines.
    pub fn log_target(&self, target: &InstanceId, event: &str, detail: &str) {
        let Line::Write { left_out } = self.target_lines.borrow_mut().line(self.now()) else {
            return;
        };
        spdlog::info!("target did not answer", kv: {target = target.as_str(), event, detail, left_out});
    }

    /// Notes a commit that a caller was or will be told of.
    pub fn note_commit(&self, service: &Service, position: Mark) {
        let mut acknowledged = self.acknowledged.borrow_mut();
        let newest = acknowledged.entry(service.clone()).or_default();
        *newest = (*newest).max(position);
    }
}
