//! Settings of session marks.

use crate::clock::Millis;

/// When the marks of a session that may use several entries are looked up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupPolicy {
    /// Before each read that may go to a replica. Correct also if the session
    /// alternates between connections to different entries.
    EachRead,
    /// Once per connection and service. Saves a round trip per read; the caller
    /// must not write through another entry while the connection is open.
    OncePerConnection,
}

/// Bounds of the mark table and times of the store and lookup rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionSettings {
    /// Marks that a home host keeps.
    pub capacity: usize,
    /// Marks unused for this time are dropped.
    pub idle: Millis,
    /// Longest time for which another host may act on a view that this host has
    /// replaced: lease of 2,000 ms plus 10 % clock drift.
    pub view_overlap: Millis,
    /// Request deadline; a mark may arrive at its home host this much later than
    /// its write was committed.
    pub request_deadline: Millis,
    /// Longest wait for an answer from a home host before a read uses the primary.
    pub lookup_wait: Millis,
    /// Interval between attempts to store a mark.
    pub store_retry: Millis,
    pub lookup: LookupPolicy,
}

impl SessionSettings {
    /// Time for which a new home host must see all writes before its marks count.
    pub fn settle(&self) -> Millis {
        self.view_overlap + self.request_deadline
    }
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            capacity: 200_000,
            idle: Millis(600_000),
            view_overlap: Millis(2_200),
            request_deadline: Millis(5_000),
            lookup_wait: Millis(30),
            store_retry: Millis(50),
            lookup: LookupPolicy::EachRead,
        }
    }
}
