//! Reads: which position is fresh enough, and which target gets the read.

use std::rc::Rc;

use pomelopin::{
    clock::Millis,
    fleet::messages::{Announcement, TargetRole},
    gateway::{freshness::Freshness, health::HealthTracker, read_selection::ReadSelection},
    ids::{InstanceId, Mark, Service},
};
use quickcheck::{TestResult, quickcheck};

fn service() -> Service {
    Service::from("ledger")
}

quickcheck! {
    /// Guards against a read that misses a commit older than its route allows: a commit
    /// acknowledged before the limit lies at or before the required position.
    fn required_position_holds_all_older_commits(gaps: Vec<u8>, wait: u16, age: u16) -> TestResult {
        let mut freshness = Freshness::default();
        let mut commits = Vec::new();
        let mut now = 1_000;
        for (number, gap) in (1..).zip(&gaps) {
            now += u64::from(*gap);
            // The commit is acknowledged at once; its position is observed by a
            // statement that was sent just before.
            freshness.observe(&service(), Millis(now), Mark::new(1, number));
            commits.push((now + 1, Mark::new(1, number)));
        }
        let (arrived, age) = (now + u64::from(wait), u64::from(age));
        let Some(required) = freshness.required(&service(), Millis(arrived), Millis(age)) else {
            return TestResult::discard();
        };
        let missed = commits.iter().any(|(at, mark)| at + age <= arrived && *mark > required);
        TestResult::from_bool(!missed)
    }
}

/// Guards against the use of positions that are too old to prove anything.
#[test]
fn old_observations_require_the_primary() {
    let mut freshness = Freshness::default();
    freshness.observe(&service(), Millis(1_000), Mark::new(1, 7));
    assert_eq!(freshness.required(&service(), Millis(1_500), Millis(1_000)), Some(Mark::new(1, 7)));
    assert_eq!(freshness.required(&service(), Millis(2_500), Millis(1_000)), None);
    assert_eq!(freshness.required(&"other".into(), Millis(1_500), Millis(1_000)), None);
}

fn target(id: &str, domain: &str, draining: bool) -> Rc<Announcement> {
    Rc::new(Announcement {
        id: id.into(),
        service: service(),
        addr: format!("{id}:1"),
        domain: domain.into(),
        draining,
        role: TargetRole::Replica,
        slots: 2,
        started_at_ms: 1,
        sequence: 1,
        warmup_remaining: Millis(0),
    })
}

struct Case {
    name: &'static str,
    required: Option<Mark>,
    tried: &'static [&'static str],
    failing: &'static [&'static str],
    /// Last reported position of replica `r1`.
    position: Option<Mark>,
    expected: Option<&'static str>,
}

#[test]
fn choice_of_a_target() {
    let mark = Some(Mark::new(1, 10));
    let base = Case {
        name: "",
        required: mark,
        tried: &[],
        failing: &[],
        position: None,
        expected: Some("r1"),
    };
    let cases = [
        Case { name: "replica in the own domain", ..base },
        Case {
            name: "only the primary without a required position",
            required: None,
            expected: Some("p"),
            ..base
        },
        Case {
            name: "a replica that lacks the position is left out",
            position: Some(Mark::new(1, 9)),
            expected: Some("p"),
            ..base
        },
        Case {
            name: "a position of an older term is not enough",
            position: Some(Mark::new(0, 99)),
            expected: Some("p"),
            ..base
        },
        Case {
            name: "a replica that was tried is left out",
            tried: &["r1"],
            expected: Some("p"),
            ..base
        },
        Case {
            name: "a failing replica is left out",
            failing: &["r1"],
            expected: Some("p"),
            ..base
        },
        Case { name: "nothing is left", tried: &["r1", "p"], expected: None, ..base },
    ];
    for case in cases {
        let targets =
            [target("p", "b", false), target("r1", "a", false), target("gone", "a", true)];
        let mut health = HealthTracker::default();
        let now = Millis(10_000);
        if let Some(position) = case.position {
            let id = InstanceId::from("r1");
            let attempt = health.sent(now, &id);
            health.answered(now, &id, attempt, Some(position));
        }
        for id in case.failing {
            let id = InstanceId::from(*id);
            let attempt = health.sent(Millis(9_000), &id);
            health.answered(Millis(9_000), &id, attempt, None);
            health.unreachable(Millis(9_900), &id);
        }
        let tried: Vec<InstanceId> = case.tried.iter().map(|id| (*id).into()).collect();
        let choice = ReadSelection {
            now,
            domain: &"a".into(),
            health: &health,
            primary: Some(&"p".into()),
            required: case.required,
            tried: &tried,
        };
        let chosen = choice.choose(&targets).map(|it| it.id.as_str());
        assert_eq!(chosen, case.expected, "{}", case.name);
    }
}
