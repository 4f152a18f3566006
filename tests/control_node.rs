//! Rules of a single control host that schedules rarely reach.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use bytes::Bytes;
use pomelopin::{
    clock::Millis,
    control::{
        log::{Log, Merge},
        membership::HelloAnswers,
        node::{GroupPolicy, Input, Node, NodeSettings, Output, Proposal, Role},
        storage::{Snapshot, SnapshotWrite, StoredState, Vote, Write},
    },
    ids::ControlId,
    settings::timing::GroupTiming,
    wire::group::{
        Append, AppendResponse, AppendResult, GroupBody, GroupMessage, GroupTerm, Hello, LogEntry,
        LogId, Member, Members, Payload, PreVoteResult,
    },
};

fn entry(term: u64) -> LogEntry {
    LogEntry { term: GroupTerm(term), payload: Payload::Command(Bytes::from(format!("{term}"))) }
}

fn mark(term: u64, index: u64) -> LogId {
    LogId { term: GroupTerm(term), index }
}

fn members() -> Members {
    let member = |name: &str| Member {
        name: name.to_owned(),
        bus_addr: name.to_owned(),
        ..Member::default()
    };
    Members(["a", "b", "c"].map(|name| (ControlId::from(name), member(name))).into())
}

/// Host `a` with the given log behind an entry that names the voters.
fn node(vote: Vote, terms: &[u64]) -> Node {
    let voters = LogEntry { term: GroupTerm(1), payload: Payload::Members(members()) };
    let entries = [voters].into_iter().chain(terms.iter().map(|term| entry(*term))).collect();
    let settings = NodeSettings {
        id: ControlId::from("a"),
        member: members().0[&ControlId::from("a")].clone(),
        group: ["a", "b", "c"].map(|name| (name.to_owned(), name.to_owned())).into(),
        seed: 1,
        timing: GroupTiming::default(),
        policy: GroupPolicy::default(),
    };
    Node::new(settings, StoredState { vote, entries, ..StoredState::default() }, Millis(0))
}

fn from(sender: &str, term: u64, body: GroupBody) -> Input {
    let (from, term) = (ControlId::from(sender), GroupTerm(term));
    Input::Message(GroupMessage { from, to: Some(ControlId::from("a")), term, body })
}

/// Host `b` asks for a vote; `released` is the process of `a` that it releases from the
/// promise of an earlier one.
fn vote_request(term: u64, last: LogId, released: Option<u64>) -> Input {
    from("b", term, GroupBody::Vote { last, released })
}

/// Ticks until the host may count on a majority and hands in the votes of `b`.
fn elect(node: &mut Node) -> Millis {
    let mut now = Millis(0);
    while node.role().role == Role::Follower || now <= GroupTiming::default().election_min {
        now += Millis(25);
        node.step(now, Input::Tick);
    }
    let term = node.role().term.0;
    let answer =
        GroupBody::PreVoteResponse { result: PreVoteResult::Granted, round: 0, process: 2 };
    node.step(now, from("b", term, answer));
    node.step(now, from("b", term + 1, GroupBody::VoteResponse { granted: true }));
    assert_eq!(node.role().role, Role::Leader);
    sync(node, now, 2);
    now
}

/// Confirms the oldest writes.
fn sync(node: &mut Node, now: Millis, writes: usize) -> Vec<Output> {
    (0..writes).flat_map(|_| node.step(now, Input::Persisted)).collect()
}

fn matched(now: Millis, index: u64) -> GroupBody {
    GroupBody::AppendResponse(AppendResponse { echo: now, result: AppendResult::Matched { index } })
}

fn committed(outputs: &[Output]) -> Vec<u64> {
    let index = |output: &Output| match output {
        Output::Committed { index, .. } => Some(*index),
        _ => None,
    };
    outputs.iter().filter_map(index).collect()
}

/// Guards against the commit of an entry that a later leader may still replace,
/// although a majority holds it.
#[test]
fn entries_of_earlier_terms_are_committed_only_with_an_own_one() {
    let mut node = node(Vote { term: GroupTerm(3), voted_for: None }, &[2, 2]);
    let now = elect(&mut node);
    assert_eq!(node.last(), mark(4, 4));
    let outputs = node.step(now, from("b", 4, matched(now, 3)));
    assert_eq!(committed(&outputs), Vec::<u64>::new());
    let outputs = node.step(now, from("b", 4, matched(now, 4)));
    assert_eq!(committed(&outputs), vec![2, 3]);
}

/// Guards against a lease that rests on answers to messages from before a freeze.
#[test]
fn a_frozen_leader_serves_only_after_new_answers() {
    let mut node = node(Vote::default(), &[1]);
    let now = elect(&mut node);
    node.step(now, from("b", 1, matched(now, node.last().index)));
    assert!(node.is_serving(now + Millis(200)));
    let thawed = now + Millis(300);
    let outputs = node.step(thawed, Input::Tick);
    assert!(outputs.contains(&Output::Frozen { gap: Millis(300) }));
    assert!(!node.is_serving(thawed));
    node.step(thawed, from("b", 1, matched(now, node.last().index)));
    assert!(!node.is_serving(thawed), "a late answer renewed the lease");
    node.step(thawed, from("b", 1, matched(thawed, node.last().index)));
    assert!(node.is_serving(thawed));
}

/// Guards against a vote that leaves before it is synced, and against answers that
/// claim entries before they are synced.
#[test]
fn answers_promise_only_what_is_synced() {
    let mut node = node(Vote::default(), &[1]);
    let now = Millis(600);
    node.step(now, Input::Tick);
    let outputs = node.step(now, vote_request(5, mark(1, 2), None));
    assert_eq!(granted(&outputs), Some(true));
    assert!(sent(&outputs).iter().all(|body| body.needs_sync()));
    let writes = outputs.iter().filter(|it| matches!(it, Output::Persist(_))).count();
    sync(&mut node, now, writes);
    let append = |index, terms: &[u64]| {
        let entries = terms.iter().copied().map(entry).collect();
        let previous = if index == 2 { mark(1, 2) } else { mark(5, index) };
        let append = Append { previous, entries, commit: 0, sent_at: now };
        from("b", 5, GroupBody::Append(append))
    };
    let answer = |index| vec![matched(now, index)];
    assert_eq!(sent(&node.step(now, append(2, &[5, 5]))), answer(2), "two entries are not synced");
    assert_eq!(sent(&node.step(now, append(4, &[]))), answer(2), "the heartbeat is answered");
    assert_eq!(sent(&sync(&mut node, now, 1)), answer(4));
    assert_eq!(sent(&node.step(now, append(4, &[5]))), answer(4));
    assert_eq!(sent(&sync(&mut node, now, 1)), answer(5));
}

/// Guards against a commit that counts the leader's own entry before it is synced.
#[test]
fn a_leader_counts_its_own_entry_once_it_is_synced() {
    let mut node = node(Vote::default(), &[1]);
    let now = elect(&mut node);
    node.step(now, from("b", 1, matched(now, node.last().index)));
    let proposal = Proposal { id: 1, bytes: Bytes::from_static(b"command") };
    node.step(now, Input::Propose(vec![proposal]));
    let last = node.last().index;
    let outputs = node.step(now, from("b", 1, matched(now, last)));
    assert_eq!(committed(&outputs), Vec::<u64>::new());
    assert_eq!(committed(&sync(&mut node, now, 1)), vec![last]);
}

fn sent(outputs: &[Output]) -> Vec<GroupBody> {
    let body = |output: &Output| match output {
        Output::Send { message, .. } => Some(message.body.clone()),
        _ => None,
    };
    outputs.iter().filter_map(body).collect()
}

/// Guards against two votes in one term, also over a restart, and against a vote
/// while a leader may rely on this host.
#[test]
fn votes_are_refused() {
    let ask = |term, last| vote_request(term, last, None);
    let voted = Vote { term: GroupTerm(5), voted_for: Some(ControlId::from("c")) };
    let cases = [
        ("already voted", voted, ask(5, mark(1, 2)), Some(false)),
        (
            "older term",
            Vote { term: GroupTerm(6), voted_for: None },
            ask(5, mark(1, 2)),
            Some(false),
        ),
        ("shorter log", Vote::default(), ask(5, mark(1, 1)), Some(false)),
        ("same log", Vote::default(), ask(5, mark(1, 2)), Some(true)),
        ("newer last term", Vote::default(), ask(5, mark(2, 1)), Some(true)),
    ];
    for (what, vote, input, wanted) in cases {
        let mut early = node(vote.clone(), &[1]);
        assert_eq!(granted(&early.step(Millis(100), input.clone())), None, "{what}, just started");
        let mut node = node(vote, &[1]);
        assert_eq!(granted(&node.step(Millis(600), input)), wanted, "{what}");
    }
}

fn granted(outputs: &[Output]) -> Option<bool> {
    outputs.iter().find_map(|output| match output {
        Output::Send { message, .. } => match message.body {
            GroupBody::VoteResponse { granted } => Some(granted),
            _ => None,
        },
        _ => None,
    })
}

#[test]
fn logs_are_merged() {
    let log = Log::new(mark(1, 10), [1, 1, 2, 2].map(entry).into());
    let fits = |matched, truncate, terms: &[u64]| Merge::Consistent {
        matched,
        truncate,
        entries: terms.iter().copied().map(entry).collect(),
    };
    let cases: [(&str, LogId, &[u64], Merge); 8] = [
        ("append", mark(2, 14), &[2, 3], fits(16, None, &[2, 3])),
        ("heartbeat", mark(2, 13), &[], fits(13, None, &[])),
        ("repeated", mark(1, 12), &[2], fits(13, None, &[])),
        ("conflict", mark(1, 12), &[3], fits(13, Some(13), &[3])),
        ("gap", mark(2, 20), &[3], Merge::Mismatch { hint: 14 }),
        ("other term", mark(3, 14), &[3], Merge::Mismatch { hint: 12 }),
        ("before the base", mark(1, 8), &[1, 1, 1, 1, 2, 2, 3], fits(15, None, &[3])),
        ("covered by the base", mark(1, 7), &[1, 1], fits(10, None, &[])),
    ];
    for (what, previous, terms, wanted) in cases {
        let entries: Vec<_> = terms.iter().copied().map(entry).collect();
        assert_eq!(log.merge(previous, &entries), wanted, "{what}");
    }
}

/// Guards against a crash between the writes of a snapshot and of the log.
#[test]
fn an_older_log_is_aligned_with_the_snapshot() {
    let cases: [(&str, LogId, LogId, usize); 4] = [
        ("log goes on after the snapshot", mark(1, 12), mark(0, 0), 14),
        ("log ends before the snapshot", mark(2, 20), mark(2, 20), 0),
        ("log differs", mark(3, 12), mark(3, 12), 0),
        ("log ends at the snapshot", mark(2, 14), mark(0, 0), 14),
    ];
    for (what, last, base, left) in cases {
        let entries: Vec<_> =
            (1..=14).map(|index| entry(if index <= 12 { 1 } else { 2 })).collect();
        let snapshot = Snapshot { last, ..Snapshot::default() };
        let mut stored =
            StoredState { entries, snapshot: Some(snapshot), ..StoredState::default() };
        stored.reconcile_with_snapshot();
        assert_eq!((stored.base, stored.entries.len()), (base, left), "{what}");
    }
    let write =
        SnapshotWrite { base: mark(1, 1), entries: vec![entry(1)], ..SnapshotWrite::default() };
    let mut stored = StoredState::default();
    stored.apply(&Write::Snapshot(Box::new(write)));
    assert_eq!((stored.base, stored.entries.len()), (mark(1, 1), 1));
}

/// Guards against a second group of a host that lost its disk: answers to its
/// earlier process may be older than the logs of the other hosts.
#[test]
fn only_answers_to_this_process_allow_to_form_a_group() {
    let group = ["a", "b", "c"].map(|name| (name.to_owned(), name.to_owned())).into();
    let hello = |name: &str, nonce, reply_requested, initialized| Hello {
        member: Member { name: name.to_owned(), ..Member::default() },
        initialized,
        reply_requested,
        nonce,
    };
    let cases = [
        ("all blank", hello("c", 7, false, false), "a", 100, true),
        ("answer to an earlier process", hello("c", 6, false, false), "a", 100, false),
        ("question", hello("c", 7, true, false), "a", 100, false),
        ("one holds a log", hello("c", 7, false, true), "a", 100, false),
        ("too old", hello("c", 7, false, false), "a", 2_000, false),
        ("not the first name", hello("a", 7, false, false), "c", 100, false),
    ];
    for (what, answer, own, age, wanted) in cases {
        let mut hello_answers = HelloAnswers::default();
        hello_answers.note(Millis(0), &hello("b", 7, false, false), 7);
        hello_answers.note(Millis(0), &answer, 7);
        assert_eq!(hello_answers.may_bootstrap(Millis(age), own, &group), wanted, "{what}");
    }
}

/// Number of the process in [`node`].
const PROCESS: u64 = 1;

/// Round of the question that a host that has just started asks first.
fn first_round(node: &mut Node) -> (Millis, u64) {
    let mut now = Millis(0);
    loop {
        now += Millis(25);
        let outputs = node.step(now, Input::Tick);
        let asked = sent(&outputs).into_iter().find_map(|body| match body {
            GroupBody::PreVote { round, .. } => Some(round),
            _ => None,
        });
        if let Some(round) = asked {
            return (now, round);
        }
    }
}

fn starting(round: u64, process: u64) -> GroupBody {
    GroupBody::PreVoteResponse { result: PreVoteResult::Starting, round, process }
}

/// Guards against the wait for promises that nobody relies on: if no voter follows a
/// leader, a host that has just started asks for votes at once.
#[test]
fn all_voters_that_have_just_started_elect_early() {
    let mut node = node(Vote::default(), &[1]);
    let (now, round) = first_round(&mut node);
    assert!(now < GroupTiming::default().election_min, "asked at {now}");
    node.step(now, from("b", 0, starting(round, 7)));
    assert_eq!(node.role().term, GroupTerm(0), "one voter has not answered");
    let outputs = node.step(now, from("c", 0, starting(round, 8)));
    let released: Vec<_> = sent(&outputs)
        .into_iter()
        .filter_map(|body| match body {
            GroupBody::Vote { released, .. } => released,
            _ => None,
        })
        .collect();
    assert_eq!(released, [7, 8]);
}

/// Guards against an early election while a leader may rely on an earlier process:
/// answers of another round or late ones say nothing of now, and a majority of
/// grants does not outweigh the own promise.
#[test]
fn early_election_needs_all_voters_at_the_same_time() {
    let late = GroupTiming::default().start_poll + Millis(1);
    let grant =
        |round| GroupBody::PreVoteResponse { result: PreVoteResult::Granted, round, process: 8 };
    let refuse =
        |round| GroupBody::PreVoteResponse { result: PreVoteResult::Rejected, round, process: 8 };
    type Answers<'a> = &'a dyn Fn(u64) -> [GroupBody; 2];
    let cases: [(&str, Millis, Answers<'_>); 4] = [
        ("other round", Millis(0), &|round| [starting(round + 1, 7), starting(round, 8)]),
        ("late", late, &|round| [starting(round, 7), starting(round, 8)]),
        ("majority", Millis(0), &|round| [grant(round), refuse(round)]),
        ("one follows a leader", Millis(0), &|round| [starting(round, 7), refuse(round)]),
    ];
    for (what, delay, answers) in cases {
        let mut node = node(Vote::default(), &[1]);
        let (now, round) = first_round(&mut node);
        for (sender, body) in ["b", "c"].into_iter().zip(answers(round)) {
            node.step(now + delay, from(sender, 0, body));
        }
        assert_eq!(node.role().term, GroupTerm(0), "{what}");
    }
}

/// Guards against a vote that breaks the promise of an earlier process to a leader.
#[test]
fn only_the_process_that_was_asked_is_released() {
    let now = Millis(200);
    let last = mark(1, 2);
    let cases = [(None, None), (Some(PROCESS + 1), None), (Some(PROCESS), Some(true))];
    for (released, wanted) in cases {
        let mut node = node(Vote::default(), &[1]);
        let outputs = node.step(now, vote_request(5, last, released));
        assert_eq!(granted(&outputs), wanted, "released {released:?}");
    }
    let mut node = node(Vote::default(), &[1]);
    let append = Append { previous: last, entries: Vec::new(), commit: 0, sent_at: now };
    node.step(now, from("c", 4, GroupBody::Append(append)));
    let outputs = node.step(now, vote_request(5, last, Some(PROCESS)));
    assert_eq!(granted(&outputs), None, "a leader was heard");
}

/// Guards against a leader that gives up its lead for a request that was on its way since
/// before it was elected early.
#[test]
fn leader_that_was_elected_early_keeps_the_lead() {
    let mut node = node(Vote::default(), &[1]);
    let (now, round) = first_round(&mut node);
    node.step(now, from("b", 0, starting(round, 7)));
    node.step(now, from("c", 0, starting(round, 8)));
    node.step(now, from("b", 1, GroupBody::VoteResponse { granted: true }));
    sync(&mut node, now, 2);
    node.step(now, from("b", 1, matched(now, node.last().index)));
    assert!(node.is_serving(now));
    let outputs = node.step(now, vote_request(2, mark(1, 3), Some(PROCESS)));
    assert_eq!(granted(&outputs), None);
    assert!(node.is_serving(now));
}
