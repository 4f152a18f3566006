//! Recent lists of live hosts, as this host learned them.
//!
//! Hosts learn of a new view at different times. A host with a valid lease never
//! acts on a view later than a bounded overlap after any other host learned of its
//! successor, because each lease renewal brings the leader's current view. Rules
//! that must hold between hosts with different views therefore look at all lists
//! of the last overlap.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;

use crate::{clock::Millis, ids::HostId, state::model::Host};

/// Lists kept; what happened before the oldest one is unknown.
const KEPT_LISTS: usize = 64;

/// Number of a host list; increases with each change.
pub type HostListVersion = u64;

/// Live hosts of a view.
#[derive(Debug, Clone)]
pub struct HostList {
    version: HostListVersion,
    learned_at: Millis,
    /// Ordered by id; lists share the hosts that did not change.
    live: Vec<Arc<Host>>,
}

impl HostList {
    /// Number of the list.
    pub fn version(&self) -> HostListVersion {
        self.version
    }

    /// When this host learned of the list.
    pub fn learned_at(&self) -> Millis {
        self.learned_at
    }

    /// Hosts in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Host> + Clone {
        self.live.iter().map(Arc::as_ref)
    }

    /// Host with the given id.
    pub fn get(&self, id: &HostId) -> Option<&Host> {
        self.shared(id).map(Arc::as_ref)
    }

    fn shared(&self, id: &HostId) -> Option<&Arc<Host>> {
        let index = self.live.binary_search_by(|host| host.id.cmp(id)).ok()?;
        Some(&self.live[index])
    }

    fn is_same(&self, hosts: &IndexMap<HostId, Host>) -> bool {
        let unchanged = |host: &Host| self.get(&host.id).is_some_and(|known| known == host);
        self.live.len() == hosts.len() && hosts.values().all(unchanged)
    }
}

/// History of host lists.
#[derive(Debug, Default)]
pub struct HostHistory {
    /// Oldest first.
    lists: VecDeque<HostList>,
    /// When the unbroken history began.
    since: Millis,
}

impl HostHistory {
    /// Records the live hosts of a view.
    ///
    /// Must be called for every change of the hosts, also for several within one
    /// update. `unbroken` is false for a snapshot, which may hide changes.
    pub fn record(&mut self, now: Millis, hosts: &IndexMap<HostId, Host>, unbroken: bool) {
        if unbroken && self.lists.back().is_some_and(|known| known.is_same(hosts)) {
            return;
        }
        let live = self.share_hosts(hosts);
        let version = self.lists.back().map_or(0, |known| known.version + 1);
        if !unbroken || self.lists.is_empty() {
            self.lists.clear();
            self.since = now;
        }
        self.lists.push_back(HostList { version, learned_at: now, live });
        if self.lists.len() > KEPT_LISTS {
            self.lists.pop_front();
            // The list that replaced the dropped one begins the known history.
            self.since = self.lists.front().map_or(now, |list| list.learned_at);
        }
    }

    fn share_hosts(&self, hosts: &IndexMap<HostId, Host>) -> Vec<Arc<Host>> {
        let known = |host: &Host| self.lists.back().and_then(|known| known.shared(&host.id));
        let shared = hosts.values().map(|host| match known(host) {
            Some(known) if **known == *host => known.clone(),
            _ => Arc::new(host.clone()),
        });
        let mut live: Vec<Arc<Host>> = shared.collect();
        live.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        live
    }

    /// Current list.
    pub fn current(&self) -> Option<&HostList> {
        self.lists.back()
    }

    /// Number of the current list.
    pub fn version(&self) -> HostListVersion {
        self.lists.back().map_or(0, |list| list.version)
    }

    /// When the unbroken history began.
    pub fn known_since(&self) -> Millis {
        self.since
    }

    /// Known lists, oldest first.
    pub fn lists(&self) -> impl DoubleEndedIterator<Item = &HostList> {
        self.lists.iter()
    }

    /// Current list and those replaced less than `span` ago.
    pub fn active_within(&self, now: Millis, span: Millis) -> impl Iterator<Item = &HostList> {
        let successors = self.lists.iter().skip(1).map(|list| Some(list.learned_at));
        let replaced_at = successors.chain(std::iter::once(None));
        self.lists.iter().zip(replaced_at).filter_map(move |(list, replaced_at)| {
            replaced_at.is_none_or(|at| now < at + span).then_some(list)
        })
    }
}
