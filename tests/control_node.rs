//! Single control host: rules that randomized schedules rarely exercise.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use bytes::Bytes;
use pomelopin::{
    clock::Millis,
    control::{
        log::{Log, Merge},
        membership::HelloReplies,
        node::{GroupPolicy, Input, Node, NodeSettings, Output, Proposal, Role},
        storage::{Snapshot, SnapshotWrite, StoredState, Vote, Write},
    },
    ids::ControlId,
    settings::timing::GroupTiming,
    wire::group::{
        Append, AppendResponse, AppendResult, GroupBody, GroupMessage, GroupTerm, Hello,
        InstallSnapshot, LogEntry, LogId, Member, Members, Payload, PreVoteResult,
    },
};

fn entry(term: u64) -> LogEntry {
    LogEntry { term: GroupTerm(term), payload: Payload::Command(Bytes::from(format!("{term}"))) }
}

fn log_id(term: u64, index: u64) -> LogId {
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

/// Host `a` with a log of entries of the given terms after a membership entry.
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

fn message_from(sender: &str, term: u64, body: GroupBody) -> Input {
    let (from, term) = (ControlId::from(sender), GroupTerm(term));
    Input::Message(GroupMessage { from, to: Some(ControlId::from("a")), term, body })
}

/// Vote request of host `b`; `released` is the process of `a` that need not withhold its
/// vote on behalf of an earlier process.
fn vote_request(term: u64, last: LogId, released: Option<u64>) -> Input {
    message_from("b", term, GroupBody::Vote { last, released })
}

/// Ticks past the minimum election timeout, then elects the host with the vote of `b`.
fn elect(node: &mut Node) -> Millis {
    let mut now = Millis(0);
    while node.role().role == Role::Follower || now <= GroupTiming::default().election_min {
        now += Millis(25);
        node.step(now, Input::Tick);
    }
    let term = node.role().term.0;
    let response =
        GroupBody::PreVoteResponse { result: PreVoteResult::Granted, round: 0, process: 2 };
    node.step(now, message_from("b", term, response));
    node.step(now, message_from("b", term + 1, GroupBody::VoteResponse { granted: true }));
    assert_eq!(node.role().role, Role::Leader);
    sync(node, now, 2);
    now
}

/// Confirms the oldest `writes` writes.
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

/// Guards against the commit of an entry that a majority holds but a later leader may
/// still replace.
#[test]
fn earlier_terms_are_committed_only_with_a_current_entry() {
    let mut node = node(Vote { term: GroupTerm(3), voted_for: None }, &[2, 2]);
    let now = elect(&mut node);
    assert_eq!(node.last(), log_id(4, 4));
    let outputs = node.step(now, message_from("b", 4, matched(now, 3)));
    assert_eq!(committed(&outputs), Vec::<u64>::new());
    let outputs = node.step(now, message_from("b", 4, matched(now, 4)));
    assert_eq!(committed(&outputs), vec![2, 3]);
}

/// Guards against a lease that is extended by responses to messages from before a freeze.
#[test]
fn frozen_leader_serves_only_after_new_responses() {
    let mut node = node(Vote::default(), &[1]);
    let now = elect(&mut node);
    node.step(now, message_from("b", 1, matched(now, node.last().index)));
    assert!(node.is_serving(now + Millis(200)));
    let resumed = now + Millis(300);
    let outputs = node.step(resumed, Input::Tick);
    assert!(outputs.contains(&Output::Frozen { gap: Millis(300) }));
    assert!(!node.is_serving(resumed));
    node.step(resumed, message_from("b", 1, matched(now, node.last().index)));
    assert!(!node.is_serving(resumed), "a late response extended the lease");
    node.step(resumed, message_from("b", 1, matched(resumed, node.last().index)));
    assert!(node.is_serving(resumed));
}

/// Guards against a vote that is sent before it is synced, and against responses that
/// acknowledge entries before they are synced.
#[test]
fn responses_acknowledge_only_synced_state() {
    let mut node = node(Vote::default(), &[1]);
    let now = Millis(600);
    node.step(now, Input::Tick);
    let outputs = node.step(now, vote_request(5, log_id(1, 2), None));
    assert_eq!(granted(&outputs), Some(true));
    assert!(sent(&outputs).iter().all(|body| body.needs_sync()));
    let writes = outputs.iter().filter(|it| matches!(it, Output::Persist(_))).count();
    sync(&mut node, now, writes);
    let append = |index, terms: &[u64]| {
        let entries = terms.iter().copied().map(entry).collect();
        let previous = if index == 2 { log_id(1, 2) } else { log_id(5, index) };
        let append = Append { previous, entries, commit: 0, sent_at: now };
        message_from("b", 5, GroupBody::Append(append))
    };
    let response = |index| vec![matched(now, index)];
    assert_eq!(
        sent(&node.step(now, append(2, &[5, 5]))),
        response(2),
        "two entries are not synced"
    );
    assert_eq!(
        sent(&node.step(now, append(4, &[]))),
        response(2),
        "heartbeats get a response at once"
    );
    assert_eq!(sent(&sync(&mut node, now, 1)), response(4));
    assert_eq!(sent(&node.step(now, append(4, &[5]))), response(4));
    assert_eq!(sent(&sync(&mut node, now, 1)), response(5));
}

/// Guards against an acknowledgement of an installed snapshot that is not synced yet: a
/// leader would count the host for entries that a loss of power takes away.
#[test]
fn installed_snapshot_is_acknowledged_only_once_synced() {
    let mut node = node(Vote::default(), &[1]);
    let now = Millis(600);
    let install = InstallSnapshot {
        last: log_id(1, 10),
        members: members(),
        offset: 0,
        total: 5,
        data: Bytes::from_static(b"state"),
        sent_at: now,
    };
    let outputs = node.step(now, message_from("b", 1, GroupBody::InstallSnapshot(install)));
    let writes = outputs.iter().filter(|it| matches!(it, Output::Persist(_))).count();
    let append = |previous| {
        let append = Append { previous, entries: Vec::new(), commit: 10, sent_at: now };
        message_from("c", 2, GroupBody::Append(append))
    };
    for previous in [log_id(1, 10), log_id(1, 9)] {
        let outputs = node.step(now, append(previous));
        let unsynced = vec![matched(now, 0)];
        assert_eq!(sent(&outputs), unsynced, "the snapshot is not synced");
    }
    assert_eq!(sent(&sync(&mut node, now, writes)), vec![matched(now, 10)]);
}

/// Guards against a commit that counts an entry on the leader before it is synced.
#[test]
fn leader_counts_own_entry_only_once_synced() {
    let mut node = node(Vote::default(), &[1]);
    let now = elect(&mut node);
    node.step(now, message_from("b", 1, matched(now, node.last().index)));
    let proposal = Proposal { id: 1, bytes: Bytes::from_static(b"command") };
    node.step(now, Input::Propose(vec![proposal]));
    let last = node.last().index;
    let outputs = node.step(now, message_from("b", 1, matched(now, last)));
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

/// Guards against two votes in one term, also across a restart, and against a vote while
/// a leader may still rely on this host.
#[test]
fn vote_is_granted_at_most_once_per_term_to_current_log() {
    let ask = |term, last| vote_request(term, last, None);
    let voted = Vote { term: GroupTerm(5), voted_for: Some(ControlId::from("c")) };
    let cases = [
        ("already voted", voted, ask(5, log_id(1, 2)), Some(false)),
        (
            "older term",
            Vote { term: GroupTerm(6), voted_for: None },
            ask(5, log_id(1, 2)),
            Some(false),
        ),
        ("shorter log", Vote::default(), ask(5, log_id(1, 1)), Some(false)),
        ("same log", Vote::default(), ask(5, log_id(1, 2)), Some(true)),
        ("newer last term", Vote::default(), ask(5, log_id(2, 1)), Some(true)),
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

/// Guards against lost, repeated or conflicting entries when a leader's entries overlap
/// with the log or leave a gap.
#[test]
fn append_is_merged_into_log() {
    let log = Log::new(log_id(1, 10), [1, 1, 2, 2].map(entry).into());
    let fits = |matched, truncate, terms: &[u64]| Merge::Consistent {
        matched,
        truncate,
        entries: terms.iter().copied().map(entry).collect(),
    };
    let cases: [(&str, LogId, &[u64], Merge); 8] = [
        ("append", log_id(2, 14), &[2, 3], fits(16, None, &[2, 3])),
        ("heartbeat", log_id(2, 13), &[], fits(13, None, &[])),
        ("repeated", log_id(1, 12), &[2], fits(13, None, &[])),
        ("conflict", log_id(1, 12), &[3], fits(13, Some(13), &[3])),
        ("gap", log_id(2, 20), &[3], Merge::Mismatch { hint: 14 }),
        ("other term", log_id(3, 14), &[3], Merge::Mismatch { hint: 12 }),
        ("before the base", log_id(1, 8), &[1, 1, 1, 1, 2, 2, 3], fits(15, None, &[3])),
        ("covered by the base", log_id(1, 7), &[1, 1], fits(10, None, &[])),
    ];
    for (what, previous, terms, wanted) in cases {
        let entries: Vec<_> = terms.iter().copied().map(entry).collect();
        assert_eq!(log.merge(previous, &entries), wanted, "{what}");
    }
}

/// Guards against a mismatch between snapshot and log after a crash between the writes of
/// the two.
#[test]
fn outdated_log_is_reconciled_with_snapshot() {
    let cases: [(&str, LogId, LogId, usize); 4] = [
        ("log continues after the snapshot", log_id(1, 12), log_id(0, 0), 14),
        ("log ends before the snapshot", log_id(2, 20), log_id(2, 20), 0),
        ("log conflicts with the snapshot", log_id(3, 12), log_id(3, 12), 0),
        ("log ends at the snapshot", log_id(2, 14), log_id(0, 0), 14),
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
        SnapshotWrite { base: log_id(1, 1), entries: vec![entry(1)], ..SnapshotWrite::default() };
    let mut stored = StoredState::default();
    stored.apply(&Write::Snapshot(Box::new(write)));
    assert_eq!((stored.base, stored.entries.len()), (log_id(1, 1), 1));
}

/// Guards against a second group after a host lost its disk: replies to its earlier
/// process may predate the logs of the other hosts.
#[test]
fn only_replies_to_this_process_allow_bootstrap() {
    let group = ["a", "b", "c"].map(|name| (name.to_owned(), name.to_owned())).into();
    let hello = |name: &str, nonce, reply_requested, initialized| Hello {
        member: Member { name: name.to_owned(), ..Member::default() },
        initialized,
        reply_requested,
        nonce,
    };
    let cases = [
        ("no host holds a log", hello("c", 7, false, false), "a", 100, true),
        ("reply to an earlier process", hello("c", 6, false, false), "a", 100, false),
        ("request instead of a reply", hello("c", 7, true, false), "a", 100, false),
        ("one host holds a log", hello("c", 7, false, true), "a", 100, false),
        ("expired reply", hello("c", 7, false, false), "a", 2_000, false),
        ("not the first name", hello("a", 7, false, false), "c", 100, false),
    ];
    for (what, response, own, age, wanted) in cases {
        let mut hello_replies = HelloReplies::default();
        hello_replies.record(Millis(0), &hello("b", 7, false, false), 7);
        hello_replies.record(Millis(0), &response, 7);
        assert_eq!(hello_replies.may_bootstrap(Millis(age), own, &group), wanted, "{what}");
    }
}

/// Seed of the process in [`node`], which identifies it.
const PROCESS_ID: u64 = 1;

/// Time and round of the first pre-vote after the start.
fn first_pre_vote(node: &mut Node) -> (Millis, u64) {
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

/// Guards against needless withholding of votes: if no voter follows a leader, hosts that
/// have just started elect one before the minimum election timeout.
#[test]
fn restarted_voters_elect_early_if_none_follows_a_leader() {
    let mut node = node(Vote::default(), &[1]);
    let (now, round) = first_pre_vote(&mut node);
    assert!(now < GroupTiming::default().election_min, "pre-vote at {now}");
    node.step(now, message_from("b", 0, starting(round, 7)));
    assert_eq!(node.role().term, GroupTerm(0), "one voter has not responded");
    let outputs = node.step(now, message_from("c", 0, starting(round, 8)));
    let released: Vec<_> = sent(&outputs)
        .into_iter()
        .filter_map(|body| match body {
            GroupBody::Vote { released, .. } => released,
            _ => None,
        })
        .collect();
    assert_eq!(released, [7, 8]);
}

/// Guards against an early election while a leader may rely on an earlier process. Late
/// responses and responses to another round do not describe the current state, and a majority
/// of grants does not suffice while the host withholds its own vote.
#[test]
fn early_election_needs_all_voters_in_one_round() {
    let late = GroupTiming::default().start_poll + Millis(1);
    let grant =
        |round| GroupBody::PreVoteResponse { result: PreVoteResult::Granted, round, process: 8 };
    let refuse =
        |round| GroupBody::PreVoteResponse { result: PreVoteResult::Rejected, round, process: 8 };
    type Responses<'a> = &'a dyn Fn(u64) -> [GroupBody; 2];
    let cases: [(&str, Millis, Responses<'_>); 4] = [
        ("other round", Millis(0), &|round| [starting(round + 1, 7), starting(round, 8)]),
        ("late", late, &|round| [starting(round, 7), starting(round, 8)]),
        ("majority", Millis(0), &|round| [grant(round), refuse(round)]),
        ("one follows a leader", Millis(0), &|round| [starting(round, 7), refuse(round)]),
    ];
    for (what, delay, responses) in cases {
        let mut node = node(Vote::default(), &[1]);
        let (now, round) = first_pre_vote(&mut node);
        for (sender, body) in ["b", "c"].into_iter().zip(responses(round)) {
            node.step(now + delay, message_from(sender, 0, body));
        }
        assert_eq!(node.role().term, GroupTerm(0), "{what}");
    }
}

/// Guards against an early vote while a leader may rely on an earlier process.
#[test]
fn only_the_released_process_votes_early() {
    let now = Millis(200);
    let last = log_id(1, 2);
    let cases = [(None, None), (Some(PROCESS_ID + 1), None), (Some(PROCESS_ID), Some(true))];
    for (released, wanted) in cases {
        let mut node = node(Vote::default(), &[1]);
        let outputs = node.step(now, vote_request(5, last, released));
        assert_eq!(granted(&outputs), wanted, "released {released:?}");
    }
    let mut node = node(Vote::default(), &[1]);
    let append = Append { previous: last, entries: Vec::new(), commit: 0, sent_at: now };
    node.step(now, message_from("c", 4, GroupBody::Append(append)));
    let outputs = node.step(now, vote_request(5, last, Some(PROCESS_ID)));
    assert_eq!(granted(&outputs), None, "after contact with a leader");
}

/// Guards against a leader that steps down for a vote request that was sent before its
/// early election.
#[test]
fn early_leader_ignores_older_vote_request() {
    let mut node = node(Vote::default(), &[1]);
    let (now, round) = first_pre_vote(&mut node);
    node.step(now, message_from("b", 0, starting(round, 7)));
    node.step(now, message_from("c", 0, starting(round, 8)));
    node.step(now, message_from("b", 1, GroupBody::VoteResponse { granted: true }));
    sync(&mut node, now, 2);
    node.step(now, message_from("b", 1, matched(now, node.last().index)));
    assert!(node.is_serving(now));
    let outputs = node.step(now, vote_request(2, log_id(1, 3), Some(PROCESS_ID)));
    assert_eq!(granted(&outputs), None);
    assert!(node.is_serving(now));
}
