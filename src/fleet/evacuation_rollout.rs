//! Acknowledgement of an evacuation to the operator.
//!
//! The operator is promised that no host sends statements to targets of the domain later than a
//! given delay after the acknowledgement. Hosts may be slow, or out of contact, for any time. A
//! host stops using its view [`MAX_VIEW_AGE`] after its last contact with a leader. So the leader
//! acknowledges an evacuation once each host has confirmed a view that names the domain, or will
//! have stopped using any older view within the promised delay.
//!
//! A host may go on for a part of the delay after it learned of the evacuation, while the primary
//! is replaced, if it had a lease by then. A host that the leader has counted as expired may learn
//! of it only after the acknowledgement, but has no lease then, because of [`MAX_COUNTED_DELAY`].
//!
//! [`MAX_VIEW_AGE`]: crate::gateway::primary_proof::MAX_VIEW_AGE

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        hosts::{Hosts, LEASE_EXPIRY, VIEW_EXPIRY},
        messages::{FleetView, ViewRevision},
    },
    ids::FailureDomain,
};

/// Longest delay that the leader assumes when it decides on an acknowledgement. With a longer one,
/// hosts whose lease is still valid would count as expired.
const MAX_COUNTED_DELAY: Millis = Millis(VIEW_EXPIRY.0 - LEASE_EXPIRY.0);

/// First view of a leader that names each evacuated domain; later ones name it as well.
#[derive(Debug, Default)]
pub struct NamedDomains(IndexMap<FailureDomain, ViewRevision>);

impl NamedDomains {
    /// Records a new view.
    pub fn record(&mut self, view: &FleetView) {
        self.0.retain(|domain, _| view.evacuated.contains(domain));
        for domain in &view.evacuated {
            self.0.entry(domain.clone()).or_insert(view.revision);
        }
    }
}

/// Evacuation that waits for its acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRollout {
    pub domain: FailureDomain,
    /// When this leader learned that the order is committed.
    pub committed_at: Millis,
    /// First view that names the domain.
    revision: ViewRevision,
}

impl EvacuationRollout {
    /// Rollout of an evacuation that is committed while `newest` is the newest view.
    pub fn new(
        now: Millis,
        domain: FailureDomain,
        named: &NamedDomains,
        newest: ViewRevision,
    ) -> Self {
        let next = ViewRevision { number: newest.number + 1, ..newest };
        let revision = named.0.get(&domain).copied().unwrap_or(next);
        Self { domain, committed_at: now, revision }
    }

    /// Whether no host can act on a view without the evacuation later than `max_delay` from now.
    pub fn is_complete(&self, now: Millis, hosts: &Hosts, max_delay: Millis) -> bool {
        let deadline = now + max_delay.min(MAX_COUNTED_DELAY);
        hosts.unknown_hosts_have_expired(deadline)
            && hosts.all_views_include(deadline, self.revision)
    }
}
