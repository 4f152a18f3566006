//! Guards against entry hosts whose view goes back, misses a change or differs from the
//! view of the control group.

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

/// Applies commands that make changes of many kinds; returns the view after each command,
/// and the history.
fn apply_all(limit: usize) -> (Vec<ClusterView>, ChangeHistory) {
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
    // The order of the routes must not depend on how many changes a delta combines.
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
fn update_from_any_revision_reaches_the_current_view() {
    for limit in [0, 1, 5, 1_000] {
        let (views, history) = apply_all(limit);
        let current = views.last().expect("a view");
        for view in &views {
            let mut host_view = view.clone();
            let update = history.update_for(host_view.revision, current);
            let snapshot = matches!(update, Update::Snapshot(_));
            assert!(!snapshot || limit < 1_000, "a large history needs no snapshot");
            assert_eq!(host_view.apply_update(update), Ok(view.revision < current.revision));
            assert_eq!(host_view, *current, "limit {limit}, from revision {}", view.revision);
        }
    }
}

#[test]
fn small_history_covers_recent_revisions_only() {
    let (views, history) = apply_all(5);
    let current = views.last().expect("a view");
    let kind = |back: u64| match history.update_for(Revision(current.revision.0 - back), current) {
        Update::None => "none",
        Update::Delta { .. } => "delta",
        Update::Snapshot(_) => "snapshot",
    };
    assert_eq!([0, 1, 2, 6].map(kind), ["none", "delta", "snapshot", "snapshot"]);
    let ahead = history.update_for(current.revision.next(), current);
    assert_eq!(ahead, Update::None, "a host ahead of a new leader gets no update");
}

#[test]
fn late_and_repeated_updates_have_no_effect_and_gaps_are_errors() {
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
        (delta(7, 12), Ok(true), 12, "overlapping changes"),
        (delta(7, 10), Ok(false), 10, "repeated changes"),
        (delta(5, 8), Ok(false), 10, "late changes"),
        (delta(11, 12), gap(11), 10, "missing changes"),
        (snapshot(12), Ok(true), 12, "newer snapshot"),
        (snapshot(10), Ok(false), 10, "repeated snapshot"),
        (snapshot(9), Ok(false), 10, "late snapshot"),
        (Update::None, Ok(false), 10, "no update"),
    ];
    for (update, result, revision, what) in cases {
        let mut view =
            ClusterView { revision: Revision(10), version: 10, ..ClusterView::default() };
        assert_eq!(view.apply_update(update), result, "{what}");
        assert_eq!((view.revision, view.version), (Revision(revision), revision), "{what}");
    }
}

#[test]
fn gap_in_revisions_clears_the_history() {
    // A control host that installs a snapshot does not know the changes before it.
    let mut history = ChangeHistory::new(100);
    for revision in [1, 2, 7] {
        history.record(Revision(revision), vec![Change::Version(revision)]);
    }
    let view = ClusterView { revision: Revision(7), ..ClusterView::default() };
    assert!(matches!(history.update_for(Revision(1), &view), Update::Snapshot(_)));
    assert!(matches!(history.update_for(Revision(6), &view), Update::Delta { .. }));
}
