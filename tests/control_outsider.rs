//! Single control host that is no voter, or that others take for none.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use pomelopin::{
    clock::Millis,
    control::{
        node::{GroupPolicy, Input, Node, NodeSettings, Output, Role},
        storage::{StoredState, Vote},
    },
    ids::ControlId,
    settings::timing::GroupTiming,
    wire::group::{
        Append, GroupBody, GroupMessage, GroupTerm, Hello, LogEntry, LogId, Member, Members,
        Payload, PreVoteResult,
    },
};

const TICK: Millis = Millis(25);

/// Id of the host under test.
const OWN: &str = "a.1";

fn id(name: &str) -> ControlId {
    ControlId::from(format!("{name}.1"))
}

fn member(name: &str) -> Member {
    Member { name: name.to_owned(), bus_addr: name.to_owned(), ..Member::default() }
}

fn members(names: &[&str]) -> LogEntry {
    let members = names.iter().map(|name| (id(name), member(name))).collect();
    LogEntry { term: GroupTerm(1), payload: Payload::Members(Members(members)) }
}

fn noop(term: u64) -> LogEntry {
    LogEntry { term: GroupTerm(term), payload: Payload::Noop }
}

fn log_id(term: u64, index: u64) -> LogId {
    LogId { term: GroupTerm(term), index }
}

/// Host `a` with dynamic membership, which is configured with the seeds `s` and `t`.
fn host(entries: Vec<LogEntry>) -> Node {
    let settings = NodeSettings {
        id: ControlId::from(OWN),
        member: member("a"),
        group: ["s", "t"].map(|name| (name.to_owned(), name.to_owned())).into(),
        seed: 1,
        timing: GroupTiming::default(),
        policy: GroupPolicy {
            dynamic_membership: true,
            may_bootstrap: false,
            ..GroupPolicy::default()
        },
    };
    let vote = Vote { term: GroupTerm(1), voted_for: None };
    Node::new(settings, StoredState { vote, entries, ..StoredState::default() }, Millis(0))
}

fn message(sender: &str, to: Option<&str>, term: u64, body: GroupBody) -> Input {
    let to = to.map(ControlId::from);
    Input::Message(GroupMessage { from: id(sender), to, term: GroupTerm(term), body })
}

fn append(previous: LogId, entries: Vec<LogEntry>, commit: u64) -> GroupBody {
    GroupBody::Append(Append { previous, entries, commit, sent_at: Millis(0) })
}

fn hello(sender: &str, reply_requested: bool) -> GroupBody {
    GroupBody::Hello(Hello { member: member(sender), initialized: true, reply_requested, nonce: 9 })
}

/// Ticks from `from` until `until` and returns the time and each output.
fn run(node: &mut Node, from: Millis, until: Millis) -> Vec<(Millis, Output)> {
    let mut outputs = Vec::new();
    let mut now = from;
    while now < until {
        now += TICK;
        outputs.extend(node.step(now, Input::Tick).into_iter().map(|output| (now, output)));
    }
    outputs
}

/// Addresses that were asked to let the host in.
fn asked(outputs: &[(Millis, Output)]) -> Vec<String> {
    let addr = |(_, output): &(Millis, Output)| match output {
        Output::Send { addr, message: GroupMessage { body: GroupBody::Hello(hello), .. } } => {
            hello.reply_requested.then(|| addr.clone())
        }
        _ => None,
    };
    outputs.iter().filter_map(addr).collect()
}

/// Destinations of the hellos of `sender` that the host passes on.
fn passed_on(outputs: &[Output], sender: &str) -> Vec<(String, Option<ControlId>)> {
    let destination = |output: &Output| match output {
        Output::Send { addr, message } if message.from == id(sender) => {
            Some((addr.clone(), message.to.clone()))
        }
        _ => None,
    };
    outputs.iter().filter_map(destination).collect()
}

fn pre_vote_response(outputs: &[Output]) -> Option<PreVoteResult> {
    outputs.iter().find_map(|output| match output {
        Output::Send { message, .. } => match message.body {
            GroupBody::PreVoteResponse { result, .. } => Some(result),
            _ => None,
        },
        _ => None,
    })
}

/// Guards against a host with an empty disk that knows only wrong seeds, although the leader's
/// heartbeats to the id before the loss of the disk reach it.
#[test]
fn sender_of_a_message_to_an_earlier_id_is_asked() {
    let mut node = host(Vec::new());
    node.step(Millis(10), message("b", Some("a.0"), 3, append(log_id(3, 9), Vec::new(), 9)));
    let asked = asked(&run(&mut node, Millis(10), Millis(1_000)));
    assert!(asked.contains(&"b".to_owned()), "asked {asked:?}");
    assert!(asked.contains(&"s".to_owned()), "asked {asked:?}");
    assert_eq!(node.role().leader, None);
}

/// Guards against a host that asks only its seeds although its log names other hosts.
#[test]
fn earlier_voters_of_the_log_are_asked() {
    let entries = vec![members(&["b", "c", "d"]), members(&["c", "d", "e"])];
    let asked = asked(&run(&mut host(entries), Millis(0), Millis(3_000)));
    for addr in ["b", "c", "d", "e", "s", "t"] {
        assert!(asked.iter().any(|it| it == addr), "{addr} is not asked: {asked:?}");
    }
}

/// Guards against a removed host that asks only its seeds, although a host that can let it in has
/// told it of the removal.
#[test]
fn sender_of_a_removal_is_asked() {
    let mut node = host(vec![members(&["a", "b", "c"])]);
    run(&mut node, Millis(0), Millis(1_000));
    let removed = PreVoteResult::Removed;
    let body = GroupBody::PreVoteResponse { result: removed, round: 1, process: 3 };
    node.step(Millis(1_000), message("x", Some(OWN), 1, body));
    let asked = asked(&run(&mut node, Millis(1_000), Millis(2_000)));
    assert!(asked.contains(&"x".to_owned()), "asked {asked:?}");
}

/// Guards against a voter that waits for the voters of its log for ever, although all of them are
/// gone and the group has removed it: it asked nobody until one of them told it so.
#[test]
fn voter_without_a_leader_asks_to_join() {
    let mut node = host(vec![members(&["a", "b", "c"])]);
    node.step(Millis(0), message("b", Some(OWN), 1, append(log_id(1, 1), Vec::new(), 1)));
    assert_eq!(asked(&run(&mut node, Millis(0), Millis(800))), Vec::<String>::new());
    let asked = asked(&run(&mut node, Millis(800), Millis(5_000)));
    assert!(asked.contains(&"s".to_owned()), "asked {asked:?}");
}

/// Guards against a removed host that learns the log up to its removal and loses the leader then:
/// the older entries that list it made it stop asking.
#[test]
fn host_whose_log_ends_with_its_removal_asks_to_join() {
    let mut node = host(Vec::new());
    let entries = vec![members(&["a", "b", "c", "d"]), members(&["b", "c", "d"])];
    node.step(Millis(10), message("b", Some(OWN), 1, append(LogId::default(), entries, 2)));
    let asked = asked(&run(&mut node, Millis(10), Millis(3_000)));
    assert!(!asked.is_empty(), "the host does not ask");
}

/// Guards against needless traffic of the hosts of a large group that never become voters: each
/// sent 15 hellos a second, and each of these was forwarded and answered twice.
#[test]
fn host_that_hears_the_leader_asks_only_it() {
    let mut node = host(Vec::new());
    let mut outputs = Vec::new();
    for round in 0..100 {
        let now = Millis(round * 100);
        let body = append(LogId::default(), vec![members(&["b", "c", "d"])], 1);
        node.step(now, message("b", Some(OWN), 1, body));
        outputs.extend(run(&mut node, now, now + Millis(100)));
    }
    let asked = asked(&outputs);
    assert!(asked.iter().all(|addr| addr == "b"), "asked {asked:?}");
    assert!((5..=20).contains(&asked.len()), "{} hellos in 10 s", asked.len());
}

/// Guards against a host that knows no leader and leaves a host that asks it without help.
#[test]
fn leaderless_host_passes_a_hello_on() {
    let mut node = host(vec![members(&["a", "b", "c", "x"])]);
    let mut destinations = Vec::new();
    for round in 0..4 {
        let now = Millis(round * 200);
        let passed = passed_on(&node.step(now, message("x", None, 1, hello("x", true))), "x");
        assert!(passed.len() <= 2, "passed on to {passed:?}");
        destinations.extend(passed);
    }
    destinations.sort();
    destinations.dedup();
    assert_eq!(destinations, ["b", "c"].map(|name| (name.to_owned(), Some(id(name)))));
}

/// Guards against a hello that travels for ever between hosts that know no leader, and against
/// replies that are passed on.
#[test]
fn hello_is_passed_on_only_once() {
    let mut node = host(vec![members(&["a", "b", "c"])]);
    let passed = node.step(Millis(10), message("x", Some(OWN), 1, hello("x", true)));
    assert!(passed_on(&passed, "x").is_empty());
    let reply = node.step(Millis(10), message("x", Some(OWN), 1, hello("x", false)));
    assert!(passed_on(&reply, "x").is_empty());
}

/// Guards against a hello that is lost at a host which follows a leader without having received
/// the entry that names it.
#[test]
fn hello_reaches_a_leader_that_the_log_does_not_name() {
    let mut node = host(Vec::new());
    node.step(Millis(10), message("b", Some(OWN), 3, append(log_id(3, 9), Vec::new(), 9)));
    let outputs = node.step(Millis(20), message("x", None, 1, hello("x", true)));
    assert_eq!(passed_on(&outputs, "x"), [("b".to_owned(), Some(id("b")))]);
}

/// Guards against a host that names a leader which is gone: the election timer runs only for
/// voters, so it redirected operators to that leader for ever.
#[test]
fn host_that_is_no_voter_forgets_a_silent_leader() {
    let mut node = host(Vec::new());
    let body = append(LogId::default(), vec![members(&["b", "c", "d"])], 1);
    node.step(Millis(100), message("b", Some(OWN), 1, body));
    let silent = GroupTiming::default().election_max;
    run(&mut node, Millis(100), Millis(100) + silent - TICK);
    assert_eq!(node.role().leader, Some(id("b")));
    let outputs = run(&mut node, Millis(100) + silent - TICK, Millis(100) + silent + TICK);
    assert_eq!(node.role().leader, None);
    assert!(outputs.iter().any(|(_, it)| matches!(it, Output::RoleChanged(_))));
}

/// Guards against a leader that is forgotten although its messages wait in the queue of a process
/// that did not run.
#[test]
fn suspended_host_keeps_its_leader_until_its_queue_is_read() {
    let mut node = host(Vec::new());
    let body = append(LogId::default(), vec![members(&["b", "c", "d"])], 1);
    node.step(Millis(100), message("b", Some(OWN), 1, body));
    node.step(Millis(5_000), Input::Tick);
    assert_eq!(node.role().leader, Some(id("b")));
}

/// Guards against a host that tells a candidate of its removal although its own log is behind and
/// lacks the entry that added the candidate.
#[test]
fn only_a_newer_log_proves_a_removal() {
    let cases = [
        ("newer than the candidate's", 3, PreVoteResult::Removed),
        ("equal", 2, PreVoteResult::Granted),
        ("older", 1, PreVoteResult::Granted),
    ];
    for (what, last, wanted) in cases {
        let mut entries = vec![members(&["a", "b", "c"])];
        entries.extend((1..last).map(|_| noop(1)));
        let mut node = host(entries);
        run(&mut node, Millis(0), GroupTiming::default().election_min);
        let body = GroupBody::PreVote { last: log_id(1, 2), round: 1 };
        let outputs = node.step(Millis(500), message("x", Some(OWN), 2, body));
        assert_eq!(pre_vote_response(&outputs), Some(wanted), "log {what}");
    }
}

fn pre_vote_round(output: &Output) -> Option<u64> {
    match output {
        Output::Send { message, .. } => match message.body {
            GroupBody::PreVote { round, .. } => Some(round),
            _ => None,
        },
        _ => None,
    }
}

/// Runs a host of which each pre-vote is answered with `result` by three of four other voters;
/// returns the rounds and the reported removals.
fn run_rounds(node: &mut Node, until: Millis, result: PreVoteResult) -> (usize, usize) {
    let (mut rounds, mut removals) = (0, 0);
    let mut now = Millis(0);
    while now < until {
        now += TICK;
        let outputs = node.step(now, Input::Tick);
        let Some(round) = outputs.iter().find_map(pre_vote_round) else { continue };
        rounds += 1;
        for sender in ["b", "c", "d"] {
            let body = GroupBody::PreVoteResponse { result, round, process: 3 };
            let outputs = node.step(now, message(sender, Some(OWN), 1, body));
            removals += outputs.iter().filter(|it| matches!(it, Output::Removed { .. })).count();
        }
    }
    (rounds, removals)
}

/// Guards against a removed host that goes on requesting pre-votes: it was told of its removal 25
/// times a second and logged each.
#[test]
fn removed_host_pauses_its_candidacy() {
    let mut node = host(vec![members(&["a", "b", "c", "d", "e"])]);
    let (rounds, removals) = run_rounds(&mut node, Millis(20_000), PreVoteResult::Removed);
    assert!(rounds <= 20, "{rounds} rounds in 20 s");
    assert!(removals <= rounds, "{removals} reports of a removal in {rounds} rounds");
}

/// Guards against a needed voter that a wrong answer keeps out of elections for long.
#[test]
fn wrongly_removed_voter_stands_again_after_two_seconds() {
    let mut node = host(vec![members(&["a", "b", "c", "d", "e"])]);
    run(&mut node, Millis(0), Millis(2_000));
    let body = GroupBody::PreVoteResponse { result: PreVoteResult::Removed, round: 1, process: 3 };
    node.step(Millis(2_000), message("x", Some(OWN), 1, body));
    let mut now = Millis(2_000);
    while node.role().role != Role::Leader {
        now += TICK;
        assert!(now < Millis(4_000), "not elected until {now}");
        let outputs = node.step(now, Input::Tick);
        let Some(round) = outputs.iter().find_map(pre_vote_round) else { continue };
        for sender in ["b", "c"] {
            let result = PreVoteResult::Granted;
            let body = GroupBody::PreVoteResponse { result, round, process: 3 };
            node.step(now, message(sender, Some(OWN), 1, body));
        }
        for sender in ["b", "c"] {
            let body = GroupBody::VoteResponse { granted: true };
            node.step(now, message(sender, Some(OWN), 2, body));
        }
    }
}

/// Guards against a removal that is taken for granted while a leader counts this host as a voter.
#[test]
fn removal_is_ignored_while_the_leader_is_heard() {
    let mut node = host(vec![members(&["a", "b", "c"])]);
    node.step(Millis(10), message("b", Some(OWN), 1, append(log_id(1, 1), Vec::new(), 1)));
    let body = GroupBody::PreVoteResponse { result: PreVoteResult::Removed, round: 0, process: 3 };
    let outputs = node.step(Millis(20), message("x", Some(OWN), 1, body));
    assert!(!outputs.iter().any(|it| matches!(it, Output::Removed { .. })));
    assert_eq!(asked(&run(&mut node, Millis(20), Millis(400))), Vec::<String>::new());
}
