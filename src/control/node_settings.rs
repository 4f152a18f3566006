//! Settings of a member of the control group.

use std::collections::BTreeMap;

use crate::{clock::Millis, ids::ControlId, settings::timing::GroupTiming, wire::group::Member};

/// Shortest silence after which a voter is removed; a late response is no silence.
const MIN_REMOVE_AFTER: Millis = Millis(1_000);

/// Settings of a [`Node`](crate::control::node::Node).
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Generated for each empty data folder.
    pub id: ControlId,
    pub member: Member,
    /// Bus addresses of the configured control hosts by name, including this host.
    pub group: BTreeMap<String, String>,
    /// Random number that identifies the process and seeds its election timeouts.
    pub seed: u64,
    pub timing: GroupTiming,
    pub policy: GroupPolicy,
}

/// Rules for membership, bootstrap and log retention.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupPolicy {
    /// Whether hosts that are not configured may join; their names are their bus
    /// addresses.
    pub dynamic_membership: bool,
    /// Whether a host without a log may create a new group.
    pub may_bootstrap: bool,
    /// Time without contact after which a voter may be removed, with dynamic membership.
    pub remove_after: Millis,
    /// Number of disks that may be lost at the same time without a loss of data.
    pub tolerated_losses: usize,
    /// Number of entries before a snapshot that remain in the log, so that a host that
    /// is slightly behind does not need the snapshot.
    pub tail_entries: u64,
}

impl Default for GroupPolicy {
    fn default() -> Self {
        Self {
            dynamic_membership: false,
            may_bootstrap: true,
            remove_after: Millis(8_000),
            tolerated_losses: 1,
            tail_entries: 500,
        }
    }
}

impl GroupPolicy {
    /// Policy of a group whose hosts are replaced under any address. After the loss of
    /// `tolerated_losses` disks, as many more may be lost once the replacements have run for
    /// `replacement_time`; half of it is left to change the voters.
    pub fn dynamic(tolerated_losses: usize, replacement_time: Millis) -> Self {
        Self {
            dynamic_membership: true,
            remove_after: Millis(replacement_time.0 / 2).max(MIN_REMOVE_AFTER),
            tolerated_losses,
            ..Self::default()
        }
    }
}
