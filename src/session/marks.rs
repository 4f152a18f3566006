//! Table of session marks at a home host.
//!
//! The table answers with a mark only under the lookup rule of [`home_set`]. A mark
//! that was never stored, has expired, was evicted or was lost in a restart is
//! unknown, and the read goes to the primary.
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
    /// Host list at which the mark was known to include all earlier writes.
    complete_since: Option<HostListVersion>,
    created_at: Millis,
    used_at: Millis,
    /// Place in the order of use.
    order: u64,
}

/// Bounded table of marks.
#[derive(Debug)]
pub struct MarkTable {
    settings: SessionSettings,
    entries: IndexMap<MarkKey, Entry>,
    /// Keys by last use, oldest first.
    by_use: BTreeMap<u64, MarkKey>,
    next_order: u64,
    /// Latest use of a mark that was dropped.
    dropped_use: Option<Millis>,
}

impl MarkTable {
    /// Empty table.
    pub fn new(settings: SessionSettings) -> Self {
        Self {
            settings,
            entries: IndexMap::new(),
            by_use: BTreeMap::new(),
            next_order: 0,
            dropped_use: None,
        }
    }

    /// Stores `mark` if it is later than the stored one, and evicts what exceeds
    /// the capacity.
    pub fn raise(&mut self, now: Millis, key: &MarkKey, mark: Mark, history: &HomeSetHistory) {
        self.expire(now);
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
            // A mark that was under way while a later one was dropped must not
            // count as the last one.
            let nothing_dropped = self.dropped_use.is_none_or(|at| now >= at + settle);
            let complete = nothing_dropped && history.is_settled(now, &item);
            let complete_since = complete.then_some(version);
            let entry = Entry { mark, complete_since, created_at: now, used_at: now, order: 0 };
            self.entries.insert(key.clone(), entry);
        }
        self.touch(now, key);
        while self.entries.len() > self.settings.capacity {
            self.evict_oldest();
        }
    }

    /// Mark that includes all acknowledged writes, or `None` if it is unknown.
    ///
    /// The caller must hold a valid lease.
    pub fn lookup(&mut self, now: Millis, key: &MarkKey, history: &HomeSetHistory) -> Option<Mark> {
        self.expire(now);
        let entry = self.entries.get_mut(key)?;
        let item = key.item();
        let since = entry.complete_since?;
        // A mark that was checked at the current list needs no second check, which
        // would rank all hosts again.
        if since != history.version() && !history.is_home_since(since, &item) {
            // The host was not a home host for a while; other marks passed it by.
            entry.complete_since = None;
            return None;
        }
        entry.complete_since = Some(history.version());
        let mark = entry.mark;
        self.touch(now, key);
        Some(mark)
    }

    /// Number of marks held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no mark is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn touch(&mut self, now: Millis, key: &MarkKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.by_use.remove(&entry.order);
            self.next_order += 1;
            entry.order = self.next_order;
            entry.used_at = now;
            self.by_use.insert(entry.order, key.clone());
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some((_, key)) = self.by_use.first_key_value() {
            let used_at = self.entries.get(key).map_or(Millis(0), |entry| entry.used_at);
            if now.since(used_at) < self.settings.idle {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, key)) = self.by_use.pop_first() {
            let entry = self.entries.swap_remove(&key);
            self.dropped_use = self.dropped_use.max(entry.map(|entry| entry.used_at));
        }
    }
}
