//! Targets that may be promoted at any time: hosts must know them, and each must hold every
//! acknowledged commit.

use pomelopin::{clock::Millis, fleet::messages::TargetRole, ids::Mark};

use crate::harness::{Harness, service};

fn successors(harness: &Harness) -> Vec<String> {
    let successors = harness.failover.successors(&service(), &harness.unfinished);
    successors.into_iter().map(|it| it.id.to_string()).collect()
}

/// Guards against commits that are acknowledged by a replica which restarts, so that its pause
/// ends, just before the hosts confirm the view.
#[test]
fn positions_from_before_the_confirmation_prove_nothing() {
    let mut harness = Harness::new();
    harness.run(11_000);
    harness.hosts_confirm_view = false;
    harness.announce(true);
    harness.run(500);
    assert_eq!(successors(&harness), ["r2"]);
    harness.paused.clear();
    harness.targets["r1"] = Some((TargetRole::Replica, Mark::new(3, 101)));
    harness.targets["p"] = Some((TargetRole::Primary, Mark::new(3, 101)));
    harness.hosts_confirm_view = true;
    harness.run(1_000);
    assert!(harness.promotions.is_empty(), "{:?}", harness.promotions);
    harness.targets["r2"] = Some((TargetRole::Replica, Mark::new(3, 101)));
    harness.run(500);
    assert_eq!(harness.promoted_targets(), ["r2"]);
}

/// Guards against a change that waits for commits which only the primary has: no replica has
/// received them, so they were not acknowledged.
#[test]
fn commits_without_a_receipt_do_not_stop_a_change() {
    let mut harness = Harness::new();
    harness.targets["p"] = Some((TargetRole::Primary, Mark::new(3, 140)));
    harness.primary_failing_for = Some(Millis(800));
    harness.run(1_000);
    assert_eq!(harness.promoted_targets(), ["r2"]);
}

/// Guards against hosts that do not know which target an earlier leader may have called for.
#[test]
fn next_leader_names_the_target_of_an_earlier_call() {
    let mut harness = Harness::new();
    harness.platform_promotes = false;
    harness.announce(true);
    harness.run(1_000);
    assert_eq!(harness.promoted_targets()[0], "r2");
    harness.replace_leader();
    assert_eq!(successors(&harness), ["r2"]);
}

/// Guards against a call that takes effect after another target was chosen: its target must stay a
/// successor until a newer call was accepted, also under the next leader.
#[test]
fn target_of_a_superseded_call_stays_a_successor() {
    let mut harness = Harness::new();
    harness.platform_promotes = false;
    harness.announce(true);
    harness.run(1_000);
    harness.targets["r2"] = None;
    harness.registry.remove(&"r2".into());
    harness.run(2_000);
    assert_eq!(successors(&harness), ["r2", "r1"]);
    harness.replace_leader();
    assert_eq!(successors(&harness), ["r2", "r1"]);
    harness.platform_promotes = true;
    harness.run(8_000);
    assert!(harness.unfinished.is_empty());
    assert_eq!(successors(&harness), Vec::<String>::new());
}

/// Guards against hosts that rely on a primary which an unanswered call may replace: without
/// compared tokens, the call is not voided by a newer one.
#[test]
fn unanswered_call_makes_its_target_a_successor_where_tokens_are_not_compared() {
    let mut harness = Harness::new();
    harness.promotions_are_fenced = false;
    harness.platform_promotes = false;
    harness.announce(true);
    harness.run(1_000);
    harness.targets["p"] = Some((TargetRole::Replica, Mark::new(4, 100)));
    harness.targets["r1"] = Some((TargetRole::Replica, Mark::new(4, 100)));
    harness.targets["r2"] = Some((TargetRole::Primary, Mark::new(4, 100)));
    harness.run(500);
    let primary = harness.failover.primary(&service(), &harness.unfinished);
    assert_eq!(primary, Some((Some(&"r2".into()), false)));
    harness.platform_promotes = true;
    harness.announce_draining("r2");
    harness.run(15_000);
    assert_eq!(harness.promoted_targets().last(), Some(&"r1"));
    let primary = harness.failover.primary(&service(), &harness.unfinished);
    assert_eq!(primary, Some((Some(&"r1".into()), true)));
    assert!(successors(&harness).contains(&"r2".to_owned()));
    harness.registry.remove(&"r2".into());
    harness.run(500);
    let primary = harness.failover.primary(&service(), &harness.unfinished);
    assert_eq!(primary, Some((Some(&"r1".into()), false)));
}

/// Guards against commits of a host without contact that does not know a target which has just
/// joined: it is promoted only once the view of every host has it or has expired.
#[test]
fn target_that_a_lost_host_may_not_know_is_not_promoted() {
    let mut harness = Harness::new();
    harness.replace_leader_beside_a_lost_host();
    harness.announce(true);
    harness.run(6_500);
    assert!(harness.promotions.is_empty(), "{:?}", harness.promotions);
    harness.run(1_000);
    assert_eq!(harness.promotions.len(), 1);
}
