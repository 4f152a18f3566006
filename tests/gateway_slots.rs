//! Slots and connections of a target at its owner, and the choice of the owner.

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::messages::{Announcement, EntryHost, TargetRole},
    gateway::{
        admission::{Admission, AdmissionQueue, Released},
        ownership::{Shard, rank_owners},
        pool::{Grant, Pool, PoolDecision, PoolRequest, PooledConnection},
        ports::TargetRequest,
        prepare::ConnectionState,
        statement::PreparedStatement,
        urgency::{SlotRequest, Urgency},
    },
    ids::Workspace,
};

fn request<'a>(
    variables: &'a IndexMap<String, String>,
    workspace: &'a Workspace,
) -> PoolRequest<'a> {
    PoolRequest {
        now: Millis(1),
        variables,
        workspace: Some(workspace),
        priority: 1,
        limit: 2,
        max_waiters: 1,
    }
}

fn pooled(workspace: &Workspace) -> PooledConnection<u32> {
    PooledConnection {
        connection: 0,
        workspace: Some(workspace.clone()),
        state: ConnectionState::default(),
    }
}

fn is_permit(decision: &PoolDecision<u32>) -> bool {
    matches!(decision, PoolDecision::Granted(Grant::Permit))
}

/// Guards against a connection that is used for a workspace for which it was not opened.
#[test]
fn connections_stay_with_their_workspace() {
    let (a, b) = (Workspace::from("a"), Workspace::from("b"));
    let variables = IndexMap::new();
    let mut pool = Pool::default();
    assert!(is_permit(&pool.request(request(&variables, &a))));
    pool.release(Millis(2), 2, Some(pooled(&a)));
    assert!(is_permit(&pool.request(request(&variables, &b))));
    pool.release(Millis(3), 2, Some(pooled(&b)));
    let same = pool.request(request(&variables, &a));
    let PoolDecision::Granted(Grant::Connection(found)) = same else {
        panic!("no idle connection")
    };
    assert_eq!(found.workspace, Some(a));
}

/// Guards against more connections than the host's limit, and against an unbounded queue:
/// of five requests at a limit of two, the third replaces an idle connection, the fourth
/// waits and the fifth is rejected.
#[test]
fn connections_and_waiters_are_bounded() {
    let names = ["a", "b", "c", "d"].map(Workspace::from);
    let variables = IndexMap::new();
    let mut pool = Pool::default();
    assert!(is_permit(&pool.request(request(&variables, &names[0]))));
    assert!(is_permit(&pool.request(request(&variables, &names[1]))));
    pool.release(Millis(2), 2, Some(pooled(&names[0])));
    assert!(is_permit(&pool.request(request(&variables, &names[2]))));
    assert_eq!(pool.usage().0, 2);
    let mut waiting = match pool.request(request(&variables, &names[3])) {
        PoolDecision::Queued(granted) => granted,
        other => panic!("{other:?}"),
    };
    assert!(matches!(pool.request(request(&variables, &names[0])), PoolDecision::Rejected));
    pool.release(Millis(3), 2, Some(pooled(&names[1])));
    assert!(matches!(waiting.try_recv(), Ok(Grant::Permit)));
    assert_eq!(pool.usage(), (2, 0));
}

/// Guards against a session that sees the variables or the prepared statements of the
/// connection's previous session.
#[test]
fn variables_and_prepared_statements_follow_the_session() {
    let variables = |pairs: &[(&str, &str)]| -> IndexMap<String, String> {
        pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
    };
    let mut state = ConnectionState::default();
    let mut requests = Vec::new();
    let first = variables(&[("zone", "a"), ("lang", "x")]);
    state.set_variables(&first, &mut requests);
    assert_eq!(requests.len(), 2);
    let statement = PreparedStatement { writes: false, text: "q1".to_owned() };
    let other = PreparedStatement { writes: true, text: "q1".to_owned() };
    requests.clear();
    let name = state.prepare(&statement, &mut requests);
    assert_ne!(state.prepare(&other, &mut requests), name);
    assert_eq!(state.prepare(&statement, &mut requests), name);
    assert_eq!(requests.len(), 2);
    let mut requests = Vec::new();
    let second = variables(&[("zone", "b")]);
    state.set_variables(&second, &mut requests);
    assert_eq!(requests, [TargetRequest::Reset, TargetRequest::Set { name: "zone", value: "b" }]);
    let mut requests = Vec::new();
    state.prepare(&statement, &mut requests);
    assert_eq!(requests.len(), 1, "a reset discards prepared statements");
}

fn acquire(queue: &mut AdmissionQueue, workspace: &str, max_wait: u64) -> Admission {
    let urgency = Urgency::without_target(Millis(2 * max_wait));
    let workspace = workspace.into();
    let request = SlotRequest {
        workspace: Some(&workspace),
        priority: 1,
        max_wait: Millis(max_wait),
        urgency,
    };
    queue.acquire(Millis(1), &request)
}

/// Guards against a request that waits until its deadline although the expected wait shows
/// that it will not get a slot in time.
#[test]
fn request_with_a_too_long_expected_wait_is_rejected() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(2);
    let mut waiting = Vec::new();
    let refused = loop {
        match acquire(&mut queue, "a", 30) {
            Admission::Refused(refusal) => break refusal.expected_wait,
            other => waiting.push(other),
        }
        assert!(waiting.len() < 100, "no request is rejected");
    };
    assert!(refused > Millis(30));
}

/// Guards against a workspace that delays all others by filling the queue.
#[test]
fn slots_are_shared_between_workspaces() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(2);
    let mut waiting: Vec<Admission> =
        (0..20).map(|_| acquire(&mut queue, "loud", 10_000)).collect();
    waiting.push(acquire(&mut queue, "quiet", 10_000));
    let released = Released { priority: 1, answered_after: Some(Millis(1)) };
    queue.release(Millis(2), released);
    queue.release(Millis(3), released);
    let Some(Admission::Queued(mut waiting)) = waiting.pop() else { panic!("not queued") };
    assert!(waiting.granted.try_recv().is_ok(), "the quiet workspace is served after two others");
}

/// Guards against an owner in another failure domain than its target, and against most
/// targets changing their owner when one host joins.
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
        let first = rank_owners(&target(number), Shard(0), &before)[0];
        assert_eq!(first.domain, "a".into());
        moved += usize::from(rank_owners(&target(number), Shard(0), &after)[0].id != first.id);
    }
    assert!(moved < 35, "{moved} of 100 targets moved");
}
