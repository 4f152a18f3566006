//! Readiness and metrics of a control host.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::{
    adapters::bus::{Bus, BusCounters},
    clock::Millis,
    control::{driver::Driver, event_loop::Leadership, node::Role},
    state::model::ClusterState,
};

/// Age of the last update from which the process counts as unhealthy.
const MAX_UPDATE_AGE: Millis = Millis(2_000);

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

/// Gauges that the event loop updates and HTTP requests read.
pub struct Metrics {
    registry: Mutex<Registry>,
    updated_at: AtomicU64,
    ready: Gauge,
    leads: Gauge,
    term: Gauge,
    commit_index: Gauge,
    last_index: Gauge,
    voters: Gauge,
    responding_voters: Gauge,
    votes: Gauge,
    disk_wait: Gauge,
    revision: Gauge,
    version: Gauge,
    hosts: Gauge,
    promotions: Gauge,
    bus_messages: Family<Outcome, Counter>,
}

impl Metrics {
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("pomelopin_control");
        let mut gauge = |name, help| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let metrics = Self {
            updated_at: AtomicU64::new(0),
            ready: gauge("ready", "Whether the host leads with a majority or knows a leader"),
            leads: gauge("leads", "Whether the host leads with a majority"),
            term: gauge("term", "Term of the control group"),
            commit_index: gauge("commit_index", "Index of the last committed entry"),
            last_index: gauge("last_index", "Index of the last entry"),
            voters: gauge("voters", "Control hosts with a vote"),
            responding_voters: gauge("responding_voters", "Voters that respond to this leader"),
            votes: gauge("votes", "Whether this host has a vote"),
            disk_wait: gauge("disk_wait_ms", "Age of the oldest write that is not synced"),
            revision: gauge("revision", "Revision of the cluster state"),
            version: gauge("version", "Version of the accepted file"),
            hosts: gauge("hosts", "Live entry hosts"),
            promotions: gauge("promotions", "Running promotions"),
            bus_messages: Family::default(),
            registry: Mutex::default(),
        };
        registry.register("bus_messages", "Messages by outcome", metrics.bus_messages.clone());
        *metrics.registry.lock() = registry;
        metrics
    }

    pub(super) fn update(
        &self,
        now: Millis,
        group: &Driver,
        state: &ClusterState,
        leadership: Option<&Leadership>,
    ) {
        let node = &group.node;
        let role = node.role();
        let serving = node.is_serving(now);
        let follows = role.role == Role::Follower && role.leader.is_some();
        self.updated_at.store(now.0, Ordering::Relaxed);
        self.ready.set(i64::from(serving || follows));
        self.leads.set(i64::from(serving));
        set_gauge(&self.term, role.term.0);
        set_gauge(&self.commit_index, node.commit_index());
        set_gauge(&self.last_index, node.last().index);
        set_gauge(&self.voters, node.members().0.len() as u64);
        set_gauge(&self.responding_voters, node.responding_voters(now) as u64);
        self.votes.set(i64::from(node.members().0.contains_key(node.id())));
        set_gauge(&self.disk_wait, group.unsynced_since().map_or(0, |at| now.since(at).0));
        set_gauge(&self.revision, state.view.revision.0);
        set_gauge(&self.version, state.view.version);
        set_gauge(&self.hosts, state.view.hosts.len() as u64);
        set_gauge(&self.promotions, leadership.map_or(0, |it| it.promotions.running() as u64));
    }

    /// Whether the host can answer operators or name the leader.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.is_healthy(now) && self.ready.get() == 1
    }

    /// Whether the event loop updated the metrics recently.
    pub fn is_healthy(&self, now: Millis) -> bool {
        now.since(Millis(self.updated_at.load(Ordering::Relaxed))) < MAX_UPDATE_AGE
    }

    /// Metrics in the Prometheus text format.
    pub fn encode(&self, bus: &Bus) -> Result<String, std::fmt::Error> {
        for (outcome, count) in counters_by_outcome(bus.counters()) {
            let count = count.load(Ordering::Relaxed);
            let counter = self.bus_messages.get_or_create(&Outcome { outcome });
            counter.inner().store(count, Ordering::Relaxed);
        }
        let mut buf = String::new();
        text::encode(&mut buf, &self.registry.lock())?;
        Ok(buf)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn set_gauge(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

fn counters_by_outcome(counters: &BusCounters) -> [(&'static str, &AtomicU64); 8] {
    [
        ("sent", &counters.sent),
        ("unsent", &counters.unsent),
        ("received", &counters.received),
        ("forged", &counters.forged),
        ("repeated", &counters.repeated),
        ("outdated", &counters.outdated),
        ("oversized", &counters.oversized),
        ("overflow", &counters.overflow),
    ]
}
