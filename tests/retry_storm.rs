//! Number of attempts that callers cause during a failover.

use std::collections::BTreeMap;

use pomelopin::{
    clock::Millis,
    ids::{Service, Term},
    retry::{
        budget::Budget,
        deadline::Deadline,
        policy::{Cx, Decision, RequestKind, RequestState},
        wait_queue::{Admission, WaitQueues},
    },
    settings::retry::RetrySettings,
    wire::peer::{Outcome, Refusal},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Simulated totals of 1,000 callers around a failover of 3 s. Each sends a request
/// about every 100 ms; each attempt takes 5 ms.
struct Simulation {
    attempts: usize,
    requests: usize,
    failed: usize,
}

const CALLERS: usize = 1_000;
const ATTEMPT_MS: u64 = 5;
const LOST_AT_MS: u64 = 2_000;
const RECOVERED_AT_MS: u64 = 5_000;
const END_MS: u64 = 10_000;

impl Simulation {
    fn think_time(rng: &mut SmallRng) -> u64 {
        rng.random_range(50..150)
    }

    /// Callers retry immediately until the request succeeds.
    fn with_immediate_retries() -> Self {
        let mut rng = SmallRng::seed_from_u64(2);
        let mut totals = Self { attempts: 0, requests: 0, failed: 0 };
        for _ in 0..CALLERS {
            let mut now = Self::think_time(&mut rng);
            while now < END_MS {
                totals.requests += 1;
                now += ATTEMPT_MS;
                totals.attempts += 1;
                while (LOST_AT_MS..RECOVERED_AT_MS).contains(&now) {
                    now += ATTEMPT_MS;
                    totals.attempts += 1;
                }
                now += Self::think_time(&mut rng);
            }
        }
        totals
    }

    /// Callers follow the retry policy, the budget and the wait queues.
    fn with_policy() -> Self {
        let settings = RetrySettings::default();
        let service = Service::from("jobs");
        let mut rng = SmallRng::seed_from_u64(2);
        let mut totals = Self { attempts: 0, requests: 0, failed: 0 };
        let mut queues = WaitQueues::new(settings.clone());
        let mut budget = Budget::new(Millis(0), &settings);
        let mut waiters = BTreeMap::new();
        // Events by time: caller, its request, whether an attempt of the request ends.
        let mut events: BTreeMap<u64, Vec<(usize, Option<RequestState>, bool)>> = BTreeMap::new();
        // The view with the new primary arrives; it releases the queued requests.
        events.entry(RECOVERED_AT_MS).or_default();
        for caller in 0..CALLERS {
            events.entry(Self::think_time(&mut rng)).or_default().push((caller, None, false));
        }
        while let Some((at, due)) = events.pop_first() {
            let now = Millis(at);
            let term = if at < RECOVERED_AT_MS { Term(1) } else { Term(2) };
            let mut next = Vec::new();
            for released in queues.release(&service, term, false, &mut rng) {
                let caller = waiters
                    .remove(&released.waiter)
                    .map(|(caller, request)| (caller, Some(request), false));
                next.extend(caller.map(|event| (at + released.delay.0, event)));
            }
            for (caller, request, is_end) in due {
                let is_new = request.is_none();
                let deadline = Deadline::for_request(now, &settings);
                let mut request = request.unwrap_or_else(|| {
                    RequestState::new(RequestKind::RecordedWrite, deadline, term)
                });
                if is_new && at >= END_MS {
                    continue;
                }
                if is_new {
                    totals.requests += 1;
                    budget.deposit(&settings);
                }
                if !is_end {
                    if queues.admit(now, &service, term) == Admission::Send {
                        totals.attempts += 1;
                        request.mark_sent(term);
                        next.push((at + ATTEMPT_MS, (caller, Some(request), true)));
                    } else if let Some(waiter) = queues.enqueue(now, &service, term, deadline) {
                        waiters.insert(waiter, (caller, request));
                    }
                    continue;
                }
                if !(LOST_AT_MS..RECOVERED_AT_MS).contains(&at) {
                    next.push((at + Self::think_time(&mut rng), (caller, None, false)));
                    continue;
                }
                queues.mark_lost(now, &service, term);
                let mut cx = Cx { now, budget: &mut budget, settings: &settings, rng: &mut rng };
                match request.on_outcome(&Outcome::Refused(Refusal::NotPrimary), &mut cx) {
                    Decision::WaitForPrimary => {
                        if let Some(waiter) = queues.enqueue(now, &service, term, deadline) {
                            waiters.insert(waiter, (caller, request));
                        }
                    }
                    _ => totals.failed += 1,
                }
            }
            for (at, event) in next {
                events.entry(at).or_default().push(event);
            }
        }
        totals
    }
}

/// Guards against a retry storm when a primary fails: the policy makes at most a tenth
/// more attempts than requests, less than half as many as immediate retries.
#[test]
fn failover_costs_at_most_a_tenth_more_attempts() {
    let settings = RetrySettings::default();
    let immediate = Simulation::with_immediate_retries();
    let policy = Simulation::with_policy();
    for (name, run) in
        [("immediate retries", &immediate), ("policy with queues and budget", &policy)]
    {
        println!(
            "{name}: {} requests, {} attempts ({:.2} per request), {} failed",
            run.requests,
            run.attempts,
            run.attempts as f64 / run.requests as f64,
            run.failed
        );
    }
    let floor = settings.min_retries as usize;
    assert!(policy.attempts * 10 <= policy.requests * 11 + floor * 10);
    assert!(immediate.attempts > policy.attempts * 2);
    assert!(policy.attempts >= policy.requests, "every request ends");
    assert_eq!(policy.failed, 0);
}
