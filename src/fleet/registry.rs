//! Announcements of targets in the leader's memory.
//!
//! Announcements may arrive late or twice, and from a process whose address or id
//! another one has taken over. The start time orders processes; the sequence number
//! orders the announcements of one process.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::messages::Announcement,
    ids::{InstanceId, Service},
};

/// Usual interval between a target's announcements, if the settings name none.
pub const ANNOUNCE_INTERVAL: Millis = Millis(1_200);

/// Announcements that a target may miss before it is forgotten; some go on for seconds
/// while their announcements are lost.
const FORGET_AFTER: u64 = 16;

/// Targets that were announced or have left.
#[derive(Debug)]
pub struct Registry {
    /// Usual interval between a target's announcements.
    interval: Millis,
    targets: IndexMap<InstanceId, Known>,
    /// Start times of processes that have left, so that a late announcement does not
    /// bring them back.
    left: IndexMap<InstanceId, u64>,
}

#[derive(Debug)]
struct Known {
    announcement: Announcement,
    heard: Millis,
}

/// Effect of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noted {
    /// Older than what is known, or of a process that has left.
    Stale,
    /// Nothing that matters for routing changed.
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
        Self { interval, targets: IndexMap::new(), left: IndexMap::new() }
    }

    /// Usual interval between a target's announcements.
    pub fn interval(&self) -> Millis {
        self.interval
    }

    /// Notes an announcement that arrived at `now`.
    pub fn note(&mut self, now: Millis, announcement: &Announcement) -> Noted {
        if self.is_stale(announcement) {
            return Noted::Stale;
        }
        let addr = &announcement.addr;
        self.targets.retain(|id, known| *id == announcement.id || known.announcement.addr != *addr);
        self.left.shift_remove(&announcement.id);
        let known = Known { announcement: announcement.clone(), heard: now };
        let old = self.targets.insert(announcement.id.clone(), known);
        match old {
            Some(old) if is_same(&old.announcement, announcement) => Noted::Unchanged,
            _ => Noted::Changed,
        }
    }

    /// Notes what an entry host knows. It counts only where nothing is known.
    pub fn suggest(&mut self, now: Millis, announcement: &Announcement) -> Noted {
        if self.targets.contains_key(&announcement.id) {
            return Noted::Unchanged;
        }
        self.note(now, announcement)
    }

    fn is_stale(&self, announcement: &Announcement) -> bool {
        let order = (announcement.started_at_ms, announcement.sequence);
        if self
            .left
            .get(&announcement.id)
            .is_some_and(|started_at_ms| announcement.started_at_ms <= *started_at_ms)
        {
            return true;
        }
        self.targets.values().any(|known| {
            let known = &known.announcement;
            if known.id == announcement.id {
                order < (known.started_at_ms, known.sequence)
            } else {
                known.addr == announcement.addr && announcement.started_at_ms < known.started_at_ms
            }
        })
    }

    /// Removes a target that says that it leaves.
    pub fn remove(&mut self, id: &InstanceId) -> bool {
        let Some(known) = self.targets.shift_remove(id) else { return false };
        self.left.insert(id.clone(), known.announcement.started_at_ms);
        true
    }

    /// Forgets targets that have been silent for long; returns whether there were any.
    pub fn forget_silent(&mut self, now: Millis) -> bool {
        let before = self.targets.len();
        self.targets.retain(|_, known| now.since(known.heard).0 < self.interval.0 * FORGET_AFTER);
        before != self.targets.len()
    }

    /// Target by id.
    pub fn get(&self, id: &InstanceId) -> Option<&Announcement> {
        self.targets.get(id).map(|known| &known.announcement)
    }

    /// Time since the target was last heard.
    pub fn silence(&self, now: Millis, id: &InstanceId) -> Option<Millis> {
        self.targets.get(id).map(|known| now.since(known.heard))
    }

    /// Targets of `service`.
    pub fn of<'a>(&'a self, service: &'a Service) -> impl Iterator<Item = &'a Announcement> {
        self.all().filter(move |target| target.service == *service)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &Announcement> {
        self.targets.values().map(|known| &known.announcement)
    }
}

/// Whether two announcements say the same of what matters for routing.
pub(super) fn is_same(a: &Announcement, b: &Announcement) -> bool {
    let sequence = a.sequence;
    let warmup_remaining = a.warmup_remaining;
    Announcement { sequence, warmup_remaining, ..b.clone() } == *a
}
