//! Registry of targets: announcements may be delayed, repeated, or come from a process whose
//! address or id another process has taken over.

use pomelopin::{
    clock::Millis,
    fleet::{
        messages::{Announcement, TargetRole},
        registry::{AnnouncementEffect, Registry},
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

/// Guards against stale announcements that replace newer ones, and against newer ones that
/// are ignored.
#[test]
fn announcements_in_any_order() {
    type Step = (&'static str, &'static str, u64, u64, AnnouncementEffect);
    let cases: [(&str, &[Step], &[&str]); 6] = [
        (
            "a repeated announcement changes nothing",
            &[
                ("i1", "x:1", 5, 1, AnnouncementEffect::Changed),
                ("i1", "x:1", 5, 2, AnnouncementEffect::Unchanged),
            ],
            &["i1"],
        ),
        (
            "a delayed announcement of the same process is stale",
            &[
                ("i1", "x:1", 5, 4, AnnouncementEffect::Changed),
                ("i1", "x:2", 5, 3, AnnouncementEffect::Stale),
            ],
            &["i1"],
        ),
        (
            "a restarted process may begin a new sequence under the same id",
            &[
                ("i1", "x:1", 5, 9, AnnouncementEffect::Changed),
                ("i1", "x:1", 6, 1, AnnouncementEffect::Changed),
            ],
            &["i1"],
        ),
        (
            "a newer process takes over the address",
            &[
                ("i1", "x:1", 5, 1, AnnouncementEffect::Changed),
                ("i2", "x:1", 6, 1, AnnouncementEffect::Changed),
            ],
            &["i2"],
        ),
        (
            "a delayed announcement does not take the address back",
            &[
                ("i2", "x:1", 6, 1, AnnouncementEffect::Changed),
                ("i1", "x:1", 5, 7, AnnouncementEffect::Stale),
            ],
            &["i2"],
        ),
        (
            "two targets at two addresses are both kept",
            &[
                ("i1", "x:1", 5, 1, AnnouncementEffect::Changed),
                ("i2", "x:2", 5, 1, AnnouncementEffect::Changed),
            ],
            &["i1", "i2"],
        ),
    ];
    for (name, steps, expected) in cases {
        let mut registry = Registry::default();
        for (id, addr, started_at_ms, sequence, effect) in steps {
            let announcement = announcement(id, addr, *started_at_ms, *sequence);
            assert_eq!(registry.record(Millis(1), &announcement), *effect, "{name}");
        }
        assert_eq!(known(&registry), expected, "{name}");
    }
}

/// Guards against a deregistered target that a delayed announcement registers again.
#[test]
fn deregistered_target_ignores_delayed_announcements() {
    let mut registry = Registry::default();
    registry.record(Millis(1), &announcement("i1", "x:1", 5, 3));
    assert!(registry.remove(&InstanceId::from("i1")));
    assert_eq!(
        registry.record(Millis(2), &announcement("i1", "x:1", 5, 4)),
        AnnouncementEffect::Stale
    );
    assert_eq!(
        registry.record(Millis(3), &announcement("i1", "x:1", 6, 1)),
        AnnouncementEffect::Changed
    );
}

/// Guards against a new leader that replaces an announcement by the outdated one from an
/// entry host's report.
#[test]
fn host_reports_add_only_unknown_targets() {
    let mut registry = Registry::default();
    registry.record(Millis(1), &announcement("i1", "x:2", 5, 3));
    assert_eq!(
        registry.record_if_unknown(Millis(2), &announcement("i1", "x:1", 5, 9)),
        AnnouncementEffect::Unchanged
    );
    assert_eq!(registry.get(&InstanceId::from("i1")).unwrap().addr, "x:2");
}

/// Guards against targets that stay registered after their announcements have stopped, or
/// that are removed too early.
#[test]
fn silent_targets_are_removed() {
    let mut registry = Registry::default();
    registry.record(Millis(0), &announcement("i1", "x:1", 5, 3));
    assert!(!registry.remove_silent(Millis(10_000)));
    assert!(registry.remove_silent(Millis(30_000)));
    assert!(known(&registry).is_empty());
}
