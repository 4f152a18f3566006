//! Lease of this host, granted by the control group.
//!
//! Its duration counts from the time at which the renewal was sent, so the lease
//! expires on this host before the control leader considers it expired.

use crate::clock::Millis;

/// Right to serve keyed requests and to hold connections to targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lease {
    expires_at: Millis,
}

impl Lease {
    /// Extends the lease to `duration` after `sent_at`, when the renewal was sent; a
    /// late response never shortens it.
    pub fn extend(&mut self, sent_at: Millis, duration: Millis) {
        self.expires_at = self.expires_at.max(sent_at + duration);
    }

    /// Ends the lease at once.
    pub fn revoke(&mut self) {
        self.expires_at = Millis(0);
    }

    /// Whether the lease is valid at `now`.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.expires_at
    }

    /// When the lease expires.
    pub fn expires_at(&self) -> Millis {
        self.expires_at
    }
}
