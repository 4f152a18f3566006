//! Choice of the target for a read.
//!
//! Targets that are known to lack the required position, that leave or that fail are
//! left out; of the others the one with the lowest expected latency is taken. Latency
//! grows with the statements that wait, so that load spreads.

use crate::{
    clock::Millis,
    fleet::messages::Announcement,
    gateway::health::HealthTracker,
    ids::{FailureDomain, InstanceId, Mark},
};

/// Time after which a replica that lacked a position is tried again; a few times the
/// usual delay of replication.
const RETRY_LAGGING: Millis = Millis(120);

/// Advantage of the own failure domain, in milliseconds of expected latency: traffic
/// between domains costs money as well as time.
const OWN_DOMAIN_BONUS_MS: f32 = 8.0;

/// What the choice looks at.
pub struct ReadSelection<'a> {
    pub now: Millis,
    pub domain: &'a FailureDomain,
    pub health: &'a HealthTracker,
    pub primary: Option<&'a InstanceId>,
    /// Position that a replica must hold; without one only the primary will do.
    pub required: Option<Mark>,
    /// Targets that were tried before.
    pub tried: &'a [InstanceId],
}

impl ReadSelection<'_> {
    /// Best target among `targets`.
    pub fn choose<'t, T: AsRef<Announcement>>(&self, targets: &'t [T]) -> Option<&'t T> {
        let usable = targets.iter().filter(|it| self.is_candidate((*it).as_ref()));
        usable.min_by(|a, b| self.cost_ms((*a).as_ref()).total_cmp(&self.cost_ms((*b).as_ref())))
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
        self.health.position(&target.id).is_none_or(|(position, at)| {
            position >= required || self.now.since(at) >= RETRY_LAGGING
        })
    }

    fn cost_ms(&self, target: &Announcement) -> f32 {
        let own_domain = target.domain == *self.domain;
        let bonus = if own_domain { OWN_DOMAIN_BONUS_MS } else { 0.0 };
        self.health.cost_ms(&target.id) - bonus
    }
}
