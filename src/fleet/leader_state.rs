//! State that a control host keeps only while it is the leader.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        config_rollout::ConfigHistory,
        evacuation_rollout::NamedDomains,
        failover::Failover,
        hosts::Hosts,
        link::ConnectionId,
        messages::{FleetView, ViewRevision},
        rate_allocator::RateAllocator,
        registry::Registry,
        shared_frames::SharedFrames,
        update_pacing::UpdatePacer,
    },
    ids::HostId,
};

/// Interval between checks of the primaries' health.
const FAILOVER_INTERVAL: Millis = Millis(50);

/// Leader's data on targets and entry hosts, and what it has sent.
pub(super) struct LeaderState {
    /// When this host became the leader, or when its state was last reset.
    pub(super) since: Millis,
    pub(super) registry: Registry,
    pub(super) hosts: Hosts,
    pub(super) failover: Failover,
    pub(super) rate_allocator: RateAllocator,
    /// Connection of each entry host, with what was last sent on it.
    pub(super) connections: IndexMap<HostId, HostConnection>,
    pub(super) view: FleetView,
    pub(super) frames: SharedFrames,
    pub(super) update_pacer: UpdatePacer,
    /// The view changed and must be sent at once.
    pub(super) view_push_urgent: bool,
    /// The view changed and may wait for the minimum interval between views.
    pub(super) view_push_pending: bool,
    pub(super) view_sent_at: Millis,
    pub(super) next_failover_at: Millis,
    /// Whether the inventory was restored from the log.
    pub(super) inventory_restored: bool,
    /// When the inventory was last compared with the log.
    pub(super) inventory_compared_at: Millis,
    pub(super) limits_logged_at: Millis,
    pub(super) config_history: ConfigHistory,
    pub(super) named_domains: NamedDomains,
}

/// Connection of an entry host, with what was last sent on it.
pub(super) struct HostConnection {
    pub(super) id: ConnectionId,
    /// View that the host has reported or was last sent, and when it was sent.
    pub(super) view_revision: ViewRevision,
    pub(super) view_sent_at: Millis,
    /// Version of the configuration last sent, and when.
    pub(super) config_sent: (u64, Millis),
    /// `sent_at` of the host's newest report.
    pub(super) echo: Millis,
}

impl LeaderState {
    /// State of a leader that finds the version `config` in force.
    pub(super) fn new(now: Millis, term: u64, announce_interval: Millis, config: u64) -> Self {
        let revision = ViewRevision { term, number: 0 };
        Self {
            since: now,
            registry: Registry::new(announce_interval),
            hosts: Hosts::new(now),
            failover: Failover::default(),
            rate_allocator: RateAllocator::new(now, term, rand::random()),
            connections: IndexMap::new(),
            view: FleetView { revision, ..FleetView::default() },
            frames: SharedFrames::default(),
            update_pacer: UpdatePacer::default(),
            view_push_urgent: true,
            view_push_pending: false,
            view_sent_at: Millis(0),
            next_failover_at: now + FAILOVER_INTERVAL,
            inventory_restored: false,
            inventory_compared_at: now,
            limits_logged_at: now,
            config_history: ConfigHistory::new(config),
            named_domains: NamedDomains::default(),
        }
    }

    /// Whether the failover check is due; schedules the next one.
    pub(super) fn failover_due(&mut self, now: Millis) -> bool {
        let due = now >= self.next_failover_at;
        if due {
            self.next_failover_at = now + FAILOVER_INTERVAL;
        }
        due
    }
}
