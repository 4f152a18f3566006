//! Guards against entry hosts that step back, miss a change or keep a wrong view.

mod cluster_fixtures;

use cluster_fixtures::*;
use pomelopin::{
    ids::Revision,
    state::{
        delta::{ChangeHistory, UpdateError},
        model::{Access, Action, Change, ClusterState, ClusterView, DesiredState, Drain, Route},
    },
    wire::control::Update,
};

fn route(service: char, age: u64) -> Route {
    Route {
        service: service.to_string().into(),
        table: "balances".into(),
        action: Action::Select,
        access: Access::Keyed,
        idempotent: true,
        max_staleness_ms: Some(age),
    }
}

/// Runs commands with changes of all kinds; returns each view with its history.
fn run(limit: usize) -> (Vec<ClusterView>, ChangeHistory) {
    let mut state = ClusterState::default();
    let mut history = ChangeHistory::new(limit);
    let mut views = vec![state.view.clone()];
    let drain = Drain::Host(host(0, 1).id);
    let mut commands = vec![apply_command("a", 0, desired_state(Vec::new()))];
    commands.extend((0..5).map(|number| host_joined(number, 1)));
    commands.extend(
        (0..3).map(|number| {
            pomelopin::state::model::Command::InstanceAnnounced(instance_spec(number))
        }),
    );
    commands.extend([
        host_left(3, 1),
        apply_command("b", 1, desired_state(vec![drain])),
        host_leaving(4, 1),
        host_left(4, 1),
    ]);
    // The order of the routes must not depend on how many changes come together.
    let files = ["abc", "abbc", "cba", "bacc", "ca"];
    commands.extend((2..).zip(files).map(|(version, services)| {
        let routes = services.chars().map(|service| route(service, version)).collect();
        let desired = DesiredState { routes, ..desired_state(Vec::new()) };
        apply_command(&version.to_string(), version, desired)
    }));
    for command in commands {
        let applied = apply_checked(&mut state, &command);
        history.record(state.view.revision, applied.changes);
        views.push(state.view.clone());
    }
    (views, history)
}

#[test]
fn every_host_reaches_the_present_view() {
    for limit in [0, 1, 5, 1_000] {
        let (views, history) = run(limit);
        let present = views.last().expect("a view");
        for view in &views {
            let mut host = view.clone();
            let update = history.update_for(host.revision, present);
            let snapshot = matches!(update, Update::Snapshot(_));
            assert!(!snapshot || limit < 1_000, "a wide window needs no snapshot");
            assert_eq!(host.apply_update(update), Ok(view.revision < present.revision));
            assert_eq!(host, *present, "limit {limit}, from revision {}", view.revision);
        }
    }
}

#[test]
fn narrow_window_keeps_recent_revisions_only() {
    let (views, history) = run(5);
    let present = views.last().expect("a view");
    let kind = |back: u64| match history.update_for(Revision(present.revision.0 - back), present) {
        Update::None => "none",
        Update::Delta { .. } => "delta",
        Update::Snapshot(_) => "snapshot",
    };
    assert_eq!([0, 1, 2, 6].map(kind), ["none", "delta", "snapshot", "snapshot"]);
    let ahead = history.update_for(present.revision.next(), present);
    assert_eq!(ahead, Update::None, "a host ahead of a new leader gets nothing");
}

#[test]
fn late_repeated_and_missing_updates() {
    let delta = |from, to| Update::Delta {
        from: Revision(from),
        to: Revision(to),
        changes: vec![Change::Version(to)],
    };
    let snapshot = |revision| {
        let view = ClusterView {
            revision: Revision(revision),
            version: revision,
            ..ClusterView::default()
        };
        Update::Snapshot(Box::new(view))
    };
    let gap = |from| Err(UpdateError::Gap { have: Revision(10), from: Revision(from) });
    let cases = [
        (delta(10, 12), Ok(true), 12, "next changes"),
        (delta(7, 12), Ok(true), 12, "changes that overlap"),
        (delta(7, 10), Ok(false), 10, "repeated changes"),
        (delta(5, 8), Ok(false), 10, "late changes"),
        (delta(11, 12), gap(11), 10, "missing changes"),
        (snapshot(12), Ok(true), 12, "newer snapshot"),
        (snapshot(10), Ok(false), 10, "repeated snapshot"),
        (snapshot(9), Ok(false), 10, "late snapshot"),
        (Update::None, Ok(false), 10, "nothing"),
    ];
    for (update, result, revision, what) in cases {
        let mut view =
            ClusterView { revision: Revision(10), version: 10, ..ClusterView::default() };
        assert_eq!(view.apply_update(update), result, "{what}");
        assert_eq!((view.revision, view.version), (Revision(revision), revision), "{what}");
    }
}

#[test]
fn history_with_a_gap_starts_anew() {
    // After a snapshot was installed the changes before it are unknown.
    let mut history = ChangeHistory::new(100);
    for revision in [1, 2, 7] {
        history.record(Revision(revision), vec![Change::Version(revision)]);
    }
    let view = ClusterView { revision: Revision(7), ..ClusterView::default() };
    assert!(matches!(history.update_for(Revision(1), &view), Update::Snapshot(_)));
    assert!(matches!(history.update_for(Revision(6), &view), Update::Delta { .. }));
}
