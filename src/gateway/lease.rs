//! Whether an entry host may rely on what it knows of a service's primary.

use crate::clock::Millis;

/// Lease of the control leader, as the entry host counts it.
#[derive(Debug, Default)]
pub struct ControlLease {
    until: Millis,
}

impl ControlLease {
    /// Extends the lease: `span` from the sending of the report that was answered.
    pub fn extend(&mut self, sent: Millis, span: Millis) {
        self.until = self.until.max(sent + span);
    }

    /// Whether the lease is valid.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.until
    }
}
