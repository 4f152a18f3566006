//! Evacuated failure domains at an entry host: which statements may still go to their targets.
//!
//! Load: an operator takes a domain out of use while callers read, write and hold transactions
//! there. Reads leave at once. What only the primary can run stays while control replaces it, so
//! that callers see no more than a change of the primary.
//!
//! Control acknowledges the evacuation once each host has confirmed a view that names the domain,
//! or can act on no older view later than the promised delay. A host that confirms is bound from
//! the time at which it learned of the evacuation. One that was counted as out of contact learns
//! of it later, but is bound by the age that its older view could reach. The earlier of both
//! times holds, since the host cannot tell which case it is.

use indexmap::IndexMap;

use crate::{clock::Millis, gateway::primary_proof::MAX_VIEW_AGE, ids::FailureDomain};

/// Time before the promised delay at which primaries get no more statements: statements that were
/// sent have run by then, and transactions are rolled back.
const EVACUATION_MARGIN: Millis = Millis(1_000);

/// Time for which a withdrawal is remembered; no target is cold for longer.
const RESTORED_TTL: Millis = Millis(3_600_000);

/// Evacuated failure domains, and those restored since.
#[derive(Debug, Default)]
pub struct EvacuatedDomains {
    evacuated: IndexMap<FailureDomain, Evacuation>,
    /// When the host learned that an evacuation was withdrawn.
    restored: IndexMap<FailureDomain, Millis>,
    /// Whether the host has had a view before.
    has_view: bool,
}

#[derive(Debug, Clone, Copy)]
struct Evacuation {
    learned_at: Millis,
    /// From when the primaries there get no statements either.
    out_of_use_at: Millis,
}

/// Circumstances in which a host receives a view.
#[derive(Debug, Clone, Copy)]
pub struct ViewReceipt {
    pub now: Millis,
    /// Last contact with control before this view.
    pub last_contact: Millis,
    /// Delay that control promises to the operator.
    pub max_delay: Millis,
}

/// Change of a domain by a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DomainChange {
    /// `grace` is the time for which the primaries there are still used.
    Evacuated {
        domain: FailureDomain,
        grace: Millis,
    },
    Restored {
        domain: FailureDomain,
    },
}

impl EvacuatedDomains {
    /// Applies the evacuated domains of a view.
    pub fn apply(&mut self, receipt: ViewReceipt, domains: &[FailureDomain]) -> Vec<DomainChange> {
        let ViewReceipt { now, .. } = receipt;
        self.restored.retain(|_, at| now.since(*at) < RESTORED_TTL);
        let mut changes = Vec::new();
        let restored: Vec<FailureDomain> =
            self.evacuated.keys().filter(|it| !domains.contains(it)).cloned().collect();
        for domain in restored {
            self.evacuated.shift_remove(&domain);
            self.restored.insert(domain.clone(), now);
            changes.push(DomainChange::Restored { domain });
        }
        let out_of_use_at = self.out_of_use_at(receipt);
        for domain in domains {
            if self.evacuated.contains_key(domain) {
                continue;
            }
            let evacuation = Evacuation { learned_at: now, out_of_use_at };
            self.evacuated.insert(domain.clone(), evacuation);
            self.restored.shift_remove(domain);
            let grace = out_of_use_at.since(now);
            changes.push(DomainChange::Evacuated { domain: domain.clone(), grace });
        }
        self.has_view = true;
        changes
    }

    fn out_of_use_at(&self, receipt: ViewReceipt) -> Millis {
        // The order may be of any age for a host that has just started.
        if !self.has_view {
            return receipt.now;
        }
        let confirmed = receipt.now + receipt.max_delay.since(EVACUATION_MARGIN);
        confirmed.min(receipt.last_contact + MAX_VIEW_AGE)
    }

    /// Number of evacuated domains.
    pub fn len(&self) -> usize {
        self.evacuated.len()
    }

    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty()
    }

    /// Whether reads avoid the targets of `domain`.
    pub fn contains(&self, domain: &FailureDomain) -> bool {
        self.evacuated.contains_key(domain)
    }

    /// Whether the targets of `domain` get no statements at all.
    pub fn is_out_of_use(&self, now: Millis, domain: &FailureDomain) -> bool {
        self.evacuated.get(domain).is_some_and(|it| now >= it.out_of_use_at)
    }

    /// Time since the host learned that `domain` is evacuated; `None` if it is not.
    pub fn evacuated_for(&self, now: Millis, domain: &FailureDomain) -> Option<Millis> {
        self.evacuated.get(domain).map(|it| now.since(it.learned_at))
    }

    /// Time since the host learned that the evacuation of `domain` was withdrawn; `None` if it
    /// was not lately.
    pub fn restored_for(&self, now: Millis, domain: &FailureDomain) -> Option<Millis> {
        self.restored.get(domain).map(|at| now.since(*at))
    }
}

/// Whether a host with the given last contact to control may send statements: the view that it
/// acts on may lack an evacuation that was acknowledged since. Without a configured delay hosts
/// keep to the rules for primaries and configurations alone.
pub fn has_contact(now: Millis, last_contact: Millis, configured_delay: Option<Millis>) -> bool {
    configured_delay.is_none() || now.since(last_contact) < MAX_VIEW_AGE
}
