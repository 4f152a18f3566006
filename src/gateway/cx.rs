//! State shared by the sessions of an entry host.

use std::{
    cell::{Cell, RefCell},
    hash::Hash,
    rc::Rc,
    sync::Arc,
};

use indexmap::IndexMap;
use tokio::sync::watch;

use crate::{
    clock::{Clock, Millis, SystemClock},
    fleet::{
        config::FleetConfig,
        messages::{Announcement, EntryHost},
    },
    gateway::{
        commit_notices::CommitNotices,
        executor::AdmissionQueues,
        freshness::Freshness,
        health::HealthTracker,
        job::JobError,
        lease::ControlLease,
        lenders::Lenders,
        load_signal::LoadSignal,
        log_limit::{LogDecision, LogLimiter},
        metrics::GatewayMetrics,
        ownership::{OwnerRole, OwnerTracker, Shard, connection_quota, slot_share},
        peer_client::PeerClients,
        pool::Pools,
        ports::Targets,
        primary_search::PrimarySearch,
        proof_rounds::Rounds,
        rate_limit::RateLimiter,
        readmission::ColdTargets,
        retry_budget::RetryBudgets,
        return_time::UnavailableServices,
        search_backoff::SearchBackoff,
        session_limits::SessionEnd,
        statement::{Answer, ErrorCode, StatementError},
        topology::Topology,
    },
    ids::{FailureDomain, HostId, InstanceId, Mark, Service, Workspace},
    settings::session_limits::SessionLimits,
};

/// Shortest time between two searches for the primary of one service.
const MIN_SEARCH_INTERVAL: Millis = Millis(25);

/// Shortest time between two status queries to one target.
const MIN_STATUS_INTERVAL: Millis = Millis(10);

/// Shared status queries to one target.
type StatusRounds = Rounds<Result<Answer, JobError>>;

/// Settings of an entry host.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    pub host: HostId,
    pub domain: FailureDomain,
    /// Address at which other entry hosts connect.
    pub bus_addr: String,
    /// Share of a statement's timeout that may be spent waiting for a target, and for a slot
    /// and a connection if another target could serve the statement, in percent. A longer wait
    /// leaves no time for a retry elsewhere.
    pub max_wait_percent: u64,
    /// Time after the acknowledgement of an evacuation from which no host sends statements to
    /// the domain. If set, a host without contact to control sends none to any target.
    pub max_evacuation_delay: Option<Millis>,
    /// Factor by which statements to a cold target may exceed the rate of its service.
    pub cold_overage: f64,
    /// Statements by which they may exceed it at once.
    pub cold_slack: u32,
    pub session_limits: SessionLimits,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            host: HostId::from("entry"),
            domain: FailureDomain::from("local"),
            bus_addr: String::new(),
            max_wait_percent: 40,
            max_evacuation_delay: None,
            cold_overage: 1.0,
            cold_slack: 0,
            session_limits: SessionLimits::default(),
        }
    }
}

/// Lifecycle phase of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Not ready for new sessions; existing ones continue.
    Leaving,
    /// Sessions are closed between two operations.
    Closing,
    /// Open transactions are aborted as well.
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
    /// Health of targets as seen by jobs, through an owner or directly.
    pub health: RefCell<HealthTracker>,
    /// Health of targets over this host's own connections.
    pub direct_health: RefCell<HealthTracker>,
    pub owners: RefCell<OwnerTracker>,
    pub rate_limiter: RefCell<RateLimiter>,
    pub retry_budgets: RefCell<RetryBudgets>,
    pub unavailable: RefCell<UnavailableServices>,
    pub lenders: RefCell<Lenders>,
    pub pools: Rc<Pools<T::Connection>>,
    pub admission: AdmissionQueues,
    pub peers: PeerClients,
    /// Load of this process.
    pub load: Rc<RefCell<LoadSignal>>,
    /// Newest acknowledged commit of each service.
    pub acknowledged: RefCell<IndexMap<Service, Mark>>,
    /// Newest commit of each service that could not be confirmed, with the target that has run it,
    /// until the targets that must hold it do or another target leads.
    pub unconfirmed: RefCell<IndexMap<Service, (InstanceId, Mark)>>,
    pub commit_notices: CommitNotices,
    pub cold: RefCell<ColdTargets>,
    /// Number of open sessions.
    pub sessions: Cell<usize>,
    /// Number of the newest session.
    pub last_session: Cell<u64>,
    /// Limits the log lines on failed requests.
    pub request_log: RefCell<LogLimiter>,
    /// Limits the log lines on targets that do not answer.
    pub target_log: RefCell<LogLimiter>,
    /// Limits the log lines on the use of rate limits.
    pub limit_log: RefCell<LogLimiter>,
    /// Limits the log lines on evacuated failure domains.
    pub evacuation_log: RefCell<LogLimiter>,
    pub metrics: Arc<GatewayMetrics>,
    /// Searches for the primaries among the targets, by service.
    searches: RefCell<IndexMap<Service, Rc<Rounds<PrimarySearch>>>>,
    /// Delays of failing searches by service.
    search_backoffs: RefCell<IndexMap<Service, SearchBackoff>>,
    /// Status queries to targets that this host owns.
    status_queries: RefCell<IndexMap<InstanceId, Rc<StatusRounds>>>,
    phase: watch::Sender<Phase>,
}

impl<T: Targets> Cx<T> {
    /// State of a host that has neither a configuration nor a view yet.
    pub fn new(settings: GatewaySettings, targets: T) -> Self {
        let (metrics, load) = (GatewayMetrics::new(), Rc::<RefCell<LoadSignal>>::default());
        Self {
            clock: SystemClock::default(),
            settings,
            targets,
            topology: RefCell::default(),
            lease: RefCell::default(),
            freshness: RefCell::default(),
            health: RefCell::default(),
            direct_health: RefCell::default(),
            owners: RefCell::default(),
            rate_limiter: RefCell::default(),
            retry_budgets: RefCell::default(),
            unavailable: RefCell::default(),
            lenders: RefCell::default(),
            pools: Rc::new(Pools::default()),
            admission: AdmissionQueues::default(),
            peers: PeerClients::new(metrics.clone(), load.clone()),
            load,
            acknowledged: RefCell::default(),
            unconfirmed: RefCell::default(),
            commit_notices: CommitNotices::default(),
            cold: RefCell::default(),
            sessions: Cell::new(0),
            last_session: Cell::new(0),
            request_log: RefCell::default(),
            target_log: RefCell::default(),
            limit_log: RefCell::default(),
            evacuation_log: RefCell::default(),
            metrics,
            searches: RefCell::default(),
            search_backoffs: RefCell::default(),
            status_queries: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Subscribes to changes of the phase.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Enters a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Whether the host accepts new sessions.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.topology.borrow().is_complete()
    }

    /// Configuration to act on; the error says that there is none, or that it may have been
    /// replaced too long ago.
    pub fn config(&self) -> Result<Rc<FleetConfig>, StatementError> {
        let config = self.topology.borrow().config.clone();
        if config.version == 0 {
            return Err(StatementError::new(ErrorCode::Busy, "no configuration yet"));
        }
        if !self.lease.borrow().allows_config(self.now()) {
            let text = "control has not confirmed the configuration lately";
            return Err(StatementError::new(ErrorCode::Busy, text));
        }
        Ok(config)
    }

    /// Whether the known primary of `service` may be used without confirming its role.
    pub fn trusts_primary(&self, service: &Service) -> bool {
        let topology = self.topology.borrow();
        let changing = topology.service(service).is_none_or(|service| service.changing);
        !changing && self.lease.borrow().is_valid(self.now())
    }

    /// Searches for the primary of `service`.
    pub fn searches(&self, service: &Service) -> Rc<Rounds<PrimarySearch>> {
        rounds(&self.searches, service, MIN_SEARCH_INTERVAL)
    }

    /// Changes the delay between failing searches for the primary of `service`.
    pub fn with_search_backoff<R>(
        &self,
        service: &Service,
        change: impl FnOnce(&mut SearchBackoff) -> R,
    ) -> R {
        let mut backoffs = self.search_backoffs.borrow_mut();
        change(backoffs.entry(service.clone()).or_default())
    }

    /// Lets searches for the primaries begin at once: there is a new view.
    pub fn reset_searches(&self) {
        self.search_backoffs.borrow_mut().clear();
        for rounds in self.searches.borrow().values() {
            rounds.end_delay();
        }
    }

    /// Status queries to `target`.
    pub fn status_rounds(&self, target: &InstanceId) -> Rc<StatusRounds> {
        rounds(&self.status_queries, target, MIN_STATUS_INTERVAL)
    }

    /// Removes the state of targets for which `exists` is false.
    pub fn retain_targets(&self, exists: impl Fn(&InstanceId) -> bool) {
        self.pools.retain(&exists);
        self.health.borrow_mut().retain(&exists);
        self.direct_health.borrow_mut().retain(&exists);
        self.owners.borrow_mut().retain(&exists);
        self.status_queries.borrow_mut().retain(|id, _| exists(id));
    }

    /// This host as others see it.
    pub fn as_entry_host(&self) -> EntryHost {
        EntryHost {
            id: self.settings.host.clone(),
            addr: self.settings.bus_addr.clone(),
            domain: self.settings.domain.clone(),
        }
    }

    /// Shard of `target` whose owner works for a workspace. Work without a workspace is spread
    /// by the host that sends it. A cold target has one owner, which keeps its limit.
    pub fn shard(&self, target: &Announcement, workspace: Option<&Workspace>) -> Shard {
        if self.cold_limit(target).is_some() {
            return Shard::default();
        }
        let shards = self.topology.borrow().shards(&target.service);
        match workspace {
            Some(workspace) => Shard::of(workspace, shards),
            None => Shard::of(&Workspace::from(self.settings.host.as_str()), shards),
        }
    }

    /// Number of connections to `target` that this host may hold.
    pub fn connection_limit(&self, target: &Announcement) -> u32 {
        let now = self.now();
        let mut topology = self.topology.borrow_mut();
        let service = topology.config.services.get(&target.service);
        let max_connections = service.map_or(1, |it| it.max_connections);
        let changing = topology.service(&target.service).is_some_and(|service| service.changing);
        let shards = topology.shards(&target.service);
        let hosts = topology.view.hosts.len();
        let role = match topology.owned_shards(target, &self.settings.host) {
            0 if self.owners.borrow().is_serving(now, &target.id) => OwnerRole::Fallback,
            0 => OwnerRole::Other,
            owned => OwnerRole::Owner(owned),
        };
        connection_quota(max_connections, hosts, shards, role, changing)
    }

    /// Slots of `target` that this host may use.
    pub fn slots(&self, target: &Announcement) -> u32 {
        let mut topology = self.topology.borrow_mut();
        let owned = topology.owned_shards(target, &self.settings.host);
        slot_share(target.slots, owned, topology.shards(&target.service))
    }

    /// Closes idle connections above this host's limits.
    pub fn trim_pools(&self) {
        for id in self.pools.targets() {
            let target = self.topology.borrow().target(&id);
            if let Some(target) = target {
                let limit = self.connection_limit(&target);
                self.pools.with(&id, |pool| pool.trim(limit));
            }
        }
    }

    /// Logs a target that did not answer, subject to the rate limit of the log.
    pub fn log_unanswered(&self, target: &InstanceId, event: &str, detail: &str) {
        let LogDecision::Write { suppressed } = self.target_log.borrow_mut().check(self.now())
        else {
            return;
        };
        spdlog::info!("target did not answer", kv: {target = target.as_str(), event, detail, left_out = suppressed});
    }

    /// Counts a session that the host has ended, and logs it subject to the rate limit of the log.
    pub fn record_session_end(&self, end: SessionEnd) {
        self.metrics.record_session_end(end);
        let LogDecision::Write { suppressed } = self.request_log.borrow_mut().check(self.now())
        else {
            return;
        };
        spdlog::info!("session ended by the host", kv: {reason = end.label(), sessions = self.sessions.get(), left_out = suppressed});
    }

    /// Logs a search for the primary of `service` that found none, subject to the rate limit
    /// of the log.
    pub fn log_primary_search(&self, service: &Service, reason: &str, answers: &str) {
        let LogDecision::Write { suppressed } = self.target_log.borrow_mut().check(self.now())
        else {
            return;
        };
        let (revision, leased) =
            (self.topology.borrow().revision(), self.lease.borrow().is_valid(self.now()));
        spdlog::info!("primary not found by querying the targets", kv: {service = service.as_str(), reason, answers, leased, view_term = revision.term, view = revision.number, left_out = suppressed});
    }

    /// Logs a commit that was not acknowledged because targets that may lead were not known to
    /// hold it, subject to the rate limit of the log.
    pub fn log_unconfirmed(
        &self,
        service: &Service,
        target: &InstanceId,
        position: Mark,
        missing: &[InstanceId],
    ) {
        let LogDecision::Write { suppressed } = self.target_log.borrow_mut().check(self.now())
        else {
            return;
        };
        let missing: Vec<&str> = missing.iter().map(|id| id.as_str()).collect();
        let (revision, leased) =
            (self.topology.borrow().revision(), self.lease.borrow().is_valid(self.now()));
        spdlog::info!("commit not acknowledged", kv: {service = service.as_str(), target = target.as_str(), position = position.to_string().as_str(), missing = missing.join(" ").as_str(), leased, view_term = revision.term, view = revision.number, left_out = suppressed});
    }

    /// Records a commit that has been or is about to be acknowledged to a caller.
    pub fn record_commit(&self, service: &Service, position: Mark) {
        let mut acknowledged = self.acknowledged.borrow_mut();
        let newest = acknowledged.entry(service.clone()).or_default();
        *newest = (*newest).max(position);
    }
}

/// Rounds of `key`, created on the first use.
fn rounds<K: Clone + Hash + Eq, A: Clone>(
    all: &RefCell<IndexMap<K, Rc<Rounds<A>>>>,
    key: &K,
    min_interval: Millis,
) -> Rc<Rounds<A>> {
    if let Some(existing) = all.borrow().get(key) {
        return existing.clone();
    }
    let created = Rc::new(Rounds::new(min_interval));
    all.borrow_mut().insert(key.clone(), created.clone());
    created
}
