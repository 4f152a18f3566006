//! Session of one caller at its entry host.
//!
//! A session whose id was generated here and never shown to the caller cannot
//! continue elsewhere: its marks need no home host, and its history is known. Any
//! other session is *shared* and follows the rules of [`home_set`].
//!
//! A read on the primary returns the primary's position before the read. Every
//! write acknowledged earlier is at or before it, so this position can stand in
//! for a mark that was unknown.
//!
//! [`home_set`]: crate::session::home_set

use indexmap::IndexMap;

use crate::{
    ids::{HostId, Mark, Service, SessionId},
    settings::session::LookupPolicy,
};

/// What is known before a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MarkRequirement {
    /// Replica must have passed the mark; without one, any replica will do.
    Known(Option<Mark>),
    /// Home hosts must be asked first.
    Lookup,
}

/// Session as its entry host knows it.
#[derive(Debug, Clone)]
pub struct SessionState {
    id: SessionId,
    shared: bool,
    policy: LookupPolicy,
    marks: IndexMap<Service, Known>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Known {
    mark: Option<Mark>,
    /// Mark includes the writes from before this connection.
    complete: bool,
}

impl SessionState {
    /// Session that begins here under a generated id.
    pub fn with_generated_id(id: SessionId, policy: LookupPolicy) -> Self {
        Self { id, shared: false, policy, marks: IndexMap::new() }
    }

    /// Session whose id the caller gave.
    pub fn with_caller_id(id: SessionId, policy: LookupPolicy) -> Self {
        Self { id, shared: true, policy, marks: IndexMap::new() }
    }

    /// Session id.
    pub fn id(&self) -> &SessionId {
        &self.id
    }

    /// Whether marks must be stored at the home hosts before an acknowledgement.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    /// Makes the session usable from other entries; returns the marks that must be
    /// stored at the home hosts before the id is shown to the caller.
    pub fn share(&mut self) -> Vec<(Service, Mark)> {
        if self.shared {
            return Vec::new();
        }
        self.shared = true;
        for known in self.marks.values_mut() {
            known.complete = true;
        }
        self.marks
            .iter()
            .filter_map(|(service, known)| known.mark.map(|mark| (service.clone(), mark)))
            .collect()
    }

    /// What a read of `service` must observe.
    pub fn requirement(&self, service: &Service) -> MarkRequirement {
        let known = self.marks.get(service).copied().unwrap_or_default();
        let once = self.policy == LookupPolicy::OncePerConnection;
        if !self.shared || (once && known.complete) {
            MarkRequirement::Known(known.mark)
        } else {
            MarkRequirement::Lookup
        }
    }

    /// Records a write, or a mark that the caller gave.
    pub fn raise(&mut self, service: &Service, mark: Mark) {
        let known = self.marks.entry(service.clone()).or_default();
        known.mark = known.mark.max(Some(mark));
    }

    /// Records a complete mark: from a home host, or the position of a read on the
    /// primary. Returns what the read must observe.
    pub fn record_complete(&mut self, service: &Service, mark: Mark) -> Mark {
        let known = self.marks.entry(service.clone()).or_default();
        let raised = known.mark.map_or(mark, |own| own.max(mark));
        *known = Known { mark: Some(raised), complete: true };
        raised
    }

    /// Last known mark of `service`.
    pub fn mark(&self, service: &Service) -> Option<Mark> {
        self.marks.get(service).and_then(|known| known.mark)
    }
}

/// Lookup under way at the home hosts.
#[derive(Debug)]
pub struct Lookup {
    waiting_for: Vec<HostId>,
}

/// State of a lookup after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupResult {
    Pending,
    Known(Mark),
    /// Read must use the primary.
    Unknown,
}

impl Lookup {
    /// Lookup at `home_set`; an empty set is unknown at once.
    pub fn new(home_set: Vec<HostId>) -> (Self, LookupResult) {
        let result =
            if home_set.is_empty() { LookupResult::Unknown } else { LookupResult::Pending };
        (Self { waiting_for: home_set }, result)
    }

    /// Records the answer of `host`; a failed request counts as `None`.
    pub fn answer(&mut self, host: &HostId, mark: Option<Mark>) -> LookupResult {
        self.waiting_for.retain(|waiting| waiting != host);
        match mark {
            Some(mark) => LookupResult::Known(mark),
            None if self.waiting_for.is_empty() => LookupResult::Unknown,
            None => LookupResult::Pending,
        }
    }
}
