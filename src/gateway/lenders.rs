//! Hosts from which this host borrows tokens of the rate limits.

use std::cmp::Reverse;

use crate::{
    clock::Millis,
    fleet::{messages::EntryHost, rate_allocator::ALLOCATION_LEASE, rate_plan::lenders},
    ids::Workspace,
    ownership::rendezvous::score,
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

    /// Lenders of `workspace` in the order in which `asking` asks them: those of the view, then
    /// those that have left it. Of the former, the one in its own failure domain comes first;
    /// if none is, half of the hosts ask each, so that neither runs out before the other.
    pub fn of(
        &self,
        now: Millis,
        workspace: &Workspace,
        asking: &EntryHost,
    ) -> impl Iterator<Item = &EntryHost> + use<'_> {
        let former = self.former.iter();
        let former = former.filter(|(left_at, _)| now.since(*left_at) < ALLOCATION_LEASE);
        let former = lenders(workspace, former.map(|(_, host)| host));
        let mut current = lenders(workspace, &self.hosts);
        current.sort_by_cached_key(|host| {
            Reverse((host.domain == asking.domain, score(asking.id.as_str(), &host.id)))
        });
        current.into_iter().chain(former)
    }
}
