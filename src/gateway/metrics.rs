//! Metrics of an entry host.

use std::sync::Arc;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Unit,
};

use crate::{
    adapters::metric_set::MetricSet,
    clock::Millis,
    fleet::config::Consistency,
    gateway::{
        admission::AdmissionCounts, cx::Cx, ports::Targets, primary_search::PrimarySearch,
        session_limits::SessionEnd, statement::Answer, workspace_limit::LimitUse,
    },
    ids::{FailureDomain, Workspace},
};

/// Prefix of all metric names.
const PREFIX: &str = "pomelopin_entry";

/// Bucket bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: [f64; 11] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0];

/// Value of the label `outcome` for successful requests.
const OUTCOME_DONE: &str = "done";

/// Milliseconds per second.
const SECOND_MS: f64 = 1_000.0;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: &'static str,
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LimitLabels {
    workspace: String,
    decision: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DomainLabels {
    domain: String,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabel {
    decision: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabel {
    event: &'static str,
}

/// Event of the connection to another entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerEvent {
    /// The host answers later than usual.
    Late,
    Lost,
    Returned,
    /// The host has told that it is busy.
    Busy,
}

impl PeerEvent {
    fn label(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Lost => "lost",
            Self::Returned => "returned",
            Self::Busy => "busy",
        }
    }

    /// Event for the log.
    pub fn text(self) -> &'static str {
        match self {
            Self::Late => "entry host is late",
            Self::Lost => "entry host is unreachable",
            Self::Returned => "entry host is reachable again",
            Self::Busy => "entry host is busy",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

type LatencyHistogram = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// Metrics, shared with the HTTP listener that exposes them.
pub struct GatewayMetrics {
    set: MetricSet,
    requests: Family<RequestLabels, Counter>,
    latency: LatencyHistogram,
    limit_decisions: Family<LimitLabels, Counter>,
    primary_searches: Family<OutcomeLabel, Counter>,
    commit_confirmations: Family<OutcomeLabel, Counter>,
    commit_notices: Family<OutcomeLabel, Counter>,
    evacuated_statements: Family<DomainLabels, Counter>,
    target_refusals: Family<DomainLabels, Counter>,
    cold_statements: Family<OutcomeLabel, Counter>,
    primary_search_time: Histogram,
    slot_requests: Family<DecisionLabel, Counter>,
    cancelled_jobs: Counter,
    peer_events: Family<EventLabel, Counter>,
    load_refusals: Counter,
    loop_delay: Gauge,
    session_ends: Family<ReasonLabel, Counter>,
    sessions: Gauge,
    connections: Gauge,
    waiting: Gauge,
    running: Gauge,
    config: Gauge,
    view: Gauge,
    hosts: Gauge,
    leased: Gauge,
    ready: Gauge,
    limited: Gauge,
    failing: Gauge,
    evacuated: Gauge,
}

impl GatewayMetrics {
    pub fn new() -> Arc<Self> {
        let set = MetricSet::new(PREFIX);
        let gauge = |name, help| set.gauge(name, help);
        let sessions = gauge("sessions", "Open sessions of callers");
        let connections = gauge("connections", "Connections to targets");
        let waiting = gauge("waiting", "Statements that wait for a slot of a target");
        let running = gauge("running", "Statements under way at targets");
        let config = gauge("config_version", "Version of the configuration in force");
        let view = gauge("view_revision", "Revision of the view of the targets");
        let hosts = gauge("hosts", "Entry hosts that own targets");
        let leased = gauge("leased", "1 while the host relies on what it knows of primaries");
        let ready = gauge("ready", "1 while the host asks for new sessions");
        let limited = gauge("limited_workspaces", "Workspaces of which the host has an allocation");
        let failing = gauge("failing_targets", "Targets that do not answer");
        let evacuated = gauge("evacuated_domains", "Failure domains that are evacuated");
        let requests = set.add("requests", "Requests by route and outcome");
        let latency = LatencyHistogram::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS_S));
        let help = "Time from a request to its answer";
        let limit_decisions =
            set.add("limit_decisions", "Operations by workspace and decision of its rate limit");
        set.add_with_unit("request_latency", help, Unit::Seconds, latency.clone());
        let primary_searches = set.add(
            "primary_searches",
            "Statements that waited for a search for the primary, by outcome",
        );
        let commit_confirmations = set.add(
            "commit_confirmations",
            "Commits that waited for the positions of other targets, by outcome",
        );
        let commit_notices = set.add(
            "commit_notices",
            "Commits of which another host was told before the acknowledgement, by outcome",
        );
        let evacuated_statements = set.add(
            "evacuated_statements",
            "Statements to targets in evacuated failure domains, by domain and reason",
        );
        let target_refusals = set.add(
            "target_refusals",
            "Statements and transactions refused because of the target's failure domain or lost \
             contact to control",
        );
        let cold_statements =
            set.add("cold_statements", "Statements to cold targets of this host, by outcome");
        let session_ends =
            set.add("session_ends", "Sessions that the host has ended or refused, by reason");
        let primary_search_time = Histogram::new(LATENCY_BUCKETS_S);
        let help = "Time for which a statement waited for a search for the primary";
        set.add_with_unit("primary_search_time", help, Unit::Seconds, primary_search_time.clone());
        let slot_requests = set.add(
            "slot_requests",
            "Requests that did not get a slot of a target at once, by what became of them",
        );
        let cancelled_jobs =
            set.add("cancelled_jobs", "Jobs dropped because their host no longer waits for them");
        let peer_events = set.add("peer_events", "Events of other entry hosts");
        let help = "Operations that were refused because the host is busy";
        let load_refusals = set.counter("load_refusals", help);
        let loop_delay = gauge("loop_delay_ms", "Average delay of the event loop in milliseconds");
        Arc::new(Self {
            set,
            requests,
            latency,
            limit_decisions,
            primary_searches,
            commit_confirmations,
            commit_notices,
            evacuated_statements,
            target_refusals,
            cold_statements,
            primary_search_time,
            slot_requests,
            cancelled_jobs,
            peer_events,
            load_refusals,
            loop_delay,
            session_ends,
            sessions,
            connections,
            waiting,
            running,
            config,
            view,
            hosts,
            leased,
            ready,
            limited,
            failing,
            evacuated,
        })
    }

    /// Counts an answer to a caller and records its latency.
    pub fn record_answer(&self, route: Option<Consistency>, answer: &Answer, took: Millis) {
        let route = match route {
            Some(Consistency::Primary) => "primary",
            Some(Consistency::BoundedStaleness(_)) => "bounded_age",
            Some(Consistency::ReadYourWrites(_)) => "read_your_writes",
            None => "none",
        };
        let outcome = match &answer.result {
            Ok(_) => OUTCOME_DONE.to_owned(),
            Err(error) => error.code.to_string(),
        };
        self.requests.get_or_create(&RequestLabels { route, outcome }).inc();
        self.latency.get_or_create(&RouteLabel { route }).observe(took.0 as f64 / SECOND_MS);
    }

    /// Counts a statement that waited for a search for the primary.
    pub fn record_primary_search(&self, found: &PrimarySearch, took: Millis) {
        let outcome = match found {
            PrimarySearch::Proven { .. } => "proven",
            PrimarySearch::Unproven { .. } => "unproven",
            PrimarySearch::Rejected(..) => "rejected",
        };
        self.primary_searches.get_or_create(&OutcomeLabel { outcome }).inc();
        self.primary_search_time.observe(took.0 as f64 / SECOND_MS);
    }

    /// Counts an event of another entry host.
    pub fn record_peer(&self, event: PeerEvent) {
        self.peer_events.get_or_create(&EventLabel { event: event.label() }).inc();
    }

    /// Counts an operation that was refused because the host is busy.
    pub fn record_load_refusal(&self) {
        self.load_refusals.inc();
    }

    /// Counts a commit that was acknowledged after other targets had confirmed it, or could not be.
    pub fn record_commit_confirmation(&self, confirmed: bool) {
        let outcome = if confirmed { "confirmed" } else { "unconfirmed" };
        self.commit_confirmations.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a commit of which another host was told, or none could be.
    pub fn record_commit_notice(&self, told: bool) {
        let outcome = if told { "told" } else { "unanswered" };
        self.commit_notices.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a statement to a target in an evacuated failure domain.
    pub fn record_evacuated_use(&self, domain: &FailureDomain, reason: &'static str) {
        let labels = DomainLabels { domain: domain.to_string(), reason };
        self.evacuated_statements.get_or_create(&labels).inc();
    }

    /// Counts a statement or transaction that was refused because of its target.
    pub fn record_refusal(&self, domain: &FailureDomain, reason: &'static str) {
        let labels = DomainLabels { domain: domain.to_string(), reason };
        self.target_refusals.get_or_create(&labels).inc();
    }

    /// Counts a statement to a cold target that was sent or refused.
    pub fn record_cold(&self, sent: bool) {
        let outcome = if sent { "sent" } else { "refused" };
        self.cold_statements.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a job that was cancelled before it was sent to its target.
    pub fn record_cancelled_job(&self) {
        self.cancelled_jobs.inc();
    }

    /// Counts decisions on requests for slots.
    fn record_slot_requests(&self, counts: AdmissionCounts) {
        let decisions = [
            ("queued_in_time", counts.queued_in_time),
            ("queued_late", counts.queued_late),
            ("refused", counts.refused),
            ("expired", counts.expired),
        ];
        for (decision, count) in decisions.into_iter().filter(|(_, count)| *count > 0) {
            self.slot_requests.get_or_create(&DecisionLabel { decision }).inc_by(count);
        }
    }

    /// Counts a session that the host has ended or refused.
    pub fn record_session_end(&self, end: SessionEnd) {
        self.session_ends.get_or_create(&ReasonLabel { reason: end.label() }).inc();
    }

    /// Counts decisions of the rate limits.
    pub fn record_limits(&self, uses: &[(Workspace, LimitUse)]) {
        for (workspace, used) in uses {
            let decisions = [
                ("admitted", used.admitted),
                ("borrowed", used.borrowed),
                ("lent", used.lent),
                ("refused", used.refused),
                ("refunded", used.refunded),
            ];
            for (decision, count) in decisions.into_iter().filter(|(_, count)| *count > 0) {
                let labels = LimitLabels { workspace: workspace.to_string(), decision };
                self.limit_decisions.get_or_create(&labels).inc_by(u64::from(count));
            }
        }
    }

    /// Updates the gauges from the state of the host.
    pub fn update<T: Targets>(&self, cx: &Cx<T>) {
        let now = cx.now();
        let (connections, _) = cx.pools.usage();
        let mut admission = cx.admission.borrow_mut();
        for queue in admission.values_mut() {
            self.record_slot_requests(queue.take_counts());
        }
        let usage = admission.values().map(|queue| queue.usage());
        let (waiting, running) =
            usage.fold((0, 0), |sum, queue| (sum.0 + queue.0, sum.1 + queue.1));
        let topology = cx.topology.borrow();
        set(&self.sessions, cx.sessions.get());
        set(&self.connections, connections);
        set(&self.waiting, waiting);
        set(&self.running, running);
        set(&self.config, topology.config.version);
        set(&self.view, topology.revision().number);
        set(&self.hosts, topology.view.hosts.len());
        set(&self.leased, u64::from(cx.lease.borrow().is_valid(now)));
        set(&self.ready, u64::from(cx.is_ready()));
        set(&self.limited, cx.rate_limiter.borrow().allocated());
        set(&self.loop_delay, cx.load.borrow_mut().report(now).loop_delay.0);
        set(&self.failing, cx.health.borrow().failing(now));
        set(&self.evacuated, topology.evacuated.len());
    }

    /// Encodes all metrics in the text format.
    pub fn encode(&self) -> String {
        self.set.encode()
    }
}

fn set(gauge: &Gauge, value: impl TryInto<i64>) {
    gauge.set(value.try_into().unwrap_or(i64::MAX));
}
