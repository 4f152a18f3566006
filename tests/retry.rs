//! Retry budget, backoff, retry decisions and the queues of requests for a lost primary.

use pomelopin::{
    clock::Millis,
    ids::{Mark, Service, Term},
    retry::{
        budget::{Budget, Budgets},
        deadline::{Deadline, backoff},
        policy::{Cx, Decision, GiveUp, RecordLookup, RequestKind, RequestState},
        wait_queue::{Admission, WaitQueues},
    },
    settings::retry::RetrySettings,
    wire::peer::{Failure, Outcome, Refusal, Rows},
};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ALL_KINDS: [RequestKind; 5] = [
    RequestKind::Read,
    RequestKind::IdempotentWrite,
    RequestKind::RecordedWrite,
    RequestKind::Commit,
    RequestKind::InTransaction,
];

fn unknown() -> Outcome {
    Outcome::Unknown { reason: "connection lost".into() }
}

fn refused(refusal: Refusal) -> Outcome {
    Outcome::Refused(refusal)
}

fn behind() -> Outcome {
    refused(Refusal::Behind { position: Mark::new(1, 1), age_ms: 9 })
}

/// Request with its retry budget, sent at time 0 under term 1.
struct Case {
    request: RequestState,
    budget: Budget,
    settings: RetrySettings,
    rng: SmallRng,
    now: Millis,
}

impl Case {
    fn new(kind: RequestKind) -> Self {
        let settings = RetrySettings::default();
        let deadline = Deadline::for_request(Millis(0), &settings);
        Self {
            request: RequestState::new(kind, deadline, Term(1)),
            budget: Budget::new(Millis(0), &settings),
            settings,
            rng: SmallRng::seed_from_u64(1),
            now: Millis(0),
        }
    }

    fn without_budget(mut self) -> Self {
        while self.budget.try_withdraw(self.now, &self.settings) {}
        self
    }

    fn at(mut self, now: u64) -> Self {
        self.now = Millis(now);
        self
    }

    fn cx(&mut self) -> (&mut RequestState, Cx<'_, SmallRng>) {
        let cx = Cx {
            now: self.now,
            budget: &mut self.budget,
            settings: &self.settings,
            rng: &mut self.rng,
        };
        (&mut self.request, cx)
    }

    fn outcome(&mut self, outcome: &Outcome) -> Decision {
        let (request, mut cx) = self.cx();
        request.on_outcome(outcome, &mut cx)
    }

    fn record(&mut self, lookup: RecordLookup) -> Decision {
        let (request, mut cx) = self.cx();
        request.on_record(&lookup, &mut cx)
    }
}

/// Name of a decision without its delay, or the SQLSTATE code of its error.
fn name(decision: &Decision) -> &'static str {
    match decision {
        Decision::Respond => "respond",
        Decision::RetryAfter(_) => "retry",
        Decision::WaitForPrimary => "wait",
        Decision::ReadRecord { .. } => "read record",
        Decision::GiveUp(reason) => reason.code(),
    }
}

/// Guards against retries of requests that may have run, and against errors for
/// requests that can still succeed.
#[test]
fn decisions_after_each_outcome() {
    let failed = Outcome::Failed(Failure { code: "23505".into(), message: "duplicate".into() });
    // Outcome and the decision for each of `ALL_KINDS`.
    let cases = [
        (Outcome::Done(Rows::default()), ["respond"; 5]),
        (failed, ["respond"; 5]),
        (unknown(), ["retry", "retry", "read record", "read record", "40001"]),
        (refused(Refusal::NotOwner), ["retry", "retry", "retry", "40001", "40001"]),
        (refused(Refusal::QueueFull), ["retry", "retry", "retry", "40001", "40001"]),
        (refused(Refusal::NotPrimary), ["wait", "wait", "wait", "40001", "40001"]),
        (refused(Refusal::Unreachable), ["retry", "wait", "wait", "40001", "40001"]),
        (refused(Refusal::Deadline), ["57014"; 5]),
        (refused(Refusal::UnknownTransaction), ["40001"; 5]),
        (behind(), ["retry", "retry", "retry", "40001", "40001"]),
    ];
    for (outcome, expected) in cases {
        for (kind, expected) in ALL_KINDS.into_iter().zip(expected) {
            let decision = Case::new(kind).outcome(&outcome);
            assert_eq!(name(&decision), expected, "{kind:?} {outcome:?}");
        }
    }
}

/// Guards against a second run of a write whose first attempt may still commit.
#[test]
fn decisions_after_each_record_lookup() {
    let absent = |term, closed| RecordLookup::Absent { term: Term(term), closed };
    let cases = [
        (RecordLookup::Present, "respond", "respond"),
        (RecordLookup::OtherDigest, "22023", "22023"),
        (absent(1, false), "read record", "read record"),
        (absent(1, true), "retry", "40001"),
        (absent(2, false), "retry", "40001"),
        (RecordLookup::Unreadable, "read record", "read record"),
        (RecordLookup::NoPrimary, "wait", "wait"),
    ];
    for (lookup, write, commit) in cases {
        for (kind, expected) in [(RequestKind::RecordedWrite, write), (RequestKind::Commit, commit)]
        {
            let mut case = Case::new(kind);
            case.outcome(&unknown());
            assert_eq!(name(&case.record(lookup.clone())), expected, "{kind:?} {lookup:?}");
        }
    }
    let mut again = Case::new(RequestKind::RecordedWrite);
    again.outcome(&unknown());
    again.record(absent(2, false));
    again.request.mark_sent(Term(2));
    again.outcome(&unknown());
    let decision = again.record(absent(2, false));
    assert_eq!(name(&decision), "read record", "the second attempt is not fenced by term 2");
    assert!(again.request.must_read_record());
}

/// Guards against an error that denies a change although the write may have run.
#[test]
fn deadline_and_budget_end_a_request_with_the_right_code() {
    let cases = [
        (Case::new(RequestKind::Read).at(5_000), unknown(), "57014"),
        (Case::new(RequestKind::Read).without_budget(), unknown(), "57P03"),
        (Case::new(RequestKind::IdempotentWrite).at(5_000), unknown(), "08007"),
        (Case::new(RequestKind::IdempotentWrite).without_budget(), unknown(), "08007"),
        (Case::new(RequestKind::RecordedWrite).at(5_000), unknown(), "08007"),
        (Case::new(RequestKind::RecordedWrite).at(5_000), refused(Refusal::NotPrimary), "57014"),
        (
            Case::new(RequestKind::RecordedWrite).without_budget(),
            refused(Refusal::QueueFull),
            "57P03",
        ),
    ];
    for (mut case, outcome, expected) in cases {
        let decision = case.outcome(&outcome);
        assert_eq!(name(&decision), expected, "{:?} {outcome:?}", case.request);
    }
    let mut reads = Case::new(RequestKind::Read).without_budget();
    let codes: Vec<&str> = (0..3).map(|_| name(&reads.outcome(&behind()))).collect();
    assert_eq!(codes, ["retry", "retry", "57P03"], "two reroutes are free");
}

/// Guards against a write that runs twice, or runs although it was reported as not
/// run, under random faults and a database that counts the runs.
#[test]
fn recorded_write_runs_at_most_once() {
    fn property(seed: u64) -> bool {
        let mut case = Case::new(RequestKind::RecordedWrite);
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut term, mut runs) = (1, 0);
        // Term of an attempt that has not committed and still may.
        let mut in_flight: Option<u64> = None;
        let mut decision = Decision::RetryAfter(Millis(0));
        loop {
            if in_flight == Some(term) && rng.random_bool(0.3) {
                (runs, in_flight) = (runs + 1, None);
            }
            if rng.random_bool(0.2) {
                term += 1;
            }
            case.now += Millis(rng.random_range(0..200));
            decision = match decision {
                Decision::RetryAfter(_) | Decision::WaitForPrimary => {
                    case.request.mark_sent(Term(term));
                    let outcome = match rng.random_range(0..4) {
                        0 => refused(Refusal::NotPrimary),
                        1 => {
                            runs += 1;
                            unknown()
                        }
                        2 => {
                            in_flight = Some(term);
                            unknown()
                        }
                        _ => unknown(),
                    };
                    case.outcome(&outcome)
                }
                Decision::ReadRecord { .. } if runs > 0 => case.record(RecordLookup::Present),
                Decision::ReadRecord { .. } => {
                    let closed = in_flight.is_none() && rng.random_bool(0.5);
                    case.record(RecordLookup::Absent { term: Term(term), closed })
                }
                Decision::Respond => return runs == 1,
                Decision::GiveUp(GiveUp::Unknown) => return runs <= 1,
                Decision::GiveUp(_) => return runs == 0,
            };
        }
    }
    let rng = Gen::from_size_and_seed(1_000, 3);
    QuickCheck::new().rng(rng).tests(5_000).quickcheck(property as fn(u64) -> bool);
}

/// Guards against retries that multiply the load when every request fails.
#[test]
fn budget_is_a_tenth_of_requests_plus_a_floor() {
    let settings = RetrySettings::default();
    let mut budgets = Budgets::default();
    let budget = budgets.get(Millis(0), Some(&"w".into()), &settings);
    (0..1_000).for_each(|_| budget.deposit(&settings));
    let retries = (0..1_000).filter(|_| budget.try_withdraw(Millis(0), &settings)).count();
    assert_eq!(retries, 100 + 10);
    assert!(budget.try_withdraw(Millis(1_000), &settings), "one retry is refilled per second");
    assert!(!budget.try_withdraw(Millis(1_000), &settings));
    budgets.retain(|_| false);
    assert!(
        budgets.get(Millis(0), Some(&"w".into()), &settings).try_withdraw(Millis(0), &settings)
    );
}

/// Guards against callers that retry at the same time or wait too long.
#[test]
fn backoff_is_jittered_and_bounded() {
    let settings = RetrySettings::default();
    let mut rng = SmallRng::seed_from_u64(5);
    for (attempt, bound) in [(1, 20), (2, 40), (5, 320), (6, 500), (200, 500)] {
        let delays: Vec<u64> = (0..500).map(|_| backoff(attempt, &settings, &mut rng).0).collect();
        assert!(delays.iter().all(|delay| *delay <= bound), "attempt {attempt}");
        assert!(delays.iter().any(|delay| *delay > bound / 2), "attempt {attempt}");
    }
}

/// Guards against requests that are sent to a lost primary, and against queued requests
/// that are never released.
#[test]
fn wait_queue_is_bounded_probed_and_released_by_a_newer_term() {
    let settings = RetrySettings { max_waiting_requests: 2, ..Default::default() };
    let service = Service::from("jobs");
    let deadline = Deadline::for_request(Millis(0), &settings);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut queues = WaitQueues::new(settings);
    assert_eq!(queues.admit(Millis(0), &service, Term(1)), Admission::Send);
    queues.mark_lost(Millis(0), &service, Term(1));
    assert_eq!(queues.admit(Millis(99), &service, Term(1)), Admission::Wait);
    assert_eq!(queues.admit(Millis(100), &service, Term(1)), Admission::Send, "probe");
    assert_eq!(queues.admit(Millis(101), &service, Term(1)), Admission::Wait);
    let first = queues.enqueue(Millis(101), &service, Term(1), deadline);
    assert!(queues.enqueue(Millis(101), &service, Term(1), deadline).is_some());
    assert_eq!(queues.enqueue(Millis(101), &service, Term(1), deadline), None, "full");
    assert_eq!(queues.release(&service, Term(1), false, &mut rng), [], "lost term");
    queues.cancel(&service, first.unwrap());
    assert_eq!(queues.release(&service, Term(2), false, &mut rng).len(), 1);
    assert_eq!(queues.admit(Millis(102), &service, Term(1)), Admission::Send);
    assert!(queues.enqueue(Millis(103), &service, Term(2), deadline).is_some());
    assert_eq!(queues.expire(Millis(4_999)), []);
    assert_eq!(queues.expire(Millis(5_000)).len(), 1);
    assert!(queues.enqueue(Millis(103), &service, Term(2), deadline).is_some());
    assert_eq!(queues.release(&service, Term(2), true, &mut rng).len(), 1, "probe was answered");
}
