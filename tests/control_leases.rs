//! Lease table: joins, renewals and removals of entry hosts.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use pomelopin::{
    clock::Millis,
    control::leases::{Decision, LeaseTable},
    ids::{HostId, Incarnation, Revision},
    settings::timing::LeaseTiming,
    state::model::{ClusterView, Command, Host},
    wire::control::RenewRequest,
};

const LEASE_SPAN_MS: u64 = 2_400;

fn host(incarnation: u64) -> Host {
    Host {
        id: HostId::from("e1"),
        incarnation: Incarnation(incarnation),
        failure_domain: "korba".into(),
        peer_addr: "127.0.0.1:1".to_owned(),
        bus_addr: "127.0.0.1:2".to_owned(),
        leaving: false,
    }
}

fn renew(host: Host) -> RenewRequest {
    RenewRequest {
        host,
        sent_at: Millis(77),
        revision: Revision(3),
        stopped: false,
        announced: Vec::new(),
        observations: Vec::new(),
        releases: Vec::new(),
    }
}

fn left(incarnation: u64) -> Command {
    Command::HostLeft { host: HostId::from("e1"), incarnation: Incarnation(incarnation) }
}

/// Table of a leader elected at time 0, with incarnation 1 of `e1` in the view.
fn table() -> LeaseTable {
    let mut view = ClusterView::default();
    view.hosts.insert(HostId::from("e1"), host(1));
    LeaseTable::new(Millis(0), &view, LeaseTiming::default())
}

/// Guards against the removal of a host that holds a lease of an earlier leader.
#[test]
fn new_leader_waits_a_full_lease_before_removals() {
    let mut table = table();
    assert_eq!(table.tick(Millis(LEASE_SPAN_MS - 1)), vec![]);
    assert_eq!(table.tick(Millis(LEASE_SPAN_MS)), vec![left(1)]);
    assert_eq!(table.tick(Millis(LEASE_SPAN_MS + 500)), vec![], "the proposal is in progress");
    assert_eq!(table.tick(Millis(LEASE_SPAN_MS + 1_000)), vec![left(1)], "the proposal was lost");
}

/// Guards against a lease that ends before its full span since the renewal.
#[test]
fn renewal_extends_lease_from_its_receipt() {
    let mut table = table();
    assert_eq!(table.renew(Millis(2_000), &renew(host(1))), (Decision::Granted, vec![]));
    assert_eq!(table.tick(Millis(2_000 + LEASE_SPAN_MS - 1)), vec![]);
    assert_eq!(table.tick(Millis(2_000 + LEASE_SPAN_MS)), vec![left(1)]);
}

/// Guards against a lease for a host whose removal may already be committed.
#[test]
fn host_gets_no_lease_after_its_removal_is_proposed() {
    let mut table = table();
    table.tick(Millis(LEASE_SPAN_MS));
    let late = table.renew(Millis(LEASE_SPAN_MS + 1), &renew(host(1)));
    assert_eq!(late, (Decision::Waiting, vec![]));
    table.set_host(Millis(LEASE_SPAN_MS + 2), &HostId::from("e1"), None);
    let removed = table.renew(Millis(LEASE_SPAN_MS + 3), &renew(host(1)));
    assert_eq!(removed, (Decision::Removed, vec![]));
}

/// Guards against two incarnations that hold connections at the same time.
#[test]
fn restarted_host_joins_after_the_earlier_lease_expires() {
    let mut table = table();
    table.renew(Millis(100), &renew(host(1)));
    for at in [200, 1_000, 2_000, 2_499] {
        let answer = table.renew(Millis(at), &renew(host(2)));
        assert_eq!(answer, (Decision::Waiting, vec![]), "at {at}");
        assert_eq!(table.tick(Millis(at)), vec![], "at {at}");
    }
    assert_eq!(table.tick(Millis(100 + LEASE_SPAN_MS)), vec![left(1)]);
    let id = HostId::from("e1");
    table.set_host(Millis(2_510), &id, None);
    assert_eq!(table.tick(Millis(2_511)), vec![Command::HostJoined(host(2))]);
    table.set_host(Millis(2_520), &id, Some(&host(2)));
    let lease = table.get(&id).unwrap();
    assert_eq!((lease.echo, lease.acked_revision), (Some(Millis(77)), Revision(3)));
    assert_eq!(table.renew(Millis(2_530), &renew(host(1))).0, Decision::Removed);
    assert_eq!(table.renew(Millis(2_530), &renew(host(2))).0, Decision::Granted);
}

/// Guards against a replacement that waits for the lease of a host that has stopped.
#[test]
fn stopped_host_is_removed_at_once() {
    let mut table = table();
    let stopped = RenewRequest { stopped: true, ..renew(host(1)) };
    assert_eq!(table.renew(Millis(100), &stopped), (Decision::Waiting, vec![left(1)]));
    table.set_host(Millis(110), &HostId::from("e1"), None);
    let joined = vec![Command::HostJoined(host(2))];
    assert_eq!(table.renew(Millis(120), &renew(host(2))), (Decision::Waiting, joined));
}

/// Guards against a change that is proposed with every renewal, or lost with its proposal.
#[test]
fn host_changes_are_proposed_until_committed() {
    let leaving = Host { leaving: true, ..host(1) };
    let moved = Host { peer_addr: "127.0.0.1:9".to_owned(), ..host(1) };
    let left = Command::HostLeaving { host: HostId::from("e1"), incarnation: Incarnation(1) };
    for (changed, command) in [(leaving, left), (moved.clone(), Command::HostJoined(moved))] {
        let mut table = table();
        let answer = table.renew(Millis(100), &renew(changed.clone()));
        assert_eq!(answer, (Decision::Granted, vec![command.clone()]));
        assert_eq!(table.renew(Millis(600), &renew(changed.clone())).1, vec![]);
        assert_eq!(table.renew(Millis(1_100), &renew(changed.clone())).1, vec![command]);
        table.set_host(Millis(1_200), &HostId::from("e1"), Some(&changed));
        assert_eq!(table.renew(Millis(1_300), &renew(changed)).1, vec![]);
    }
}

/// Guards against the removal of hosts whose renewals arrived while the leader was frozen.
#[test]
fn freeze_extends_all_leases() {
    let mut table = table();
    table.extend_all(Millis(5_000));
    assert_eq!(table.tick(Millis(5_000 + LEASE_SPAN_MS - 1)), vec![]);
    assert_eq!(table.tick(Millis(5_000 + LEASE_SPAN_MS)), vec![left(1)]);
}

/// Guards against waiting for the acknowledgement of a host that holds no lease.
#[test]
fn revision_counts_as_acknowledged_after_the_lease_expires() {
    let (mut table, id) = (table(), HostId::from("e1"));
    let is_acknowledged = |table: &LeaseTable, at: u64, incarnation: u64| {
        table.is_acknowledged_or_expired(Millis(at), &id, Incarnation(incarnation), Revision(3))
    };
    assert!(!is_acknowledged(&table, 100, 1));
    assert_eq!(table.unacknowledged_hosts(Millis(100), Revision(3)), vec![id.clone()]);
    assert!(is_acknowledged(&table, LEASE_SPAN_MS, 1), "the lease has expired");
    assert!(is_acknowledged(&table, 100, 0), "the incarnation has no lease");
    table.renew(Millis(200), &renew(host(1)));
    assert!(is_acknowledged(&table, 200, 1));
    assert_eq!(table.unacknowledged_hosts(Millis(200), Revision(3)), vec![]);
    assert_eq!(table.unacknowledged_hosts(Millis(200), Revision(4)), vec![id.clone()]);
}
