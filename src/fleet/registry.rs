//! In-memory registry of the targets that announce themselves to the leader.
//!
//! Announcements may be delayed, repeated, or come from a process whose address or id now
//! belongs to another process. Processes are ordered by their start time, the announcements
//! of one process by their sequence number.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::messages::Announcement,
    ids::{InstanceId, Service},
};

/// Default interval between a target's announcements.
pub const ANNOUNCE_INTERVAL: Millis = Millis(1_200);

/// Missed announcements after which a target is removed. A target may keep serving for
/// seconds while its announcements are lost.
const EXPIRE_AFTER_MISSED: u64 = 16;

/// Known targets, and those that have deregistered.
#[derive(Debug)]
pub struct Registry {
    /// Expected interval between a target's announcements.
    interval: Millis,
    targets: IndexMap<InstanceId, Entry>,
    /// Start times of deregistered processes, so that a delayed announcement does not
    /// register them again.
    departed: IndexMap<InstanceId, u64>,
}

#[derive(Debug)]
struct Entry {
    announcement: Announcement,
    heard_at: Millis,
    /// When this leader first heard of the target; `None` if an earlier leader knew it.
    joined_at: Option<Millis>,
}

/// Effect of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// Older than the known announcement, or of a deregistered process.
    Stale,
    /// No change that is relevant for routing.
    Unchanged,
    Changed,
}

impl Default for Registry {
    fn default() -> Self {
        Self::new(ANNOUNCE_INTERVAL)
    }
}

impl Registry {
    /// Empty registry of targets that announce themselves every `interval`.
    pub fn new(interval: Millis) -> Self {
        Self { interval, targets: IndexMap::new(), departed: IndexMap::new() }
    }

    /// Expected interval between a target's announcements.
    pub fn interval(&self) -> Millis {
        self.interval
    }

    /// Records an announcement that arrived at `now`, unless it is stale. Another target at
    /// the same address is removed.
    pub fn record(&mut self, now: Millis, announcement: &Announcement) -> AnnouncementEffect {
        self.insert(now, announcement, Some(now))
    }

    fn insert(
        &mut self,
        now: Millis,
        announcement: &Announcement,
        joined_at: Option<Millis>,
    ) -> AnnouncementEffect {
        if self.is_stale(announcement) {
            return AnnouncementEffect::Stale;
        }
        let addr = &announcement.addr;
        self.targets.retain(|id, entry| *id == announcement.id || entry.announcement.addr != *addr);
        self.departed.shift_remove(&announcement.id);
        let known = self.targets.get(&announcement.id);
        let joined_at = known.map_or(joined_at, |entry| entry.joined_at);
        let entry = Entry { announcement: announcement.clone(), heard_at: now, joined_at };
        let old = self.targets.insert(announcement.id.clone(), entry);
        match old {
            Some(old) if is_routing_equal(&old.announcement, announcement) => {
                AnnouncementEffect::Unchanged
            }
            _ => AnnouncementEffect::Changed,
        }
    }

    /// Records an announcement from the log, which may be outdated, if the target is unknown.
    pub fn record_if_unknown(
        &mut self,
        now: Millis,
        announcement: &Announcement,
    ) -> AnnouncementEffect {
        self.insert_if_unknown(now, announcement, None)
    }

    /// Records an announcement from the report of an entry host, which may be outdated, if the
    /// target is unknown. Other hosts need not know it.
    pub fn record_reported(
        &mut self,
        now: Millis,
        announcement: &Announcement,
    ) -> AnnouncementEffect {
        self.insert_if_unknown(now, announcement, Some(now))
    }

    fn insert_if_unknown(
        &mut self,
        now: Millis,
        announcement: &Announcement,
        joined_at: Option<Millis>,
    ) -> AnnouncementEffect {
        if self.targets.contains_key(&announcement.id) {
            return AnnouncementEffect::Unchanged;
        }
        self.insert(now, announcement, joined_at)
    }

    fn is_stale(&self, announcement: &Announcement) -> bool {
        let order = (announcement.started_at_ms, announcement.sequence);
        if self
            .departed
            .get(&announcement.id)
            .is_some_and(|departed| announcement.started_at_ms <= *departed)
        {
            return true;
        }
        self.targets.values().any(|entry| {
            let known = &entry.announcement;
            if known.id == announcement.id {
                order < (known.started_at_ms, known.sequence)
            } else {
                known.addr == announcement.addr && announcement.started_at_ms < known.started_at_ms
            }
        })
    }

    /// Removes a target that deregisters; returns whether it was known.
    pub fn remove(&mut self, id: &InstanceId) -> bool {
        let Some(entry) = self.targets.shift_remove(id) else { return false };
        self.departed.insert(id.clone(), entry.announcement.started_at_ms);
        true
    }

    /// Removes targets whose announcements have stopped; returns whether there were any.
    pub fn remove_silent(&mut self, now: Millis) -> bool {
        let before = self.targets.len();
        self.targets
            .retain(|_, entry| now.since(entry.heard_at).0 < self.interval.0 * EXPIRE_AFTER_MISSED);
        before != self.targets.len()
    }

    pub fn get(&self, id: &InstanceId) -> Option<&Announcement> {
        self.targets.get(id).map(|entry| &entry.announcement)
    }

    /// Time since the last announcement of the target.
    pub fn silence(&self, now: Millis, id: &InstanceId) -> Option<Millis> {
        self.targets.get(id).map(|entry| now.since(entry.heard_at))
    }

    /// When the target joined, unless an earlier leader knew it.
    pub fn joined_at(&self, id: &InstanceId) -> Option<Millis> {
        self.targets.get(id).and_then(|entry| entry.joined_at)
    }

    /// Targets of `service`.
    pub fn of_service<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = &'a Announcement> {
        self.all().filter(move |target| target.service == *service)
    }

    pub fn all(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().map(|entry| &entry.announcement)
    }
}

/// Whether two announcements are equal in all fields that are relevant for routing.
pub(super) fn is_routing_equal(a: &Announcement, b: &Announcement) -> bool {
    let sequence = a.sequence;
    let warmup_remaining = a.warmup_remaining;
    Announcement { sequence, warmup_remaining, ..b.clone() } == *a
}
