//! Primary of a service according to an entry host.

mod gateway_fixture;

use gateway_fixture::target;
use pomelopin::{
    clock::Millis,
    fleet::messages::{Announcement, FleetView, Primary, TargetRole, ViewRevision},
    gateway::topology::Topology,
    ids::Service,
};

fn replica(id: &str) -> Announcement {
    target(id, TargetRole::Replica)
}

fn view(number: u64, primary: &str) -> FleetView {
    FleetView {
        revision: ViewRevision { term: 1, number },
        targets: vec![replica("p"), replica("r")],
        primaries: vec![Primary {
            service: "ledger".into(),
            id: Some(primary.into()),
            changing: false,
        }],
        ..FleetView::default()
    }
}

fn primary(topology: &Topology, now: u64) -> Option<String> {
    let primary = topology.primary(Millis(now), &Service::from("ledger"));
    primary.map(|target| target.id.to_string())
}

/// Guards against refused writes after a promotion at a host without contact to control
/// (incident inc-a0a2): it must use the primary that it discovered until the next view.
#[test]
fn discovered_primary_is_used_until_the_next_view() {
    let service = Service::from("ledger");
    let mut topology = Topology::default();
    topology.set_view(view(1, "p"));
    assert_eq!(primary(&topology, 0).as_deref(), Some("p"));
    topology.mark_not_primary(Millis(0), &service, &"p".into());
    assert_eq!(primary(&topology, 10), None);
    topology.set_discovered_primary(&service, &"r".into(), topology.revision());
    assert_eq!(primary(&topology, 20).as_deref(), Some("r"));
    topology.set_view(view(2, "p"));
    assert_eq!(primary(&topology, 30).as_deref(), Some("p"));
}

/// Guards against the use of a discovered primary that is not in the view.
#[test]
fn discovered_primary_must_be_in_the_view() {
    let service = Service::from("ledger");
    let mut topology = Topology::default();
    topology.set_view(view(1, "p"));
    topology.set_discovered_primary(&service, &"gone".into(), topology.revision());
    assert_eq!(primary(&topology, 0).as_deref(), Some("p"));
}

/// Guards against the outcome of a search that overrides a view which came after its beginning
/// (review/3).
#[test]
fn primary_discovered_under_an_older_view_is_not_used() {
    let service = Service::from("ledger");
    let mut topology = Topology::default();
    topology.set_view(view(1, "p"));
    let asked_under = topology.revision();
    topology.set_view(view(2, "r"));
    topology.set_discovered_primary(&service, &"p".into(), asked_under);
    assert_eq!(primary(&topology, 0).as_deref(), Some("r"));
}

/// Guards against work for a primary that has said seconds ago that it leaves, while calls that
/// promote its successor get no answer (DRAIN on scb-pomelopin, late-promotions.toml --vary --seed
/// 1057613245310).
#[test]
fn primary_that_has_been_leaving_for_seconds_gets_no_new_work() {
    let mut topology = Topology::default();
    let draining = |number| {
        let leaving = Announcement { draining: true, ..replica("p") };
        FleetView { targets: vec![leaving, replica("r")], ..view(number, "p") }
    };
    topology.set_view(draining(1));
    topology.record_draining(Millis(10_000));
    assert_eq!(primary(&topology, 13_900).as_deref(), Some("p"));
    topology.set_view(draining(2));
    topology.record_draining(Millis(13_950));
    assert_eq!(primary(&topology, 14_000), None);
    assert!(topology.has_drained(Millis(14_000), &"p".into()));
    topology.set_view(view(3, "r"));
    topology.record_draining(Millis(14_100));
    assert_eq!(primary(&topology, 14_100).as_deref(), Some("r"));
}
