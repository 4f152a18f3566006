//! Member of the control group as a state machine without I/O.
//!
//! [`Node::step`] takes an input and returns outputs, which the runtime carries
//! out in order. Writes are synced in order in the background, and each is
//! confirmed by [`Input::Persisted`]. A message that [`GroupBody::needs_sync`]
//! leaves only after all earlier writes are synced; everything else takes effect
//! at once, so a slow disk does not stop heartbeats. If a write fails, the process
//! must stop.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use derive_more::Display;

use crate::{
    clock::Millis,
    control::{
        election::{ElectionTimer, PreVoteTally, VoteTally},
        follower::PendingAck,
        leader::LeaderState,
        log::Log,
        membership::{HelloAnswers, MembershipHistory},
        persistence::NO_ENTRY,
        snapshot::SnapshotAssembly,
        storage::{Snapshot, StoredState, Vote, Write},
        voting::PreVoteAnswer,
    },
    ids::ControlId,
    settings::timing::GroupTiming,
    wire::group::{GroupBody, GroupMessage, GroupTerm, LogEntry, LogId, Member, Members, Payload},
};

/// Settings of a [`Node`].
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// New for each blank data folder.
    pub id: ControlId,
    pub member: Member,
    /// Configured control hosts: names and bus addresses, including this host.
    pub group: BTreeMap<String, String>,
    /// Seed of the election timeouts, and number of the process; different for
    /// each process.
    pub seed: u64,
    pub timing: GroupTiming,
    pub policy: GroupPolicy,
}

/// How a group takes in hosts and how much of its log it keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupPolicy {
    /// Hosts outside the configured group may join, and their names are their bus
    /// addresses.
    pub dynamic_membership: bool,
    /// Whether a blank host may form a new group.
    pub may_bootstrap: bool,
    /// Silence after which a voter is removed from an open group.
    pub remove_after: Millis,
    /// Entries before a snapshot that remain in the log, so that a host that is a
    /// little behind does not need the snapshot.
    pub tail_entries: u64,
}

impl Default for GroupPolicy {
    fn default() -> Self {
        Self {
            dynamic_membership: false,
            may_bootstrap: true,
            remove_after: Millis(8_000),
            tail_entries: 500,
        }
    }
}

/// Event for a [`Node`].
#[derive(Debug, Clone)]
pub enum Input {
    Tick,
    Message(GroupMessage),
    /// Commands for the log, stored with one sync.
    Propose(Vec<Proposal>),
    /// The oldest unconfirmed [`Output::Persist`] is synced.
    Persisted,
    /// State machine's snapshot as of the commit index.
    Compact {
        data: Bytes,
    },
}

/// Command with a number that is returned with its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    pub id: u64,
    pub bytes: Bytes,
}

/// Action for the runtime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    Persist(Write),
    Send {
        addr: String,
        message: GroupMessage,
    },
    /// Replace the state machine's state.
    RestoreSnapshot {
        index: u64,
        data: Bytes,
    },
    /// Apply a command.
    Committed {
        index: u64,
        term: GroupTerm,
        bytes: Bytes,
    },
    /// Command is in the log; it is committed if an entry of this term is
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
    /// Process did not run for `gap`.
    Frozen {
        gap: Millis,
    },
    /// Other hosts consider this one removed from the group.
    Removed {
        by: ControlId,
    },
}

/// Part that a host plays in its group.
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

/// Role after a change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoleChange {
    pub role: Role,
    pub term: GroupTerm,
    /// Known leader.
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
    pub(super) timer: ElectionTimer,
    pub(super) assembly: SnapshotAssembly,
    pub(super) hello_answers: HelloAnswers,
    /// Host found a blank group and adds itself as its first voter.
    pub(super) forming: bool,
    /// A committed entry has listed this host as a voter.
    pub(super) was_member: bool,
    /// Unconfirmed writes: the first index whose entry each one changes.
    pub(super) unsynced: VecDeque<u64>,
    /// Entries that were not synced when they were answered.
    pub(super) pending_ack: Option<PendingAck>,
    pub(super) hello_at: Millis,
    /// Number of the last question whether an election would succeed.
    pub(super) pre_vote_round: u64,
    last_step: Millis,
    reported: RoleChange,
    pub(super) out: Vec<Output>,
}

impl Node {
    /// Node with what was stored before a restart. The runtime restores the state
    /// machine from the stored snapshot itself.
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
            settings,
            vote: stored.vote,
            log,
            history,
            snapshot: stored.snapshot,
            commit_index: last.index,
            state: State::Follower,
            leader: None,
            timer,
            assembly: SnapshotAssembly::default(),
            hello_answers: HelloAnswers::default(),
            forming: false,
            unsynced: VecDeque::new(),
            pending_ack: None,
            hello_at: now,
            pre_vote_round: 0,
            last_step: now,
            reported: RoleChange::default(),
            out: Vec::new(),
        };
        node.reported = node.role();
        node
    }

    /// Processes one input.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.check_freeze(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.receive(now, message),
            Input::Propose(proposals) => self.propose(now, proposals),
            Input::Persisted => self.persisted(now),
            Input::Compact { data } => self.compact(data),
        }
        let role = self.role();
        if role != self.reported {
            self.reported = role.clone();
            self.out.push(Output::RoleChanged(role));
        }
        std::mem::take(&mut self.out)
    }

    /// Own id.
    pub fn id(&self) -> &ControlId {
        &self.settings.id
    }

    /// Current role, term and leader.
    pub fn role(&self) -> RoleChange {
        let role = match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) | State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        };
        RoleChange { role, term: self.vote.term, leader: self.leader.clone() }
    }

    /// Index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Last entry of the log.
    pub fn last(&self) -> LogId {
        self.log.last()
    }

    /// Number of entries since the last snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.commit_index - self.snapshot.as_ref().map_or(0, |snapshot| snapshot.last.index)
    }

    /// Voters in force.
    pub fn members(&self) -> &Members {
        self.history.current()
    }

    fn tick(&mut self, now: Millis) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
            return;
        }
        if self.is_voter() && self.timer.is_due(now) {
            self.start_pre_vote(now);
        }
        // The entry that lists this host may be lost with its leader.
        if !self.was_member {
            self.introduce(now);
        }
    }

    fn receive(&mut self, now: Millis, message: GroupMessage) {
        let GroupMessage { from, to, term, body } = message;
        if from == self.settings.id || to.as_ref().is_some_and(|to| *to != self.settings.id) {
            return;
        }
        match body {
            GroupBody::Hello(hello) => {
                if hello.reply_requested && to.is_none() {
                    self.forward_hello(&from, term, &hello);
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
                self.on_pre_vote_answer(now, from, PreVoteAnswer { result, round, process });
            }
            GroupBody::VoteResponse { granted } => self.on_vote_answer(now, from, term, granted),
            GroupBody::Append(append) => self.on_append(now, from, term, append),
            GroupBody::InstallSnapshot(install) => self.on_install(now, from, term, install),
            GroupBody::AppendResponse(answer) if term == self.vote.term => {
                self.on_append_answer(now, &from, &answer);
            }
            GroupBody::InstallSnapshotResponse(answer) if term == self.vote.term => {
                self.on_install_answer(now, &from, &answer);
            }
            _ => {}
        }
    }

    /// A frozen process first learns what happened meanwhile: a leader needs new
    /// answers from a majority, another host waits for the messages in its queue.
    fn check_freeze(&mut self, now: Millis) {
        let gap = now.since(self.last_step);
        self.last_step = now;
        if gap <= self.settings.timing.freeze {
            return;
        }
        self.out.push(Output::Frozen { gap });
        match &mut self.state {
            State::Leader(state) => state.replication.restart_lease(now),
            _ => self.timer.restart(now, &self.settings.timing),
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members().0.contains_key(&self.settings.id)
    }

    pub(super) fn is_blank(&self) -> bool {
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
            self.timer.restart(now, &self.settings.timing);
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
        self.log.append(entries.iter().cloned());
        self.persist(first, Write::Entries(entries));
    }

    pub(super) fn advance_commit(&mut self, to: u64) {
        while self.commit_index < to {
            let Some(entry) = self.log.get(self.commit_index + 1) else { return };
            self.commit_index += 1;
            match &entry.payload {
                Payload::Command(bytes) => {
                    let (index, term, bytes) = (self.commit_index, entry.term, bytes.clone());
                    self.out.push(Output::Committed { index, term, bytes });
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
        self.out.push(Output::Send { addr, message });
    }
}
