//! Settings of session marks: the positions that a session's reads must observe.

use crate::clock::Millis;

/// When the marks of a session that may use several entry hosts are looked up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupPolicy {
    /// Before each read that may go to a replica. Correct even if the session alternates
    /// between connections to different entry hosts.
    EachRead,
    /// Once per connection and service. Saves a round trip per read, but the caller must
    /// not write through another entry host while the connection is open.
    OncePerConnection,
}

/// Limits of the mark table and timing of storing and lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionSettings {
    /// Maximum number of marks that a home host keeps.
    pub capacity: usize,
    /// Time after which an unused mark expires.
    pub idle_timeout: Millis,
    /// Maximum time for which another host may act on an outdated view: lease of 2,000 ms
    /// plus 10 % clock drift.
    pub view_overlap: Millis,
    /// Request deadline; a mark may reach its home host this long after its write was
    /// committed.
    pub request_deadline: Millis,
    /// Maximum wait for a home host's response before a read goes to the primary.
    pub lookup_wait: Millis,
    /// Interval between attempts to store a mark.
    pub store_retry: Millis,
    pub lookup: LookupPolicy,
}

impl SessionSettings {
    /// Time for which a new home host must have received all marks before its answers are
    /// complete.
    pub fn settle(&self) -> Millis {
        self.view_overlap + self.request_deadline
    }
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            capacity: 200_000,
            idle_timeout: Millis(600_000),
            view_overlap: Millis(2_200),
            request_deadline: Millis(5_000),
            lookup_wait: Millis(30),
            store_retry: Millis(50),
            lookup: LookupPolicy::EachRead,
        }
    }
}
