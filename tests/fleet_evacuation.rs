//! Evacuations in the replicated state, and when the leader may acknowledge one.

use pomelopin::{
    clock::Millis,
    fleet::{
        allocation::Allocations,
        evacuation::{
            EvacuationOrder, Evacuations, InvalidOrder, MAX_DOMAIN_NAME_BYTES,
            MAX_EVACUATED_DOMAINS,
        },
        evacuation_rollout::{EvacuationRollout, NamedDomains},
        hosts::Hosts,
        messages::{ConfigDocument, EntryHost, FleetView, HostReport, ViewRevision},
        state::{FleetCommand, FleetState, LogEntry, allocation_entry, evacuation_entry},
        unfinished::Superseded,
    },
    ids::{FailureDomain, Incarnation},
};
use quickcheck::quickcheck;

/// Delay that the operator is promised.
const MAX_DELAY: Millis = Millis(5_000);

/// Time without contact from which a host has no lease, and stops within the promised delay.
const EXPIRY_MS: u64 = 1_750;

fn order(domain: &str, evacuated: bool) -> EvacuationOrder {
    EvacuationOrder { domain: domain.into(), evacuated }
}

fn names(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.domains().map(FailureDomain::as_str).collect()
}

/// Guards against an order that is lost behind a repeated one or another operator's: the last
/// committed one applies to its domain, and the other domains stay as they are.
#[test]
fn last_committed_order_applies() {
    let mut evacuations = Evacuations::default();
    for (domain, evacuated, changed) in [
        ("b", true, true),
        ("b", true, false),
        ("a", true, true),
        ("b", false, true),
        ("b", false, false),
        ("b", true, true),
        ("c", false, false),
    ] {
        assert_eq!(evacuations.apply(&order(domain, evacuated)), Ok(changed), "{domain}");
    }
    assert_eq!(names(&evacuations), ["a", "b"]);
}

quickcheck! {
    /// Guards against a result that depends on more than the last order on each domain, or an order
    /// of the domains that differs between control hosts.
    fn last_order_on_each_domain_decides(orders: Vec<(u8, bool)>) -> bool {
        let mut evacuations = Evacuations::default();
        let mut expected = std::collections::BTreeMap::new();
        for (domain, evacuated) in orders {
            let domain = format!("d{}", domain % 8);
            evacuations.apply(&order(&domain, evacuated)).expect("a valid order");
            expected.insert(domain, evacuated);
        }
        let expected: Vec<_> = expected.iter().filter(|(_, it)| **it).map(|(it, _)| it).collect();
        names(&evacuations) == expected
    }
}

/// Guards against views that grow without bound, and names that no log line can hold. Orders that
/// were proposed together may exceed the limit only once they are committed.
#[test]
fn limits_of_orders() {
    let mut evacuations = Evacuations::default();
    for domain in 0..MAX_EVACUATED_DOMAINS {
        assert_eq!(evacuations.apply(&order(&format!("d{domain}"), true)), Ok(true));
    }
    let one_more = order("one-more", true);
    assert_eq!(evacuations.check(&one_more), Err(InvalidOrder::TooManyDomains));
    assert_eq!(evacuations.apply(&one_more), Err(InvalidOrder::TooManyDomains));
    assert_eq!(evacuations.check(&order("d3", true)), Ok(()), "a repeated order adds none");
    assert_eq!(evacuations.apply(&order("d3", false)), Ok(true));
    assert_eq!(evacuations.apply(&one_more), Ok(true));
    let longest = "x".repeat(MAX_DOMAIN_NAME_BYTES);
    for evacuated in [true, false] {
        let check = |name: &str| Evacuations::default().check(&order(name, evacuated));
        assert_eq!(check(""), Err(InvalidOrder::Name));
        assert_eq!(check(&longest), Ok(()));
        assert_eq!(check(&format!("{longest}x")), Err(InvalidOrder::Name));
    }
}

/// Guards against orders that are lost in the log, and against older builds that reject the entry
/// or change their state by it.
#[test]
fn older_builds_ignore_orders_in_the_log() {
    let sent = order("midrand", true);
    let bytes = postcard::to_allocvec(&evacuation_entry(&sent)).expect("an encodable entry");
    let entry = LogEntry::decode(&bytes).expect("a valid entry");
    assert_eq!((entry.evacuation, entry.allocations), (Some(sent), None));
    let (command, rest): (FleetCommand, _) =
        postcard::take_from_bytes(&bytes).expect("a command that older builds know");
    let mut state = FleetState::default();
    state.apply(&command);
    // The build before this one reads a batch of allocations, and ignores what follows.
    let batch = postcard::from_bytes(rest).expect("a batch of allocations");
    state.allocations.apply(&batch);
    assert_eq!(state, FleetState::default());
    let entry = postcard::to_allocvec(&allocation_entry(&batch)).expect("an encodable entry");
    let entry = LogEntry::decode(&entry).expect("an entry of the build before this one");
    assert_eq!((entry.evacuation, entry.allocations), (None, Some(batch)));
}

/// Guards against evacuations that are lost with a truncated log, and against snapshots that older
/// builds reject, or that this one rejects.
#[test]
fn evacuations_are_in_the_snapshot() {
    let config = ConfigDocument { version: 3, ..ConfigDocument::default() };
    let mut state = FleetState { config, ..FleetState::default() };
    for domain in ["midrand", "isando"] {
        state.evacuations.apply(&order(domain, true)).expect("a valid order");
    }
    let bytes = postcard::to_allocvec(&state.snapshot()).expect("an encodable state");
    assert_eq!(FleetState::decode(&bytes).expect("a valid snapshot"), state);
    let known: (FleetState, Allocations, Superseded) =
        postcard::from_bytes(&bytes).expect("the parts that older builds know");
    assert_eq!(known.0.config, state.config);
    let older = postcard::to_allocvec(&known).expect("an encodable state");
    let decoded = FleetState::decode(&older).expect("a snapshot of an older build");
    assert_eq!(decoded.evacuations, Evacuations::default());
}

fn report(id: &str, view_revision: ViewRevision) -> HostReport {
    HostReport {
        host: id.into(),
        incarnation: Incarnation(1),
        sent_at: Millis(0),
        config_version: 1,
        view_revision,
        bus_addr: format!("{id}:1"),
        domain: "a".into(),
        leaving: false,
        usage: Vec::new(),
        targets: Vec::new(),
        acknowledged: Vec::new(),
        known_targets: Vec::new(),
        limits: None,
        load: None,
    }
}

fn revision(number: u64) -> ViewRevision {
    ViewRevision { term: 2, number }
}

fn view(number: u64, evacuated: &[&str]) -> FleetView {
    let evacuated = evacuated.iter().map(|it| (*it).into()).collect();
    FleetView { revision: revision(number), evacuated, ..FleetView::default() }
}

/// Rollout of an evacuation that is committed while `newest` is the newest view.
fn rollout(now: Millis, newest: &FleetView) -> EvacuationRollout {
    let mut named = NamedDomains::default();
    named.record(newest);
    EvacuationRollout::new(now, "midrand".into(), &named, newest.revision)
}

/// Guards against an acknowledgement while a host that is cut off may use a view without the
/// evacuation for longer than the operator was promised, and against one that waits for it for
/// ever, or for a host that has confirmed the view.
#[test]
fn acknowledgement_waits_for_a_host_that_is_cut_off() {
    let mut hosts = Hosts::new(Millis(0));
    let commit = Millis(60_000);
    hosts.record(commit, &report("h1", revision(4)));
    hosts.record(commit, &report("h2", revision(4)));
    let rollout = rollout(commit, &view(4, &["isando"]));
    let confirmed = commit + Millis(100);
    assert!(!rollout.is_complete(confirmed, &hosts, MAX_DELAY));
    hosts.record(confirmed, &report("h1", revision(5)));
    assert!(!rollout.is_complete(confirmed, &hosts, MAX_DELAY), "h2 has not confirmed");
    let before = commit + Millis(EXPIRY_MS - 1);
    assert!(!rollout.is_complete(before, &hosts, MAX_DELAY));
    let expired = commit + Millis(EXPIRY_MS);
    assert!(rollout.is_complete(expired, &hosts, MAX_DELAY), "h2 stops within the delay");
    hosts.record(confirmed, &report("h2", revision(5)));
    assert!(rollout.is_complete(confirmed, &hosts, MAX_DELAY));
}

/// Guards against an acknowledgement while a host with a lease has not learned of the evacuation,
/// if the delay is longer than hosts use their view: the host may go on for most of the delay after
/// it learns of it.
#[test]
fn long_delay_counts_on_no_host_with_a_lease() {
    let mut hosts = Hosts::new(Millis(0));
    let commit = Millis(60_000);
    hosts.record(commit, &report("h1", revision(4)));
    let rollout = rollout(commit, &view(4, &[]));
    let before = commit + Millis(EXPIRY_MS - 1);
    assert!(!rollout.is_complete(before, &hosts, Millis(60_000)));
    assert!(rollout.is_complete(commit + Millis(EXPIRY_MS), &hosts, Millis(60_000)));
}

/// Guards against a repeated order that waits for newer views than the first one that names the
/// domain, so that it is never acknowledged while views change, and against one that counts views
/// from before a withdrawal.
#[test]
fn repeated_order_waits_for_the_first_view_that_names_the_domain() {
    let mut hosts = Hosts::new(Millis(0));
    let now = Millis(60_000);
    hosts.record(now, &report("h1", revision(4)));
    let mut named = NamedDomains::default();
    for number in 4..8 {
        named.record(&view(number, &["isando", "midrand"]));
    }
    let rollout =
        |named: &NamedDomains| EvacuationRollout::new(now, "midrand".into(), named, revision(7));
    assert!(rollout(&named).is_complete(now, &hosts, MAX_DELAY));
    named.record(&view(8, &["isando"]));
    named.record(&view(9, &["isando", "midrand"]));
    assert!(!rollout(&named).is_complete(now, &hosts, MAX_DELAY));
    hosts.record(now, &report("h1", revision(9)));
    assert!(rollout(&named).is_complete(now, &hosts, MAX_DELAY));
}

/// Guards against an acknowledgement by a new leader while hosts of the earlier one, which was lost
/// between the commit and its acknowledgement, may use an older view: those that the leader knows,
/// and those that joined just before, which it does not know.
#[test]
fn new_leader_counts_with_the_hosts_of_the_earlier_one() {
    let began = Millis(60_000);
    let known = EntryHost { id: "h1".into(), addr: "h1:1".into(), domain: "a".into() };
    let names_it = view(1, &["midrand"]);
    for hosts_in_log in [&[][..], std::slice::from_ref(&known)] {
        let mut hosts = Hosts::new(began);
        hosts.expect_hosts(began, hosts_in_log.iter());
        let rollout = rollout(began, &names_it);
        assert!(!rollout.is_complete(began + Millis(EXPIRY_MS - 1), &hosts, MAX_DELAY));
        assert!(rollout.is_complete(began + Millis(EXPIRY_MS), &hosts, MAX_DELAY));
    }
}

/// Guards against hosts of an earlier term that count as having confirmed a view of this one, as
/// the numbers of their views are higher.
#[test]
fn view_of_an_earlier_term_confirms_nothing() {
    let mut hosts = Hosts::new(Millis(0));
    let now = Millis(60_000);
    hosts.record(now, &report("h1", ViewRevision { term: 1, number: 900 }));
    assert!(!rollout(now, &view(1, &["midrand"])).is_complete(now, &hosts, MAX_DELAY));
}
