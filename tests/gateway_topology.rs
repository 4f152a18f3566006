//! Primary of a service as an entry host knows it.

use pomelopin::{
    clock::Millis,
    fleet::messages::{Announcement, FleetView, Primary, TargetRole, ViewRevision},
    gateway::topology::Topology,
    ids::Service,
};

fn target(id: &str) -> Announcement {
    Announcement {
        id: id.into(),
        service: "ledger".into(),
        addr: format!("{id}:1"),
        domain: "a".into(),
        draining: false,
        role: TargetRole::Replica,
        slots: 2,
        started_at_ms: 1,
        sequence: 1,
        warmup_remaining: Millis(0),
    }
}

fn view(number: u64, primary: &str) -> FleetView {
    FleetView {
        revision: ViewRevision { term: 1, number },
        targets: vec![target("p"), target("r")],
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

/// Guards against a host without contact to control that refuses every write after a
/// promotion (incident inc-a0a2): it uses the primary that it has found itself, until
/// control tells of one.
#[test]
fn primary_that_was_found_counts_until_the_next_view() {
    let service = Service::from("ledger");
    let mut topology = Topology::default();
    topology.set_view(view(1, "p"));
    assert_eq!(primary(&topology, 0).as_deref(), Some("p"));
    topology.disprove(Millis(0), &service, &"p".into());
    assert_eq!(primary(&topology, 10), None);
    topology.find(&service, &"r".into());
    assert_eq!(primary(&topology, 20).as_deref(), Some("r"));
    topology.set_view(view(2, "p"));
    assert_eq!(primary(&topology, 30).as_deref(), Some("p"));
}

/// Guards against a primary that is gone and yet used because it was found once.
#[test]
fn primary_that_was_found_must_still_be_known() {
    let service = Service::from("ledger");
    let mut topology = Topology::default();
    topology.set_view(view(1, "p"));
    topology.find(&service, &"gone".into());
    assert_eq!(primary(&topology, 0).as_deref(), Some("p"));
}
