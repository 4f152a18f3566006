//! Log lines on the control group: who votes and why that changes, why a host does not
//! serve requests, and how long the disk keeps it waiting.
//!
//! Each line is written when something changes, and then at most once in
//! [`REPEAT_INTERVAL`], so that the volume stays bounded however long an outage lasts.

use crate::{
    clock::Millis,
    control::{driver::Driver, node::Node, voter_changes::VoterChange},
    ids::ControlId,
    wire::group::Members,
};

/// Time without service, or without a synced write, from which it is logged. Elections and
/// slow disks take less.
const LOGGED_AFTER: Millis = Millis(1_000);

/// Interval between two lines on the same condition.
const REPEAT_INTERVAL: Millis = Millis(5_000);

/// What the log says of the control group so far.
#[derive(Debug, Default)]
pub struct GroupLog {
    voters: Members,
    outage: Condition,
    disk_wait: Condition,
    removal: Condition,
}

/// Condition that is logged while it lasts.
#[derive(Debug, Default)]
struct Condition {
    since: Option<Millis>,
    logged_at: Option<Millis>,
}

impl Condition {
    /// Time for which the condition has lasted, if a line on it is due.
    fn due(&mut self, now: Millis, since: Millis) -> Option<Millis> {
        let lasted = now.since(*self.since.get_or_insert(since));
        let is_repeat = self.logged_at.is_some_and(|at| now.since(at) < REPEAT_INTERVAL);
        if lasted < LOGGED_AFTER || is_repeat {
            return None;
        }
        self.logged_at = Some(now);
        Some(lasted)
    }

    /// Ends the condition; returns how long it lasted if it was logged.
    fn end(&mut self, now: Millis) -> Option<Millis> {
        let since = self.since.take()?;
        self.logged_at.take().map(|_| now.since(since))
    }
}

impl GroupLog {
    /// Logs what has changed since the last call.
    pub fn record(&mut self, now: Millis, group: &Driver) {
        let node = &group.node;
        self.record_voters(node);
        self.record_service(now, node);
        self.record_disk(now, group);
    }

    /// Logs that `by` reports the removal of this host.
    pub fn record_removal(&mut self, now: Millis, by: &ControlId) {
        let is_repeat = self.removal.logged_at.is_some_and(|at| now.since(at) < REPEAT_INTERVAL);
        if !is_repeat {
            self.removal.logged_at = Some(now);
            spdlog::warn!("control host reports that this host was removed from the group", kv: {by = by.as_str()});
        }
    }

    fn record_voters(&mut self, node: &Node) {
        let voters = node.members();
        if self.voters.0.keys().eq(voters.0.keys()) {
            return;
        }
        let added = ids_except(voters, &self.voters);
        let removed = ids_except(&self.voters, voters);
        spdlog::info!("voters changed", kv: {voters = voters.0.len(), quorum = voters.quorum(), votes = voters.0.contains_key(node.id()), added = added.as_str(), removed = removed.as_str(), last = node.last().to_string().as_str(), commit = node.commit_index()});
        self.voters = voters.clone();
    }

    fn record_service(&mut self, now: Millis, node: &Node) {
        let state = node.service_state(now);
        if state.is_available() {
            if let Some(lasted) = self.outage.end(now) {
                spdlog::info!("requests can be served again", kv: {state = state.to_string().as_str(), after_ms = lasted.0});
            }
            return;
        }
        let Some(lasted) = self.outage.due(now, now) else { return };
        let voters = node.members();
        let state = state.to_string();
        spdlog::warn!("requests cannot be served: this host {state}", kv: {for_ms = lasted.0, term = node.vote().term.0, votes = voters.0.contains_key(node.id()), voters = voters.0.len(), quorum = voters.quorum(), responding = node.responding_voters(now), last = node.last().to_string().as_str(), commit = node.commit_index()});
    }

    fn record_disk(&mut self, now: Millis, group: &Driver) {
        let Some(since) = group.unsynced_since() else {
            if let Some(lasted) = self.disk_wait.end(now) {
                spdlog::info!("the disk syncs again", kv: {after_ms = lasted.0});
            }
            return;
        };
        // Each synced write begins a new wait.
        if self.disk_wait.since.is_some_and(|begun| begun < since) {
            self.disk_wait.since = Some(since);
        }
        if let Some(lasted) = self.disk_wait.due(now, since) {
            spdlog::warn!("the disk has not synced a write; votes and entries wait for it", kv: {for_ms = lasted.0, writes = group.unsynced_writes()});
        }
    }
}

/// Logs the state that the host has restored from its disk.
pub fn log_start(node: &Node) {
    let voters = node.members();
    let voted_for = node.vote().voted_for.as_ref().map_or("none", |id| id.as_str());
    spdlog::info!("log restored", kv: {id = node.id().as_str(), term = node.vote().term.0, voted_for, last = node.last().to_string().as_str(), voters = voters.0.len(), votes = voters.0.contains_key(node.id())});
}

/// Logs a change of the voters that this host, the leader, begins.
pub fn log_voter_change(change: &VoterChange, voters: usize, responding: usize) {
    match change {
        VoterChange::Add { host, .. } => {
            spdlog::info!("adding a voter: the host has caught up", kv: {host = host.as_str(), voters, responding});
        }
        VoterChange::Remove { host, reason } => {
            spdlog::warn!("removing a voter: {reason}", kv: {host = host.as_str(), voters, responding});
        }
    }
}

/// IDs of the voters that are not in `others`, separated by blanks.
fn ids_except(voters: &Members, others: &Members) -> String {
    let ids = voters.0.keys().filter(|id| !others.0.contains_key(*id));
    ids.map(ControlId::as_str).collect::<Vec<_>>().join(" ")
}
