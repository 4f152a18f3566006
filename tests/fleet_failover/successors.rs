//! Targets that may be promoted at any time: hosts must know them, and each must hold every
//! acknowledged commit.

use pomelopin::{
    clock::Millis,
    fleet::{messages::TargetRole, registry::Registry},
    ids::Mark,
};

use crate::harness::{Harness, joining, service};

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

/// Harness in which all targets have been known for long and `r2` is named as the successor, while
/// no host has confirmed that yet.
fn harness_before_the_confirmation() -> Harness {
    let mut harness = Harness::new();
    harness.run(11_000);
    harness.hosts_confirm_view = false;
    harness.announce(true);
    harness.run(500);
    assert_eq!(successors(&harness), ["r2"]);
    harness
}

/// Guards against a commit that is lost with a replica that has left, and that no host reports: the
/// pause of the replica may have ended, so that its last known position is not its final one.
#[test]
fn position_of_a_paused_replica_that_leaves_is_not_final() {
    for primary in [None, Some((TargetRole::Primary, Mark::new(3, 101)))] {
        let mut harness = harness_before_the_confirmation();
        harness.paused.clear();
        harness.registry.remove(&"r1".into());
        harness.targets["r1"] = None;
        harness.targets["p"] = primary;
        harness.restart_hosts();
        harness.hosts_confirm_view = true;
        harness.run(3_000);
        assert!(harness.promotions.is_empty(), "{:?}", harness.promotions);
    }
}

/// Guards against a commit that is lost because the primary that ran it has left and is not
/// counted among the targets that may hold more.
#[test]
fn primary_that_has_left_counts_as_a_target_that_may_hold_more() {
    for r1 in [None, Some((TargetRole::Replica, Mark::new(3, 101)))] {
        let mut harness = harness_before_the_confirmation();
        harness.paused.clear();
        harness.targets["r1"] = r1;
        harness.targets["p"] = None;
        harness.registry.remove(&"p".into());
        harness.restart_hosts();
        harness.hosts_confirm_view = true;
        harness.run(3_000);
        assert!(!harness.promoted_targets().contains(&"r2"), "{:?}", harness.promotions);
    }
}

/// Guards against calls that are repeated for a candidate which has lost its log.
#[test]
fn candidate_whose_position_falls_is_called_for_no_more() {
    let mut harness = Harness::new();
    harness.platform_promotes = false;
    harness.announce(true);
    harness.run(1_000);
    let sent = harness.promotions.len();
    assert!(sent > 0);
    harness.targets["r2"] = Some((TargetRole::Replica, Mark::new(0, 0)));
    harness.run(2_000);
    let repeated = harness.promoted_targets()[sent..].iter().filter(|id| **id == "r2").count();
    assert!(repeated <= 2, "{:?}", harness.promotions);
}

/// Guards against commits of a host without contact that does not know a target which another host
/// has reported to the leader.
#[test]
fn target_that_one_host_has_reported_is_not_known_to_all() {
    let mut harness = Harness::new();
    harness.registry = Registry::default();
    harness.targets.retain(|id, _| *id == "p");
    harness.announce(false);
    harness.run(11_000);
    let cut_at = harness.now;
    harness.report_once("h9");
    harness.run(100);
    harness.registry.record_reported(harness.now, &joining("r3"));
    harness.targets.insert("r3", Some((TargetRole::Replica, Mark::new(3, 100))));
    harness.view += 1;
    harness.announce(true);
    harness.run(6_400 - 100);
    assert!(harness.promotions.is_empty(), "{} since the last report", harness.now.since(cut_at));
}

/// Guards against a change that stays with a candidate which was never called for and no longer
/// receives: the primary may serve without it, or another candidate may be promoted.
#[test]
fn candidate_that_was_never_called_for_is_given_up() {
    for (leaves, failing) in [(true, None), (false, Some(Millis(800)))] {
        let mut harness = Harness::new();
        harness.run(11_000);
        harness.hosts_confirm_view = false;
        harness.primary_failing_for = failing;
        harness.announce(leaves);
        harness.run(1_000);
        assert_eq!(successors(&harness), ["r2"]);
        harness.hosts_confirm_view = true;
        harness.primary_failing_for = None;
        harness.targets["p"] = Some((TargetRole::Primary, Mark::new(3, 105)));
        harness.targets["r1"] = Some((TargetRole::Replica, Mark::new(3, 105)));
        harness.acknowledged = Mark::new(3, 105);
        for _ in 0..15 {
            harness.announce(leaves);
            harness.run(1_000);
        }
        let expected: &[&str] = if leaves { &["r1"] } else { &[] };
        assert_eq!(harness.promoted_targets(), expected);
        assert_eq!(successors(&harness), Vec::<String>::new());
    }
}

/// Guards against tokens that a leader uses twice after it was suspended for a moment: an answer
/// to an earlier call would count for a later one.
#[test]
fn tokens_continue_after_the_state_of_a_leader_is_reset() {
    let mut harness = Harness::new();
    harness.platform_promotes = false;
    harness.announce(true);
    harness.run(1_000);
    let newest = harness.promotions.last().expect("a call was sent").1;
    harness.failover = harness.failover.reset();
    harness.failover.record_primary_claim(&service(), &"p".into());
    harness.run(3_000);
    let next = harness.promotions.iter().map(|(_, token)| *token).find(|token| *token > newest);
    assert_eq!(next, Some(newest + 1));
    assert!(harness.promotions.iter().map(|(_, token)| *token).is_sorted_by(|a, b| a < b));
}
