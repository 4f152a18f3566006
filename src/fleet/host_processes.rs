//! Processes of the entry hosts in the replicated log.
//!
//! Before a promotion the leader needs the reports of all processes that may have acknowledged
//! commits ([`lost_hosts`](crate::fleet::lost_hosts)). Which ones there are, the next leader learns
//! from the log: those that were in contact, and those that were lost and whose losses are not
//! settled yet. A loss is settled once the replicas of each service hold what the primary held when
//! the lost process had no lease any more ([`loss_settlement`](crate::fleet::loss_settlement)).

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, HostId, Incarnation};

/// Process of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostProcess {
    pub host: HostId,
    /// `None` if it is not known.
    pub incarnation: Option<Incarnation>,
    pub domain: FailureDomain,
}

/// Processes that the next leader has to know of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostProcesses {
    /// Processes that were in contact with the leader.
    pub current: IndexSet<HostProcess>,
    /// Lost processes, whose last commits may be in no report.
    pub lost: IndexSet<HostProcess>,
}

/// Difference between the stored and the observed processes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostProcessesDelta {
    current: ProcessChanges,
    lost: ProcessChanges,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ProcessChanges {
    added: Vec<HostProcess>,
    removed: Vec<HostProcess>,
}

impl HostProcesses {
    /// Applies a committed delta.
    pub fn apply(&mut self, delta: &HostProcessesDelta) {
        delta.current.apply_to(&mut self.current);
        delta.lost.apply_to(&mut self.lost);
    }

    /// Delta from these processes to the observed ones; `None` if they are equal.
    pub fn delta_to(&self, observed: &Self) -> Option<HostProcessesDelta> {
        let delta = HostProcessesDelta {
            current: ProcessChanges::between(&self.current, &observed.current),
            lost: ProcessChanges::between(&self.lost, &observed.lost),
        };
        (delta != HostProcessesDelta::default()).then_some(delta)
    }
}

impl ProcessChanges {
    fn between(stored: &IndexSet<HostProcess>, observed: &IndexSet<HostProcess>) -> Self {
        Self {
            added: observed.difference(stored).cloned().collect(),
            removed: stored.difference(observed).cloned().collect(),
        }
    }

    fn apply_to(&self, processes: &mut IndexSet<HostProcess>) {
        for process in &self.removed {
            processes.shift_remove(process);
        }
        processes.extend(self.added.iter().cloned());
    }
}
