//! Primaries in evacuated failure domains: they move if, and only if, another target can lead, and
//! by the rules of every other change.

use indexmap::IndexSet;
use pomelopin::{
    clock::Millis,
    fleet::{
        failover::Failover,
        messages::{Announcement, TargetRole},
    },
    ids::{Mark, Service},
};

use crate::harness::{Harness, STEP_MS, domain_of, joining, service};

fn primary(harness: &Harness) -> (String, bool) {
    let primary = harness.failover.primary(&service(), &harness.unfinished);
    let (id, changing) = primary.expect("a known service");
    (id.map_or(String::new(), ToString::to_string), changing)
}

/// Guards against a primary that stays in an evacuated domain, or moves to another one, although a
/// target elsewhere can lead; the latter has received less, which the primary sends it.
#[test]
fn primary_leaves_an_evacuated_domain() {
    let mut harness = Harness::new();
    harness.set_evacuated("p", true);
    harness.set_evacuated("r2", true);
    harness.targets["r2"] = Some((TargetRole::Replica, Mark::new(3, 101)));
    harness.run(500);
    assert!(harness.promotions.is_empty(), "r1 lacks what r2 has received");
    harness.targets["r1"] = Some((TargetRole::Replica, Mark::new(3, 101)));
    harness.targets["p"] = Some((TargetRole::Primary, Mark::new(3, 101)));
    harness.run(1_000);
    assert_eq!(harness.promoted_targets(), ["r1"]);
    assert!(harness.paused.is_empty(), "paused replicas must be resumed at the end");
    harness.run(5_000);
    assert_eq!(primary(&harness), ("r1".to_owned(), false));
    assert_eq!(harness.promotions.len(), 1);
}

/// Guards against changes that help nobody: all other targets are evacuated, about to leave or out
/// of reach. The primary must not be marked as changing either.
#[test]
fn primary_stays_if_no_other_target_can_lead() {
    let mut harness = Harness::new();
    for id in ["p", "r1", "r2"] {
        harness.set_evacuated(id, true);
    }
    harness.run(3_000);
    harness.set_evacuated("r1", false);
    harness.set_evacuated("r2", false);
    let leaves = Announcement { draining: true, sequence: 2, ..joining("r1") };
    harness.registry.record(harness.now, &leaves);
    harness.unreachable_replicas = vec!["r2"];
    harness.run(3_000);
    assert!(harness.promotions.is_empty() && harness.view == 1, "no change was started");
    harness.unreachable_replicas.clear();
    harness.run(1_000);
    assert_eq!(harness.promoted_targets(), ["r2"]);
}

/// Guards against a change that goes on after its reason has passed: the evacuation is withdrawn,
/// or the only other target that could lead is evacuated as well, before a candidate is chosen.
#[test]
fn change_ends_with_its_reason() {
    for (id, evacuated) in [("p", false), ("r1", true)] {
        let mut harness = Harness::new();
        harness.targets["r1"] = None;
        harness.set_evacuated("p", true);
        harness.set_evacuated("r2", true);
        harness.run(300);
        assert_eq!(primary(&harness), ("p".to_owned(), true));
        harness.set_evacuated(id, evacuated);
        harness.run(100);
        assert_eq!(primary(&harness), ("p".to_owned(), false));
        assert!(harness.promotions.is_empty());
    }
}

/// Guards against a promotion into an evacuated domain while the only target elsewhere is silent.
#[test]
fn planned_change_does_not_end_in_an_evacuated_domain() {
    let mut harness = Harness::new();
    harness.targets["r1"] = None;
    harness.set_evacuated("p", true);
    harness.set_evacuated("r2", true);
    harness.run(8_000);
    assert!(harness.promotions.is_empty(), "{:?}", harness.promotions);
    harness.targets["r1"] = Some((TargetRole::Replica, Mark::new(3, 100)));
    harness.run(8_000);
    assert_eq!(harness.promoted_targets(), ["r1"]);
}

/// Guards against commits that are lost, and a service without a primary, if an evacuated domain
/// holds the only copies: another domain loses the primary. The copies must be promoted, and the
/// primary moves on once the target outside has received them.
#[test]
fn newest_commits_are_saved_out_of_an_evacuated_domain() {
    let mut harness = Harness::new();
    harness.run(1_000);
    harness.set_evacuated("r2", true);
    harness.acknowledged = Mark::new(3, 101);
    harness.targets["r2"] = Some((TargetRole::Replica, Mark::new(3, 101)));
    harness.targets["p"] = None;
    harness.primary_failing_for = Some(Millis(800));
    harness.run(2_000);
    assert_eq!(harness.promoted_targets(), ["r2"]);
    harness.registry.remove(&"p".into());
    harness.primary_failing_for = None;
    harness.targets["r1"] = Some((TargetRole::Replica, Mark::new(3, 101)));
    harness.replicate();
    let leads = Announcement { role: TargetRole::Primary, sequence: 9, ..joining("r2") };
    harness.registry.record(harness.now, &leads);
    harness.run(3_000);
    assert_eq!(harness.promoted_targets(), ["r2", "r1"]);
}

/// Guards against a lost primary that keeps its planned change waiting for a target elsewhere,
/// which lacks commits that a replica in the evacuated domain holds.
#[test]
fn lost_primary_is_replaced_by_the_rules_for_lost_ones() {
    let mut harness = Harness::new();
    harness.run(1_000);
    harness.targets["r1"] = None;
    harness.set_evacuated("p", true);
    harness.set_evacuated("r2", true);
    harness.run(300);
    assert_eq!(primary(&harness), ("p".to_owned(), true));
    harness.targets["p"] = None;
    harness.primary_failing_for = Some(Millis(800));
    harness.run(2_000);
    assert_eq!(harness.promoted_targets(), ["r2"]);
}

/// Guards against a failing primary that is replaced by one which hosts may not use.
#[test]
fn failing_primary_is_not_replaced_by_an_evacuated_one() {
    let mut harness = Harness::new();
    harness.set_evacuated("r1", true);
    harness.set_evacuated("r2", true);
    harness.primary_failing_for = Some(Millis(800));
    harness.run(3_000);
    assert!(harness.promotions.is_empty());
    harness.set_evacuated("r1", false);
    harness.run(2_000);
    assert_eq!(harness.promoted_targets(), ["r1"]);
}

/// Guards against an evacuation that overtakes an earlier leader's promotion, which may still be
/// carried out: it is completed first, also into an evacuated domain.
#[test]
fn unfinished_promotion_goes_first() {
    let mut harness = Harness::new();
    harness.set_evacuated("p", true);
    harness.set_evacuated("r2", true);
    harness.unfinished.begin(service(), "r2".into());
    harness.run(1_000);
    assert_eq!(harness.promoted_targets(), ["r2"]);
    harness.replicate();
    harness.announce(false);
    harness.run(3_000);
    assert_eq!(harness.promoted_targets(), ["r2", "r1"]);
    assert!(harness.unfinished.is_empty());
}

/// Guards against a leader that promotes the serving primary again, which is evacuated, to
/// invalidate a promotion whose target is about to leave.
#[test]
fn evacuated_primary_is_not_promoted_again() {
    let mut harness = Harness::new();
    let leaves = Announcement { draining: true, sequence: 2, ..joining("r2") };
    harness.registry.record(harness.now, &leaves);
    harness.set_evacuated("p", true);
    harness.unfinished.begin(service(), "r2".into());
    harness.run(2_000);
    assert_eq!(harness.promoted_targets(), ["r1"]);
}

/// Guards against a target that restarts or joins in an evacuated domain and takes the lead back.
#[test]
fn target_that_joins_in_an_evacuated_domain_does_not_lead() {
    let mut harness = Harness::new();
    harness.set_evacuated("p", true);
    harness.set_evacuated("r3", true);
    harness.run(1_000);
    let first = harness.promoted_targets()[0].to_owned();
    harness.targets.insert("r3", Some((TargetRole::Replica, Mark::default())));
    harness.replicate();
    let restarted = Announcement { started_at_ms: 2, sequence: 1, ..joining("p") };
    harness.registry.record(harness.now, &restarted);
    harness.announce(false);
    harness.run(2_000);
    harness.announce_draining(&first);
    harness.run(3_000);
    let last = harness.promoted_targets().last().copied().expect("a promotion");
    assert!(["r1", "r2"].contains(&last) && last != first, "{:?}", harness.promotions);
}

/// Two targets of each of `services`, the primary in the domain of `p`, that announce themselves.
fn announce_services(harness: &mut Harness, services: &[Service], sequence: u64) {
    for service in services {
        for (role, target) in [(TargetRole::Primary, "p"), (TargetRole::Replica, "r1")] {
            let announcement = Announcement {
                service: service.clone(),
                domain: domain_of(target),
                role,
                sequence,
                ..joining(&format!("{service}-{target}"))
            };
            harness.registry.record(harness.now, &announcement);
        }
    }
}

/// Guards against a change of all primaries at once: more services than may change at a time lose
/// the use of their primaries with one domain. All of them get their turn, although no target
/// answers.
#[test]
fn number_of_planned_changes_is_bounded() {
    let mut harness = Harness::new();
    let services: Vec<Service> = (0..20).map(|it| format!("s{it:02}").as_str().into()).collect();
    let mut failover = Failover::default();
    for service in &services {
        failover.record_primary_claim(service, &format!("{service}-p").as_str().into());
    }
    harness.set_evacuated("p", true);
    let mut changed: IndexSet<Service> = IndexSet::new();
    for step in 0..400 {
        if step % 20 == 0 {
            announce_services(&mut harness, &services, step + 1);
        }
        harness.now += Millis(STEP_MS);
        harness.report();
        failover.tick(&harness.cx(), services.iter().cloned(), &harness.unfinished);
        let is_changing = |it: &&Service| {
            failover.primary(it, &harness.unfinished).is_some_and(|(_, changing)| changing)
        };
        let changing: Vec<&Service> = services.iter().filter(is_changing).collect();
        assert!(changing.len() <= 8, "{changing:?}");
        changed.extend(changing.into_iter().cloned());
    }
    assert_eq!(changed.len(), services.len(), "no service waits for ever");
}
