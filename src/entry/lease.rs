//! Lease of this host.
//!
//! The lease counts from the time at which the renewal was sent, so it always ends
//! here before the control leader regards it as expired.

use crate::clock::Millis;

/// Right to serve keyed requests and to hold connections to targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lease {
    until: Millis,
}

impl Lease {
    /// Extends the lease; an older answer never shortens it.
    pub fn extend(&mut self, sent_at: Millis, span: Millis) {
        self.until = self.until.max(sent_at + span);
    }

    /// Gives the lease up before its end.
    pub fn end(&mut self) {
        self.until = Millis(0);
    }

    /// Whether the lease holds at `now`.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.until
    }

    /// When the lease ends.
    pub fn until(&self) -> Millis {
        self.until
    }
}
