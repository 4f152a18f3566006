//! Entry hosts as a new leader knows them.

use pomelopin::{
    clock::Millis,
    fleet::{
        hosts::Hosts,
        messages::{EntryHost, HostReport, ViewRevision},
    },
    ids::Incarnation,
};

fn host(id: &str) -> EntryHost {
    EntryHost { id: id.into(), addr: format!("{id}:1"), domain: "a".into() }
}

fn report(id: &str, leaving: bool) -> HostReport {
    HostReport {
        host: id.into(),
        incarnation: Incarnation(1),
        sent_at: Millis(0),
        config_version: 1,
        view_revision: ViewRevision::default(),
        bus_addr: format!("{id}:1"),
        domain: "a".into(),
        leaving,
        usage: Vec::new(),
        targets: Vec::new(),
        acknowledged: Vec::new(),
        known_targets: Vec::new(),
    }
}

fn owners(hosts: &Hosts) -> Vec<String> {
    let mut ids: Vec<String> = hosts.owners().iter().map(|host| host.id.to_string()).collect();
    ids.sort_unstable();
    ids
}

/// Guards against entry hosts that open connections of their own beyond the limit of a
/// target: the first view of a new leader named no owners (kcrc-pool scale-1, 2,661
/// connections over the limit).
#[test]
fn hosts_of_an_earlier_leader_stay_owners() {
    let mut hosts = Hosts::new(Millis(0));
    hosts.expect(Millis(0), [host("h1"), host("h2"), host("h3")].iter());
    assert_eq!(owners(&hosts), ["h1", "h2", "h3"]);
    assert!(!hosts.note(Millis(10), &report("h1", false)), "nothing changes for the others");
    assert!(hosts.note(Millis(10), &report("h2", true)), "h2 leaves");
    assert_eq!(owners(&hosts), ["h1", "h3"]);
    assert!(!hosts.forget_silent(Millis(4_000)));
    hosts.note(Millis(4_000), &report("h1", false));
    assert!(hosts.forget_silent(Millis(6_000)), "h3 has not reported");
    assert_eq!(owners(&hosts), ["h1"]);
}
