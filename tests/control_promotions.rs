//! Promotions on the control leader: start, conditions and resumption.

use pomelopin::{
    clock::Millis,
    control::{leases::LeaseTable, promotions::Promotions},
    ids::{Epoch, HostId, Incarnation, InstanceId, Mark, Revision, Service, Term},
    promotion::state_machine::{Action, Event},
    settings::{promotion::PromotionSettings, timing::LeaseTiming},
    state::model::{
        Assignment, ClusterView, Command, Group, Host, Instance, InstanceSpec, Promotion, Role,
        ServiceSpec,
    },
    wire::control::{FenceResponse, Observation, RenewRequest},
};

fn service() -> Service {
    Service::from("returns")
}

fn instance(number: u64) -> InstanceId {
    InstanceId::from(format!("r{number}"))
}

fn host() -> Host {
    Host {
        id: HostId::from("e1"),
        incarnation: Incarnation(1),
        failure_domain: "korba".into(),
        peer_addr: String::new(),
        bus_addr: String::new(),
        leaving: false,
    }
}

/// Three instances owned by `e1`, with `r1` as primary of term 4.
fn view() -> ClusterView {
    let mut view = ClusterView { revision: Revision(10), ..ClusterView::default() };
    view.desired.services.insert(service(), ServiceSpec { instances: 3 });
    view.hosts.insert(host().id, host());
    for number in 1..=3 {
        let spec = InstanceSpec {
            id: instance(number),
            service: service(),
            failure_domain: "korba".into(),
            incarnation: Incarnation(1),
            sql_addr: String::new(),
            http_addr: String::new(),
            slots: 2,
            connections: 15,
            leaving: false,
        };
        let owner = Assignment {
            host: host().id,
            incarnation: Incarnation(1),
            epoch: Epoch(number),
            connections: 15,
        };
        let placed = Instance { spec, owner: Some(owner), previous: None };
        view.instances.insert(instance(number), placed);
    }
    let group = Group { term: Term(4), primary: Some(instance(1)), promotion: None };
    view.groups.insert(service(), group);
    view
}

fn observation(number: u64, role: Role, silent_ms: u64) -> Observation {
    let position = Mark::new(4, 20);
    Observation { service: service(), instance: instance(number), role, position, silent_ms }
}

fn starts(actions: &[Action]) -> Vec<Term> {
    let term = |action: &Action| match action {
        Action::ProposeStart { term, .. } => Some(*term),
        _ => None,
    };
    actions.iter().filter_map(term).collect()
}

/// Guards against a promotion because of a single observer, and against a missing
/// promotion when a majority has lost contact with the primary.
#[test]
fn promotion_starts_when_a_majority_lost_the_primary() {
    for (lost_primary, wanted) in [(1, vec![]), (2, vec![Term(5)]), (3, vec![Term(5)])] {
        let view = view();
        let leases = LeaseTable::new(Millis(0), &view, LeaseTiming::default());
        let mut promotions = Promotions::new(PromotionSettings::default());
        for number in 1..=3 {
            let silent_ms = if number <= lost_primary { 1_500 } else { 0 };
            promotions.observe(Millis(0), &observation(number, Role::Replica, silent_ms), &view);
        }
        assert_eq!(starts(&promotions.tick(Millis(10), &view, &leases)), wanted, "{lost_primary}");
    }
}

/// Guards against a promotion that remains unfinished after the loss of its leader, and
/// against a second primary under the same term.
#[test]
fn new_leader_resumes_promotion_under_higher_term() {
    let mut view = view();
    let group = view.groups.get_mut(&service());
    let promotion = Some(Promotion { term: Term(7), preferred: None });
    group.into_iter().for_each(|group| group.promotion = promotion.clone());
    let leases = LeaseTable::new(Millis(0), &view, LeaseTiming::default());
    let mut promotions = Promotions::new(PromotionSettings::default());
    assert_eq!(starts(&promotions.tick(Millis(10), &view, &leases)), [Term(8)]);
    assert_eq!(promotions.running(), 1);
}

/// Guards against a new primary while the owner of the old one may still acknowledge
/// writes: the owner must have acknowledged the start or hold no lease.
#[test]
fn promotion_waits_for_owner_of_old_primary() {
    // Revision that the owner acknowledges, time, whether the promotion proceeds.
    let cases = [(10, 100, false), (11, 100, true), (10, 2_399, false), (10, 2_401, true)];
    for (revision, at, wanted) in cases {
        let (mut view, mut promotions) = (view(), Promotions::new(PromotionSettings::default()));
        let mut leases = LeaseTable::new(Millis(0), &view, LeaseTiming::default());
        for number in 1..=3 {
            promotions.observe(Millis(0), &observation(number, Role::Replica, 1_500), &view);
        }
        promotions.tick(Millis(0), &view, &leases);
        commit_start(&mut promotions, &mut view);
        for number in 2..=3 {
            let response =
                FenceResponse { accepted: true, term: Term(5), last: Mark::new(4, number) };
            let event =
                Event::FenceResponse { instance: instance(number), term: Term(5), response };
            promotions.handle_event(Millis(0), &service(), event);
        }
        leases.renew(Millis(0), &renewal(revision));
        let actions = promotions.tick(Millis(at), &view, &leases);
        let promoted = Action::Promote { instance: instance(3), term: Term(5) };
        assert_eq!(actions.contains(&promoted), wanted, "revision {revision} at {at}: {actions:?}");
    }
}

fn commit_start(promotions: &mut Promotions, view: &mut ClusterView) {
    view.revision = Revision(11);
    let promotion = Some(Promotion { term: Term(5), preferred: None });
    let group = view.groups.get_mut(&service());
    group.into_iter().for_each(|group| group.promotion = promotion.clone());
    let command = Command::PromotionStarted {
        service: service(),
        term: Term(5),
        preferred: None,
        reason: String::new(),
    };
    promotions.committed(Millis(0), &command, view);
}

fn renewal(revision: u64) -> RenewRequest {
    RenewRequest {
        host: host(),
        sent_at: Millis(0),
        revision: Revision(revision),
        stopped: false,
        announced: Vec::new(),
        observations: Vec::new(),
        releases: Vec::new(),
    }
}

/// Guards against an observation that replaces a known primary.
#[test]
fn observed_primary_is_accepted_only_for_group_without_primary() {
    let (view, primary) = (view(), observation(2, Role::Primary, 0));
    let mut vacant = view.clone();
    vacant.groups.clear();
    let mut promotions = Promotions::new(PromotionSettings::default());
    assert_eq!(promotions.observe(Millis(0), &primary, &view), None);
    let replica = observation(2, Role::Replica, 0);
    assert_eq!(promotions.observe(Millis(0), &replica, &vacant), None);
    let observed =
        Command::PrimaryObserved { service: service(), term: Term(4), primary: instance(2) };
    assert_eq!(promotions.observe(Millis(0), &primary, &vacant), Some(observed));
    assert_eq!(promotions.observe(Millis(500), &primary, &vacant), None, "proposal in progress");
}
