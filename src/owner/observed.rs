//! Last observed state of an owned instance.

use crate::{
    clock::{Clock, Millis},
    ids::Mark,
    owner::{instance::Instance, statements::Position},
    state::model::Role,
    wire::announcement::Announcement,
};

/// State of an instance, from its answers and announcements.
#[derive(Debug, Clone, Default)]
pub(crate) struct ObservedState {
    pub(crate) role: Option<Role>,
    pub(crate) position: Option<Mark>,
    pub(crate) age_ms: u64,
    /// When `position` and `age_ms` were observed.
    pub(crate) position_at: Millis,
    /// Time of the last answer of the instance on a connection of this owner.
    pub(crate) answered_at: Millis,
    pub(crate) announced_at: Option<Millis>,
    /// Silence of the primary according to the last announcement, in milliseconds.
    pub(crate) primary_silent_ms: u64,
    /// Time of the last observation sent to the control leader.
    pub(crate) reported_at: Option<Millis>,
    /// The last observation suspects a failure of the primary.
    pub(crate) suspected: bool,
    /// The instance has not answered for at least the `silence` setting.
    pub(crate) silent: bool,
    /// Number of kept connections in the last release report.
    pub(crate) kept_reported: Option<u32>,
}

impl Instance {
    /// Last known position and its age in milliseconds.
    pub(crate) fn last_position(&self, now: Millis) -> Option<(Mark, u64)> {
        self.with_observed(|observed| {
            let elapsed = match observed.role {
                Some(Role::Primary) => 0,
                _ => now.since(observed.position_at).0,
            };
            Some((observed.position?, observed.age_ms + elapsed))
        })
    }

    /// Records an announcement. Returns whether it suspects a failure of the primary.
    pub(crate) fn record_announcement(&self, now: Millis, announcement: &Announcement) -> bool {
        let silence = self.settings.silence;
        self.with_observed(|observed| {
            observed.role = Some(announcement.role);
            observed.position = Some(announcement.position);
            observed.age_ms = announcement.age_ms;
            observed.position_at = now;
            observed.announced_at = Some(now);
            observed.primary_silent_ms = announcement.primary_silent_ms;
            announcement.role == Role::Replica && announcement.primary_silent_ms >= silence.0
        })
    }

    /// Records a position that the instance answered with.
    pub(crate) fn record_position(&self, position: &Position) {
        let now = self.clock.now();
        self.with_observed(|observed| {
            observed.role = Some(if position.is_primary { Role::Primary } else { Role::Replica });
            observed.position = Some(position.mark);
            observed.age_ms = position.age_ms;
            observed.position_at = now;
        });
    }
}
