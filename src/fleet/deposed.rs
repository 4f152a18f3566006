//! Primaries that were replaced and may not know it.
//!
//! A replaced primary goes on answering as the primary until it is demoted or reaches its
//! successor. The leader therefore sends it a demotion until it has answered as a replica or
//! no longer announces itself. The promotion is safe without that: nobody acknowledges the
//! old primary's commits, and entry hosts do not rely on its word. Its callers, however, get
//! no answers until it is demoted.

use indexmap::IndexSet;

use crate::{
    clock::Millis,
    fleet::{
        failover::{Action, Cx, TargetCommand, TargetStatus},
        messages::TargetRole,
    },
    ids::{InstanceId, Service},
};

/// Interval between two demotions of one target.
const DEMOTION_INTERVAL: Millis = Millis(200);

/// Deposed primaries of one service.
#[derive(Debug, Default)]
pub(super) struct DeposedPrimaries {
    targets: IndexSet<InstanceId>,
    primary: Option<InstanceId>,
    /// Term of the primary; `None` until it has answered.
    term: Option<u64>,
    commanded_at: Option<Millis>,
}

impl DeposedPrimaries {
    /// Adds targets that `primary` has replaced.
    pub(super) fn replace(
        &mut self,
        primary: &InstanceId,
        deposed: impl Iterator<Item = InstanceId>,
    ) {
        self.targets.extend(deposed);
        self.targets.shift_remove(primary);
        self.primary = Some(primary.clone());
        self.term = None;
        self.commanded_at = None;
    }

    pub(super) fn contains(&self, target: &InstanceId) -> bool {
        self.targets.contains(target)
    }

    /// Records the answer of a target.
    pub(super) fn record(&mut self, target: &InstanceId, status: &TargetStatus) {
        if self.primary.as_ref() == Some(target) && status.role == TargetRole::Primary {
            self.term = Some(status.term);
        }
        if status.role == TargetRole::Replica {
            self.targets.shift_remove(target);
        }
    }

    /// Demotes the deposed primaries that have not answered as replicas. The primary is
    /// asked for its term first.
    pub(super) fn demote(&mut self, cx: &Cx<'_>, service: &Service, out: &mut Vec<Action>) {
        self.targets.retain(|id| cx.registry.get(id).is_some());
        if self.targets.is_empty()
            || self.commanded_at.is_some_and(|at| cx.now.since(at) < DEMOTION_INTERVAL)
        {
            return;
        }
        self.commanded_at = Some(cx.now);
        let send = |target: &InstanceId, command| Action::SendCommand {
            service: service.clone(),
            target: target.clone(),
            command,
        };
        match self.term {
            Some(term) => {
                out.extend(self.targets.iter().map(|id| send(id, TargetCommand::Demote(term))));
            }
            None => out.extend(self.primary.iter().map(|id| send(id, TargetCommand::Status))),
        }
    }
}
