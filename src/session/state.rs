//! State of a caller's session at its entry host.
//!
//! A session whose id was generated here and never shown to the caller cannot be
//! continued at another host: all its writes are known here, and its marks need no home
//! hosts. Any other session is *shared* and follows the rules of [`home_set`].
//!
//! A read on the primary returns the primary's position before the read. Every write
//! that was acknowledged earlier is at or before this position, so it can replace an
//! unknown mark.
//!
//! [`home_set`]: crate::session::home_set

use indexmap::IndexMap;

use crate::{
    ids::{HostId, Mark, Service, SessionId},
    settings::session::LookupPolicy,
};

/// What is known of the mark that a read must observe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MarkRequirement {
    /// A replica must have passed the mark; without a mark, any replica is allowed.
    Known(Option<Mark>),
    /// The home hosts must be asked for the mark first.
    Lookup,
}

/// Session of a caller with its known marks.
#[derive(Debug, Clone)]
pub struct SessionState {
    id: SessionId,
    shared: bool,
    policy: LookupPolicy,
    marks: IndexMap<Service, KnownMark>,
}

#[derive(Debug, Clone, Copy, Default)]
struct KnownMark {
    mark: Option<Mark>,
    /// Whether the mark covers the writes made before this connection.
    is_complete: bool,
}

impl SessionState {
    /// Session that starts here under a generated id.
    pub fn with_generated_id(id: SessionId, policy: LookupPolicy) -> Self {
        Self { id, shared: false, policy, marks: IndexMap::new() }
    }

    /// Session under an id that the caller supplied.
    pub fn with_caller_id(id: SessionId, policy: LookupPolicy) -> Self {
        Self { id, shared: true, policy, marks: IndexMap::new() }
    }

    pub fn id(&self) -> &SessionId {
        &self.id
    }

    /// Whether a write's mark must be stored at the home hosts before the write is
    /// acknowledged.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// Makes the session usable from other entry hosts. Returns the marks that must be
    /// stored at the home hosts before the id is shown to the caller.
    pub fn share(&mut self) -> Vec<(Service, Mark)> {
        if self.shared {
            return Vec::new();
        }
        self.shared = true;
        for known in self.marks.values_mut() {
            known.is_complete = true;
        }
        self.marks
            .iter()
            .filter_map(|(service, known)| known.mark.map(|mark| (service.clone(), mark)))
            .collect()
    }

    /// Mark that a read of `service` must observe.
    pub fn requirement(&self, service: &Service) -> MarkRequirement {
        let known = self.marks.get(service).copied().unwrap_or_default();
        let once_per_connection = self.policy == LookupPolicy::OncePerConnection;
        if !self.shared || (once_per_connection && known.is_complete) {
            MarkRequirement::Known(known.mark)
        } else {
            MarkRequirement::Lookup
        }
    }

    /// Records the mark of a write, or a mark that the caller supplied.
    pub fn raise(&mut self, service: &Service, mark: Mark) {
        let known = self.marks.entry(service.clone()).or_default();
        known.mark = known.mark.max(Some(mark));
    }

    /// Records a mark that covers all acknowledged writes: one from a home host, or the
    /// position of a read on the primary. Returns the mark that the read must observe.
    pub fn record_complete(&mut self, service: &Service, mark: Mark) -> Mark {
        let known = self.marks.entry(service.clone()).or_default();
        let latest = known.mark.map_or(mark, |own| own.max(mark));
        *known = KnownMark { mark: Some(latest), is_complete: true };
        latest
    }

    /// Last known mark of `service`.
    pub fn mark(&self, service: &Service) -> Option<Mark> {
        self.marks.get(service).and_then(|known| known.mark)
    }
}

/// Lookup of a mark at the home hosts.
#[derive(Debug)]
pub struct Lookup {
    pending_hosts: Vec<HostId>,
}

/// Result of a lookup so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupResult {
    Pending,
    Known(Mark),
    /// No home host returned the mark; the read must use the primary.
    Unknown,
}

impl Lookup {
    /// Starts a lookup at the hosts of `home_set`; with an empty set the mark is unknown.
    pub fn new(home_set: Vec<HostId>) -> (Self, LookupResult) {
        let result =
            if home_set.is_empty() { LookupResult::Unknown } else { LookupResult::Pending };
        (Self { pending_hosts: home_set }, result)
    }

    /// Records the answer of `host`; a failed request counts as `None`. The first known
    /// mark completes the lookup.
    pub fn answer(&mut self, host: &HostId, mark: Option<Mark>) -> LookupResult {
        self.pending_hosts.retain(|pending| pending != host);
        match mark {
            Some(mark) => LookupResult::Known(mark),
            None if self.pending_hosts.is_empty() => LookupResult::Unknown,
            None => LookupResult::Pending,
        }
    }
}
