//! Selection between the replicas and the primary of a service.
//!
//! A replica is eligible if its estimated staleness is within the bound and its
//! estimated position has passed the session's mark. The owner checks both on the
//! connection that runs the statement, so a wrong estimate costs a round trip and
//! never returns a stale answer.

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

/// Constraints of a read.
#[derive(Debug, Clone)]
pub struct ReadConstraints<'a> {
    pub service: &'a Service,
    /// Mark of the session's last write, if it wrote. If the mark is unknown,
    /// `max_staleness_ms` must be `None`.
    pub mark: Option<Mark>,
    /// Staleness bound; `None` requires the primary.
    pub max_staleness_ms: Option<u64>,
    pub local_domain: &'a FailureDomain,
    /// Time until the request's deadline.
    pub remaining: Millis,
}

/// Instance selected for a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selection {
    Replica {
        instance: InstanceId,
    },
    /// Replica that is expected to pass the mark within `max_wait`; the read falls back
    /// to the primary if it does not.
    WaitForReplica {
        instance: InstanceId,
        max_wait: Millis,
    },
    Primary {
        instance: InstanceId,
    },
}

/// Why no instance can serve the read.
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

/// Whether and when a replica can serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Eligibility {
    Eligible,
    /// Hint is missing or out of date; the replica may be probed.
    Probe,
    EligibleIn(Millis),
    Ineligible,
}

impl Eligibility {
    fn may_serve_within(self, wait: Millis) -> bool {
        match self {
            Eligibility::Eligible | Eligibility::Probe => true,
            Eligibility::EligibleIn(delay) => delay <= wait,
            Eligibility::Ineligible => false,
        }
    }
}

/// Selects the instance for a read by a scan over all instances of the view.
///
/// With an [`InstanceIndex`], use [`select_among`].
///
/// [`InstanceIndex`]: crate::routing::instances::InstanceIndex
pub fn select_instance(
    now: Millis,
    view: &ClusterView,
    hints: &Hints,
    constraints: &ReadConstraints<'_>,
    settings: &RoutingSettings,
    rng: &mut impl Rng,
) -> Result<Selection, SelectionError> {
    select_among(
        now,
        &ServiceInstances::of(view, constraints.service),
        hints,
        constraints,
        settings,
        rng,
    )
}

/// Selects the instance for a read among the usable instances of its service.
pub fn select_among(
    now: Millis,
    instances: &ServiceInstances,
    hints: &Hints,
    constraints: &ReadConstraints<'_>,
    settings: &RoutingSettings,
    rng: &mut impl Rng,
) -> Result<Selection, SelectionError> {
    if let Some(max_staleness_ms) = constraints.max_staleness_ms {
        let mut candidates = Candidates::default();
        for replica in &instances.replicas {
            let hint = hints.get(&replica.id);
            if hint.is_some_and(|hint| hint.is_penalized(now, settings)) {
                continue;
            }
            let eligibility = eligibility(now, hint, constraints.mark, max_staleness_ms, settings);
            candidates.add(replica, hint, eligibility, constraints, settings);
        }
        if let Some(selection) =
            candidates.select(rng, settings.replica_wait.min(constraints.remaining))
        {
            return Ok(selection);
        }
    }
    instances.primary.clone().map(|instance| Selection::Primary { instance })
}

fn eligibility(
    now: Millis,
    hint: Option<&Hint>,
    mark: Option<Mark>,
    max_staleness_ms: u64,
    settings: &RoutingSettings,
) -> Eligibility {
    let Some(hint) = hint else { return Eligibility::Probe };
    let probe =
        if hint.may_probe(now, settings) { Eligibility::Probe } else { Eligibility::Ineligible };
    let Some(observed) = hint.observed else { return probe };
    let elapsed_ms = now.since(observed.at).0;
    if observed.age_ms > max_staleness_ms {
        // An observation older than the bound says nothing about the present staleness.
        return if elapsed_ms > max_staleness_ms { probe } else { Eligibility::Ineligible };
    }
    if observed.age_ms + elapsed_ms > max_staleness_ms {
        return probe;
    }
    let Some(mark) = mark else { return Eligibility::Eligible };
    let eligibility = catch_up(hint, observed.position, mark, elapsed_ms);
    // The estimated rate falls to zero while nothing is written, so a hint older than
    // the probe interval must not exclude a replica that has caught up since.
    if elapsed_ms >= settings.probe_interval.0
        && !eligibility.may_serve_within(settings.replica_wait)
    {
        return probe;
    }
    eligibility
}

/// Estimates when a replica that was at `position` `elapsed_ms` ago passes `mark`.
fn catch_up(hint: &Hint, position: Mark, mark: Mark, elapsed_ms: u64) -> Eligibility {
    if position.has_reached(mark) {
        return Eligibility::Eligible;
    }
    if position.term < mark.term || hint.positions_per_s == 0 {
        return Eligibility::Ineligible;
    }
    let positions_behind = mark.position.0 - position.position.0;
    let needed_ms = positions_behind.saturating_mul(1_000).div_ceil(hint.positions_per_s);
    if needed_ms <= elapsed_ms {
        Eligibility::Eligible
    } else {
        Eligibility::EligibleIn(Millis(needed_ms - elapsed_ms))
    }
}

#[derive(Default)]
struct Candidates {
    eligible: Vec<Candidate>,
    /// Replica to probe; a local one is preferred.
    probe: Option<Candidate>,
    /// Replica that becomes eligible first, with the expected delay.
    soonest: Option<(Millis, InstanceId)>,
}

struct Candidate {
    instance: InstanceId,
    is_local: bool,
    /// Expected delay: latency times the number of requests in flight, this one included.
    cost_us: u64,
}

impl Candidates {
    fn add(
        &mut self,
        replica: &Replica,
        hint: Option<&Hint>,
        eligibility: Eligibility,
        constraints: &ReadConstraints<'_>,
        settings: &RoutingSettings,
    ) {
        let is_local = replica.failure_domain == *constraints.local_domain;
        let id = &replica.id;
        let candidate = || Candidate {
            instance: id.clone(),
            is_local,
            cost_us: cost_us(hint, is_local, settings),
        };
        match eligibility {
            Eligibility::Eligible => self.eligible.push(candidate()),
            Eligibility::Probe
                if self.probe.as_ref().is_none_or(|best| is_local && !best.is_local) =>
            {
                self.probe = Some(candidate());
            }
            Eligibility::EligibleIn(delay)
                if self.soonest.as_ref().is_none_or(|(best, _)| delay < *best) =>
            {
                self.soonest = Some((delay, id.clone()));
            }
            _ => {}
        }
    }

    fn select(mut self, rng: &mut impl Rng, max_wait: Millis) -> Option<Selection> {
        // A local replica whose hint is out of date is probed even if remote replicas are
        // eligible.
        let probe_local = self.probe.as_ref().is_some_and(|probe| probe.is_local)
            && !self.eligible.iter().any(|candidate| candidate.is_local);
        if (self.eligible.is_empty() || probe_local)
            && let Some(probe) = self.probe.take()
        {
            return Some(Selection::Replica { instance: probe.instance });
        }
        if !self.eligible.is_empty() {
            return Some(Selection::Replica { instance: self.select_of_two(rng) });
        }
        let (delay, instance) = self.soonest?;
        (delay <= max_wait).then_some(Selection::WaitForReplica { instance, max_wait })
    }

    /// Power of two random choices by expected delay; the first is local if a local
    /// replica is eligible.
    fn select_of_two(&self, rng: &mut impl Rng) -> InstanceId {
        let count = self.eligible.len();
        let locals: Vec<usize> =
            (0..count).filter(|index| self.eligible[*index].is_local).collect();
        let first = match locals.as_slice() {
            [] => rng.random_range(0..count),
            locals => locals[rng.random_range(0..locals.len())],
        };
        let other = (first + rng.random_range(1..count.max(2))) % count;
        let (first, other) = (&self.eligible[first], &self.eligible[other]);
        let better = if other.cost_us < first.cost_us { other } else { first };
        better.instance.clone()
    }
}

fn cost_us(hint: Option<&Hint>, is_local: bool, settings: &RoutingSettings) -> u64 {
    let assumed_us = if is_local { settings.local_latency_us } else { settings.remote_latency_us };
    let latency_us = hint.map_or(0, |hint| hint.latency_us);
    let latency_us = if latency_us == 0 { assumed_us } else { latency_us };
    let requests = u64::from(hint.map_or(0, |hint| hint.in_flight)) + 1;
    latency_us.saturating_mul(requests)
}
