//! Promotions in the replicated log that may still be carried out.
//!
//! A promotion is logged before the first call for it, and stays in the log until no call for it
//! can have an effect any more. Each leader so knows every target that may come to lead. If
//! another target is chosen meanwhile, the earlier ones stay beside it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, Service};

/// Targets that were chosen before the newest one, by service.
pub type Superseded = IndexMap<Service, Vec<InstanceId>>;

/// Unfinished promotions of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnfinishedPromotions {
    newest: IndexMap<Service, InstanceId>,
    /// Appended to the snapshot; builds that do not know it read the part before it.
    #[serde(skip)]
    pub(super) superseded: Superseded,
}

impl UnfinishedPromotions {
    /// Records that calls for `target` may be sent from now on.
    pub fn begin(&mut self, service: Service, target: InstanceId) {
        let superseded = self.superseded.entry(service.clone()).or_default();
        superseded.retain(|id| *id != target);
        let earlier = self.newest.insert(service, target.clone());
        superseded.extend(earlier.filter(|id| *id != target));
    }

    /// Records that no call for a target of `service` can have an effect any more; returns the
    /// target that was chosen last.
    pub fn end(&mut self, service: &Service) -> Option<InstanceId> {
        self.superseded.shift_remove(service);
        self.newest.shift_remove(service)
    }

    /// Target that was chosen last.
    pub fn newest(&self, service: &Service) -> Option<&InstanceId> {
        self.newest.get(service)
    }

    /// All targets of `service` that may be promoted.
    pub fn targets(&self, service: &Service) -> impl Iterator<Item = &InstanceId> {
        let superseded = self.superseded.get(service).into_iter().flatten();
        superseded.chain(self.newest.get(service))
    }

    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }
}
