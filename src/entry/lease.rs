//! Lease of this host.
//!
//! The lease counts from the time at which the renewal was sent, so it always ends
//! here before the control leader regards it as expired.

use crate::clock::Millis;

/// Right to serve keyed requests and to hold connections to targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lease {
    expires_at: Millis,
}

impl Lease {
    /// Extends the lease; an older answer never shortens it.
    pub fn extend(&mut self, sent_at: Millis, duration: Millis) {
        self.expires_at = self.expires_at.max(sent_at + duration);
    }

    /// Gives the lease up before its end.
    pub fn revoke(&mut self) {
        self.expires_at = Millis(0);
    }

    /// Whether the lease holds at `now`.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.expires_at
    }

    /// When the lease ends.
    pub fn expires_at(&self) -> Millis {
        self.expires_at
    }
}
