//! Announcements that arrive late, twice or from a process whose place was taken.

use pomelopin::{
    clock::Millis,
    fleet::{
        messages::{Announcement, TargetRole},
        registry::{Noted, Registry},
    },
    ids::InstanceId,
};

fn announcement(id: &str, addr: &str, started_at_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        id: id.into(),
        service: "ledger".into(),
        addr: addr.to_owned(),
        domain: "a".into(),
        draining: false,
        role: TargetRole::Replica,
        slots: 2,
        started_at_ms,
        sequence,
        warmup_remaining: Millis(0),
    }
}

fn known(registry: &Registry) -> Vec<&str> {
    registry.all().map(|it| it.id.as_str()).collect()
}

#[test]
fn announcements_in_any_order() {
    type Step = (&'static str, &'static str, u64, u64, Noted);
    let cases: [(&str, &[Step], &[&str]); 6] = [
        (
            "a repeated announcement changes nothing",
            &[("i1", "x:1", 5, 1, Noted::Changed), ("i1", "x:1", 5, 2, Noted::Unchanged)],
            &["i1"],
        ),
        (
            "a late announcement of the same process is stale",
            &[("i1", "x:1", 5, 4, Noted::Changed), ("i1", "x:2", 5, 3, Noted::Stale)],
            &["i1"],
        ),
        (
            "a restart under the same id begins with a new sequence",
            &[("i1", "x:1", 5, 9, Noted::Changed), ("i1", "x:1", 6, 1, Noted::Changed)],
            &["i1"],
        ),
        (
            "a newer process takes over the address",
            &[("i1", "x:1", 5, 1, Noted::Changed), ("i2", "x:1", 6, 1, Noted::Changed)],
            &["i2"],
        ),
        (
            "a late announcement does not take the address back",
            &[("i2", "x:1", 6, 1, Noted::Changed), ("i1", "x:1", 5, 7, Noted::Stale)],
            &["i2"],
        ),
        (
            "two targets at two addresses",
            &[("i1", "x:1", 5, 1, Noted::Changed), ("i2", "x:2", 5, 1, Noted::Changed)],
            &["i1", "i2"],
        ),
    ];
    for (name, steps, expected) in cases {
        let mut registry = Registry::default();
        for (id, addr, started_at_ms, sequence, noted) in steps {
            let announcement = announcement(id, addr, *started_at_ms, *sequence);
            assert_eq!(registry.note(Millis(1), &announcement), *noted, "{name}");
        }
        assert_eq!(known(&registry), expected, "{name}");
    }
}

/// Guards against a target that has left and comes back by a late announcement.
#[test]
fn target_that_left_stays_away() {
    let mut registry = Registry::default();
    registry.note(Millis(1), &announcement("i1", "x:1", 5, 3));
    assert!(registry.remove(&InstanceId::from("i1")));
    assert_eq!(registry.note(Millis(2), &announcement("i1", "x:1", 5, 4)), Noted::Stale);
    assert_eq!(registry.note(Millis(3), &announcement("i1", "x:1", 6, 1)), Noted::Changed);
}

/// Guards against a new leader that takes an entry host's older knowledge for newer.
#[test]
fn suggestions_count_only_for_unknown_targets() {
    let mut registry = Registry::default();
    registry.note(Millis(1), &announcement("i1", "x:2", 5, 3));
    assert_eq!(registry.suggest(Millis(2), &announcement("i1", "x:1", 5, 9)), Noted::Unchanged);
    assert_eq!(registry.get(&InstanceId::from("i1")).unwrap().addr, "x:2");
}

#[test]
fn silent_targets_are_forgotten() {
    let mut registry = Registry::default();
    registry.note(Millis(0), &announcement("i1", "x:1", 5, 3));
    assert!(!registry.forget_silent(Millis(10_000)));
    assert!(registry.forget_silent(Millis(30_000)));
    assert!(known(&registry).is_empty());
}
