//! What an owner knows of an instance.

use crate::{
    clock::{Clock, Millis},
    ids::Mark,
    owner::{instance::Instance, statements::Position},
    state::model::Role,
    wire::announcement::Announcement,
};

/// What is known of the instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Known {
    pub(crate) role: Option<Role>,
    pub(crate) position: Option<Mark>,
    pub(crate) age_ms: u64,
    pub(crate) position_at: Millis,
    /// Last answer of the instance on a connection of this owner.
    pub(crate) answered_at: Millis,
    pub(crate) announced_at: Option<Millis>,
    pub(crate) primary_silent_ms: u64,
    pub(crate) reported_at: Option<Millis>,
    pub(crate) suspicious: bool,
    /// The instance has given no answer for too long.
    pub(crate) silent: bool,
    /// Number of kept connections in the last release report.
    pub(crate) kept_reported: Option<u32>,
}

impl Instance {
    /// Position and age that the instance had last.
    pub(crate) fn last_position(&self, now: Millis) -> Option<(Mark, u64)> {
        self.known(|known| {
            let elapsed = match known.role {
                Some(Role::Primary) => 0,
                _ => now.since(known.position_at).0,
            };
            Some((known.position?, known.age_ms + elapsed))
        })
    }

    /// Takes an announcement; `true` if it gives rise to a suspicion.
    pub(crate) fn announced(&self, now: Millis, announcement: &Announcement) -> bool {
        let silence = self.settings.silence;
        self.known(|known| {
            known.role = Some(announcement.role);
            known.position = Some(announcement.position);
            known.age_ms = announcement.age_ms;
            known.position_at = now;
            known.announced_at = Some(now);
            known.primary_silent_ms = announcement.primary_silent_ms;
            announcement.role == Role::Replica && announcement.primary_silent_ms >= silence.0
        })
    }

    /// Stores a position that the instance has answered.
    pub(crate) fn located(&self, position: &Position) {
        let now = self.clock.now();
        self.known(|known| {
            known.role = Some(if position.is_primary { Role::Primary } else { Role::Replica });
            known.position = Some(position.mark);
            known.age_ms = position.age_ms;
            known.position_at = now;
        });
    }
}
