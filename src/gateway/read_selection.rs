//! Selection of the target for a read.
//!
//! Targets that are draining, failing or known to lag behind the required position are excluded.
//! Targets that reads should avoid because of an evacuation or its withdrawal come last. Of the
//! others, the one with the lowest expected latency is selected. The expected latency grows with
//! the outstanding statements, which balances the load.

use crate::{
    clock::Millis,
    fleet::messages::Announcement,
    gateway::{
        health::HealthTracker,
        readmission::{ReadPreference, ReadRestrictions},
    },
    ids::{FailureDomain, InstanceId, Mark},
};

/// Age from which a known position no longer excludes a lagging replica; a few times the
/// usual replication delay.
const LAG_EXPIRY: Millis = Millis(120);

/// Deduction from the expected latency for targets in the host's own failure domain, in
/// milliseconds: traffic between domains costs money as well as time.
const LOCAL_DOMAIN_BONUS_MS: f32 = 8.0;

/// Inputs of the selection.
pub struct ReadSelection<'a> {
    pub now: Millis,
    pub domain: &'a FailureDomain,
    pub health: &'a HealthTracker,
    pub primary: Option<&'a InstanceId>,
    /// Position that a replica must have reached; without one only the primary is fresh
    /// enough.
    pub required: Option<Mark>,
    /// Targets that were already tried.
    pub tried: &'a [InstanceId],
    pub restrictions: ReadRestrictions<'a>,
}

impl ReadSelection<'_> {
    /// Candidate with the lowest cost among the most preferred ones.
    pub fn select<'t, T: AsRef<Announcement>>(&self, targets: &'t [T]) -> Option<&'t T> {
        let candidates = targets.iter().filter(|it| self.is_candidate((*it).as_ref()));
        let ranked = candidates.filter_map(|it| Some((self.preference((*it).as_ref())?, it)));
        let cost_ms = |target: &T| self.cost_ms(target.as_ref());
        let selected = ranked
            .min_by(|(a, x), (b, y)| a.cmp(b).then_with(|| cost_ms(x).total_cmp(&cost_ms(y))));
        selected.map(|(_, target)| target)
    }

    fn preference(&self, target: &Announcement) -> Option<ReadPreference> {
        let is_primary = Some(&target.id) == self.primary;
        self.restrictions.preference(self.now, target, is_primary)
    }

    fn is_candidate(&self, target: &Announcement) -> bool {
        if self.tried.contains(&target.id) || target.draining {
            return false;
        }
        if !self.health.is_usable(self.now, &target.id) {
            return false;
        }
        if Some(&target.id) == self.primary {
            return true;
        }
        let Some(required) = self.required else { return false };
        self.health
            .position(&target.id)
            .is_none_or(|(position, at)| position >= required || self.now.since(at) >= LAG_EXPIRY)
    }

    fn cost_ms(&self, target: &Announcement) -> f32 {
        let is_local = target.domain == *self.domain;
        let bonus = if is_local { LOCAL_DOMAIN_BONUS_MS } else { 0.0 };
        self.health.cost_ms(&target.id) - bonus
    }
}
