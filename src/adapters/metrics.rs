//! Metrics of entry and control hosts in the OpenMetrics text format.
//!
//! Every metric has the prefix `pomelopin_`; counters get the suffix `_total`.
//! Label values share their names by `Arc`, so recording a request does not allocate.

mod labels;

use std::sync::{Arc, atomic::AtomicU64};

use prometheus_client::{
    encoding::text,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::{
    clock::Millis,
    ids::{InstanceId, Revision, Service, Term, Workspace},
};

use labels::{
    AnnouncementLabel, ConnectionLabels, MarkLabel, PromotionLabel, QueueLabel, RequestLabels,
    RoleLabel, ServiceLabel, SourceLabel, WorkspaceLabel,
};
pub use labels::{
    AnnouncementResult, ConnectionState, ControlRole, LabelText, MarkResult, PromotionResult,
    Queue, ReadSource, RequestOutcome,
};

/// Prefix of all metric names.
const PREFIX: &str = "pomelopin";

/// Bucket bounds of wait times, in seconds.
const WAIT_BUCKETS_S: [f64; 12] =
    [0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 3.0, 5.0];

/// Content type of the text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type WaitFamily = Family<QueueLabel, Histogram, fn() -> Histogram>;

/// `workspace` label of requests on open routes.
const OPEN_ROUTE: &str = "open";

fn workspace_label(workspace: Option<&Workspace>) -> LabelText {
    LabelText(workspace.map_or_else(|| Arc::from(OPEN_ROUTE), |workspace| workspace.0.clone()))
}

fn gauge_value(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Encodes `registry` in the text format.
fn encode(registry: &Registry) -> String {
    let mut buf = String::new();
    // Writing to a string cannot fail.
    let _ = text::encode(&mut buf, registry);
    buf
}

/// Metrics of an entry host.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    reads: Family<SourceLabel, Counter>,
    repeats: Family<WorkspaceLabel, Counter>,
    waits: WaitFamily,
    connections: Family<ConnectionLabels, Gauge>,
    announcements: Family<AnnouncementLabel, Counter>,
    mark_lookups: Family<MarkLabel, Counter>,
    callers: Gauge,
    lease_valid: Gauge,
    lease_remaining: Gauge<f64, AtomicU64>,
    revision: Gauge,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            reads: Family::default(),
            repeats: Family::default(),
            waits: Family::new_with_constructor(|| Histogram::new(WAIT_BUCKETS_S)),
            connections: Family::default(),
            announcements: Family::default(),
            mark_lookups: Family::default(),
            callers: Gauge::default(),
            lease_valid: Gauge::default(),
            lease_remaining: Gauge::default(),
            revision: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl EntryMetrics {
    fn register(&mut self) {
        let Self { registry, .. } = self;
        registry.register("requests", "Requests by outcome and workspace", self.requests.clone());
        registry.register("reads", "Reads by the instance that served them", self.reads.clone());
        registry.register("repeats", "Repeated attempts by workspace", self.repeats.clone());
        registry.register_with_unit(
            "queue_wait",
            "Time that requests waited",
            Unit::Seconds,
            self.waits.clone(),
        );
        registry.register("connections", "Connections to targets", self.connections.clone());
        registry.register(
            "announcements",
            "Announcements of targets by result",
            self.announcements.clone(),
        );
        registry.register("mark_lookups", "Lookups of session marks", self.mark_lookups.clone());
        registry.register("callers", "Connected callers", self.callers.clone());
        registry.register(
            "lease_valid",
            "1 while the host holds a lease",
            self.lease_valid.clone(),
        );
        registry.register_with_unit(
            "lease_remaining",
            "Time until the lease ends",
            Unit::Seconds,
            self.lease_remaining.clone(),
        );
        registry.register("revision", "Revision of the view in force", self.revision.clone());
    }

    /// Counts a request; `workspace` is `None` on an open route.
    pub fn record_request(&self, workspace: Option<&Workspace>, outcome: RequestOutcome) {
        let labels = RequestLabels { outcome, workspace: workspace_label(workspace) };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a read by the kind of instance that served it.
    pub fn record_read(&self, source: ReadSource) {
        self.reads.get_or_create(&SourceLabel { source }).inc();
    }

    /// Counts a repeated attempt.
    pub fn record_repeat(&self, workspace: Option<&Workspace>) {
        self.repeats.get_or_create(&WorkspaceLabel { workspace: workspace_label(workspace) }).inc();
    }

    /// Records the time that a request spent in `queue`.
    pub fn record_wait(&self, queue: Queue, wait: std::time::Duration) {
        self.waits.get_or_create(&QueueLabel { queue }).observe(wait.as_secs_f64());
    }

    /// Sets the number of connections to an instance.
    pub fn set_connections(&self, instance: &InstanceId, state: ConnectionState, count: usize) {
        let labels = ConnectionLabels { instance: LabelText(instance.0.clone()), state };
        self.connections.get_or_create(&labels).set(gauge_value(count as u64));
    }

    /// Counts an announcement of a target.
    pub fn record_announcement(&self, result: AnnouncementResult) {
        self.announcements.get_or_create(&AnnouncementLabel { result }).inc();
    }

    /// Counts a lookup of a session mark.
    pub fn record_mark_lookup(&self, result: MarkResult) {
        self.mark_lookups.get_or_create(&MarkLabel { result }).inc();
    }

    /// Sets the number of connected callers.
    pub fn set_callers(&self, count: usize) {
        self.callers.set(gauge_value(count as u64));
    }

    /// Sets the time until the lease expires; zero without a valid lease.
    pub fn set_lease_remaining(&self, remaining: Millis) {
        self.lease_valid.set(i64::from(remaining > Millis(0)));
        self.lease_remaining.set(remaining.duration().as_secs_f64());
    }

    /// Sets the revision of the view in force.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.set(gauge_value(revision.0));
    }

    /// Removes the series of an instance that this host no longer owns.
    pub fn remove_instance(&self, instance: &InstanceId) {
        for state in [ConnectionState::Idle, ConnectionState::Busy, ConnectionState::Opening] {
            let labels = ConnectionLabels { instance: LabelText(instance.0.clone()), state };
            self.connections.remove(&labels);
        }
    }

    /// Encodes the current values in the text format.
    pub fn encode(&self) -> String {
        encode(&self.registry)
    }
}

/// Metrics of a control host.
#[derive(Debug)]
pub struct ControlMetrics {
    registry: Registry,
    role: Family<RoleLabel, Gauge>,
    term: Gauge,
    commit_index: Gauge,
    revision: Gauge,
    hosts: Gauge,
    elections: Counter,
    renewals: Counter,
    group_terms: Family<ServiceLabel, Gauge>,
    promotions: Family<PromotionLabel, Counter>,
}

impl Default for ControlMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            role: Family::default(),
            term: Gauge::default(),
            commit_index: Gauge::default(),
            revision: Gauge::default(),
            hosts: Gauge::default(),
            elections: Counter::default(),
            renewals: Counter::default(),
            group_terms: Family::default(),
            promotions: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl ControlMetrics {
    fn register(&mut self) {
        let Self { registry, .. } = self;
        registry.register("control_role", "1 for the role of this host", self.role.clone());
        registry.register("control_term", "Term of the control group", self.term.clone());
        registry.register(
            "control_commit_index",
            "Last committed entry of the log",
            self.commit_index.clone(),
        );
        registry.register("revision", "Revision of the replicated state", self.revision.clone());
        registry.register("hosts", "Entry hosts with a lease", self.hosts.clone());
        registry.register("elections", "Elections that this host began", self.elections.clone());
        registry.register("renewals", "Lease renewals answered", self.renewals.clone());
        registry.register("group_term", "Term of a target group", self.group_terms.clone());
        registry.register("promotions", "Promotions by result", self.promotions.clone());
    }

    /// Sets the role and term of this host.
    pub fn set_role(&self, current: ControlRole, term: u64) {
        use ControlRole::{Candidate, Follower, Leader, Learner};
        for role in [Leader, Follower, Candidate, Learner] {
            self.role.get_or_create(&RoleLabel { role }).set(i64::from(role == current));
        }
        self.term.set(gauge_value(term));
    }

    /// Sets the last committed entry and the resulting revision.
    pub fn set_committed(&self, index: u64, revision: Revision) {
        self.commit_index.set(gauge_value(index));
        self.revision.set(gauge_value(revision.0));
    }

    /// Sets the number of hosts with a lease.
    pub fn set_hosts(&self, count: usize) {
        self.hosts.set(gauge_value(count as u64));
    }

    /// Counts an election started by this host.
    pub fn record_election(&self) {
        self.elections.inc();
    }

    /// Counts a lease renewal that was answered.
    pub fn record_renewal(&self) {
        self.renewals.inc();
    }

    /// Sets the term of a target group.
    pub fn set_group_term(&self, service: &Service, term: Term) {
        let labels = ServiceLabel { service: LabelText(service.0.clone()) };
        self.group_terms.get_or_create(&labels).set(gauge_value(term.0));
    }

    /// Counts a promotion.
    pub fn record_promotion(&self, result: PromotionResult) {
        self.promotions.get_or_create(&PromotionLabel { result }).inc();
    }

    /// Encodes the current values in the text format.
    pub fn encode(&self) -> String {
        encode(&self.registry)
    }
}
