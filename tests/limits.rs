//! Rates over all hosts: token bucket, grants and admission.

mod limit_simulation;

use indexmap::IndexMap;
use limit_simulation::{Limits, Simulation, StaticSplit, refused_share, windows_over_rate};
use pomelopin::{
    clock::Millis,
    ids::{HostId, Incarnation},
    limits::{
        admission::{AdmissionController, Decision, Ticket},
        bucket::{Bucket, BucketParams},
        limiter::{Limiter, limiter_owner},
    },
    session::history::HostHistory,
    settings::limits::LimitSettings,
    state::model::{Host, WorkspaceSpec},
    wire::peer::{Grant, GrantRequest},
};
use quickcheck::{Gen, QuickCheck, TestResult};

fn host(id: &str) -> Host {
    Host {
        id: id.into(),
        incarnation: Incarnation(1),
        failure_domain: "nabeul".into(),
        peer_addr: String::new(),
        bus_addr: String::new(),
        leaving: false,
    }
}

fn hosts(ids: &[&str]) -> IndexMap<HostId, Host> {
    ids.iter().map(|id| ((*id).into(), host(id))).collect()
}

fn spec(rate: u32, burst: u32) -> WorkspaceSpec {
    WorkspaceSpec { rate, burst, ..Default::default() }
}

fn asks(host: &str, waiting: u32, expected: u32) -> GrantRequest {
    GrantRequest { workspace: "w".into(), host: host.into(), waiting, expected }
}

/// Limiter of the only host `a`, with a bucket that began early and is full.
fn full_limiter(rate: u32, burst: u32) -> (Limiter, HostHistory) {
    let mut history = HostHistory::default();
    history.learn(Millis(0), &hosts(&["a"]), false);
    let mut limiter = Limiter::new("a".into(), LimitSettings::default());
    limiter.grant(Millis(0), &asks("x", 0, 0), &spec(rate, burst), &history);
    (limiter, history)
}

const LATER: Millis = Millis(100_000);

#[test]
fn terms_follow_from_rate_and_burst() {
    let settings = LimitSettings::default();
    // Rate, burst, lifetime in ms, whether the full rate is available.
    let cases = [
        (100, 50, 100, true),
        (100, 10, 50, true),
        (100, 4, 20, true),
        (100, 3, 20, false),
        (10, 2, 100, false),
        (5, 2, 100, true),
        (10, 1, 50, false),
        (1_000, 2, 20, false),
        (0, 5, 100, true),
    ];
    for (rate, burst, ttl, full) in cases {
        let terms = BucketParams::new(rate, burst, &settings);
        let found = (terms.ttl, terms.allows_full_rate(rate));
        assert_eq!(found, (Millis(ttl), full), "rate {rate}, burst {burst}");
        let usable = Bucket::empty(Millis(0), terms).time_until(Millis(0), 1);
        assert_eq!(usable.is_some(), rate > 0, "rate {rate}, burst {burst}");
    }
}

#[test]
fn changed_limits_apply_at_once() {
    let (mut limiter, history) = full_limiter(100, 50);
    let small = limiter.grant(LATER, &asks("x", 100, 0), &spec(100, 10), &history);
    assert!(small.tokens < 10, "{small:?}");
    let none = limiter.grant(LATER, &asks("x", 100, 0), &spec(0, 0), &history);
    assert_eq!(none.tokens, 0);
}

/// Guards against one host that takes all tokens, and against tokens lost to
/// forecasts while requests wait. The bucket is 60 tokens deep and gains one per 10 ms.
#[test]
fn tokens_are_divided_between_hosts_that_wait() {
    let (mut limiter, history) = full_limiter(100, 72);
    // Time in ms, host, waiting, expected, granted.
    let steps = [
        (0, "x", 4, 0, 4),
        (0, "y", 0, 1_000, 16),
        (0, "x", 100, 0, 40),
        (50, "y", 100, 0, 2),
        (50, "x", 100, 0, 1),
        (50, "z", 1, 5, 1),
        (50, "z", 1, 5, 1),
        (50, "z", 1, 5, 0),
        (10_000, "x", 0, 5, 5),
    ];
    for (at, host, waiting, expected, granted) in steps {
        let req = asks(host, waiting, expected);
        let grant = limiter.grant(LATER + Millis(at), &req, &spec(100, 72), &history);
        assert_eq!(grant.tokens, granted, "{at} ms: {req:?}");
    }
}

/// Guards against grants of two owners at the same time.
#[test]
fn new_owner_waits_for_grants_of_earlier_ones() {
    let names = ["a", "b", "c", "d"];
    let (rate, burst) = (100, 50);
    let all = hosts(&names);
    let mut history = HostHistory::default();
    history.learn(Millis(0), &all, false);
    let owner = history.current().and_then(|list| limiter_owner(&"w".into(), list)).cloned();
    let owner = owner.unwrap_or_else(|| host("a")).id;
    let mut rest = all.clone();
    rest.swap_remove(&owner);
    let mut leaving = all.clone();
    leaving[&owner].leaving = true;
    // An owner that is gone has lost its lease; one that leaves may still grant.
    for (name, next, starts) in [("gone", rest, 10_112), ("leaving", leaving, 12_312)] {
        let mut history = HostHistory::default();
        history.learn(Millis(0), &all, false);
        history.learn(Millis(10_000), &next, true);
        let new = history.current().and_then(|list| limiter_owner(&"w".into(), list)).cloned();
        let new = new.unwrap_or_else(|| host("a")).id;
        let mut limiter = Limiter::new(new, LimitSettings::default());
        let mut first = |now| limiter.grant(now, &asks("x", 9, 0), &spec(rate, burst), &history);
        assert_eq!(first(Millis(10_001)).tokens, 0, "{name}");
        assert_eq!(first(Millis(starts)).tokens, 0, "{name}: begins without a burst");
        assert_eq!(first(Millis(starts + 10)).tokens, 1, "{name}");
    }
}

fn grant(tokens: u32) -> Grant {
    Grant { tokens, ttl_ms: 100, retry_after_ms: 5 }
}

fn admission(queue_length: usize) -> AdmissionController {
    let settings = LimitSettings { queue_length, ..Default::default() };
    AdmissionController::new("w".into(), "a".into(), settings)
}

#[test]
fn waiting_requests_are_released_in_order_and_refused_late() {
    let mut admission = admission(3);
    let outcomes: Vec<Decision> = (0..4).map(|_| admission.admit(Millis(0))).collect();
    let wait = |number| Decision::Queued(Ticket(number));
    assert_eq!(outcomes, [wait(0), wait(1), wait(2), Decision::Refused]);
    let req = admission.next_request(Millis(0));
    assert_eq!(req.map(|req| req.waiting), Some(3));
    assert_eq!(admission.next_request(Millis(1)), None, "one request in flight");
    assert_eq!(admission.on_grant(Millis(8), Millis(0), grant(1)), [Ticket(0)]);
    assert_eq!(admission.on_grant(Millis(9), Millis(0), grant(1)), [], "repeated answer");
    assert_eq!(admission.expire(Millis(199)), []);
    assert_eq!(admission.expire(Millis(200)), [Ticket(1), Ticket(2)]);
    assert_eq!(admission.rate_limit_error().code(), "53400");
}

/// Guards against the use of a grant after its end.
#[test]
fn tokens_end_counted_from_the_request() {
    let mut admission = admission(3);
    assert_eq!(admission.admit(Millis(0)), Decision::Queued(Ticket(0)));
    assert!(admission.next_request(Millis(0)).is_some());
    assert_eq!(admission.on_grant(Millis(8), Millis(0), grant(3)), [Ticket(0)]);
    assert_eq!(admission.admit(Millis(99)), Decision::Admitted);
    assert_eq!(admission.admit(Millis(100)), Decision::Queued(Ticket(1)));
}

/// Guards against refusals while a lost limiter owner is replaced.
#[test]
fn requests_wait_longer_while_no_owner_grants() {
    let mut lost = admission(3);
    lost.admit(Millis(0));
    assert!(lost.next_request(Millis(0)).is_some());
    assert_eq!(lost.expire(Millis(150)), []);
    assert_eq!(lost.expire(Millis(4_400)), []);
    assert_eq!(lost.expire(Millis(4_500)), [Ticket(0)]);

    let mut starting = admission(3);
    starting.admit(Millis(0));
    assert!(starting.next_request(Millis(0)).is_some());
    let not_yet = Grant { tokens: 0, ttl_ms: 0, retry_after_ms: 2_500 };
    starting.on_grant(Millis(8), Millis(0), not_yet);
    assert_eq!(starting.expire(Millis(2_000)), []);
}

/// Guards against long queues under overload after a single lost answer.
#[test]
fn short_silence_makes_requests_wait_only_briefly() {
    let mut admission = admission(3);
    admission.admit(Millis(0));
    assert!(admission.next_request(Millis(0)).is_some());
    assert_eq!(admission.expire(Millis(110)), []);
    assert!(admission.next_request(Millis(110)).is_some());
    assert_eq!(admission.on_grant(Millis(118), Millis(110), grant(0)), []);
    assert_eq!(admission.expire(Millis(500)), []);
    assert_eq!(admission.expire(Millis(551)), [Ticket(0)]);
    // An answer that was lost long ago does not count.
    admission.admit(Millis(60_000));
    assert!(admission.next_request(Millis(60_000)).is_some());
    admission.admit(Millis(90_000));
    assert!(admission.next_request(Millis(90_000)).is_some());
    assert_eq!(admission.on_grant(Millis(90_008), Millis(90_000), grant(0)), []);
    assert_eq!(admission.expire(Millis(90_200)).len(), 2);
}

/// In every window, used <= rate x t + burst, under random arrivals, message
/// delays and losses, clock offsets, and hosts that join, leave and crash.
#[test]
fn no_window_exceeds_rate_and_burst() {
    fn property(seed: u64, rate: u16, burst: u8) -> TestResult {
        let limits = Limits { rate: u32::from(rate % 1_500) + 1, burst: u32::from(burst) + 1 };
        let mut simulation = Simulation::new(seed, limits).with_faults().with_load(3.0);
        simulation.run(20_000);
        let over = windows_over_rate(&simulation.used, limits);
        if over == 0 { TestResult::passed() } else { TestResult::error(format!("{over} windows")) }
    }
    let rng = Gen::from_size_and_seed(1_000, 9);
    QuickCheck::new().rng(rng).tests(40).quickcheck(property as fn(u64, u16, u8) -> TestResult);
}

/// The bound for very small bursts, where grants cannot be spread over time.
#[test]
fn no_window_exceeds_a_small_burst() {
    for (rate, burst) in [(10, 1), (100, 1), (1_000, 1), (10, 2), (50, 2), (400, 3)] {
        let limits = Limits { rate, burst };
        let mut simulation = Simulation::new(u64::from(rate), limits).with_load(3.0);
        simulation.run(30_000);
        assert_eq!(windows_over_rate(&simulation.used, limits), 0, "rate {rate}, burst {burst}");
        assert!(simulation.used.len() > 50, "rate {rate}: {}", simulation.used.len());
    }
}

/// Compares a fixed equal split of the rate over 6 hosts with grants on demand.
/// Two thirds of the arrivals come to one host.
#[test]
fn grants_on_demand_refuse_less_than_a_static_split() {
    println!("rate 300/s, burst 60, 6 hosts, 30 s; refused share | windows over rate");
    for load in [0.5, 0.8, 0.95] {
        let limits = Limits { rate: 300, burst: 60 };
        let split = StaticSplit::run(17, limits, load, 30_000);
        let mut grants = Simulation::new(17, limits).with_load(load);
        grants.run(30_000);
        let refused = refused_share(grants.used.len(), grants.refused);
        let (split_refused, split_over) = (
            refused_share(split.used.len(), split.refused),
            windows_over_rate(&split.used, limits),
        );
        let over = windows_over_rate(&grants.used, limits);
        println!(
            "load {load}: static split {split_refused:.4} | {split_over}, \
             grants {refused:.4} | {over}, waited for a grant {:.3}",
            grants.waited as f64 / grants.used.len() as f64
        );
        assert!(refused < split_refused && refused < 0.001, "{refused} {split_refused}");
        assert_eq!(over, 0);
    }
}

/// Share of refused requests of a caller inside its rate when its limiter owner
/// is lost or leaves; the gap is longer than the queue's usual wait. The other hosts
/// learn of it with their next renewal, which they send every 500 ms.
#[test]
fn change_of_the_limiter_owner_refuses_nothing_inside_the_rate() {
    let limits = Limits { rate: 300, burst: 60 };
    for (seed, planned) in (20..32).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut simulation = Simulation::new(seed, limits).with_load(0.7).with_learning(600);
        simulation.run(10_000);
        simulation.remove_owner(planned);
        simulation.run(30_000);
        let refused = refused_share(simulation.used.len(), simulation.refused);
        println!("owner changed (planned: {planned}), seed {seed}: refused share {refused:.5}");
        assert_eq!(windows_over_rate(&simulation.used, limits), 0);
        assert!(refused < 0.001, "seed {seed}, planned {planned}: {refused}");
    }
}
