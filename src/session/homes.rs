//! Home hosts of sessions, and the rule that makes one answer enough.
//!
//! A session's *home set* is its home host and a second host in another failure
//! domain, computed from the live hosts of a view. Hosts learn of a new view at
//! different times. A host with a valid lease never acts on a view later than
//! `view_overlap` after any other host learned of its successor, because each
//! lease renewal brings the leader's current view.
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

use std::{collections::VecDeque, sync::Arc};

use derive_more::{Display, Error};
use indexmap::{IndexMap, IndexSet};

use crate::{
    clock::Millis,
    ids::{HostId, SessionId, Workspace},
    ownership::rendezvous::owner_and_second,
    settings::session::SessionSettings,
    state::model::Host,
};

/// Host lists kept; a mark from before the oldest one is unknown.
const KEPT_VERSIONS: usize = 64;

/// Number of a host list; increases with each change.
pub type HostsVersion = u64;

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

#[derive(Debug, Clone)]
struct Hosts {
    version: HostsVersion,
    learned_at: Millis,
    /// Ordered by id; lists share the hosts that did not change.
    live: Vec<Arc<Host>>,
}

impl Hosts {
    fn home_set(&self, item: &SessionItem) -> impl Iterator<Item = &HostId> {
        let (home, second) = owner_and_second(&item.0, self.live.iter().map(Arc::as_ref));
        home.into_iter().chain(second).map(|host| &host.id)
    }

    fn get(&self, id: &HostId) -> Option<&Arc<Host>> {
        let index = self.live.binary_search_by(|host| host.id.cmp(id)).ok()?;
        Some(&self.live[index])
    }

    fn is_same(&self, hosts: &IndexMap<HostId, Host>) -> bool {
        let unchanged = |host: &Host| self.get(&host.id).is_some_and(|known| **known == *host);
        self.live.len() == hosts.len() && hosts.values().all(unchanged)
    }
}

/// Recent host lists as this host learned them.
#[derive(Debug)]
pub struct HomeHistory {
    me: HostId,
    settings: SessionSettings,
    /// Oldest first.
    lists: VecDeque<Hosts>,
    /// When the unbroken history began.
    since: Millis,
}

impl HomeHistory {
    /// Empty history of host `me`.
    pub fn new(me: HostId, settings: SessionSettings) -> Self {
        Self { me, settings, lists: VecDeque::new(), since: Millis(0) }
    }

    /// Records the live hosts of a view.
    ///
    /// Must be called for every change of the hosts, also for several within one
    /// update. `unbroken` is false for a snapshot, which may hide changes.
    pub fn learn(&mut self, now: Millis, hosts: &IndexMap<HostId, Host>, unbroken: bool) {
        if unbroken && self.lists.back().is_some_and(|known| known.is_same(hosts)) {
            return;
        }
        let live = self.share_hosts(hosts);
        let version = self.lists.back().map_or(0, |known| known.version + 1);
        if !unbroken || self.lists.is_empty() {
            self.lists.clear();
            self.since = now;
        }
        self.lists.push_back(Hosts { version, learned_at: now, live });
        if self.lists.len() > KEPT_VERSIONS {
            self.lists.pop_front();
            // The list that replaced the dropped one begins the known history.
            self.since = self.lists.front().map_or(now, |hosts| hosts.learned_at);
        }
    }

    fn share_hosts(&self, hosts: &IndexMap<HostId, Host>) -> Vec<Arc<Host>> {
        let known = |host: &Host| self.lists.back().and_then(|known| known.get(&host.id));
        let shared = hosts.values().map(|host| match known(host) {
            Some(known) if **known == *host => known.clone(),
            _ => Arc::new(host.clone()),
        });
        let mut live: Vec<Arc<Host>> = shared.collect();
        live.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        live
    }

    /// Hosts to ask for the marks of `item`.
    pub fn home_set(&self, item: &SessionItem) -> Vec<HostId> {
        self.lists.back().into_iter().flat_map(|hosts| hosts.home_set(item)).cloned().collect()
    }

    /// Hosts that must confirm a mark of `item` now.
    pub fn store_set(
        &self,
        now: Millis,
        item: &SessionItem,
    ) -> Result<IndexSet<HostId>, HistoryTooShort> {
        let until = self.since + self.settings.view_overlap;
        let Some(current) = self.lists.back().filter(|_| now >= until) else {
            return Err(HistoryTooShort { until });
        };
        let in_use = self.in_force_within(now, self.settings.view_overlap);
        let hosts = in_use.flat_map(|hosts| hosts.home_set(item));
        Ok(hosts.filter(|id| current.get(id).is_some()).cloned().collect())
    }

    /// Number of the current host list.
    pub fn version(&self) -> HostsVersion {
        self.lists.back().map_or(0, |hosts| hosts.version)
    }

    /// Whether a mark of `item` that arrives now includes all earlier ones.
    pub fn is_settled(&self, now: Millis, item: &SessionItem) -> bool {
        let settle = self.settings.settle();
        let long_enough = !self.lists.is_empty() && now >= self.since + settle;
        long_enough && self.in_force_within(now, settle).all(|hosts| self.is_home(hosts, item))
    }

    /// Whether this host has been in the home set of `item` in every list since `version`.
    pub fn is_home_since(&self, version: HostsVersion, item: &SessionItem) -> bool {
        let known = self.lists.front().is_some_and(|oldest| oldest.version <= version);
        let mut later = self.lists.iter().filter(|hosts| hosts.version >= version);
        known && later.all(|hosts| self.is_home(hosts, item))
    }

    fn is_home(&self, hosts: &Hosts, item: &SessionItem) -> bool {
        hosts.home_set(item).any(|id| *id == self.me)
    }

    /// Current list and those replaced less than `span` ago.
    fn in_force_within(&self, now: Millis, span: Millis) -> impl Iterator<Item = &Hosts> {
        let successors = self.lists.iter().skip(1).map(|hosts| Some(hosts.learned_at));
        let replaced_at = successors.chain(std::iter::once(None));
        self.lists.iter().zip(replaced_at).filter_map(move |(hosts, replaced_at)| {
            replaced_at.is_none_or(|at| now < at + span).then_some(hosts)
        })
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
        history: &HomeHistory,
        item: &SessionItem,
    ) -> Result<Vec<HostId>, HistoryTooShort> {
        let wanted = history.store_set(now, item)?;
        Ok(wanted.into_iter().filter(|host| !self.confirmed.contains(host)).collect())
    }
}
