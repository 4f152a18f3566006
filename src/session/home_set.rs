//! Home hosts of sessions, and the rules under which one answer from them is complete.
//!
//! The home hosts of a session store its marks. Its *home set* consists of the host
//! with the largest rendezvous score and a second host in another failure domain,
//! computed from the live hosts of a view. Hosts with different views may compute
//! different sets; [`history`] describes the bound on how long.
//!
//! *Store rule.* A write is acknowledged when every host of the *store set* has
//! confirmed its mark. The store set is the home set of the current view together with
//! the home sets of views that were replaced less than `view_overlap` ago, restricted
//! to hosts that are still live. It is computed again when the last confirmation
//! arrives, and the writer's lease must be valid at that time. A removed host need not
//! confirm: its lease has ended, and it answers no lookup without a lease. A host that
//! lacks the history of the last `view_overlap`, after its start or a snapshot, cannot
//! compute a store set until that time has passed.
//!
//! *Lookup rule.* A home host answers with a mark only if it holds a valid lease, has
//! been in the session's home set in every view since the mark was stored, and had been
//! in it for `settle` before that. Otherwise a writer on an older view could have
//! stored a later mark at other hosts. `settle` also covers the longest time for which
//! a mark can be in transit, so a delayed mark of an earlier write is not taken for the
//! latest one. In all other cases the mark is *unknown*, which never means *no writes*:
//! a restarted host has an empty table and no history.
//!
//! Together the rules ensure that one known answer covers every acknowledged write.
//!
//! [`history`]: crate::session::history

use derive_more::{Display, Error};
use indexmap::{IndexMap, IndexSet};

use crate::{
    clock::Millis,
    ids::{HostId, SessionId, Workspace},
    ownership::rendezvous::owner_and_second,
    session::history::{HostHistory, HostList, HostListVersion},
    settings::session::SessionSettings,
    state::model::Host,
};

/// The history is too short to determine which hosts may still be asked for a mark.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the host has joined recently and stores session marks from {until} on")]
pub struct HistoryTooShort {
    pub until: Millis,
}

/// Session of a workspace as an item for rendezvous hashing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionItem(String);

impl SessionItem {
    pub fn new(workspace: &Workspace, session: &SessionId) -> Self {
        Self(format!("session\0{workspace}\0{session}"))
    }
}

fn home_set<'a>(list: &'a HostList, item: &SessionItem) -> impl Iterator<Item = &'a HostId> {
    let (home, second) = owner_and_second(&item.0, list.iter());
    home.into_iter().chain(second).map(|host| &host.id)
}

/// Home sets of the recent views, as seen by one host.
#[derive(Debug)]
pub struct HomeSetHistory {
    local_host: HostId,
    settings: SessionSettings,
    hosts: HostHistory,
}

impl HomeSetHistory {
    /// Empty history of host `local_host`.
    pub fn new(local_host: HostId, settings: SessionSettings) -> Self {
        Self { local_host, settings, hosts: HostHistory::default() }
    }

    /// Records the live hosts of a view; see [`HostHistory::record`].
    pub fn record(&mut self, now: Millis, hosts: &IndexMap<HostId, Host>, is_contiguous: bool) {
        self.hosts.record(now, hosts, is_contiguous);
    }

    pub fn hosts(&self) -> &HostHistory {
        &self.hosts
    }

    /// Hosts to ask for the marks of `item`.
    pub fn home_set(&self, item: &SessionItem) -> Vec<HostId> {
        self.hosts.current().into_iter().flat_map(|list| home_set(list, item)).cloned().collect()
    }

    /// Hosts that must confirm a mark of `item` now; see the store rule.
    pub fn store_set(
        &self,
        now: Millis,
        item: &SessionItem,
    ) -> Result<IndexSet<HostId>, HistoryTooShort> {
        let overlap = self.settings.view_overlap;
        let until = self.hosts.known_since() + overlap;
        let Some(current) = self.hosts.current().filter(|_| now >= until) else {
            return Err(HistoryTooShort { until });
        };
        let active = self.hosts.active_within(now, overlap);
        let hosts = active.flat_map(|list| home_set(list, item));
        Ok(hosts.filter(|id| current.get(id).is_some()).cloned().collect())
    }

    /// Version of the current host list.
    pub fn version(&self) -> HostListVersion {
        self.hosts.version()
    }

    /// Whether this host has been in the home set of `item` for `settle`, so that a mark
    /// arriving now covers all earlier writes.
    pub fn is_settled(&self, now: Millis, item: &SessionItem) -> bool {
        let settle = self.settings.settle();
        let has_settled_history =
            self.hosts.current().is_some() && now >= self.hosts.known_since() + settle;
        let mut active = self.hosts.active_within(now, settle);
        has_settled_history && active.all(|list| self.is_home(list, item))
    }

    /// Whether this host, which was in the home set of `item` under host list `version`,
    /// has been in it under every list since.
    pub fn is_home_since(&self, version: HostListVersion, item: &SessionItem) -> bool {
        if version == self.hosts.version() {
            // Membership was already checked against the current list.
            return true;
        }
        let mut lists = self.hosts.lists();
        let is_known = lists.next().is_some_and(|oldest| oldest.version() <= version);
        let mut later = self.hosts.lists().filter(|list| list.version() >= version);
        is_known && later.all(|list| self.is_home(list, item))
    }

    fn is_home(&self, list: &HostList, item: &SessionItem) -> bool {
        home_set(list, item).any(|id| *id == self.local_host)
    }
}

/// Confirmations of a mark that is being stored at the store set.
#[derive(Debug, Default)]
pub struct PendingStore {
    confirmed: IndexSet<HostId>,
}

impl PendingStore {
    /// Records that `host` has stored the mark.
    pub fn confirm(&mut self, host: HostId) {
        self.confirmed.insert(host);
    }

    /// Hosts that must still confirm; the write may be acknowledged when there are none.
    pub fn missing(
        &self,
        now: Millis,
        history: &HomeSetHistory,
        item: &SessionItem,
    ) -> Result<Vec<HostId>, HistoryTooShort> {
        let store_set = history.store_set(now, item)?;
        Ok(store_set.into_iter().filter(|host| !self.confirmed.contains(host)).collect())
    }
}
