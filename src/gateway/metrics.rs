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
        cx::Cx, ports::Targets, primary_search::PrimarySearch, session_limits::SessionEnd,
        statement::Answer, workspace_limit::LimitUse,
    },
    ids::Workspace,
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
    primary_search_time: Histogram,
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
        let session_ends =
            set.add("session_ends", "Sessions that the host has ended or refused, by reason");
        let primary_search_time = Histogram::new(LATENCY_BUCKETS_S);
        let help = "Time for which a statement waited for a search for the primary";
        set.add_with_unit("primary_search_time", help, Unit::Seconds, primary_search_time.clone());
        Arc::new(Self {
            set,
            requests,
            latency,
            limit_decisions,
            primary_searches,
            commit_confirmations,
            primary_search_time,
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

    /// Counts a commit that was acknowledged after other targets had confirmed it, or could not be.
    pub fn record_commit_confirmation(&self, confirmed: bool) {
        let outcome = if confirmed { "confirmed" } else { "unconfirmed" };
        self.commit_confirmations.get_or_create(&OutcomeLabel { outcome }).inc();
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
        let admission = cx.admission.borrow();
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
        set(&self.failing, cx.health.borrow().failing(now));
    }

    /// Encodes all metrics in the text format.
    pub fn encode(&self) -> String {
        self.set.encode()
    }
}

fn set(gauge: &Gauge, value: impl TryInto<i64>) {
    gauge.set(value.try_into().unwrap_or(i64::MAX));
}
