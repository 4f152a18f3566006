//! Limits of a workspace over all entry hosts of a fleet: in every window of length t at
//! most `rate * t + burst` operations are admitted, whatever fails.

mod fleet_simulation;

use fleet_simulation::{Fleet, Limits};

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
