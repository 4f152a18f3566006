//! What the control leader's answers allow an entry host: to rely on the primaries in its view
//! during the lease, and to act on its configuration until that is too old.

use crate::{clock::Millis, fleet::config_rollout::MAX_CONFIG_AGE};

/// Lease granted by the control leader, measured with the entry host's clock.
#[derive(Debug, Default)]
pub struct ControlLease {
    expires_at: Millis,
    contact_at: Millis,
    /// Up to when the leader has confirmed the configuration; `None` before the first time.
    config_renewed_at: Option<Millis>,
}

impl ControlLease {
    /// Extends the lease to `duration` after `sent_at`, when the answered report was
    /// sent.
    pub fn extend(&mut self, sent_at: Millis, duration: Millis) {
        self.expires_at = self.expires_at.max(sent_at + duration);
        self.contact_at = self.contact_at.max(sent_at);
    }

    /// When the newest report that the leader has answered was sent.
    pub fn contact_at(&self) -> Millis {
        self.contact_at
    }

    /// Records that no newer configuration than this host's was in force up to `at`.
    pub fn renew_config(&mut self, at: Millis) {
        self.config_renewed_at = self.config_renewed_at.max(Some(at));
    }

    /// Time since the configuration was last confirmed; `None` if it never was.
    pub fn config_age(&self, now: Millis) -> Option<Millis> {
        self.config_renewed_at.map(|at| now.since(at))
    }

    /// Whether the host may act on its configuration.
    pub fn allows_config(&self, now: Millis) -> bool {
        self.config_age(now).is_some_and(|age| age < MAX_CONFIG_AGE)
    }

    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.expires_at
    }
}
