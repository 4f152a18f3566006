//! Guards against lost or doubled operator changes and against stale commands that
//! take effect.

mod cluster_fixtures;

use cluster_fixtures::*;
use pomelopin::{
    ids::{ApplyId, Incarnation, Revision, Service, Term, Workspace},
    state::{
        model::{
            Access, Action, ApplyAnswer, Change, ClusterState, Command, DesiredState, Drain, Group,
            Host, HostSpec, InstanceSpec, KeySpec, KeyState, Route, WorkspaceSpec,
        },
        state_machine::{MAX_ANSWERS, MAX_AUDIT_ENTRIES},
        status::status,
    },
    wire::operator::HostState,
};

fn with_workspace(rate: u32, state: KeyState) -> DesiredState {
    let key = KeySpec { verifier: "ab".repeat(32), state };
    let keys = [("karoo-1".into(), key)].into();
    let services = vec!["ledger-1".into()];
    let spec = WorkspaceSpec { rate, burst: 10, services, keys };
    DesiredState { workspaces: [("karoo".into(), spec)].into(), ..desired_state(Vec::new()) }
}

#[test]
fn racing_applies_accept_one_and_repeated_ids_get_the_first_answer() {
    let mut state = cluster_state(0);
    let accepted = ApplyAnswer::Accepted { version: 2, revision: Revision(5) };
    let conflict = ApplyAnswer::Conflict { expected: 1, current: 2 };
    let (one, two) = (with_workspace(10, KeyState::Active), with_workspace(20, KeyState::Active));
    let cases = [
        ("a", 1, &one, &accepted, "the first of two racing files is accepted"),
        ("b", 1, &two, &conflict, "the second one is not"),
        ("a", 1, &one, &accepted, "a resent request gets its answer"),
        ("b", 1, &two, &conflict, "also if it was a conflict"),
        ("b", 2, &two, &conflict, "and under whatever version it is resent"),
    ];
    for (number, (id, expected, desired, answer, what)) in cases.into_iter().enumerate() {
        let applied = apply_checked(&mut state, &apply_command(id, expected, desired.clone()));
        assert_eq!(applied.answer.as_ref(), Some(answer), "{what}");
        assert_eq!(applied.changes.is_empty(), number > 0, "{what}");
        assert_eq!((state.view.version, &state.view.desired), (2, &one), "{what}");
        assert_eq!(state.file, "version = 2", "{what}");
    }
    let conflict = apply_checked(&mut state, &apply_command("old", 0, one.clone())).answer;
    assert_eq!(conflict, Some(ApplyAnswer::Conflict { expected: 0, current: 2 }));
}

#[test]
fn apply_changes_and_audits_only_what_differs() {
    let mut state = cluster_state(0);
    apply_checked(&mut state, &apply_command("a", 1, with_workspace(10, KeyState::Active)));
    state.audit.clear();
    let applied =
        apply_checked(&mut state, &apply_command("b", 2, with_workspace(10, KeyState::Withdrawn)));
    let workspace = &state.view.desired.workspaces[&Workspace::from("karoo")];
    let expected = [Change::Version(3), Change::Workspace("karoo".into(), Some(workspace.clone()))];
    assert_eq!(applied.changes, expected);

    let [entry] = state.audit.as_slice() else { panic!("{:?}", state.audit) };
    assert_eq!((entry.actor.as_str(), entry.revision), ("thandi", state.view.revision));
    assert_eq!(entry.item, "key karoo-1 of workspace karoo");
    assert_eq!(entry.before, "active, verifier abababab...");
    assert_eq!(entry.after, "withdrawn, verifier abababab...");

    let applied =
        apply_checked(&mut state, &apply_command("c", 3, with_workspace(10, KeyState::Withdrawn)));
    assert_eq!(applied.changes, [Change::Version(4)], "an equal file changes the version only");
    assert_eq!(state.audit.len(), 1);
}

#[test]
fn routes_change_for_each_service_on_its_own() {
    // At the target size all routes together exceed the control traffic of a host.
    let route = |service: &str, table: &str| Route {
        service: service.into(),
        table: table.into(),
        action: Action::Insert,
        access: Access::Keyed,
        idempotent: false,
        max_staleness_ms: None,
    };
    let (one, two) = (route("ledger-1", "bookings"), route("ledger-2", "bookings"));
    let other = route("ledger-1", "credits");
    let cases = [
        (vec![one.clone(), two.clone()], &["ledger-1", "ledger-2"][..]),
        (vec![two.clone(), one.clone()], &[]),
        (vec![one, other.clone(), two.clone()], &["ledger-1"]),
        (vec![two], &["ledger-1"]),
        (vec![other], &["ledger-1", "ledger-2"]),
        (vec![], &["ledger-1"]),
    ];
    let mut state = cluster_state(0);
    for (version, (routes, changed)) in (1..).zip(cases) {
        let desired = DesiredState { routes: routes.clone(), ..desired_state(Vec::new()) };
        let applied =
            apply_checked(&mut state, &apply_command(&version.to_string(), version, desired));
        let services = applied.changes.iter().filter_map(|change| match change {
            Change::Routes(service, _) => Some(service.as_str()),
            _ => None,
        });
        let mut services = services.collect::<Vec<_>>();
        services.sort_unstable();
        assert_eq!(services, changed, "version {version}");
        let held = &state.view.desired.routes;
        assert_eq!(held.len(), routes.len());
        assert!(routes.iter().all(|route| held.contains(route)), "version {version}");
    }
}

#[test]
fn remembered_answers_and_audit_are_bounded() {
    let mut state = ClusterState::default();
    for number in 0..=MAX_ANSWERS as u64 {
        let rate = u32::try_from(number).expect("small") + 1;
        apply_checked(
            &mut state,
            &apply_command(&number.to_string(), number, with_workspace(rate, KeyState::Active)),
        );
    }
    assert_eq!(state.answers.len(), MAX_ANSWERS);
    assert!(!state.answers.contains_key(&ApplyId::from("0")), "the oldest answer is dropped");
    assert!(state.answers.contains_key(&ApplyId::from("1")));
    for term in 1..=MAX_AUDIT_ENTRIES as u64 {
        let (service, term) = ("ledger-1".into(), Term(term));
        let reason = String::new();
        apply_checked(
            &mut state,
            &Command::PromotionStarted { service, term, preferred: None, reason },
        );
    }
    assert_eq!(state.audit.len(), MAX_AUDIT_ENTRIES);
}

#[test]
fn stale_host_and_instance_commands_have_no_effect() {
    let mut state = cluster_state(2);
    apply_checked(&mut state, &host_joined(0, 5));
    apply_checked(&mut state, &host_leaving(1, 1));
    let newer = InstanceSpec { incarnation: Incarnation(7), ..instance_spec(0) };
    apply_checked(&mut state, &Command::InstanceAnnounced(newer.clone()));
    let cases = [
        ("join of an earlier incarnation", host_joined(0, 4)),
        ("repeated join", host_joined(0, 5)),
        ("leave of an earlier incarnation", host_leaving(0, 4)),
        ("leave of an unknown host", host_leaving(9, 1)),
        ("end of a lease of an unknown incarnation", host_left(0, 4)),
        ("return of a leaving host", host_joined(1, 1)),
        ("earlier incarnation of an instance", Command::InstanceAnnounced(instance_spec(0))),
        ("repeated announcement", Command::InstanceAnnounced(newer)),
        ("nothing", Command::Noop),
    ];
    let before = state.clone();
    for (what, command) in cases {
        assert_eq!(apply_checked(&mut state, &command).changes, [], "{what}");
        assert_eq!(state, before, "{what}");
    }
}

#[test]
fn restarted_host_waits_for_the_lease_of_its_earlier_incarnation() {
    // The earlier process may be frozen and still hold its connections.
    let mut state = cluster_state(1);
    apply_checked(&mut state, &host_joined(0, 2));
    let of_incarnation = |incarnation, connections| Some((Incarnation(incarnation), connections));
    let seen = |state: &ClusterState| {
        let instance = instance_in(state, 0);
        [&instance.owner, &instance.previous]
            .map(|it| it.as_ref().map(|it| (it.incarnation, it.connections)))
    };
    assert_eq!(seen(&state), [of_incarnation(2, 0), of_incarnation(1, CONNECTION_LIMIT)]);
    apply_checked(&mut state, &host_left(0, 1));
    assert_eq!(seen(&state), [of_incarnation(2, CONNECTION_LIMIT), None]);
    assert!(state.view.hosts.contains_key(&host(0, 1).id), "the new incarnation stays");
}

#[test]
fn drains_and_ended_leases_move_ownership() {
    let mut state = cluster_state(1);
    apply_checked(&mut state, &host_joined(3, 1));
    let drain = Drain::Host(host(0, 1).id);
    apply_checked(&mut state, &apply_command("drain", 1, desired_state(vec![drain])));
    for number in 0..3 {
        let [Some((owner, _)), _] = owners(&state, number) else { panic!("no owner") };
        assert_eq!(owner, "host-3", "a drained host gets no ownership");
    }
    apply_checked(&mut state, &host_left(0, 1));
    apply_checked(&mut state, &host_left(3, 1));
    for number in 0..3 {
        assert_eq!(owners(&state, number), [None, None], "no host is left");
    }
    apply_checked(&mut state, &Command::HostJoined(Host { leaving: true, ..host(1, 1) }));
    assert_eq!(owners(&state, 0), [None, None], "a leaving host gets no ownership");
}

#[test]
fn promotions_follow_terms() {
    let service = || "ledger-1".into();
    let started = |term| Command::PromotionStarted {
        service: service(),
        term: Term(term),
        preferred: None,
        reason: "primary is silent".into(),
    };
    let finished = |term, number| Command::PromotionFinished {
        service: service(),
        term: Term(term),
        primary: instance_spec(number).id,
    };
    let observed = |term, number| Command::PrimaryObserved {
        service: service(),
        term: Term(term),
        primary: instance_spec(number).id,
    };
    let cases = [
        (observed(1, 9), false, "an unknown instance is no primary"),
        (observed(1, 0), true, "the first primary is taken as announced"),
        (observed(2, 1), false, "later ones need a promotion"),
        (started(1), false, "a promotion needs a term above the group's"),
        (started(2), true, "start"),
        (started(2), false, "a second start needs a higher term"),
        (finished(3, 1), false, "the end must match the running promotion"),
        (started(4), true, "a new leader resumes under a higher term"),
        (finished(2, 1), false, "the earlier promotion no longer ends"),
        (finished(4, 9), false, "an unknown instance is not promoted"),
        (finished(4, 1), true, "end"),
        (finished(4, 2), false, "a repeated end has no effect"),
        (observed(9, 2), false, "the group has a primary"),
    ];
    let mut state = cluster_state(1);
    for (command, takes_effect, what) in cases {
        assert_eq!(!apply_checked(&mut state, &command).changes.is_empty(), takes_effect, "{what}");
    }
    let primary = Some(instance_spec(1).id);
    let group = Group { term: Term(4), primary, promotion: None };
    assert_eq!(state.view.groups[&Service::from("ledger-1")], group);
    let last = state.audit.last().expect("audit entry");
    assert_eq!(last.before, "term 1, primary ledger-1-0, promotion at term 4");
    assert_eq!(last.after, "term 4, primary ledger-1-1 (promoted)");
}

#[test]
fn status_shows_missing_hosts_and_transfers() {
    let mut state = cluster_state(1);
    apply_checked(&mut state, &host_joined(3, 1));
    let mut desired = desired_state(vec![Drain::Host(host(0, 1).id)]);
    let spec = HostSpec { failure_domain: failure_domain(2) };
    desired.hosts = [("host-0", &spec), ("host-8", &spec)]
        .map(|(host, spec)| (host.into(), spec.clone()))
        .into();
    apply_checked(&mut state, &apply_command("drain", 1, desired));
    let acknowledged = [(host(0, 1).id, Revision(3))].into();
    let seen = status(&state.view, &acknowledged, Some("control-1".into()), Vec::new());

    let hosts = seen.hosts.iter().map(|host| (host.id.as_str(), host.state, host.revision));
    let expected = [
        ("host-0", HostState::Draining, Some(Revision(3))),
        ("host-3", HostState::Live, None),
        ("host-8", HostState::Missing, None),
    ];
    assert_eq!(hosts.collect::<Vec<_>>(), expected);
    assert_eq!((seen.groups[0].announced, seen.groups[0].expected), (3, 3));

    let text = pomelopin::cli::status::text(&seen);
    assert!(text.starts_with("version 2  revision 7  leader control-1\n"), "{text}");
    let owner = "host-3 (epoch 4, 0/15 connections)  host-0 (epoch 1, 15/15 connections)";
    assert!(
        text.lines().any(|line| line.starts_with("ledger-1-0") && line.contains(owner)),
        "{text}"
    );
}
