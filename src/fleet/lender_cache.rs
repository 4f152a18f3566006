//! Lenders of the workspaces for the current set of entry hosts. Ranking all hosts for each
//! workspace is repeated only when the hosts change.

use indexmap::IndexMap;

use crate::{
    fleet::{messages::EntryHost, rate_plan::lenders},
    ids::{HostId, Workspace},
};

/// Lenders by workspace.
#[derive(Debug, Default)]
pub(super) struct LenderCache {
    hosts: Vec<HostId>,
    lenders: IndexMap<Workspace, Vec<HostId>>,
}

impl LenderCache {
    /// Drops what was computed for other hosts than these.
    pub(super) fn set_hosts(&mut self, hosts: &[EntryHost]) {
        let is_same = self.hosts.len() == hosts.len()
            && self.hosts.iter().zip(hosts).all(|(id, host)| *id == host.id);
        if !is_same {
            self.hosts = hosts.iter().map(|host| host.id.clone()).collect();
            self.lenders.clear();
        }
    }

    /// Lenders of `workspace` among `hosts`, those of the last [`set_hosts`](Self::set_hosts).
    pub(super) fn of(&mut self, workspace: &Workspace, hosts: &[EntryHost]) -> &[HostId] {
        if !self.lenders.contains_key(workspace) {
            let ids = lenders(workspace, hosts).into_iter().map(|host| host.id.clone());
            self.lenders.insert(workspace.clone(), ids.collect());
        }
        &self.lenders[workspace]
    }
}
