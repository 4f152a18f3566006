//! No failure may let a host act on a configuration that was replaced too long ago: slow and
//! stopped hosts, lost connections, slow leaders and leader changes in virtual time, with up
//! to ten versions a second.

mod fleet;

use fleet::{Counts, Fleet, Omitted};
use rand::Rng;

/// Length of one run.
const RUN_MS: u64 = 40_000;

/// Time until all hosts have a configuration.
const START_MS: u64 = 3_000;

/// Time that a leader takes for one report.
const FAST_REPORT_US: u64 = 50;
const SLOW_REPORT_US: u64 = 2_500;

fn inject(fleet: &mut Fleet) {
    let host = fleet.rng.random_range(0..fleet.host_count());
    let ms = fleet.rng.random_range(100..12_000);
    match fleet.rng.random_range(0..12) {
        0..5 => fleet.stop_host(host, ms),
        5..9 => fleet.cut_host(host, ms),
        9 => fleet.stop_leader(ms.min(2_500)),
        10 => fleet.change_leader(),
        // A part of the fleet loses its connections at once.
        _ => (0..host).for_each(|host| fleet.cut_host(host, ms / 4)),
    }
}

fn run(seed: u64, hosts: usize, report_cost_us: u64, omitted: Omitted) -> Counts {
    let mut fleet = Fleet::new(seed, hosts, report_cost_us, omitted);
    fleet.run(300);
    fleet.commit();
    fleet.run(START_MS);
    while fleet.now < RUN_MS {
        if fleet.rng.random_bool(0.3) {
            inject(&mut fleet);
        }
        let is_storm = fleet.now / 5_000 % 2 == 1;
        if is_storm || fleet.rng.random_bool(0.1) {
            fleet.commit();
        }
        fleet.run(100);
    }
    fleet.counts
}

fn seeds(default: u64) -> u64 {
    let variable = std::env::var("CONFIG_SIMULATION_SEEDS");
    variable.ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Guards against hosts that act on a configuration later than promised after a newer one was
/// acknowledged (CONFIG on kcrc-pool-large).
#[test]
fn no_host_acts_on_a_configuration_that_is_too_old() {
    for seed in 0..seeds(12) {
        for report_cost_us in [FAST_REPORT_US, SLOW_REPORT_US] {
            let counts = run(seed, 40, report_cost_us, Omitted::Nothing);
            assert_eq!(counts.breaches, 0, "seed {seed}, {report_cost_us} us: {counts:?}");
            assert!(counts.acknowledged > 0, "seed {seed}, {report_cost_us} us: {counts:?}");
        }
    }
}

/// Guards against a rule that holds for few hosts only.
#[test]
fn no_host_of_a_large_fleet_acts_on_a_configuration_that_is_too_old() {
    for (hosts, report_cost_us) in [(300, 400), (1_000, 100)] {
        for seed in 0..seeds(1) {
            let counts = run(seed, hosts, report_cost_us, Omitted::Nothing);
            assert_eq!(counts.breaches, 0, "seed {seed}, {hosts} hosts: {counts:?}");
            assert!(counts.acknowledged > 0, "seed {seed}, {hosts} hosts: {counts:?}");
        }
    }
}

/// Guards against a simulation that would not notice a missing rule.
#[test]
fn each_rule_is_needed() {
    for omitted in [Omitted::WaitForHosts, Omitted::Expiry, Omitted::Supersession] {
        let breaks = |seed| run(seed, 40, FAST_REPORT_US, omitted).breaches > 0;
        assert!((0..20).any(breaks), "{omitted:?} can be left out");
    }
}

/// Guards against a host that returns with an older version just after a newer one was
/// acknowledged, and may act on the older one for longer than control counted on.
#[test]
fn acknowledgement_ends_the_renewal_of_older_versions() {
    let (seed, hosts, report_cost_us) = (16, 300, 400);
    assert!(run(seed, hosts, report_cost_us, Omitted::EndOfRenewals).breaches > 0);
    assert_eq!(run(seed, hosts, report_cost_us, Omitted::Nothing).breaches, 0);
}

/// Guards against hosts that refuse although they are in contact, and against operators who wait
/// although all hosts are.
#[test]
fn fleet_in_contact_acts_on_each_version_and_acknowledges_soon() {
    let mut fleet = Fleet::new(7, 300, FAST_REPORT_US, Omitted::Nothing);
    fleet.run(300);
    fleet.commit();
    fleet.run(START_MS);
    fleet.counts = Counts::default();
    for _ in 0..100 {
        fleet.commit();
        fleet.run(100);
    }
    let counts = fleet.counts;
    assert_eq!((counts.breaches, counts.refused), (0, 0), "{counts:?}");
    assert!(counts.acknowledged >= 90 && counts.slowest_ms <= 1_000, "{counts:?}");
}
