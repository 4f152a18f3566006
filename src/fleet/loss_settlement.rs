//! When the replicas of a service hold what lost entry hosts may have acknowledged.
//!
//! The position that the primary gives once the lost hosts have no lease any more includes all
//! commits that they acknowledged at it. When all replicas have reached that position, each target
//! that control may promote holds them, and the next leader needs no report of the lost hosts.

use indexmap::IndexSet;

use crate::{
    clock::Millis,
    ids::{InstanceId, Mark},
};

/// Settlement of the losses for one service.
#[derive(Debug, Default)]
pub(super) struct LossSettlement {
    settled_until: Millis,
    awaited: Option<Awaited>,
}

/// Position of the primary that replicas have not reached yet.
#[derive(Debug)]
struct Awaited {
    queried_at: Millis,
    position: Mark,
    missing: IndexSet<InstanceId>,
    /// A replica has reached the position.
    is_held: bool,
}

impl LossSettlement {
    /// Time before which all losses are settled.
    pub(super) fn settled_until(&self) -> Millis {
        self.settled_until
    }

    /// Records the position of the primary from its answer to a query. `newest_loss` is when the
    /// newest loss of a host was complete.
    pub(super) fn record_primary(
        &mut self,
        queried_at: Millis,
        position: Mark,
        newest_loss: Millis,
        replicas: &IndexSet<InstanceId>,
    ) {
        let is_awaited = self.awaited.as_ref().is_some_and(|it| it.queried_at >= newest_loss);
        let is_needed = self.settled_until < newest_loss && !is_awaited;
        if is_needed && queried_at >= newest_loss && !replicas.is_empty() {
            let missing = replicas.clone();
            self.awaited = Some(Awaited { queried_at, position, missing, is_held: false });
        }
    }

    /// Records the position of a replica.
    pub(super) fn record_replica(&mut self, id: &InstanceId, received: Mark) {
        let Some(awaited) = &mut self.awaited else { return };
        if received >= awaited.position && awaited.missing.shift_remove(id) {
            awaited.is_held = true;
        }
        self.settle();
    }

    /// Notes which replicas there are. One that has left can't be promoted.
    pub(super) fn retain_replicas(&mut self, replicas: &IndexSet<InstanceId>) {
        let Some(awaited) = &mut self.awaited else { return };
        awaited.missing.retain(|id| replicas.contains(id));
        self.settle();
    }

    fn settle(&mut self) {
        if let Some(awaited) = self.awaited.take_if(|it| it.missing.is_empty())
            && awaited.is_held
        {
            self.settled_until = awaited.queried_at;
        }
    }
}
