//! Return of restored failure domains to use, and the limit on statements to cold targets.
//!
//! Load: a domain that comes back has idle targets, which look like the fastest ones to all hosts
//! at once. Reads return to them gradually, by a stable hash of the session, so that each session
//! moves once. A target whose caches are empty answers slowly and gets few statements, summed
//! over all hosts: only its owner sends to it, while control confirms the ownership by a lease,
//! and with a token bucket that starts empty. A new owner waits until the lease of the former
//! one has ended.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::Millis,
    fleet::{
        config::FleetService,
        hosts::LEASE_DURATION,
        messages::{Announcement, EntryHost, ViewRevision},
    },
    gateway::evacuation::EvacuatedDomains,
    ids::{HostId, InstanceId},
    limits::token_bucket::{BucketShape, TOKEN_SCALE, TokenBucket},
};

/// Time in which reads return to the targets of a restored domain.
const READMISSION_TIME: Millis = Millis(10_000);

/// Parts into which sessions are divided for their return.
const READMISSION_PARTS: u64 = 1_000;

/// Time from the view that names a new owner until the former one has stopped: the lease, 10 % for
/// clock drift, and 100 ms for statements in transit.
const FORMER_OWNER_EXPIRY: Millis = Millis(LEASE_DURATION.0 + LEASE_DURATION.0 / 10 + 100);

/// Shortest time for which a host sends no reads to a cold target that has refused one. All hosts
/// would otherwise ask for each token.
const MIN_HOLD_BACK: Millis = Millis(250);

/// Thousandths per unit, for rates below one statement per second.
const MILLI: f64 = 1_000.0;

/// Number that decides when a session returns to a restored domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SessionHash(u64);

impl SessionHash {
    /// Hash of the session `number` of `host`.
    pub fn new(host: &HostId, number: u64) -> Self {
        Self(xxh3_64_with_seed(host.as_bytes(), number))
    }

    /// Whether the session reads in a domain that was restored `restored_for` ago.
    pub fn is_readmitted(self, restored_for: Millis) -> bool {
        let part = self.0 % READMISSION_PARTS;
        part < restored_for.0.saturating_mul(READMISSION_PARTS) / READMISSION_TIME.0
    }
}

/// How far a read should avoid a target that could serve it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadPreference {
    Normal,
    /// Only if no other target can serve the read: the target is returning to use, or cold and
    /// at its limit.
    HeldBack,
    /// Primary in an evacuated domain.
    Evacuated,
}

/// What keeps a session's reads from targets although these could serve them.
pub struct ReadRestrictions<'a> {
    pub domains: &'a EvacuatedDomains,
    pub cold: &'a ColdTargets,
    pub session: SessionHash,
}

impl ReadRestrictions<'_> {
    /// Preference of `target`; `None` if it must not be used.
    pub fn preference(
        &self,
        now: Millis,
        target: &Announcement,
        is_primary: bool,
    ) -> Option<ReadPreference> {
        if self.domains.contains(&target.domain) {
            return is_primary.then_some(ReadPreference::Evacuated);
        }
        let returning = self.domains.restored_for(now, &target.domain);
        let is_held_back = returning.is_some_and(|span| !self.session.is_readmitted(span))
            || self.cold.is_held_back(now, &target.id);
        Some(if is_held_back { ReadPreference::HeldBack } else { ReadPreference::Normal })
    }
}

/// Limit on statements to a cold target, summed over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Statements per second.
    pub rate: f64,
    /// Statements that may exceed the rate at once.
    pub slack: u32,
}

impl ColdLimit {
    /// Limit of a service's targets, with the factor `overage` of the settings; `None` if they
    /// have none.
    pub fn new(service: &FleetService, overage: f64, slack: u32) -> Option<Self> {
        let rate = service.max_cold_rate_millis? as f64 / MILLI;
        Some(Self { rate: rate * overage, slack })
    }

    /// Bucket that lets at most `rate` + `slack` statements through in any second. Sending takes a
    /// whole token; if the slack holds none, it is taken from the rate.
    fn shape(self) -> BucketShape {
        let depth = u64::from(self.slack.max(1));
        let excess = (depth - u64::from(self.slack)) as f64;
        let rate = (self.rate - excess).max(self.rate / 2.0);
        BucketShape { depth: depth * TOKEN_SCALE, refill: (rate * MILLI) as u64 }
    }
}

/// State of cold targets at one host: as their owner, and as a host that sends reads to owners.
#[derive(Debug, Default)]
pub struct ColdTargets {
    /// Until when a target has said that it is slow after its start, with its start time.
    warming_until: IndexMap<InstanceId, (u64, Millis)>,
    /// View that was applied last.
    revision: ViewRevision,
    /// Since when this host owns a target.
    owned_since: IndexMap<InstanceId, Millis>,
    /// Buckets of the cold targets that this host owns.
    buckets: IndexMap<InstanceId, TokenBucket>,
    /// Until when this host sends no reads to a target that has refused one.
    held_back_until: IndexMap<InstanceId, Millis>,
}

/// Circumstances in which an owner is about to send a statement to a cold target.
#[derive(Debug, Clone, Copy)]
pub struct ColdStatement<'a> {
    pub now: Millis,
    pub target: &'a InstanceId,
    pub limit: ColdLimit,
    /// Whether this host owns the target by its view and its lease is valid.
    pub is_owner: bool,
}

impl ColdTargets {
    /// Applies the targets of a view. `is_owner` tells of which ones this host is the owner.
    pub fn apply(
        &mut self,
        now: Millis,
        revision: ViewRevision,
        targets: &[Announcement],
        mut is_owner: impl FnMut(&Announcement) -> bool,
    ) {
        let old = std::mem::take(&mut self.warming_until);
        for target in targets.iter().filter(|it| it.warmup_remaining > Millis(0)) {
            // The view repeats the remaining time of the last announcement that changed it.
            let until = now + target.warmup_remaining;
            let known = old.get(&target.id).filter(|(start, _)| *start == target.started_at_ms);
            let until = known.map_or(until, |(_, known)| until.min(*known));
            self.warming_until.insert(target.id.clone(), (target.started_at_ms, until));
        }
        let mut since = std::mem::take(&mut self.owned_since);
        // A view that this host has not seen may have named another owner.
        let next = ViewRevision { number: self.revision.number + 1, ..self.revision };
        if revision != next {
            since.clear();
            self.buckets.clear();
        }
        self.revision = revision;
        for target in targets.iter().filter(|it| is_owner(it)) {
            let at = since.get(&target.id).copied().unwrap_or(now);
            self.owned_since.insert(target.id.clone(), at);
        }
        let owned = &self.owned_since;
        self.buckets.retain(|id, _| owned.contains_key(id));
        self.held_back_until.retain(|id, _| targets.iter().any(|target| target.id == *id));
    }

    /// Whether a target is cold that belongs to a service with the given cold time, and to a
    /// domain that was restored `restored_for` ago.
    pub fn is_cold(
        &self,
        now: Millis,
        target: &InstanceId,
        cold_time: Millis,
        restored_for: Option<Millis>,
    ) -> bool {
        let is_warming = self.warming_until.get(target).is_some_and(|(_, until)| now < *until);
        is_warming || restored_for.is_some_and(|span| span < cold_time)
    }

    /// Takes the token for a statement; the error is the time after which there may be one.
    pub fn take(&mut self, statement: ColdStatement<'_>) -> Result<(), Millis> {
        let ColdStatement { now, target, limit, is_owner } = statement;
        if !is_owner {
            return Err(FORMER_OWNER_EXPIRY);
        }
        // An owner that a view before the configuration has named counts from its first statement.
        let owned_since = *self.owned_since.entry(target.clone()).or_insert(now);
        let start = now.max(owned_since + FORMER_OWNER_EXPIRY);
        let new = || TokenBucket::empty(start, limit.shape());
        let bucket = self.buckets.entry(target.clone()).or_insert_with(new);
        bucket.set_shape(now, limit.shape());
        if bucket.take(now, 1) == 1 {
            return Ok(());
        }
        let wait = bucket.time_until(now, 1).unwrap_or(FORMER_OWNER_EXPIRY);
        Err(wait + (owned_since + FORMER_OWNER_EXPIRY).since(now))
    }

    /// Removes the bucket of a target that is no longer cold.
    pub fn end(&mut self, target: &InstanceId) {
        self.buckets.shift_remove(target);
    }

    /// Records that the owner of a cold target has refused a read for the given time.
    pub fn hold_back(&mut self, now: Millis, target: &InstanceId, retry_after: Millis) {
        let until = now + retry_after.max(MIN_HOLD_BACK);
        self.held_back_until.insert(target.clone(), until);
    }

    fn is_held_back(&self, now: Millis, target: &InstanceId) -> bool {
        self.held_back_until.get(target).is_some_and(|until| now < *until)
    }
}

/// Whether `own` owns a target with the given order of owners.
pub fn is_owner(own: &HostId, ranked: &[EntryHost]) -> bool {
    ranked.first().is_some_and(|host| host.id == *own)
}
