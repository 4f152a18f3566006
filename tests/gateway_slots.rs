//! Slots and connections of a target at its owner.

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::messages::{Announcement, EntryHost, TargetRole},
    gateway::{
        admission::{Admission, AdmissionQueue},
        ownership::rank_owners,
        pool::{Decision, Grant, Pool, PoolRequest, PooledConnection},
        ports::TargetRequest,
        prepare::ConnectionState,
        statement::PreparedStatement,
    },
    ids::Workspace,
};

fn wanted<'a>(values: &'a IndexMap<String, String>, workspace: &'a Workspace) -> PoolRequest<'a> {
    PoolRequest {
        now: Millis(1),
        variables: values,
        workspace: Some(workspace),
        priority: 1,
        limit: 2,
        longest_queue: 1,
    }
}

fn pooled(workspace: &Workspace) -> PooledConnection<u32> {
    PooledConnection {
        connection: 0,
        workspace: Some(workspace.clone()),
        state: ConnectionState::default(),
    }
}

fn is_permit(decision: &Decision<u32>) -> bool {
    matches!(decision, Decision::Granted(Grant::Permit))
}

/// Guards against a connection that serves a workspace for which it was not opened.
#[test]
fn connections_stay_with_their_workspace() {
    let (a, b) = (Workspace::from("a"), Workspace::from("b"));
    let values = IndexMap::new();
    let mut pool = Pool::default();
    assert!(is_permit(&pool.request(wanted(&values, &a))));
    pool.release(Millis(2), 2, Some(pooled(&a)));
    assert!(is_permit(&pool.request(wanted(&values, &b))));
    pool.release(Millis(3), 2, Some(pooled(&b)));
    let same = pool.request(wanted(&values, &a));
    let Decision::Granted(Grant::Connection(found)) = same else { panic!("a connection waits") };
    assert_eq!(found.workspace, Some(a));
}

/// Guards against more connections than the host's part: a third workspace takes the
/// place of an idle connection, a fourth waits, a fifth is refused.
#[test]
fn connections_are_bounded() {
    let names = ["a", "b", "c", "d"].map(Workspace::from);
    let values = IndexMap::new();
    let mut pool = Pool::default();
    assert!(is_permit(&pool.request(wanted(&values, &names[0]))));
    assert!(is_permit(&pool.request(wanted(&values, &names[1]))));
    pool.release(Millis(2), 2, Some(pooled(&names[0])));
    assert!(is_permit(&pool.request(wanted(&values, &names[2]))));
    assert_eq!(pool.usage().0, 2);
    let mut waiting = match pool.request(wanted(&values, &names[3])) {
        Decision::Wait(granted) => granted,
        other => panic!("{other:?}"),
    };
    assert!(matches!(pool.request(wanted(&values, &names[0])), Decision::Refused));
    pool.release(Millis(3), 2, Some(pooled(&names[1])));
    assert!(matches!(waiting.try_recv(), Ok(Grant::Permit)));
    assert_eq!(pool.usage(), (2, 0));
}

/// Guards against a session that sees the values or the prepared statements of the
/// connection's last user.
#[test]
fn values_and_prepared_statements_follow_the_session() {
    let values = |pairs: &[(&str, &str)]| -> IndexMap<String, String> {
        pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
    };
    let mut state = ConnectionState::default();
    let mut requests = Vec::new();
    let first = values(&[("zone", "a"), ("lang", "x")]);
    state.set_variables(&first, &mut requests);
    assert_eq!(requests.len(), 2);
    let shape = PreparedStatement { writes: false, text: "q1".to_owned() };
    let other = PreparedStatement { writes: true, text: "q1".to_owned() };
    requests.clear();
    let name = state.name_of(&shape, &mut requests);
    assert_ne!(state.name_of(&other, &mut requests), name);
    assert_eq!(state.name_of(&shape, &mut requests), name);
    assert_eq!(requests.len(), 2);
    let mut requests = Vec::new();
    let second = values(&[("zone", "b")]);
    state.set_variables(&second, &mut requests);
    assert_eq!(requests, [TargetRequest::Reset, TargetRequest::Set { name: "zone", value: "b" }]);
    let mut requests = Vec::new();
    state.name_of(&shape, &mut requests);
    assert_eq!(requests.len(), 1, "names are gone after a reset");
}

fn enter(queue: &mut AdmissionQueue, workspace: &str, wait: u64) -> Admission {
    queue.enter(Millis(1), Some(&workspace.into()), 1, Millis(wait))
}

/// Guards against a caller that waits until its deadline although the queue tells that
/// it cannot be served.
#[test]
fn hopeless_work_is_refused_at_once() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(2);
    let mut waiting = Vec::new();
    let refused = loop {
        match enter(&mut queue, "a", 30) {
            Admission::Rejected(expected) => break expected,
            entry => waiting.push(entry),
        }
        assert!(waiting.len() < 100, "nothing is ever refused");
    };
    assert!(refused > Millis(30));
}

/// Guards against a workspace that fills the queue and delays all others.
#[test]
fn slots_are_shared_between_workspaces() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(2);
    let mut waiting: Vec<Admission> = (0..20).map(|_| enter(&mut queue, "loud", 10_000)).collect();
    waiting.push(enter(&mut queue, "quiet", 10_000));
    queue.leave(Millis(2), Millis(1), true);
    queue.leave(Millis(3), Millis(1), true);
    let Some(Admission::Queued(_, mut granted)) = waiting.pop() else { panic!("it waits") };
    assert!(granted.try_recv().is_ok(), "the quiet workspace is served after two others");
}

/// Guards against an owner far away from its target, and against targets that all
/// change their owner when one host joins.
#[test]
fn owners_are_in_the_targets_domain() {
    let host = |number: usize| EntryHost {
        id: format!("h{number}").into(),
        addr: format!("h{number}:1"),
        domain: ["a", "b"][number % 2].into(),
    };
    let target = |number: usize| Announcement {
        id: format!("t{number}").into(),
        service: "s".into(),
        addr: format!("t{number}:1"),
        domain: "a".into(),
        draining: false,
        role: TargetRole::Replica,
        slots: 2,
        started_at_ms: 1,
        sequence: 1,
        warmup_remaining: Millis(0),
    };
    let before: Vec<EntryHost> = (0..10).map(host).collect();
    let after: Vec<EntryHost> = (0..11).map(host).collect();
    let mut moved = 0;
    for number in 0..100 {
        let first = rank_owners(&target(number), &before)[0];
        assert_eq!(first.domain, "a".into());
        moved += usize::from(rank_owners(&target(number), &after)[0].id != first.id);
    }
    assert!(moved < 35, "{moved} of 100 targets moved");
}
