//! Metrics of a fleet's control host.

use std::sync::Arc;

use prometheus_client::metrics::{counter::Counter, gauge::Gauge};

use crate::{adapters::metric_set::MetricSet, clock::Millis};

/// Prefix of all metric names.
const PREFIX: &str = "pomelopin_control";

/// Snapshot of a control host's state for the gauges.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlState {
    pub is_leader: bool,
    pub serving: bool,
    pub term: u64,
    pub commit_index: u64,
    pub voters: usize,
    pub responding_voters: usize,
    pub votes: bool,
    pub disk_wait: Millis,
    pub config_version: u64,
    pub hosts: usize,
    pub targets: usize,
    pub changing_services: usize,
    pub evacuated_domains: usize,
    pub evacuated_primaries: usize,
    pub pending_evacuations: usize,
}

/// Counters and gauges of a control host; shared with the listener that exposes them.
pub struct ControlMetrics {
    set: MetricSet,
    is_leader: Gauge,
    serving: Gauge,
    term: Gauge,
    commit_index: Gauge,
    voters: Gauge,
    responding_voters: Gauge,
    votes: Gauge,
    disk_wait: Gauge,
    config_version: Gauge,
    hosts: Gauge,
    targets: Gauge,
    changing_services: Gauge,
    evacuated_domains: Gauge,
    evacuated_primaries: Gauge,
    pending_evacuations: Gauge,
    pub promotions: Counter,
    pub withheld_promotions: Counter,
    pub announcements: Counter,
    pub stale_announcements: Counter,
    pub allocation_batches: Counter,
    pub evacuation_orders: Counter,
}

impl ControlMetrics {
    pub fn new() -> Arc<Self> {
        let set = MetricSet::new(PREFIX);
        let gauge = |name, help| set.gauge(name, help);
        let is_leader = gauge("leads", "1 while the host leads the group");
        let serving = gauge("serving", "1 while a majority confirms the leader");
        let term = gauge("term", "Term of the group");
        let commit_index = gauge("commit", "Last committed entry of the log");
        let voters = gauge("voters", "Voters of the group");
        let responding_voters =
            gauge("responding_voters", "Voters that respond to this leader, including itself");
        let votes = gauge("votes", "1 while this host has a vote");
        let disk_wait = gauge("disk_wait_ms", "Age of the oldest write that is not synced");
        let config_version = gauge("config_version", "Version of the configuration in force");
        let hosts = gauge("hosts", "Entry hosts that report to this leader");
        let targets = gauge("targets", "Targets that this leader knows");
        let changing_services = gauge("changing_services", "Services whose primary is changing");
        let evacuated_domains = gauge("evacuated_domains", "Failure domains out of use");
        let evacuated_primaries = gauge(
            "evacuated_primaries",
            "Services whose primary is in a failure domain out of use",
        );
        let pending_evacuations =
            gauge("pending_evacuations", "Committed evacuations that are not yet acknowledged");
        let counter = |name, help| set.counter(name, help);
        let promotions = counter("promotions", "Calls that promote a target");
        let withheld_promotions = counter(
            "withheld_promotions",
            "Primary changes that were withheld for lack of evidence",
        );
        let announcements = counter("announcements", "Announcements of targets");
        let stale_announcements =
            counter("stale_announcements", "Announcements that were older than what was known");
        let allocation_batches =
            counter("allocation_batches", "Applied batches of rate limit allocations");
        let evacuation_orders =
            counter("evacuation_orders", "Committed orders on the use of failure domains");
        Arc::new(Self {
            set,
            is_leader,
            serving,
            term,
            commit_index,
            voters,
            responding_voters,
            votes,
            disk_wait,
            config_version,
            hosts,
            targets,
            changing_services,
            evacuated_domains,
            evacuated_primaries,
            pending_evacuations,
            promotions,
            withheld_promotions,
            announcements,
            stale_announcements,
            allocation_batches,
            evacuation_orders,
        })
    }

    /// Sets the gauges to `state`.
    pub fn update(&self, state: ControlState) {
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.is_leader.set(i64::from(state.is_leader));
        self.serving.set(i64::from(state.serving));
        self.term.set(signed(state.term));
        self.commit_index.set(signed(state.commit_index));
        self.voters.set(signed(state.voters as u64));
        self.responding_voters.set(signed(state.responding_voters as u64));
        self.votes.set(i64::from(state.votes));
        self.disk_wait.set(signed(state.disk_wait.0));
        self.config_version.set(signed(state.config_version));
        self.hosts.set(signed(state.hosts as u64));
        self.targets.set(signed(state.targets as u64));
        self.changing_services.set(signed(state.changing_services as u64));
        self.evacuated_domains.set(signed(state.evacuated_domains as u64));
        self.evacuated_primaries.set(signed(state.evacuated_primaries as u64));
        self.pending_evacuations.set(signed(state.pending_evacuations as u64));
    }

    /// All metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        self.set.encode()
    }
}
