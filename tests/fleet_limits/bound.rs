//! Limits of a workspace over all entry hosts of a fleet: in every window of length t at
//! most `rate * t + burst` operations are admitted, whatever fails.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::simulation::{Fleet, Limits};

const SEEDS: u64 = 8;

/// Few hosts with a large workspace, and many hosts with a small one.
const FLEETS: [(usize, Limits); 3] = [
    (7, Limits { rate: 118, burst: 118 }),
    (7, Limits { rate: 20, burst: 20 }),
    (83, Limits { rate: 64, burst: 64 }),
];

/// Runs `scenario` in fleets of several sizes whose callers send `load` times the rate.
fn check_bound(load: f64, scenario: impl Fn(&mut Fleet)) {
    let mut broken = Vec::new();
    for (hosts, limits) in FLEETS {
        for seed in 0..SEEDS {
            let mut fleet = Fleet::new(seed, hosts, limits, load);
            scenario(&mut fleet);
            let excess = fleet.largest_excess();
            if excess > 0 {
                broken.push(format!("{hosts} hosts, rate {}, seed {seed}: {excess}", limits.rate));
            }
        }
    }
    assert!(broken.is_empty(), "operations above the limit:\n{}", broken.join("\n"));
}

/// Guards against a part of the rate that hosts without contact and hosts in contact use at
/// the same time.
#[test]
fn hosts_cut_off_from_control_share_the_limit_with_the_others() {
    check_bound(5.0, |fleet| {
        fleet.settle();
        fleet.cut(2);
        fleet.run(7_000);
        fleet.heal();
        fleet.run(3_000);
    });
}

/// Guards against admissions that are forgotten because the host restarts before it reports
/// them.
#[test]
fn admissions_of_restarted_hosts_count() {
    check_bound(5.0, |fleet| {
        fleet.settle();
        for _ in 0..6 {
            fleet.restart(2);
            fleet.run(700);
        }
    });
}

/// Guards against a full rate and burst at every host until the demand is known.
#[test]
fn load_that_begins_at_many_times_the_rate_is_within_the_limit() {
    check_bound(0.0, |fleet| {
        fleet.settle();
        fleet.set_load(20.0);
        fleet.run(4_000);
    });
}

/// Guards against a limit that begins late when callers within the rate send several times as
/// much.
#[test]
fn workspace_that_sends_many_times_its_rate_is_limited() {
    check_bound(0.625, |fleet| {
        fleet.run(5_000);
        fleet.set_load(4.7);
        fleet.run(10_000);
    });
}

/// Guards against a new leader that begins with full buckets and divides nothing until it
/// knows the demand.
#[test]
fn new_leader_keeps_the_limit() {
    check_bound(5.0, |fleet| {
        fleet.settle();
        for _ in 0..3 {
            fleet.change_leader();
            fleet.run(4_000);
        }
    });
}

/// Guards against hosts that join with a full bucket.
#[test]
fn joining_hosts_share_the_limit() {
    check_bound(5.0, |fleet| {
        fleet.settle();
        for _ in 0..3 {
            (0..12).for_each(|_| fleet.add_host());
            fleet.run(1_500);
        }
    });
}

/// Guards against shares that end and begin again, each time with a burst.
#[test]
fn load_around_the_rate_is_within_the_limit() {
    check_bound(1.0, |fleet| {
        for step in 0..20 {
            fleet.set_load(if step % 2 == 0 { 0.6 } else { 1.6 });
            fleet.run(1_500);
        }
    });
}

/// Guards against buckets and shares that outlast a lowered limit.
#[test]
fn lowered_limit_is_kept() {
    check_bound(5.0, |fleet| {
        fleet.settle();
        let Limits { rate, burst } = fleet.limits();
        fleet.set_limits(Limits { rate: rate / 4, burst: burst / 4 });
        fleet.run(3_000);
        fleet.admitted.clear();
        fleet.run(10_000);
    });
}

/// Guards against hosts that stand still and admit on old knowledge when they go on.
#[test]
fn hosts_that_were_paused_share_the_limit() {
    check_bound(5.0, |fleet| {
        fleet.settle();
        for _ in 0..3 {
            fleet.pause(2, 3_000);
            fleet.run(4_000);
        }
    });
}

/// Guards against a bound that holds for one fault at a time: cuts, restarts, pauses, hosts
/// that join or end for good, changes and resets of the leader and changed limits overlap.
#[test]
fn overlapping_faults_keep_the_limit() {
    let seeds = std::env::var("LIMIT_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(SEEDS);
    let mut broken = Vec::new();
    for (hosts, limits) in FLEETS {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(seed, hosts, limits, 3.0);
            let mut rng = SmallRng::seed_from_u64(seed);
            for _ in 0..60 {
                inject_fault(&mut fleet, &mut rng, limits);
                fleet.run(rng.random_range(50..1_500));
            }
            let excess = fleet.largest_excess();
            if excess > 0 {
                broken.push(format!("{hosts} hosts, rate {}, seed {seed}: {excess}", limits.rate));
            }
        }
    }
    assert!(broken.is_empty(), "operations above the limit:\n{}", broken.join("\n"));
}

/// One random fault. Limits are lowered at most to half of `limits` and raised again, so
/// that `limits` is the bound throughout.
fn inject_fault(fleet: &mut Fleet, rng: &mut SmallRng, limits: Limits) {
    let nth = rng.random_range(2..5);
    match rng.random_range(0..12) {
        0 => fleet.cut(nth),
        1 => fleet.isolate(nth),
        2 | 3 => fleet.heal(),
        4 => fleet.restart(nth),
        5 => fleet.pause(nth, rng.random_range(100..6_000)),
        6 => fleet.change_leader(),
        7 => fleet.reset_leader(),
        8 if fleet.hosts() < 100 => fleet.add_host(),
        9 if fleet.hosts() > 5 => fleet.remove(fleet.hosts() - 1),
        10 => {
            let divisor = rng.random_range(1..=2);
            fleet.set_limits(Limits { rate: limits.rate / divisor, burst: limits.burst / divisor });
            fleet.set_max_delay(rng.random_range(2..60));
        }
        _ => fleet.set_load(rng.random_range(0.3..8.0)),
    }
    fleet.set_bound(limits);
}
