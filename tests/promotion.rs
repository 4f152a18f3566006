//! Detection of failed primaries and promotion of replicas, in tables of faults.

#![allow(clippy::unwrap_used)]

mod database;

use database::{NAMES, response, view};
use pomelopin::{
    clock::Millis,
    ids::{Mark, Term},
    promotion::{
        detector::FailureDetector,
        state_machine::{Action, Event, Plan, PromotionRun, Step},
    },
    settings::promotion::PromotionSettings,
    state::model::{Drain, Group, Promotion, Role},
    wire::control::Observation,
};

fn observation(instance: &str, silent_ms: u64) -> Observation {
    let role = if instance == "a1" { Role::Primary } else { Role::Replica };
    let position = Mark::new(1, 10);
    Observation { service: "a".into(), instance: instance.into(), role, position, silent_ms }
}

fn fenced(instance: &str, term: u64, last: Mark) -> Event {
    let response = response(true, term, last);
    Event::FenceResponse { instance: instance.into(), term: Term(term), response }
}

fn promoted(instance: &str, term: u64) -> Event {
    let response = response(true, term, Mark::new(term, 11));
    Event::PromoteResponse { instance: instance.into(), term: Term(term), response }
}

fn fence(instance: &str, term: u64) -> Action {
    Action::Fence { instance: instance.into(), term: Term(term) }
}

fn promote(instance: &str, term: u64) -> Action {
    Action::Promote { instance: instance.into(), term: Term(term) }
}

fn finish(instance: &str, term: u64) -> Action {
    Action::ProposeFinish { service: "a".into(), term: Term(term), primary: instance.into() }
}

fn start(preferred: Option<&str>) -> PromotionRun {
    let plan = Plan::from_view(&view(3), &"a".into(), preferred.map(Into::into), "test").unwrap();
    PromotionRun::start(Millis(0), plan, PromotionSettings::default()).0
}

/// Run that is in the step `Fencing` at term 2.
fn fencing(preferred: Option<&str>) -> PromotionRun {
    let mut run = start(preferred);
    let actions = run.handle(Millis(10), Event::StartCommitted { term: Term(2) });
    assert_eq!(actions, NAMES.map(|name| fence(name, 2)));
    run
}

/// Guards against promotions without the suspicion of a majority, and against failed
/// primaries that are not detected.
#[test]
fn a_majority_of_instances_must_suspect_the_primary() {
    type Case = (&'static str, u32, &'static [(&'static str, u64)], bool);
    let table: [Case; 8] = [
        ("partitioned primary", 3, &[("a2", 1_000), ("a3", 1_200)], true),
        (
            "primary partitioned from its owner only",
            3,
            &[("a1", 3_000), ("a2", 0), ("a3", 0)],
            false,
        ),
        ("slow primary", 3, &[("a1", 900), ("a2", 300), ("a3", 400)], false),
        ("primary and a replica down", 3, &[("a1", 2_000), ("a2", 1_000)], true),
        ("one replica partitioned", 3, &[("a1", 0), ("a2", 9_000)], false),
        ("announced instances are a minority", 5, &[("a2", 1_000), ("a3", 1_000)], false),
        ("three of five", 5, &[("a1", 1_000), ("a2", 1_000), ("a3", 1_000)], true),
        ("instance without a group", 3, &[("a2", 1_000), ("b9", 1_000)], false),
    ];
    for (case, configured, observations, expected) in table {
        let mut detector = FailureDetector::new(PromotionSettings::default());
        for (instance, silent) in observations {
            detector.observe(Millis(0), &observation(instance, *silent));
        }
        let suspects = detector.suspects(Millis(100), &view(configured));
        assert_eq!(!suspects.is_empty(), expected, "{case}");
    }
}

/// Guards against a majority of suspicions that are not simultaneous, and against
/// suspicions of a primary that was already replaced.
#[test]
fn suspicions_expire_and_do_not_count_after_a_change() {
    let mut detector = FailureDetector::new(PromotionSettings::default());
    let mut view = view(3);
    let observe_silence = |detector: &mut FailureDetector, now| {
        detector.observe(Millis(now), &observation("a2", 1_000));
        detector.observe(Millis(now), &observation("a3", 1_000));
    };
    detector.observe(Millis(0), &observation("a2", 1_000));
    detector.observe(Millis(1_500), &observation("a3", 1_000));
    assert!(detector.suspects(Millis(1_500), &view).is_empty());
    detector.observe(Millis(1_600), &observation("a2", 1_000));
    assert_eq!(detector.suspects(Millis(1_600), &view), ["a".into()]);
    detector.observe(Millis(1_650), &observation("a3", 0));
    assert!(detector.suspects(Millis(1_650), &view).is_empty());

    observe_silence(&mut detector, 1_700);
    view.groups[0].promotion = Some(Promotion { term: Term(2), preferred: None });
    assert!(detector.suspects(Millis(1_700), &view).is_empty());
    view.groups[0] = Group { term: Term(2), primary: Some("a2".into()), promotion: None };
    assert!(detector.suspects(Millis(1_700), &view).is_empty());
    // The replaced primary and one replica are partitioned from the new primary.
    detector.observe(Millis(3_100), &observation("a1", 9_000));
    detector.observe(Millis(3_100), &observation("a2", 0));
    detector.observe(Millis(3_100), &observation("a3", 1_000));
    assert!(detector.suspects(Millis(3_200), &view).is_empty());
    observe_silence(&mut detector, 3_200);
    assert_eq!(detector.suspects(Millis(3_200), &view), ["a".into()]);
}

/// Guards against a planned change to a drained instance, and against planned changes in
/// quick succession.
#[test]
fn drained_primary_is_replaced_by_the_most_advanced_instance() {
    let mut detector = FailureDetector::new(PromotionSettings::default());
    let mut view = view(3);
    assert!(detector.planned_promotions(Millis(0), &view).is_empty());
    view.desired.drains.push(Drain::Instance("a1".into()));
    let ahead = Observation { position: Mark::new(1, 12), ..observation("a2", 0) };
    detector.observe(Millis(0), &ahead);
    detector.observe(Millis(0), &observation("a3", 0));
    assert_eq!(detector.planned_promotions(Millis(0), &view), [("a".into(), "a2".into())]);
    view.groups[0].term = Term(2);
    assert!(detector.planned_promotions(Millis(100), &view).is_empty());
    view.desired.drains.push(Drain::Instance("a2".into()));
    assert_eq!(detector.planned_promotions(Millis(2_100), &view), [("a".into(), "a3".into())]);
}

/// Guards against the promotion of an instance that lacks acknowledged writes: the term
/// is compared before the position, and a preferred instance must be as advanced as a
/// fenced majority.
#[test]
fn most_advanced_instance_is_promoted() {
    let (old, newer, newest) = (Mark::new(1, 20), Mark::new(2, 12), Mark::new(2, 13));
    let table: [(&str, Option<&str>, [Mark; 3], &str); 6] = [
        ("term before position", None, [old, newer, newer], "a3"),
        ("position within the term", None, [newer, newest, old], "a2"),
        ("preferred and as advanced", Some("a2"), [newest, newest, newer], "a2"),
        ("preferred, ahead of one replica", Some("a2"), [newest, newer, old], "a2"),
        ("preferred but behind", Some("a3"), [newest, newer, old], "a2"),
        ("preferred is the old primary", Some("a1"), [newest, newer, newer], "a1"),
    ];
    for (case, preferred, marks, expected) in table {
        let mut run = fencing(preferred);
        let mut actions = Vec::new();
        // Without a preferred instance, the first fenced majority decides, so the
        // instances respond in reverse order.
        for (name, mark) in NAMES.into_iter().zip(marks).rev() {
            actions.extend(run.handle(Millis(20), fenced(name, 2, mark)));
        }
        if preferred.is_none() {
            actions.extend(run.handle(Millis(20), Event::OwnerStopped { term: Term(2) }));
        }
        assert_eq!(actions, [promote(expected, 2)], "{case}");
    }
}

/// Guards against skipped steps, and against a run that hangs when a request or response
/// is lost.
#[test]
fn steps_wait_for_responses_and_repeat_requests() {
    let mark = Mark::new(1, 10);
    let mut run = start(None);
    assert!(matches!(run.handle(Millis(200), Event::Tick)[..], [Action::ProposeStart { .. }]));
    assert!(run.handle(Millis(200), fenced("a2", 2, mark)).is_empty());

    let mut run = fencing(None);
    assert!(run.handle(Millis(20), fenced("a2", 2, mark)).is_empty());
    assert!(run.handle(Millis(100), Event::Tick).is_empty());
    assert_eq!(run.handle(Millis(220), Event::Tick), [fence("a1", 2), fence("a3", 2)]);
    assert!(run.handle(Millis(230), fenced("a2", 2, mark)).is_empty(), "no majority");
    assert!(
        run.handle(Millis(230), fenced("b9", 2, mark)).is_empty(),
        "not an instance of the group"
    );
    assert!(run.handle(Millis(300), fenced("a3", 2, mark)).is_empty(), "owner has not stopped");
    assert!(run.handle(Millis(310), Event::OwnerStopped { term: Term(1) }).is_empty());
    let actions = run.handle(Millis(320), Event::OwnerStopped { term: Term(2) });
    assert_eq!(actions, [promote("a3", 2)]);
    assert_eq!(run.handle(Millis(520), Event::Tick), [promote("a3", 2)]);
    assert!(run.handle(Millis(530), promoted("a2", 2)).is_empty(), "not the chosen instance");
    assert_eq!(run.handle(Millis(530), promoted("a3", 2)), [finish("a3", 2)]);
    assert_eq!(run.handle(Millis(730), Event::Tick), [finish("a3", 2)]);
    assert!(run.handle(Millis(740), Event::FinishCommitted { term: Term(2) }).is_empty());
    assert_eq!(*run.step(), Step::Finished("a3".into()));
    assert!(run.handle(Millis(2_000), Event::Tick).is_empty());
}

/// Guards against a wait for the owner of a primary that is itself fenced, which would
/// prolong planned changes, and against a primary that is partitioned from its replicas
/// and chosen again for its longer log.
#[test]
fn fenced_primary_need_not_wait_for_its_owner() {
    let replica_behind = || {
        let mut run = fencing(None);
        assert!(run.handle(Millis(20), fenced("a1", 2, Mark::new(1, 10))).is_empty());
        assert!(run.handle(Millis(21), fenced("a2", 2, Mark::new(1, 9))).is_empty());
        run
    };
    let actions = replica_behind().handle(Millis(30), fenced("a3", 2, Mark::new(1, 8)));
    assert_eq!(actions, [promote("a2", 2)], "the other instances are a majority");

    // The instance that has not responded may hold the acknowledged writes.
    let mut run = replica_behind();
    assert!(!run.handle(Millis(420), Event::Tick).contains(&promote("a1", 2)));
    assert_eq!(run.handle(Millis(421), Event::Tick), [promote("a1", 2)]);

    let mut run = fencing(None);
    run.handle(Millis(20), fenced("a1", 2, Mark::new(1, 10)));
    let actions = run.handle(Millis(21), fenced("a2", 2, Mark::new(1, 10)));
    assert_eq!(actions, [promote("a2", 2)], "as advanced as the old primary");
}

/// Guards against two primaries of one term: after a timeout, or a refusal by an instance
/// with a larger term, the run starts over with a new term.
#[test]
fn refusals_and_timeouts_restart_with_a_larger_term() {
    let mark = Mark::new(1, 10);
    let proposed_term = |actions: &[Action]| match actions {
        [Action::ProposeStart { term, .. }] => term.0,
        other => panic!("{other:?}"),
    };
    let refusal = response(false, 7, mark);
    let refused =
        Event::FenceResponse { instance: "a2".into(), term: Term(2), response: refusal.clone() };
    let mut run = fencing(None);
    assert_eq!(proposed_term(&run.handle(Millis(20), refused)), 8);
    assert!(
        run.handle(Millis(30), fenced("a2", 2, mark)).is_empty(),
        "response for an earlier term"
    );

    let promoting = || {
        let mut run = fencing(None);
        run.handle(Millis(20), fenced("a1", 2, mark));
        assert_eq!(run.handle(Millis(20), fenced("a2", 2, mark)), [promote("a2", 2)]);
        run
    };
    let mut run = promoting();
    assert_eq!(proposed_term(&run.handle(Millis(1_020), Event::Tick)), 3);
    assert!(run.handle(Millis(1_030), promoted("a2", 2)).is_empty());
    let refused =
        Event::PromoteResponse { instance: "a2".into(), term: Term(2), response: refusal };
    assert_eq!(proposed_term(&promoting().handle(Millis(30), refused)), 8);

    let mut view = view(3);
    view.groups[0].promotion = Some(Promotion { term: Term(4), preferred: Some("a3".into()) });
    let plan = Plan::from_view(&view, &"a".into(), None, "new leader").unwrap();
    assert_eq!(plan.preferred, Some("a3".into()));
    let (_, actions) = PromotionRun::start(Millis(0), plan, PromotionSettings::default());
    assert_eq!(proposed_term(&actions), 5);
}
