//! Retry budget, backoff, decisions after outcomes, and the queue for a primary.

use pomelopin::{
    clock::Millis,
    ids::{Mark, Service, Term},
    retry::{
        budget::{Budget, Budgets},
        deadline::{Deadline, backoff},
        policy::{Attempt, Cx, Decision, GiveUp, Kind, Settled},
        wait_queue::{Entrance, WaitingRoom},
    },
    settings::retry::RetrySettings,
    wire::peer::{Failure, Outcome, Refusal, Rows},
};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const ALL_KINDS: [Kind; 5] =
    [Kind::Read, Kind::IdempotentWrite, Kind::RecordedWrite, Kind::Commit, Kind::Within];

fn unknown() -> Outcome {
    Outcome::Unknown { reason: "connection lost".into() }
}

fn refused(refusal: Refusal) -> Outcome {
    Outcome::Refused(refusal)
}

fn behind() -> Outcome {
    refused(Refusal::Behind { position: Mark::new(1, 1), age_ms: 9 })
}

/// Request with its budget, at time 0 under term 1.
struct Case {
    attempt: Attempt,
    budget: Budget,
    settings: RetrySettings,
    rng: SmallRng,
    now: Millis,
}

impl Case {
    fn new(kind: Kind) -> Self {
        let settings = RetrySettings::default();
        let deadline = Deadline::of_request(Millis(0), &settings);
        Self {
            attempt: Attempt::new(kind, deadline, Term(1)),
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

    fn cx(&mut self) -> (&mut Attempt, Cx<'_, SmallRng>) {
        let cx = Cx {
            now: self.now,
            budget: &mut self.budget,
            settings: &self.settings,
            rng: &mut self.rng,
        };
        (&mut self.attempt, cx)
    }

    fn outcome(&mut self, outcome: &Outcome) -> Decision {
        let (attempt, mut cx) = self.cx();
        attempt.on_outcome(outcome, &mut cx)
    }

    fn settled(&mut self, settled: Settled) -> Decision {
        let (attempt, mut cx) = self.cx();
        attempt.on_settled(&settled, &mut cx)
    }
}

/// Name of a decision without its wait.
fn name(decision: &Decision) -> &'static str {
    match decision {
        Decision::Answer => "answer",
        Decision::RetryAfter(_) => "retry",
        Decision::WaitForPrimary => "wait",
        Decision::Settle { .. } => "settle",
        Decision::GiveUp(reason) => reason.code(),
    }
}

#[test]
fn decision_after_each_outcome() {
    let failed = Outcome::Failed(Failure { code: "23505".into(), message: "duplicate".into() });
    // Outcome, then decisions for read, idempotent, recorded, commit, within.
    let cases = [
        (Outcome::Done(Rows::default()), ["answer"; 5]),
        (failed, ["answer"; 5]),
        (unknown(), ["retry", "retry", "settle", "settle", "40001"]),
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
fn record_decides_about_a_repeat() {
    let absent = |term, closed| Settled::Absent { term: Term(term), closed };
    let cases = [
        (Settled::Present, "answer", "answer"),
        (Settled::OtherDigest, "22023", "22023"),
        (absent(1, false), "settle", "settle"),
        (absent(1, true), "retry", "40001"),
        (absent(2, false), "retry", "40001"),
        (Settled::Unreadable, "settle", "settle"),
        (Settled::NoPrimary, "wait", "wait"),
    ];
    for (settled, write, commit) in cases {
        for (kind, expected) in [(Kind::RecordedWrite, write), (Kind::Commit, commit)] {
            let mut case = Case::new(kind);
            case.outcome(&unknown());
            assert_eq!(name(&case.settled(settled.clone())), expected, "{kind:?} {settled:?}");
        }
    }
    let mut again = Case::new(Kind::RecordedWrite);
    again.outcome(&unknown());
    again.settled(absent(2, false));
    again.attempt.sent(Term(2));
    again.outcome(&unknown());
    let decision = again.settled(absent(2, false));
    assert_eq!(name(&decision), "settle", "the second attempt is not fenced by term 2");
    assert!(again.attempt.must_settle());
}

#[test]
fn deadline_and_budget_end_a_request_with_the_right_code() {
    let cases = [
        (Case::new(Kind::Read).at(5_000), unknown(), "57014"),
        (Case::new(Kind::Read).without_budget(), unknown(), "57P03"),
        (Case::new(Kind::IdempotentWrite).at(5_000), unknown(), "08007"),
        (Case::new(Kind::IdempotentWrite).without_budget(), unknown(), "08007"),
        (Case::new(Kind::RecordedWrite).at(5_000), unknown(), "08007"),
        (Case::new(Kind::RecordedWrite).at(5_000), refused(Refusal::NotPrimary), "57014"),
        (Case::new(Kind::RecordedWrite).without_budget(), refused(Refusal::QueueFull), "57P03"),
    ];
    for (mut case, outcome, expected) in cases {
        let decision = case.outcome(&outcome);
        assert_eq!(name(&decision), expected, "{:?} {outcome:?}", case.attempt);
    }
    let mut reads = Case::new(Kind::Read).without_budget();
    let codes: Vec<&str> = (0..3).map(|_| name(&reads.outcome(&behind()))).collect();
    assert_eq!(codes, ["retry", "retry", "57P03"], "two reroutes are free");
}

/// Random faults against a database that counts runs: a recorded write that was
/// reported as not run or answered once must have run at most once.
#[test]
fn recorded_write_runs_at_most_once() {
    fn property(seed: u64) -> bool {
        let mut case = Case::new(Kind::RecordedWrite);
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut term, mut runs) = (1, 0);
        // Term of an attempt that may still commit.
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
                    case.attempt.sent(Term(term));
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
                Decision::Settle { .. } if runs > 0 => case.settled(Settled::Present),
                Decision::Settle { .. } => {
                    let closed = in_flight.is_none() && rng.random_bool(0.5);
                    case.settled(Settled::Absent { term: Term(term), closed })
                }
                Decision::Answer => return runs == 1,
                Decision::GiveUp(GiveUp::Unknown) => return runs <= 1,
                Decision::GiveUp(_) => return runs == 0,
            };
        }
    }
    let rng = Gen::from_size_and_seed(1_000, 3);
    QuickCheck::new().rng(rng).tests(5_000).quickcheck(property as fn(u64) -> bool);
}

#[test]
fn budget_is_a_tenth_of_requests_plus_a_floor() {
    let settings = RetrySettings::default();
    let mut budgets = Budgets::default();
    let budget = budgets.get(Millis(0), Some(&"w".into()), &settings);
    (0..1_000).for_each(|_| budget.deposit(&settings));
    let repeats = (0..1_000).filter(|_| budget.try_withdraw(Millis(0), &settings)).count();
    assert_eq!(repeats, 100 + 10);
    assert!(budget.try_withdraw(Millis(1_000), &settings), "one is regained per second");
    assert!(!budget.try_withdraw(Millis(1_000), &settings));
    budgets.retain(|_| false);
    assert!(
        budgets.get(Millis(0), Some(&"w".into()), &settings).try_withdraw(Millis(0), &settings)
    );
}

#[test]
fn backoff_is_jittered_and_bounded() {
    let settings = RetrySettings::default();
    let mut rng = SmallRng::seed_from_u64(5);
    for (attempt, bound) in [(1, 20), (2, 40), (5, 320), (6, 500), (200, 500)] {
        let waits: Vec<u64> = (0..500).map(|_| backoff(attempt, &settings, &mut rng).0).collect();
        assert!(waits.iter().all(|wait| *wait <= bound), "attempt {attempt}");
        assert!(waits.iter().any(|wait| *wait > bound / 2), "attempt {attempt}");
    }
}

#[test]
fn waiting_room_is_bounded_probes_and_releases_on_a_newer_term() {
    let settings = RetrySettings { waiting_requests: 2, ..Default::default() };
    let service = Service::from("jobs");
    let deadline = Deadline::of_request(Millis(0), &settings);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut room = WaitingRoom::new(settings);
    assert_eq!(room.enter(Millis(0), &service, Term(1)), Entrance::Go);
    room.lost(Millis(0), &service, Term(1));
    assert_eq!(room.enter(Millis(99), &service, Term(1)), Entrance::Wait);
    assert_eq!(room.enter(Millis(100), &service, Term(1)), Entrance::Go, "probe");
    assert_eq!(room.enter(Millis(101), &service, Term(1)), Entrance::Wait);
    let first = room.wait(Millis(101), &service, Term(1), deadline);
    assert!(room.wait(Millis(101), &service, Term(1), deadline).is_some());
    assert_eq!(room.wait(Millis(101), &service, Term(1), deadline), None, "full");
    assert_eq!(room.open(&service, Term(1), false, &mut rng), [], "lost term");
    room.cancel(&service, first.unwrap());
    assert_eq!(room.open(&service, Term(2), false, &mut rng).len(), 1);
    assert_eq!(room.enter(Millis(102), &service, Term(1)), Entrance::Go);
    assert!(room.wait(Millis(103), &service, Term(2), deadline).is_some());
    assert_eq!(room.expire(Millis(4_999)), []);
    assert_eq!(room.expire(Millis(5_000)).len(), 1);
    assert!(room.wait(Millis(103), &service, Term(2), deadline).is_some());
    assert_eq!(room.open(&service, Term(2), true, &mut rng).len(), 1, "probe was answered");
}
