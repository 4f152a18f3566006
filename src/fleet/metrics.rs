//! Metrics of a control host of a fleet.

use std::sync::Arc;

use prometheus_client::metrics::{counter::Counter, gauge::Gauge};

use crate::adapters::metric_set::MetricSet;

/// Prefix of all names.
const PREFIX: &str = "pomelopin_control";

/// State of a control host at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlState {
    pub leads: bool,
    pub serving: bool,
    pub term: u64,
    pub commit: u64,
    pub voters: usize,
    pub config_version: u64,
    pub hosts: usize,
    pub targets: usize,
    pub changing: usize,
}

/// Counters and gauges; shared with the listener that exposes them.
pub struct ControlMetrics {
    set: MetricSet,
    leads: Gauge,
    serving: Gauge,
    term: Gauge,
    commit: Gauge,
    voters: Gauge,
    config: Gauge,
    hosts: Gauge,
    targets: Gauge,
    changing: Gauge,
    pub promotions: Counter,
    pub announcements: Counter,
    pub stale_announcements: Counter,
}

impl ControlMetrics {
    /// Metrics of a host that starts.
    pub fn new() -> Arc<Self> {
        let set = MetricSet::new(PREFIX);
        let gauge = |name, help| set.gauge(name, help);
        let leads = gauge("leads", "1 while the host leads the group");
        let serving = gauge("serving", "1 while a majority confirms the leader");
        let term = gauge("term", "Term of the group");
        let commit = gauge("commit", "Last committed entry of the log");
        let voters = gauge("voters", "Voters of the group");
        let config = gauge("config_version", "Version of the configuration in force");
        let hosts = gauge("hosts", "Entry hosts that report to this leader");
        let targets = gauge("targets", "Targets that this leader knows");
        let changing = gauge("changing_services", "Services whose primary is changing");
        let counter = |name, help| set.counter(name, help);
        let promotions = counter("promotions", "Calls that promote a target");
        let announcements = counter("announcements", "Announcements of targets");
        let stale_announcements =
            counter("stale_announcements", "Announcements that were older than what was known");
        Arc::new(Self {
            set,
            leads,
            serving,
            term,
            commit,
            voters,
            config,
            hosts,
            targets,
            changing,
            promotions,
            announcements,
            stale_announcements,
        })
    }

    /// Takes over the state of the host.
    pub fn update(&self, state: ControlState) {
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.leads.set(i64::from(state.leads));
        self.serving.set(i64::from(state.serving));
        self.term.set(signed(state.term));
        self.commit.set(signed(state.commit));
        self.voters.set(signed(state.voters as u64));
        self.config.set(signed(state.config_version));
        self.hosts.set(signed(state.hosts as u64));
        self.targets.set(signed(state.targets as u64));
        self.changing.set(signed(state.changing as u64));
    }

    /// All metrics as text.
    pub fn encode(&self) -> String {
        self.set.encode()
    }
}
