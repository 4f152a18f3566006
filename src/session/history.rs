//! History of the lists of live hosts, as this host received them.
//!
//! Hosts receive a new view at different times. Once any host has received the
//! successor of a view, other hosts with a valid lease act on the old view for a
//! bounded time only, the *view overlap*, because each lease renewal delivers the
//! leader's current view. Rules that must hold between hosts with different views
//! therefore consider all lists of the last view overlap.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;

use crate::{clock::Millis, ids::HostId, state::model::Host};

/// Maximum number of lists in a history; changes before the oldest one are unknown.
const MAX_LISTS: usize = 64;

/// Version of a host list; increases with each change of the live hosts.
pub type HostListVersion = u64;

/// Live hosts of one view.
#[derive(Debug, Clone)]
pub struct HostList {
    version: HostListVersion,
    received_at: Millis,
    /// Ordered by id; consecutive lists share the hosts that did not change.
    live: Vec<Arc<Host>>,
}

impl HostList {
    pub fn version(&self) -> HostListVersion {
        self.version
    }

    /// When this host received the list.
    pub fn received_at(&self) -> Millis {
        self.received_at
    }

    /// Hosts in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Host> + Clone {
        self.live.iter().map(Arc::as_ref)
    }

    pub fn get(&self, id: &HostId) -> Option<&Host> {
        self.get_shared(id).map(Arc::as_ref)
    }

    fn get_shared(&self, id: &HostId) -> Option<&Arc<Host>> {
        let index = self.live.binary_search_by(|host| host.id.cmp(id)).ok()?;
        Some(&self.live[index])
    }

    fn contains_exactly(&self, hosts: &IndexMap<HostId, Host>) -> bool {
        let unchanged = |host: &Host| self.get(&host.id).is_some_and(|known| known == host);
        self.live.len() == hosts.len() && hosts.values().all(unchanged)
    }
}

/// History of host lists without gaps.
#[derive(Debug, Default)]
pub struct HostHistory {
    /// Oldest first.
    lists: VecDeque<HostList>,
    /// Start of the history; changes before it are unknown.
    known_since: Millis,
}

impl HostHistory {
    /// Records the live hosts of a view.
    ///
    /// Must be called for each change of the hosts, also if one update contains several.
    /// `is_contiguous` is false for a snapshot, which may hide changes; the history then
    /// starts anew.
    pub fn record(&mut self, now: Millis, hosts: &IndexMap<HostId, Host>, is_contiguous: bool) {
        if is_contiguous && self.lists.back().is_some_and(|known| known.contains_exactly(hosts)) {
            return;
        }
        let live = self.share_hosts(hosts);
        let version = self.lists.back().map_or(0, |known| known.version + 1);
        if !is_contiguous || self.lists.is_empty() {
            self.lists.clear();
            self.known_since = now;
        }
        self.lists.push_back(HostList { version, received_at: now, live });
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
            // The known history now starts with the list that replaced the dropped one.
            self.known_since = self.lists.front().map_or(now, |list| list.received_at);
        }
    }

    /// Live hosts ordered by id, sharing unchanged hosts with the current list.
    fn share_hosts(&self, hosts: &IndexMap<HostId, Host>) -> Vec<Arc<Host>> {
        let known = |host: &Host| self.lists.back().and_then(|known| known.get_shared(&host.id));
        let shared = hosts.values().map(|host| match known(host) {
            Some(known) if **known == *host => known.clone(),
            _ => Arc::new(host.clone()),
        });
        let mut live: Vec<Arc<Host>> = shared.collect();
        live.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        live
    }

    pub fn current(&self) -> Option<&HostList> {
        self.lists.back()
    }

    /// Version of the current list; 0 for an empty history.
    pub fn version(&self) -> HostListVersion {
        self.lists.back().map_or(0, |list| list.version)
    }

    /// Start of the history; changes before it are unknown.
    pub fn known_since(&self) -> Millis {
        self.known_since
    }

    /// All lists, oldest first.
    pub fn lists(&self) -> impl DoubleEndedIterator<Item = &HostList> {
        self.lists.iter()
    }

    /// Current list and the lists that were replaced less than `span` ago.
    pub fn active_within(&self, now: Millis, span: Millis) -> impl Iterator<Item = &HostList> {
        let successors = self.lists.iter().skip(1).map(|list| Some(list.received_at));
        let replaced_at = successors.chain(std::iter::once(None));
        self.lists.iter().zip(replaced_at).filter_map(move |(list, replaced_at)| {
            replaced_at.is_none_or(|at| now < at + span).then_some(list)
        })
    }
}
