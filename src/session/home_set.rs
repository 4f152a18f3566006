//! Home hosts of sessions, and the rule that makes one answer enough.
//!
//! A session's *home set* is its home host and a second host in another failure
//! domain, computed from the live hosts of a view. Hosts with different views may compute
//! different sets; [`history`] bounds for how long.
//!
//! *Store rule.* A write is acknowledged when every host of the store set has
//! confirmed its mark: the home set of the current view, and the home sets of
//! views that were replaced less than `view_overlap` ago, as far as their hosts
//! are still live. The set is computed again when the last confirmation arrives,
//! and the writer's lease must be valid then. A removed host needs no store: its
//! lease has ended, and without a lease it answers no lookup. A host without the
//! history of the last `view_overlap` (after its start or a snapshot) stores
//! nothing until that time has passed.
//!
//! *Lookup rule.* A home host answers with a mark only if it has a valid lease,
//! has been in the session's home set in every view since the mark was stored,
//! and had been in it for `settle` before. A writer on an older view could
//! otherwise have stored a later mark elsewhere. `settle` also covers the time for
//! which a mark can be under way, so a mark of an earlier write that arrives late
//! is not taken for the last one. All other cases are *unknown*, never *no
//! writes*: a restarted host has an empty table and no history.
//!
//! Under both rules one known answer contains every acknowledged write.
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

/// History is too short to know which hosts may still be asked for the mark.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the host has joined recently and stores session marks from {until} on")]
pub struct HistoryTooShort {
    pub until: Millis,
}

/// Session of a workspace, as an item for rendezvous hashing.
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
    me: HostId,
    settings: SessionSettings,
    hosts: HostHistory,
}

impl HomeSetHistory {
    /// Empty history of host `me`.
    pub fn new(me: HostId, settings: SessionSettings) -> Self {
        Self { me, settings, hosts: HostHistory::default() }
    }

    /// Records the live hosts of a view; see [`HostHistory::record`].
    pub fn record(&mut self, now: Millis, hosts: &IndexMap<HostId, Host>, unbroken: bool) {
        self.hosts.record(now, hosts, unbroken);
    }

    /// Underlying host lists.
    pub fn hosts(&self) -> &HostHistory {
        &self.hosts
    }

    /// Hosts to ask for the marks of `item`.
    pub fn home_set(&self, item: &SessionItem) -> Vec<HostId> {
        self.hosts.current().into_iter().flat_map(|list| home_set(list, item)).cloned().collect()
    }

    /// Hosts that must confirm a mark of `item` now.
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
        let in_use = self.hosts.active_within(now, overlap);
        let hosts = in_use.flat_map(|list| home_set(list, item));
        Ok(hosts.filter(|id| current.get(id).is_some()).cloned().collect())
    }

    /// Number of the current host list.
    pub fn version(&self) -> HostListVersion {
        self.hosts.version()
    }

    /// Whether a mark of `item` that arrives now includes all earlier ones.
    pub fn is_settled(&self, now: Millis, item: &SessionItem) -> bool {
        let settle = self.settings.settle();
        let long_enough =
            self.hosts.current().is_some() && now >= self.hosts.known_since() + settle;
        let mut in_use = self.hosts.active_within(now, settle);
        long_enough && in_use.all(|list| self.is_home(list, item))
    }

    /// Whether this host, which was in the home set of `item` at list `version`, has
    /// been in it in every list since.
    pub fn is_home_since(&self, version: HostListVersion, item: &SessionItem) -> bool {
        if version == self.hosts.version() {
            // Membership was confirmed under the current list.
            return true;
        }
        let mut lists = self.hosts.lists();
        let known = lists.next().is_some_and(|oldest| oldest.version() <= version);
        let mut later = self.hosts.lists().filter(|list| list.version() >= version);
        known && later.all(|list| self.is_home(list, item))
    }

    fn is_home(&self, list: &HostList, item: &SessionItem) -> bool {
        home_set(list, item).any(|id| *id == self.me)
    }
}

/// Mark on its way to the store set.
#[derive(Debug, Default)]
pub struct PendingStore {
    confirmed: IndexSet<HostId>,
}

impl PendingStore {
    /// Records that `host` holds the mark.
    pub fn confirm(&mut self, host: HostId) {
        self.confirmed.insert(host);
    }

    /// Hosts that must still confirm; the write is acknowledged when there are none.
    pub fn missing(
        &self,
        now: Millis,
        history: &HomeSetHistory,
        item: &SessionItem,
    ) -> Result<Vec<HostId>, HistoryTooShort> {
        let wanted = history.store_set(now, item)?;
        Ok(wanted.into_iter().filter(|host| !self.confirmed.contains(host)).collect())
    }
}
