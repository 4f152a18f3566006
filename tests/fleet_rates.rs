//! Distributed rate limits: callers within the rate are not refused, and no workspace gets
//! more than its rate and burst over all entry hosts.

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        config::FleetWorkspace,
        messages::Share,
        rate_allocator::{Demand, RateAllocator},
    },
    gateway::rate_limit::RateLimiter,
    ids::{HostId, Workspace},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const REPORT_INTERVAL_MS: u64 = 400;
/// Minimum interval between reports that are sent before the regular interval has passed.
const URGENT_REPORT_INTERVAL_MS: u64 = 100;
const WINDOW_MS: u64 = 5_000;

/// Simulated leader, and hosts whose callers send operations at random times.
struct Fleet {
    rng: SmallRng,
    hosts: Vec<(HostId, RateLimiter, Demand)>,
    rate_allocator: RateAllocator,
    workspaces: IndexMap<Workspace, FleetWorkspace>,
    admitted: Vec<u64>,
    refused: usize,
}

fn workspace() -> Workspace {
    Workspace::from("w")
}

impl Fleet {
    fn new(hosts: usize, rate: u32, seed: u64) -> Self {
        let named = |number| {
            (HostId::from(format!("h{number}")), RateLimiter::default(), Demand::default())
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            hosts: (0..hosts).map(named).collect(),
            rate_allocator: RateAllocator::default(),
            workspaces: IndexMap::from([(workspace(), FleetWorkspace { rate, burst: rate })]),
            admitted: Vec::new(),
            refused: 0,
        }
    }

    /// Simulates the time from `from` to `to` in milliseconds, with `per_second` operations
    /// on all hosts together.
    fn run(&mut self, from: u64, to: u64, per_second: f64) {
        let limits = self.workspaces[&workspace()].clone();
        let per_host = per_second / self.hosts.len() as f64 / 1_000.0;
        for ms in from..to {
            let now = Millis(ms);
            for index in 0..self.hosts.len() {
                if self.rng.random_bool(per_host.min(1.0)) {
                    let (_, limiter, _) = &mut self.hosts[index];
                    match limiter.admit(now, &workspace(), &limits, true) {
                        Ok(()) => self.admitted.push(ms),
                        Err(_) => self.refused += 1,
                    }
                }
                let is_urgent = self.hosts[index].1.is_report_due()
                    && ms.is_multiple_of(URGENT_REPORT_INTERVAL_MS);
                if is_urgent || (ms + index as u64 * 7).is_multiple_of(REPORT_INTERVAL_MS) {
                    self.report(now, index);
                }
            }
        }
    }

    fn report(&mut self, now: Millis, index: usize) {
        let usage = self.hosts[index].1.take_usage();
        self.hosts[index].2.record(now, &usage);
        self.rate_allocator.record(&usage);
        let demands = self.hosts.iter().map(|(id, _, demand)| (id, demand));
        self.rate_allocator.update(now, &self.workspaces, demands);
        let (_, limiter, demand) = &mut self.hosts[index];
        limiter.set_shares(self.rate_allocator.shares(demand, &self.workspaces));
    }

    /// Largest number of operations that were admitted in any window.
    fn max_admitted_in_a_window(&self) -> usize {
        let times = &self.admitted;
        let count = |(index, start): (usize, &u64)| {
            times[index..].partition_point(|ms| *ms < start + WINDOW_MS)
        };
        times.iter().enumerate().map(count).max().unwrap_or_default()
    }
}

/// Guards against refusals on hosts with few callers: 83 hosts with half an operation per
/// second each had buckets smaller than one operation.
#[test]
fn many_hosts_with_little_demand_refuse_nothing() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(83, 64, seed);
        fleet.run(0, 20_000, 40.0);
        assert_eq!(fleet.refused, 0, "seed {seed}, {} admitted", fleet.admitted.len());
    }
}

/// Guards against a workspace that gets more than its limit when its load rises to several
/// times the rate. In 5 s it may get 5 s of its rate plus the burst, a tenth more, and 20
/// operations.
#[test]
fn workspace_that_sends_many_times_its_rate_is_limited() {
    for (hosts, rate) in [(7, 142), (7, 30), (83, 64)] {
        for seed in 0..5 {
            let mut fleet = Fleet::new(hosts, rate, seed);
            fleet.run(0, 5_000, f64::from(rate) / 1.6);
            fleet.run(5_000, 15_000, f64::from(rate) / 1.6 * 7.5);
            let bound = f64::from(rate * 5 + rate) * 1.1 + 20.0;
            let most = fleet.max_admitted_in_a_window();
            assert!(most as f64 <= bound, "{hosts} hosts, rate {rate}, seed {seed}: {most}");
        }
    }
}

/// Guards against a limited workspace that gets much less than its rate.
#[test]
fn limited_workspace_gets_its_rate() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(7, 100, seed);
        fleet.run(0, 20_000, 300.0);
        let late = fleet.admitted.iter().filter(|ms| **ms >= 10_000).count();
        assert!(late >= 850, "seed {seed}: {late} of 1000 admitted");
    }
}

/// Guards against a rate that is used up by operations that no target has executed: while a
/// service has no primary, callers retry each operation.
#[test]
fn refunded_operations_do_not_count() {
    let limits = FleetWorkspace { rate: 10, burst: 10 };
    let mut limiter = RateLimiter::default();
    for _ in 0..100 {
        assert!(limiter.admit(Millis(1), &workspace(), &limits, true).is_ok());
        limiter.refund(&workspace());
    }
    assert!(limiter.take_usage().iter().all(|used| (used.offered, used.admitted) == (0, 0)));
}

/// Guards against a limit that stays in force after contact to the leader that set it is lost.
#[test]
fn limits_expire_without_contact_to_the_leader() {
    let limits = FleetWorkspace { rate: 100, burst: 100 };
    let mut limiter = RateLimiter::default();
    limiter.set_demand_fractions(vec![(workspace(), 0.5)]);
    limiter.set_shares(vec![Share { workspace: workspace(), rate: 0.0, burst: 0.0 }]);
    assert!(limiter.admit(Millis(1), &workspace(), &limits, true).is_err());
    let admitted = (0..20).filter(|step| {
        limiter.admit(Millis(1_000 + step * 50), &workspace(), &limits, false).is_ok()
    });
    assert!(admitted.count() >= 19);
}
