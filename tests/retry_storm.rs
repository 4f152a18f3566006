//! Attempts that callers cause while a primary fails over.

use std::collections::BTreeMap;

use pomelopin::{
    clock::Millis,
    ids::{Service, Term},
    retry::{
        budget::Budget,
        deadline::Deadline,
        policy::{Attempt, Cx, Decision, Kind},
        wait_queue::{Entrance, WaitingRoom},
    },
    settings::retry::RetrySettings,
    wire::peer::{Outcome, Refusal},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Attempts of 1,000 callers around a failover of 3 s, one request per caller and
/// about 100 ms; each attempt takes 5 ms.
struct Failover {
    attempts: usize,
    requests: usize,
    failed: usize,
}

const CALLERS: usize = 1_000;
const ATTEMPT_MS: u64 = 5;
const LOST_AT: u64 = 2_000;
const BACK_AT: u64 = 5_000;
const END: u64 = 10_000;

impl Failover {
    fn think(rng: &mut SmallRng) -> u64 {
        rng.random_range(50..150)
    }

    /// Repeats at once until the request succeeds.
    fn naive() -> Self {
        let mut rng = SmallRng::seed_from_u64(2);
        let mut count = Self { attempts: 0, requests: 0, failed: 0 };
        for _ in 0..CALLERS {
            let mut now = Self::think(&mut rng);
            while now < END {
                count.requests += 1;
                now += ATTEMPT_MS;
                count.attempts += 1;
                while (LOST_AT..BACK_AT).contains(&now) {
                    now += ATTEMPT_MS;
                    count.attempts += 1;
                }
                now += Self::think(&mut rng);
            }
        }
        count
    }

    fn with_budget() -> Self {
        let settings = RetrySettings::default();
        let service = Service::from("jobs");
        let mut rng = SmallRng::seed_from_u64(2);
        let mut count = Self { attempts: 0, requests: 0, failed: 0 };
        let mut room = WaitingRoom::new(settings.clone());
        let mut budget = Budget::new(Millis(0), &settings);
        let mut waiters = BTreeMap::new();
        // Events by time: caller, its attempt, whether the attempt ends now.
        let mut events: BTreeMap<u64, Vec<(usize, Option<Attempt>, bool)>> = BTreeMap::new();
        // The view with the new primary arrives.
        events.entry(BACK_AT).or_default();
        for caller in 0..CALLERS {
            events.entry(Self::think(&mut rng)).or_default().push((caller, None, false));
        }
        while let Some((at, due)) = events.pop_first() {
            let now = Millis(at);
            let term = if at < BACK_AT { Term(1) } else { Term(2) };
            let mut next = Vec::new();
            for released in room.open(&service, term, false, &mut rng) {
                let caller = waiters
                    .remove(&released.waiter)
                    .map(|(caller, attempt)| (caller, Some(attempt), false));
                next.extend(caller.map(|event| (at + released.after.0, event)));
            }
            for (caller, attempt, ends) in due {
                let new = attempt.is_none();
                let deadline = Deadline::of_request(now, &settings);
                let mut attempt =
                    attempt.unwrap_or_else(|| Attempt::new(Kind::RecordedWrite, deadline, term));
                if new && at >= END {
                    continue;
                }
                if new {
                    count.requests += 1;
                    budget.deposit(&settings);
                }
                if !ends {
                    if room.enter(now, &service, term) == Entrance::Go {
                        count.attempts += 1;
                        attempt.sent(term);
                        next.push((at + ATTEMPT_MS, (caller, Some(attempt), true)));
                    } else if let Some(waiter) = room.wait(now, &service, term, deadline) {
                        waiters.insert(waiter, (caller, attempt));
                    }
                    continue;
                }
                if !(LOST_AT..BACK_AT).contains(&at) {
                    next.push((at + Self::think(&mut rng), (caller, None, false)));
                    continue;
                }
                room.lost(now, &service, term);
                let mut cx = Cx { now, budget: &mut budget, settings: &settings, rng: &mut rng };
                match attempt.on_outcome(&Outcome::Refused(Refusal::NotPrimary), &mut cx) {
                    Decision::WaitForPrimary => {
                        if let Some(waiter) = room.wait(now, &service, term, deadline) {
                            waiters.insert(waiter, (caller, attempt));
                        }
                    }
                    _ => count.failed += 1,
                }
            }
            for (at, event) in next {
                events.entry(at).or_default().push(event);
            }
        }
        count
    }
}

/// Guards against a retry storm when a primary fails.
#[test]
fn failover_costs_at_most_a_tenth_more_attempts() {
    let settings = RetrySettings::default();
    let (naive, queued) = (Failover::naive(), Failover::with_budget());
    for (name, run) in [("immediate retries", &naive), ("queue and budget", &queued)] {
        println!(
            "{name}: {} requests, {} attempts ({:.2} per request), {} failed",
            run.requests,
            run.attempts,
            run.attempts as f64 / run.requests as f64,
            run.failed
        );
    }
    let floor = settings.floor as usize;
    assert!(queued.attempts * 10 <= queued.requests * 11 + floor * 10);
    assert!(naive.attempts > queued.attempts * 2);
    assert!(queued.attempts >= queued.requests, "every request ends");
    assert_eq!(queued.failed, 0);
}
