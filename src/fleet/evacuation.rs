//! Failure domains that operators have taken out of use.
//!
//! Handles the load of a failure domain that is lost, or about to be, with all of its targets: its
//! primaries move to other domains, and no host sends statements to its targets. The state is
//! replicated; the order that was committed last applies.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{clock::Millis, ids::FailureDomain};

/// Time after the acknowledgement of an evacuation from which no host sends statements to targets
/// of the domain, if the settings name none.
pub const DEFAULT_MAX_EVACUATION_DELAY: Millis = Millis(5_000);

/// Number of failure domains that may be evacuated at a time. Every view names them.
pub const MAX_EVACUATED_DOMAINS: usize = 64;

/// Maximum length of the name of an evacuated failure domain.
pub const MAX_DOMAIN_NAME_BYTES: usize = 128;

/// Operator's order to evacuate a failure domain, or to withdraw its evacuation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    pub domain: FailureDomain,
    pub evacuated: bool,
}

/// Why an order cannot be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum InvalidOrder {
    #[display("the name of the failure domain must have 1 to {MAX_DOMAIN_NAME_BYTES} bytes")]
    Name,
    #[display("more than {MAX_EVACUATED_DOMAINS} failure domains would be evacuated")]
    TooManyDomains,
}

/// Evacuated failure domains, ordered by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evacuations(BTreeSet<FailureDomain>);

impl Evacuations {
    /// Whether an order may be carried out.
    pub fn check(&self, order: &EvacuationOrder) -> Result<(), InvalidOrder> {
        if !(1..=MAX_DOMAIN_NAME_BYTES).contains(&order.domain.as_str().len()) {
            return Err(InvalidOrder::Name);
        }
        let is_added = order.evacuated && !self.contains(&order.domain);
        if is_added && self.len() >= MAX_EVACUATED_DOMAINS {
            return Err(InvalidOrder::TooManyDomains);
        }
        Ok(())
    }

    /// Carries out a committed order; returns whether it changed anything. Orders that were
    /// proposed at the same time may exceed the limit only together, so it is checked again.
    pub fn apply(&mut self, order: &EvacuationOrder) -> Result<bool, InvalidOrder> {
        self.check(order)?;
        Ok(if order.evacuated {
            self.0.insert(order.domain.clone())
        } else {
            self.0.remove(&order.domain)
        })
    }

    pub fn contains(&self, domain: &FailureDomain) -> bool {
        self.0.contains(domain)
    }

    /// Evacuated domains in the order of their names.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
