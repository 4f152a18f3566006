//! Reads: position that makes a target fresh enough, and selection of the target.

use std::rc::Rc;

use pomelopin::{
    clock::Millis,
    fleet::messages::{Announcement, TargetRole},
    gateway::{
        evacuation::EvacuatedDomains,
        freshness::Freshness,
        health::HealthTracker,
        read_selection::ReadSelection,
        readmission::{ColdTargets, ReadRestrictions, SessionHash},
    },
    ids::{InstanceId, Mark, Service},
};
use quickcheck::{TestResult, quickcheck};

fn service() -> Service {
    Service::from("ledger")
}

quickcheck! {
    /// Guards against a read that misses a commit older than its route allows: a commit
    /// acknowledged before the staleness bound is at or before the required position.
    fn required_position_covers_older_commits(gaps: Vec<u8>, wait: u16, bound: u16) -> TestResult {
        let mut freshness = Freshness::default();
        let mut commits = Vec::new();
        let mut now = 1_000;
        for (number, gap) in (1..).zip(&gaps) {
            now += u64::from(*gap);
            // The commit is acknowledged at once; its position is in the answer to a
            // statement sent just before.
            freshness.observe(&service(), Millis(now), Mark::new(1, number));
            commits.push((now + 1, Mark::new(1, number)));
        }
        let (arrived, bound) = (now + u64::from(wait), u64::from(bound));
        let Some(required) =
            freshness.required_position(&service(), Millis(arrived), Millis(bound))
        else {
            return TestResult::discard();
        };
        let missed = commits.iter().any(|(at, mark)| at + bound <= arrived && *mark > required);
        TestResult::from_bool(!missed)
    }
}

/// Guards against the use of observations that are too old to bound the staleness: a read
/// that none of them covers must go to the primary.
#[test]
fn old_observations_require_the_primary() {
    let mut freshness = Freshness::default();
    freshness.observe(&service(), Millis(1_000), Mark::new(1, 7));
    assert_eq!(
        freshness.required_position(&service(), Millis(1_500), Millis(1_000)),
        Some(Mark::new(1, 7))
    );
    assert_eq!(freshness.required_position(&service(), Millis(2_500), Millis(1_000)), None);
    assert_eq!(freshness.required_position(&"other".into(), Millis(1_500), Millis(1_000)), None);
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
    /// Last known position of replica `r1`.
    position: Option<Mark>,
    expected: Option<&'static str>,
}

/// Guards against reads at targets that lag, fail, drain or were already tried, and
/// against a remote target while a local one is usable.
#[test]
fn selection_of_the_read_target() {
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
        Case { name: "replica in the host's own domain", ..base },
        Case {
            name: "without a required position only the primary",
            required: None,
            expected: Some("p"),
            ..base
        },
        Case {
            name: "a replica that lags behind the position is skipped",
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
            name: "a replica that was already tried is skipped",
            tried: &["r1"],
            expected: Some("p"),
            ..base
        },
        Case {
            name: "a failing replica is skipped",
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
            let attempt = health.record_sent(now, &id);
            health.record_answer(now, &id, attempt, Some(position));
        }
        for id in case.failing {
            let id = InstanceId::from(*id);
            let attempt = health.record_sent(Millis(9_000), &id);
            health.record_answer(Millis(9_000), &id, attempt, None);
            health.record_connect_failure(Millis(9_900), &id);
        }
        let tried: Vec<InstanceId> = case.tried.iter().map(|id| (*id).into()).collect();
        let selection = ReadSelection {
            now,
            domain: &"a".into(),
            health: &health,
            primary: Some(&"p".into()),
            required: case.required,
            tried: &tried,
            restrictions: ReadRestrictions {
                domains: &EvacuatedDomains::default(),
                cold: &ColdTargets::default(),
                session: SessionHash::default(),
            },
        };
        let selected = selection.select(&targets).map(|it| it.id.as_str());
        assert_eq!(selected, case.expected, "{}", case.name);
    }
}
