//! Member of the control group as a state machine without I/O.
//!
//! [`Node::step`] takes an input and returns outputs, which the caller executes in
//! order. Writes are synced in order in the background, and each is confirmed by
//! [`Input::Persisted`]. A message for which [`GroupBody::needs_sync`] holds is sent
//! only after all earlier writes are synced; other outputs take effect at once, so a
//! slow disk does not stop heartbeats. If a write fails, the process must stop.

use std::collections::VecDeque;

use bytes::Bytes;
use derive_more::Display;

use crate::{
    clock::Millis,
    control::{
        discovery::Discovery,
        election::{ElectionTimer, PreVoteTally, VoteTally},
        follower::PendingAck,
        leader::LeaderState,
        log::Log,
        membership::{HelloReplies, MembershipHistory},
        persistence::NO_ENTRY,
        snapshot::SnapshotAssembly,
        storage::{Snapshot, StoredState, Vote, Write},
        voter_changes::VoterChange,
        voting::PreVoteResponse,
    },
    ids::ControlId,
    wire::group::{GroupBody, GroupMessage, GroupTerm, LogEntry, LogId, Members, Payload},
};

pub use crate::control::node_settings::{GroupPolicy, NodeSettings};

/// Input of [`Node::step`].
#[derive(Debug, Clone)]
pub enum Input {
    Tick,
    Message(GroupMessage),
    /// Commands for the log, written with one sync.
    Propose(Vec<Proposal>),
    /// Confirms that the oldest unconfirmed [`Output::Persist`] is synced.
    Persisted,
    /// Replaces log entries by a snapshot of the state machine at the commit index.
    Compact {
        data: Bytes,
    },
}

/// Command for the log, with an id that the outcome repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    pub id: u64,
    pub bytes: Bytes,
}

/// Action for the caller of [`Node::step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    Persist(Write),
    Send {
        addr: String,
        message: GroupMessage,
    },
    /// Replaces the state of the state machine.
    RestoreSnapshot {
        index: u64,
        data: Bytes,
    },
    /// Applies a command to the state machine.
    Committed {
        index: u64,
        term: GroupTerm,
        bytes: Bytes,
    },
    /// Command was appended to the log. It is committed if an entry of this term is
    /// committed at `index`.
    Proposed {
        id: u64,
        index: u64,
        term: GroupTerm,
    },
    ProposalRejected {
        id: u64,
        leader: Option<ControlId>,
    },
    RoleChanged(RoleChange),
    /// This host, the leader, begins to change the voters.
    VotersChanging {
        change: VoterChange,
        /// Number of voters before the change.
        voters: usize,
        /// Number of voters that respond to the leader, including itself.
        responding: usize,
    },
    /// The process did not run for `gap`.
    Frozen {
        gap: Millis,
    },
    /// A voter reports that this host was removed from the group.
    Removed {
        by: ControlId,
    },
}

/// Role of a host in its group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Role {
    #[default]
    #[display("follower")]
    Follower,
    #[display("candidate")]
    Candidate,
    #[display("leader")]
    Leader,
}

/// Role, term and leader as known to a host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoleChange {
    pub role: Role,
    pub term: GroupTerm,
    pub leader: Option<ControlId>,
}

pub(super) enum State {
    Follower,
    PreCandidate(PreVoteTally),
    Candidate(VoteTally),
    Leader(Box<LeaderState>),
}

/// Member of the control group.
pub struct Node {
    pub(super) settings: NodeSettings,
    pub(super) vote: Vote,
    pub(super) log: Log,
    pub(super) history: MembershipHistory,
    pub(super) snapshot: Option<Snapshot>,
    pub(super) commit_index: u64,
    pub(super) state: State,
    pub(super) leader: Option<ControlId>,
    /// Time of the last message from a leader, or of the start.
    pub(super) leader_heard_at: Millis,
    pub(super) timer: ElectionTimer,
    pub(super) snapshot_assembly: SnapshotAssembly,
    pub(super) hello_replies: HelloReplies,
    /// Addresses to ask for the group.
    pub(super) discovery: Discovery,
    /// Number of hellos passed on to voters, which are taken in turn.
    pub(super) passed_on_hellos: usize,
    /// Whether this host is creating the group with itself as the first voter.
    pub(super) bootstrapping: bool,
    /// Whether the committed part of the log holds a command.
    pub(super) holds_commands: bool,
    /// Whether a committed entry has listed this host as a voter.
    pub(super) was_member: bool,
    /// First log index that each unconfirmed write changes.
    pub(super) unsynced: VecDeque<u64>,
    /// Acknowledgement to send once the received entries are synced.
    pub(super) pending_ack: Option<PendingAck>,
    pub(super) hello_sent_at: Millis,
    /// When a missing host was last sought by this host as the leader.
    pub(super) missing_sought_at: Millis,
    /// Number of the last pre-vote round.
    pub(super) pre_vote_round: u64,
    last_step: Millis,
    last_reported: RoleChange,
    pub(super) outputs: Vec<Output>,
}

impl Node {
    /// Node that continues from the stored state. The caller restores the state machine
    /// from the stored snapshot itself.
    pub fn new(settings: NodeSettings, mut stored: StoredState, now: Millis) -> Self {
        stored.reconcile_with_snapshot();
        let (last, members) = stored
            .snapshot
            .as_ref()
            .map_or_else(Default::default, |snapshot| (snapshot.last, snapshot.members.clone()));
        let log = Log::new(stored.base, stored.entries);
        let mut history = MembershipHistory::new(last.index, members);
        history.append(last.index + 1, &log.after(last));
        let timer = ElectionTimer::new(now, settings.seed, &settings.timing);
        let mut node = Self {
            was_member: history.at(last.index).0.contains_key(&settings.id),
            holds_commands: stored.snapshot.is_some(),
            discovery: Discovery::new(&settings.member.bus_addr, settings.group.values().cloned()),
            settings,
            vote: stored.vote,
            log,
            history,
            snapshot: stored.snapshot,
            commit_index: last.index,
            state: State::Follower,
            leader: None,
            leader_heard_at: now,
            timer,
            snapshot_assembly: SnapshotAssembly::default(),
            hello_replies: HelloReplies::default(),
            passed_on_hellos: 0,
            bootstrapping: false,
            unsynced: VecDeque::new(),
            pending_ack: None,
            hello_sent_at: now,
            missing_sought_at: now,
            pre_vote_round: 0,
            last_step: now,
            last_reported: RoleChange::default(),
            outputs: Vec::new(),
        };
        node.last_reported = node.role();
        node.learn_voters();
        node
    }

    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.detect_freeze(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.receive(now, message),
            Input::Propose(proposals) => self.propose(now, proposals),
            Input::Persisted => self.persisted(now),
            Input::Compact { data } => self.compact(data),
        }
        let role = self.role();
        if role != self.last_reported {
            self.last_reported = role.clone();
            self.outputs.push(Output::RoleChanged(role));
        }
        std::mem::take(&mut self.outputs)
    }

    pub fn id(&self) -> &ControlId {
        &self.settings.id
    }

    pub fn role(&self) -> RoleChange {
        let role = match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) | State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        };
        RoleChange { role, term: self.vote.term, leader: self.leader.clone() }
    }

    /// Term and vote of this host.
    pub fn vote(&self) -> &Vote {
        &self.vote
    }

    /// Index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Term and index of the last entry of the log.
    pub fn last(&self) -> LogId {
        self.log.last()
    }

    /// Number of committed entries since the last snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.commit_index - self.snapshot.as_ref().map_or(0, |snapshot| snapshot.last.index)
    }

    /// Voters according to the last membership entry of the log.
    pub fn members(&self) -> &Members {
        self.history.current()
    }

    fn tick(&mut self, now: Millis) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
            self.seek_missing_hosts(now);
            return;
        }
        if self.is_voter() && self.timer.is_due(now) {
            self.start_pre_vote(now);
        }
        self.forget_silent_leader(now);
        if self.asks_to_join(now) {
            self.join_or_bootstrap(now);
        }
    }

    fn receive(&mut self, now: Millis, message: GroupMessage) {
        let GroupMessage { from, to, term, body } = message;
        if from == self.settings.id {
            return;
        }
        self.learn_sender(&from);
        if to.as_ref().is_some_and(|to| *to != self.settings.id) {
            return;
        }
        match body {
            GroupBody::Hello(hello) => {
                if hello.reply_requested && to.is_none() {
                    self.pass_on_hello(&from, term, &hello);
                }
                self.on_hello(now, from, hello);
            }
            GroupBody::PreVote { last, round } => self.on_pre_vote(now, from, term, last, round),
            GroupBody::Vote { last, released } => {
                self.on_vote(now, from, term, last, released);
            }
            body => {
                if term > self.vote.term {
                    self.become_follower(now, term, None);
                }
                self.receive_in_term(now, from, term, body);
            }
        }
    }

    fn receive_in_term(&mut self, now: Millis, from: ControlId, term: GroupTerm, body: GroupBody) {
        match body {
            GroupBody::PreVoteResponse { result, round, process } => {
                self.on_pre_vote_response(now, from, PreVoteResponse { result, round, process });
            }
            GroupBody::VoteResponse { granted } => self.on_vote_response(now, from, term, granted),
            GroupBody::Append(append) => self.on_append(now, from, term, append),
            GroupBody::InstallSnapshot(install) => self.on_install(now, from, term, install),
            GroupBody::AppendResponse(response) if term == self.vote.term => {
                self.on_append_response(now, &from, &response);
            }
            GroupBody::InstallSnapshotResponse(response) if term == self.vote.term => {
                self.on_install_response(now, &from, &response);
            }
            _ => {}
        }
    }

    /// Invalidates what a process that did not run for a while knew before: a leader
    /// needs new responses from a majority, and another host first processes the messages
    /// in its queue instead of starting an election.
    fn detect_freeze(&mut self, now: Millis) {
        let gap = now.since(self.last_step);
        self.last_step = now;
        if gap <= self.settings.timing.freeze_threshold {
            return;
        }
        self.outputs.push(Output::Frozen { gap });
        match &mut self.state {
            State::Leader(state) => state.replication.invalidate_lease(now),
            _ => {
                self.timer.reset(now, &self.settings.timing);
                self.leader_heard_at = now;
            }
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members().0.contains_key(&self.settings.id)
    }

    pub(super) fn is_uninitialized(&self) -> bool {
        self.log.last() == LogId::default()
    }

    pub(super) fn become_follower(
        &mut self,
        now: Millis,
        term: GroupTerm,
        leader: Option<ControlId>,
    ) {
        if term > self.vote.term {
            self.store_vote(Vote { term, voted_for: None });
        }
        if matches!(self.state, State::Leader(_)) {
            self.timer.reset(now, &self.settings.timing);
            self.leader_heard_at = now;
        }
        self.state = State::Follower;
        self.leader = leader;
    }

    pub(super) fn store_vote(&mut self, vote: Vote) {
        self.vote = vote.clone();
        self.persist(NO_ENTRY, Write::Vote(vote));
    }

    pub(super) fn append_entries(&mut self, entries: Vec<LogEntry>) {
        let first = self.log.last().index + 1;
        self.history.append(first, &entries);
        if entries.iter().any(|entry| matches!(entry.payload, Payload::Members(_))) {
            self.learn_voters();
        }
        self.log.append(entries.iter().cloned());
        self.persist(first, Write::Entries(entries));
    }

    pub(super) fn advance_commit(&mut self, to: u64) {
        while self.commit_index < to {
            let Some(entry) = self.log.get(self.commit_index + 1) else { return };
            self.commit_index += 1;
            match &entry.payload {
                Payload::Command(bytes) => {
                    self.holds_commands = true;
                    let (index, term, bytes) = (self.commit_index, entry.term, bytes.clone());
                    self.outputs.push(Output::Committed { index, term, bytes });
                }
                Payload::Members(members) => {
                    self.was_member |= members.0.contains_key(&self.settings.id);
                }
                Payload::Noop => {}
            }
        }
    }

    pub(super) fn send(
        &mut self,
        addr: String,
        to: Option<ControlId>,
        term: GroupTerm,
        body: GroupBody,
    ) {
        let message = GroupMessage { from: self.settings.id.clone(), to, term, body };
        self.outputs.push(Output::Send { addr, message });
    }
}
