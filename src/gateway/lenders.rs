//! Hosts from which this host borrows tokens of the rate limits.

use crate::{
    clock::Millis,
    fleet::{messages::EntryHost, rate_allocator::ALLOCATION_LEASE, rate_plan::lenders},
    ids::Workspace,
};

/// Hosts in the view, and hosts that have left it. A host that control has lost keeps its
/// allocations until their lease ends, and still lends tokens.
#[derive(Debug, Default)]
pub struct Lenders {
    hosts: Vec<EntryHost>,
    /// Hosts that have left the view, and when.
    former: Vec<(Millis, EntryHost)>,
}

impl Lenders {
    /// Replaces the hosts in the view.
    pub fn set_hosts(&mut self, now: Millis, hosts: &[EntryHost]) {
        let is_in_view = |host: &EntryHost| hosts.iter().any(|it| it.id == host.id);
        self.former
            .retain(|(left_at, host)| now.since(*left_at) < ALLOCATION_LEASE && !is_in_view(host));
        let left = self.hosts.drain(..).filter(|host| !is_in_view(host));
        self.former.extend(left.map(|host| (now, host)));
        self.hosts = hosts.to_vec();
    }

    /// Lenders of `workspace` in the order in which they are asked: those of the view, then
    /// those that have left it.
    pub fn of(
        &self,
        now: Millis,
        workspace: &Workspace,
    ) -> impl Iterator<Item = &EntryHost> + use<'_> {
        let former = self.former.iter();
        let former = former.filter(|(left_at, _)| now.since(*left_at) < ALLOCATION_LEASE);
        let former = lenders(workspace, former.map(|(_, host)| host));
        lenders(workspace, &self.hosts).into_iter().chain(former)
    }
}
