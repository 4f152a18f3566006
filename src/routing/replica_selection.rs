//! Choice between the replicas and the primary of a service.
//!
//! A replica qualifies if its projected age is within the bound and its projected
//! position has passed the session's mark. Both projections are estimates; the
//! owner checks the bound on the connection that runs the statement, so a wrong
//! estimate costs a round trip and never a stale answer.

use derive_more::{Display, Error};
use rand::Rng;

use crate::{
    clock::Millis,
    ids::{FailureDomain, InstanceId, Mark, Service},
    routing::{
        hints::{Hint, Hints},
        instances::{Replica, ServiceInstances},
    },
    settings::routing::RoutingSettings,
    state::model::ClusterView,
};

pub use crate::routing::instances::{usable_primary, usable_replicas};

/// What a read requires.
#[derive(Debug, Clone)]
pub struct ReadConstraints<'a> {
    pub service: &'a Service,
    /// Session's last known write; a caller whose mark is unknown sets
    /// `max_staleness_ms` to `None`.
    pub mark: Option<Mark>,
    /// Accepted age; `None` requires the primary.
    pub max_staleness_ms: Option<u64>,
    pub local_domain: &'a FailureDomain,
    /// Time until the request's deadline.
    pub remaining: Millis,
}

/// Where a read goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selection {
    Replica {
        instance: InstanceId,
    },
    /// Replica is expected to pass the mark within `max_wait`; the primary follows if not.
    WaitForReplica {
        instance: InstanceId,
        max_wait: Millis,
    },
    Primary {
        instance: InstanceId,
    },
}

/// Why no instance can serve.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SelectionError {
    #[display("service `{service}` has no primary")]
    NoPrimary { service: Service },
    #[display("no host owns the primary `{instance}`")]
    NoOwner { instance: InstanceId },
}

impl SelectionError {
    /// SQLSTATE of the error.
    pub fn code(&self) -> &'static str {
        "57P03"
    }
}

/// How well a replica qualifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fit {
    Now,
    /// Hint is missing or old.
    Probe,
    Soon(Millis),
    No,
}

impl Fit {
    fn is_within(self, wait: Millis) -> bool {
        match self {
            Fit::Now | Fit::Probe => true,
            Fit::Soon(span) => span <= wait,
            Fit::No => false,
        }
    }
}

/// Chooses the instance for a read.
///
/// Scans all instances of the view; with a [`InstanceIndex`] use [`select_among`].
///
/// [`InstanceIndex`]: crate::routing::instances::InstanceIndex
pub fn select_instance(
    now: Millis,
    view: &ClusterView,
    hints: &Hints,
    need: &ReadConstraints<'_>,
    settings: &RoutingSettings,
    rng: &mut impl Rng,
) -> Result<Selection, SelectionError> {
    select_among(now, &ServiceInstances::of(view, need.service), hints, need, settings, rng)
}

/// Chooses the instance for a read among those of one service.
pub fn select_among(
    now: Millis,
    instances: &ServiceInstances,
    hints: &Hints,
    need: &ReadConstraints<'_>,
    settings: &RoutingSettings,
    rng: &mut impl Rng,
) -> Result<Selection, SelectionError> {
    if let Some(max_staleness_ms) = need.max_staleness_ms {
        let mut candidates = Candidates::default();
        for replica in &instances.replicas {
            let hint = hints.get(&replica.id);
            if hint.is_some_and(|hint| hint.is_penalized(now, settings)) {
                continue;
            }
            let fit = fit(now, hint, need.mark, max_staleness_ms, settings);
            candidates.add(replica, hint, fit, need, settings);
        }
        if let Some(choice) = candidates.decide(rng, settings.replica_wait.min(need.remaining)) {
            return Ok(choice);
        }
    }
    instances.primary.clone().map(|instance| Selection::Primary { instance })
}

fn fit(
    now: Millis,
    hint: Option<&Hint>,
    mark: Option<Mark>,
    max_staleness_ms: u64,
    settings: &RoutingSettings,
) -> Fit {
    let Some(hint) = hint else { return Fit::Probe };
    let probe = if hint.may_probe(now, settings) { Fit::Probe } else { Fit::No };
    let Some(observed) = hint.observed else { return probe };
    let elapsed = now.since(observed.at).0;
    if observed.age_ms > max_staleness_ms {
        // An old refusal says nothing of the present age.
        return if elapsed > max_staleness_ms { probe } else { Fit::No };
    }
    if observed.age_ms + elapsed > max_staleness_ms {
        return probe;
    }
    let Some(mark) = mark else { return Fit::Now };
    let fit = reach(hint, observed.position, mark, elapsed);
    // The estimated rate falls to zero while nothing is written, so an older
    // hint must not keep reads away from a replica that has caught up.
    if elapsed >= settings.probe_interval.0 && !fit.is_within(settings.replica_wait) {
        return probe;
    }
    fit
}

/// Whether a replica at `position`, `elapsed` milliseconds ago, has passed `mark`.
fn reach(hint: &Hint, position: Mark, mark: Mark, elapsed: u64) -> Fit {
    if position.has_passed(mark) {
        return Fit::Now;
    }
    if position.term < mark.term || hint.positions_per_s == 0 {
        return Fit::No;
    }
    let missing = mark.position.0 - position.position.0;
    let needed = missing.saturating_mul(1_000).div_ceil(hint.positions_per_s);
    if needed <= elapsed { Fit::Now } else { Fit::Soon(Millis(needed - elapsed)) }
}

#[derive(Default)]
struct Candidates {
    now: Vec<Ranked>,
    probe: Option<Ranked>,
    soonest: Option<(Millis, InstanceId)>,
}

struct Ranked {
    instance: InstanceId,
    local: bool,
    /// Expected delay: latency times the requests in flight.
    cost: u64,
}

impl Candidates {
    fn add(
        &mut self,
        replica: &Replica,
        hint: Option<&Hint>,
        fit: Fit,
        need: &ReadConstraints<'_>,
        settings: &RoutingSettings,
    ) {
        let local = replica.failure_domain == *need.local_domain;
        let id = &replica.id;
        let ranked = || Ranked { instance: id.clone(), local, cost: cost(hint, local, settings) };
        match fit {
            Fit::Now => self.now.push(ranked()),
            Fit::Probe if self.probe.as_ref().is_none_or(|known| local && !known.local) => {
                self.probe = Some(ranked());
            }
            Fit::Soon(span) if self.soonest.as_ref().is_none_or(|(known, _)| span < *known) => {
                self.soonest = Some((span, id.clone()));
            }
            _ => {}
        }
    }

    fn decide(mut self, rng: &mut impl Rng, longest_wait: Millis) -> Option<Selection> {
        // A local replica with an old hint is worth a probe beside remote ones.
        let probe_local = self.probe.as_ref().is_some_and(|probe| probe.local)
            && !self.now.iter().any(|ranked| ranked.local);
        if (self.now.is_empty() || probe_local)
            && let Some(probe) = self.probe.take()
        {
            return Some(Selection::Replica { instance: probe.instance });
        }
        if !self.now.is_empty() {
            return Some(Selection::Replica { instance: self.better_of_two(rng) });
        }
        let (span, instance) = self.soonest?;
        (span <= longest_wait)
            .then_some(Selection::WaitForReplica { instance, max_wait: longest_wait })
    }

    /// Power of two choices; one of the two is local if there is a local replica.
    fn better_of_two(&self, rng: &mut impl Rng) -> InstanceId {
        let count = self.now.len();
        let locals: Vec<usize> = (0..count).filter(|index| self.now[*index].local).collect();
        let first = match locals.as_slice() {
            [] => rng.random_range(0..count),
            locals => locals[rng.random_range(0..locals.len())],
        };
        let other = (first + rng.random_range(1..count.max(2))) % count;
        let (first, other) = (&self.now[first], &self.now[other]);
        let better = if other.cost < first.cost { other } else { first };
        better.instance.clone()
    }
}

fn cost(hint: Option<&Hint>, local: bool, settings: &RoutingSettings) -> u64 {
    let assumed = if local { settings.local_latency_us } else { settings.remote_latency_us };
    let latency = hint.map_or(0, |hint| hint.latency_us);
    let latency = if latency == 0 { assumed } else { latency };
    let load = u64::from(hint.map_or(0, |hint| hint.in_flight)) + 1;
    latency.saturating_mul(load)
}
