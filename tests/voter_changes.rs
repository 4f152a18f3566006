//! Changes of the voters: who enters, who leaves, and in which order.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use std::collections::BTreeMap;

use pomelopin::{
    clock::Millis,
    control::{
        membership::MAX_VOTERS,
        node::GroupPolicy,
        voter_changes::{
            HostState, RemovalReason, VoterChange, VoterChangeSettings, next_voter_change,
        },
    },
    ids::ControlId,
    wire::group::{Member, Members},
};

const REMOVE_AFTER: Millis = Millis(8_000);
const LEADER: &str = "v1.a";

/// Leader `v1` with further hosts, of which those in `voters` vote.
struct Group {
    settings: VoterChangeSettings,
    voters: Members,
    hosts: BTreeMap<ControlId, HostState>,
}

fn member(name: &str, added_index: u64) -> Member {
    Member { name: name.to_owned(), bus_addr: name.to_owned(), added_index, ..Member::default() }
}

impl Group {
    fn new(voters: usize, tolerated_losses: usize) -> Self {
        let settings = VoterChangeSettings {
            tolerated_losses,
            remove_after: Some(REMOVE_AFTER),
            ..VoterChangeSettings::default()
        };
        let mut group = Self { settings, voters: Members::default(), hosts: BTreeMap::new() };
        for number in 1..=voters {
            let (id, member) =
                (format!("v{number}.a"), member(&format!("v{number}"), number as u64));
            group.voters.0.insert(ControlId::from(id.as_str()), member.clone());
            if id != LEADER {
                group.add_host(&id, member);
            }
        }
        group
    }

    fn add_host(&mut self, id: &str, member: Member) {
        let state = HostState { member, has_responded: true, silence: Millis(50), lag: Millis(0) };
        self.hosts.insert(ControlId::from(id), state);
    }

    fn add_learner(&mut self, id: &str) {
        self.add_host(id, member(id.split('.').next().unwrap(), 0));
    }

    fn silence(&mut self, numbers: impl IntoIterator<Item = usize>, silence: Millis) {
        for number in numbers {
            self.hosts.get_mut(&ControlId::from(format!("v{number}.a"))).unwrap().silence = silence;
        }
    }

    fn next(&self) -> Option<VoterChange> {
        next_voter_change(&self.settings, &ControlId::from(LEADER), &self.voters, &self.hosts)
    }

    /// Makes changes until none is due; returns them in short form.
    fn settle(&mut self) -> Vec<String> {
        let mut changes = Vec::new();
        while let Some(change) = self.next() {
            assert!(changes.len() < 20, "changes without end: {changes:?}");
            match change {
                VoterChange::Add { host, member } => {
                    changes.push(format!("+{host}"));
                    let added_index = 100 + changes.len() as u64;
                    self.voters.0.insert(host, Member { added_index, ..member });
                }
                VoterChange::Remove { host, reason } => {
                    changes.push(format!("-{host}"));
                    self.voters.0.remove(&host);
                    if reason != RemovalReason::Surplus {
                        self.hosts.remove(&host);
                    }
                }
            }
        }
        changes
    }
}

/// Guards against a group that a split leaves with fewer voters than the tolerated losses
/// need, although no host is lost.
#[test]
fn cut_off_voters_stay_while_too_few_others_respond() {
    let mut group = Group::new(7, 2);
    group.silence([5, 6, 7], Millis(30_000));
    assert_eq!(group.settle(), [""; 0]);
}

/// Guards against lost hosts that remain voters for ever once others have taken their places.
#[test]
fn silent_voters_leave_while_enough_others_respond() {
    let mut group = Group::new(9, 2);
    group.silence([8, 9], Millis(8_000));
    assert_eq!(group.settle(), ["-v8.a", "-v9.a"]);
    let mut group = Group::new(6, 1);
    group.silence([5, 6], Millis(8_000));
    assert_eq!(group.settle(), ["-v5.a", "-v6.a"]);
    let mut group = Group::new(5, 1);
    group.silence([4, 5], Millis(8_000));
    assert_eq!(group.settle(), [""; 0]);
}

/// Guards against the removal of one of two silent voters, of which only the other one is lost:
/// after two further losses the hosts that are left would need the removed one.
#[test]
fn no_voter_leaves_that_the_next_losses_could_call_for() {
    let mut group = Group::new(7, 2);
    group.silence([6, 7], Millis(30_000));
    assert_eq!(group.settle(), [""; 0]);
}

/// Guards against a removal that counts voters which respond and lack the log: what is
/// acknowledged would be on fewer disks than may be lost.
#[test]
fn voters_that_lack_entries_do_not_count_for_a_removal() {
    let mut group = Group::new(7, 2);
    group.silence([7], Millis(8_000));
    group.hosts.get_mut(&ControlId::from("v2.a")).unwrap().lag = Millis(100);
    assert_eq!(group.next(), None);
    group.hosts.get_mut(&ControlId::from("v2.a")).unwrap().lag = Millis(0);
    assert_eq!(group.settle(), ["-v7.a"]);
}

/// Guards against a voter whose disk hangs or is full for long, and which answers heartbeats: it
/// would count as a voter and neither vote nor acknowledge.
#[test]
fn voter_that_does_not_catch_up_makes_room() {
    let mut group = Group::new(7, 2);
    group.hosts.get_mut(&ControlId::from("v7.a")).unwrap().lag = Millis(8_000);
    group.add_learner("l1.a");
    assert_eq!(group.settle(), ["+l1.a", "-v7.a"]);
}

/// Guards against a full list of voters that keeps live hosts out while some voters are lost.
#[test]
fn hosts_enter_in_place_of_silent_voters_before_these_leave() {
    let mut group = Group::new(7, 2);
    group.silence([6, 7], Millis(8_000));
    group.add_learner("l1.a");
    group.add_learner("l2.a");
    assert_eq!(group.settle(), ["+l1.a", "+l2.a", "-v6.a", "-v7.a"]);
}

/// Guards against a host that is let in as soon as a response is late.
#[test]
fn silence_below_the_response_timeout_makes_no_room() {
    let mut group = Group::new(7, 2);
    group.silence([7], Millis(950));
    group.add_learner("l1.a");
    assert_eq!(group.next(), None);
    group.silence([7], Millis(1_000));
    assert_eq!(group.settle(), ["+l1.a"]);
}

/// Guards against a host that lost its disk and finds the list of voters full, under its old
/// name, with and without dynamic membership.
#[test]
fn successor_of_the_same_name_enters_a_full_group() {
    for remove_after in [Some(REMOVE_AFTER), None] {
        let mut group = Group::new(MAX_VOTERS, 2);
        group.settings.remove_after = remove_after;
        group.silence([7], Millis(1_500));
        group.add_learner("v7.b");
        assert_eq!(group.settle(), ["+v7.b", "-v7.a"]);
    }
}

/// Guards against two lost disks whose hosts can't both come back.
#[test]
fn two_hosts_that_lost_their_disks_return() {
    let mut group = Group::new(5, 2);
    group.silence([4, 5], Millis(1_500));
    group.add_learner("v4.b");
    group.add_learner("v5.b");
    assert_eq!(group.settle(), ["+v4.b", "-v4.a", "+v5.b", "-v5.a"]);
}

/// Guards against a change that the hosts which respond can't commit.
#[test]
fn change_needs_a_majority_that_responds() {
    let mut group = Group::new(4, 1);
    group.silence([3, 4], Millis(30_000));
    group.add_learner("l1.a");
    assert_eq!(group.settle(), ["+l1.a"]);
    let mut group = Group::new(5, 1);
    group.silence([3, 4, 5], Millis(30_000));
    group.add_learner("l1.a");
    assert_eq!(group.next(), None);
}

/// Guards against a group that keeps more voters than allowed after silent ones came back.
#[test]
fn youngest_voter_leaves_a_group_that_is_too_large() {
    let mut group = Group::new(MAX_VOTERS + 2, 2);
    assert_eq!(group.settle(), ["-v9.a", "-v8.a"]);
}

/// Guards against a new leader that counts voters as responding before it has heard them: it
/// removed a live voter of nine, of which four were lost, and no majority was left.
#[test]
fn voters_that_a_new_leader_has_not_heard_do_not_count() {
    for unheard in [6..=9, 7..=9] {
        let mut group = Group::new(MAX_VOTERS + 2, 2);
        for number in unheard {
            let id = ControlId::from(format!("v{number}.a"));
            group.hosts.get_mut(&id).unwrap().has_responded = false;
        }
        assert_eq!(group.next(), None);
    }
}

/// Guards against hosts with static membership that lose their vote by silence.
#[test]
fn configured_voters_are_not_removed_by_silence() {
    let mut group = Group::new(5, 1);
    group.settings.remove_after = None;
    group.silence([5], Millis(600_000));
    assert_eq!(group.next(), None);
}

/// Guards against a silent voter that is given up although another silent one stays on the list:
/// with the loss of two more disks, three of six would be left, and the one given up can't help.
#[test]
fn waiting_host_enters_before_the_first_silent_voter_leaves() {
    let mut group = Group::new(7, 2);
    group.silence([6, 7], Millis(8_000));
    group.add_learner("l1.a");
    group.add_learner("l2.a");
    let changes = group.settle();
    assert_eq!(changes[..2], ["+l1.a", "+l2.a"], "{changes:?}");
}

/// Guards against a new leader that removes live voters as surplus, because lost voters count as
/// present until they have been silent for long: five of seven voters would be left.
#[test]
fn voters_that_have_never_answered_are_no_reason_to_remove_others() {
    let mut group = Group::new(MAX_VOTERS + 2, 2);
    for id in ["v2.a", "v3.a"] {
        let host = group.hosts.get_mut(&ControlId::from(id)).unwrap();
        (host.silence, host.lag) = (Millis(900), Millis(900));
    }
    assert_eq!(group.next(), None);
}

/// Guards against a short replacement time in the settings that makes a leader remove voters which
/// respond, and itself.
#[test]
fn short_replacement_time_removes_no_voter_that_responds() {
    for replacement_ms in [0, 50, 1_000] {
        let mut group = Group::new(7, 2);
        let policy = GroupPolicy::dynamic(2, Millis(replacement_ms));
        group.settings.remove_after = Some(policy.remove_after);
        group.silence([7], Millis(900));
        assert_eq!(group.settle(), [""; 0], "{replacement_ms} ms");
    }
}
