//! Table of session marks at a home host.
//!
//! The table returns a mark only under the lookup rule of [`home_set`]. A mark that was
//! never stored, has expired, was evicted or was lost in a restart is unknown, and the
//! read goes to the primary.
//!
//! [`home_set`]: crate::session::home_set

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{Mark, Service, SessionId, Workspace},
    session::{
        history::HostListVersion,
        home_set::{HomeSetHistory, SessionItem},
    },
    settings::session::SessionSettings,
};

/// Session and service that a mark belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MarkKey {
    pub workspace: Workspace,
    pub session: SessionId,
    pub service: Service,
}

impl MarkKey {
    fn item(&self) -> SessionItem {
        SessionItem::new(&self.workspace, &self.session)
    }
}

#[derive(Debug)]
struct Entry {
    mark: Mark,
    /// Host list under which the mark is known to cover all earlier writes; `None` if it
    /// may not.
    complete_since: Option<HostListVersion>,
    created_at: Millis,
    used_at: Millis,
    /// Position in the order of last use.
    use_order: u64,
}

/// Bounded table of marks with least-recently-used eviction.
#[derive(Debug)]
pub struct MarkTable {
    settings: SessionSettings,
    entries: IndexMap<MarkKey, Entry>,
    /// Keys in the order of last use, oldest first.
    keys_by_use: BTreeMap<u64, MarkKey>,
    last_use_order: u64,
    /// Latest time of last use among the removed marks.
    last_removed_use: Option<Millis>,
}

impl MarkTable {
    pub fn new(settings: SessionSettings) -> Self {
        Self {
            settings,
            entries: IndexMap::new(),
            keys_by_use: BTreeMap::new(),
            last_use_order: 0,
            last_removed_use: None,
        }
    }

    /// Stores `mark` if it is later than the stored one, and evicts the least recently
    /// used marks above the capacity.
    pub fn raise(&mut self, now: Millis, key: &MarkKey, mark: Mark, history: &HomeSetHistory) {
        self.remove_expired(now);
        let item = key.item();
        let version = history.version();
        let settle = self.settings.settle();
        if let Some(entry) = self.entries.get_mut(key) {
            entry.mark = entry.mark.max(mark);
            let still_complete =
                entry.complete_since.is_some_and(|since| history.is_home_since(since, &item));
            let completed = || now >= entry.created_at + settle && history.is_settled(now, &item);
            entry.complete_since = (still_complete || completed()).then_some(version);
        } else {
            // A mark that was in transit while a later one was removed must not be taken
            // for the latest one.
            let none_removed = self.last_removed_use.is_none_or(|at| now >= at + settle);
            let is_complete = none_removed && history.is_settled(now, &item);
            let complete_since = is_complete.then_some(version);
            let entry = Entry { mark, complete_since, created_at: now, used_at: now, use_order: 0 };
            self.entries.insert(key.clone(), entry);
        }
        self.record_use(now, key);
        while self.entries.len() > self.settings.capacity {
            self.remove_oldest();
        }
    }

    /// Mark that covers all acknowledged writes, or `None` if it is unknown.
    ///
    /// The caller must hold a valid lease.
    pub fn lookup(&mut self, now: Millis, key: &MarkKey, history: &HomeSetHistory) -> Option<Mark> {
        self.remove_expired(now);
        let entry = self.entries.get_mut(key)?;
        let item = key.item();
        let since = entry.complete_since?;
        // A mark that was checked under the current list is not checked again, because the
        // check ranks all hosts.
        if since != history.version() && !history.is_home_since(since, &item) {
            // This host was not a home host in the meantime and may have missed marks.
            entry.complete_since = None;
            return None;
        }
        entry.complete_since = Some(history.version());
        let mark = entry.mark;
        self.record_use(now, key);
        Some(mark)
    }

    /// Number of stored marks.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn record_use(&mut self, now: Millis, key: &MarkKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.keys_by_use.remove(&entry.use_order);
            self.last_use_order += 1;
            entry.use_order = self.last_use_order;
            entry.used_at = now;
            self.keys_by_use.insert(entry.use_order, key.clone());
        }
    }

    fn remove_expired(&mut self, now: Millis) {
        while let Some((_, key)) = self.keys_by_use.first_key_value() {
            let used_at = self.entries.get(key).map_or(Millis(0), |entry| entry.used_at);
            if now.since(used_at) < self.settings.idle_timeout {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.keys_by_use.pop_first() {
            let entry = self.entries.swap_remove(&key);
            self.last_removed_use = self.last_removed_use.max(entry.map(|entry| entry.used_at));
        }
    }
}
