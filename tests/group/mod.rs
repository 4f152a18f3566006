//! Simulated control group with virtual time and a seeded network and storage.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]
#![allow(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use pomelopin::{
    clock::Millis,
    control::{
        node::{GroupPolicy, Input, Node, NodeSettings, Output, Proposal, Role},
        storage::{StoredState, Write},
    },
    ids::ControlId,
    settings::timing::GroupTiming,
    wire::group::{GroupBody, GroupMessage, GroupTerm, Member},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STEP_MS: u64 = 5;
const TICK_MS: u64 = 25;

/// Control host with its storage, which survives the process.
#[derive(Default)]
pub struct Host {
    pub node: Option<Node>,
    pub stored: StoredState,
    /// Number of disks that the host has lost.
    pub generation: u64,
    pub frozen: bool,
    /// State machine: number of applied commands and a digest of them.
    pub state: (u64, u64),
    /// Unsynced writes with the time at which each is synced.
    pub unsynced: VecDeque<(Millis, Write)>,
    /// Number of writes before each message, its destination and the message.
    deferred: VecDeque<(u64, String, GroupMessage)>,
    written: u64,
    synced: u64,
    /// Number of outputs after which the process crashes.
    pub crash_after: Option<usize>,
    pub rejected: u64,
}

pub struct Group {
    pub now: Millis,
    pub hosts: BTreeMap<String, Host>,
    pub rng: SmallRng,
    pub drop_percent: u32,
    pub max_delay_ms: u64,
    pub max_sync_ms: u64,
    /// Hosts on one side of a network partition.
    pub partitioned: BTreeSet<String>,
    /// Pairs of hosts that cannot reach each other, in the order of their names.
    pub cut_links: BTreeSet<(String, String)>,
    /// Whether messages across the partition are delivered after it heals instead of
    /// being dropped.
    pub keep_partitioned_messages: bool,
    pub compact_after_entries: u64,
    /// Policy for hosts that are started.
    pub policy: GroupPolicy,
    /// Configured hosts of hosts that are started; all hosts if empty.
    pub configured: Vec<String>,
    /// Number of hellos that each host has sent.
    pub hellos_sent: BTreeMap<String, u64>,
    messages: Vec<(Millis, String, String, GroupMessage)>,
    /// First committed command at each index and the resulting state.
    committed: BTreeMap<u64, (GroupTerm, Bytes, (u64, u64))>,
    leaders: BTreeMap<GroupTerm, ControlId>,
    last_proposal_id: u64,
}

impl Group {
    pub fn new(size: usize, seed: u64) -> Self {
        let names = (1..=size).map(|number| format!("c{number}"));
        let mut group = Self {
            now: Millis(0),
            hosts: names.map(|name| (name, Host::default())).collect(),
            rng: SmallRng::seed_from_u64(seed),
            drop_percent: 0,
            max_delay_ms: 10,
            max_sync_ms: 5,
            partitioned: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            keep_partitioned_messages: false,
            compact_after_entries: u64::MAX,
            policy: GroupPolicy::default(),
            configured: Vec::new(),
            hellos_sent: BTreeMap::new(),
            messages: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            last_proposal_id: 0,
        };
        for name in group.names() {
            group.start(&name);
        }
        group
    }

    /// Group in which all hosts are voters.
    pub fn formed(size: usize, seed: u64) -> Self {
        let mut group = Self::new(size, seed);
        group.run_until("all hosts are voters", 5_000, |group| group.voter_count() == size);
        group
    }

    pub fn names(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    pub fn start(&mut self, name: &str) {
        let seed = self.rng.random();
        let configured =
            if self.configured.is_empty() { self.names() } else { self.configured.clone() };
        let addresses = configured.into_iter().map(|name| (name.clone(), name)).collect();
        let host = self.hosts.get_mut(name).unwrap();
        let settings = NodeSettings {
            id: ControlId::from(format!("{name}.{}", host.generation)),
            member: Member {
                name: name.to_owned(),
                bus_addr: name.to_owned(),
                ..Member::default()
            },
            group: addresses,
            seed,
            timing: GroupTiming::default(),
            policy: self.policy.clone(),
        };
        let snapshot = host.stored.snapshot.as_ref();
        host.state = snapshot.map_or((0, 0), |it| postcard::from_bytes(&it.data).unwrap());
        host.node = Some(Node::new(settings, host.stored.clone(), self.now));
        host.frozen = false;
        host.unsynced.clear();
        host.deferred.clear();
        (host.written, host.synced) = (0, 0);
    }

    pub fn kill(&mut self, name: &str) {
        self.hosts.get_mut(name).unwrap().node = None;
    }

    pub fn lose_disk(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).unwrap();
        *host = Host { generation: host.generation + 1, ..Host::default() };
    }

    pub fn freeze(&mut self, name: &str, frozen: bool) {
        self.hosts.get_mut(name).unwrap().frozen = frozen;
    }

    fn running(&self) -> impl Iterator<Item = (&String, &Node)> {
        self.hosts.iter().filter_map(|(name, host)| Some((name, host.node.as_ref()?)))
    }

    /// Host that serves requests; panics if there are two.
    pub fn leader(&self) -> Option<String> {
        let is_active = |name: &String| !self.hosts[name].frozen;
        let mut serving =
            self.running().filter(|(name, node)| is_active(name) && node.is_serving(self.now));
        let leader = serving.next().map(|(name, _)| name.clone());
        let second = serving.next().map(|(name, _)| name);
        assert_eq!(second, None, "two hosts serve at {}: {leader:?} and {second:?}", self.now);
        leader
    }

    pub fn followers(&self) -> Vec<String> {
        let leader = self.leader();
        self.names().into_iter().filter(|name| Some(name) != leader.as_ref()).collect()
    }

    pub fn voter_count(&self) -> usize {
        self.voters().len()
    }

    /// Names of the voters according to the leader.
    pub fn voters(&self) -> Vec<String> {
        let leader = self.leader().and_then(|name| self.hosts[&name].node.as_ref());
        let members = leader.map(|node| node.members().0.values());
        members.into_iter().flatten().map(|member| member.name.clone()).collect()
    }

    /// Whether all hosts run and know that all are voters and their logs are committed.
    pub fn is_healthy(&self) -> bool {
        let ids: Vec<_> = self.running().map(|(_, node)| node.id().clone()).collect();
        let knows_voters = |node: &Node| node.members().0.keys().eq(&ids);
        let is_committed = |node: &Node| node.commit_index() == node.last().index;
        ids.len() == self.hosts.len()
            && self.leader().is_some()
            && self.running().all(|(_, node)| knows_voters(node) && is_committed(node))
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += Millis(STEP_MS);
            self.deliver();
            self.sync();
            for (number, name) in self.names().iter().enumerate() {
                if (self.now.0 + number as u64 * STEP_MS).is_multiple_of(TICK_MS) {
                    self.step(name, Input::Tick);
                }
            }
            self.leader();
        }
    }

    /// Runs until the condition holds and returns the elapsed milliseconds; panics after
    /// `ms`.
    pub fn run_until(&mut self, what: &str, ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !condition(self) {
            assert!(self.now.since(start).0 < ms, "timed out after {ms} ms: {what}");
            self.run(STEP_MS);
        }
        self.now.since(start).0
    }

    /// Proposes commands on the leader and waits until the last one is committed.
    pub fn commit(&mut self, count: u64) {
        for _ in 0..count {
            self.run_until("a leader", 5_000, |group| group.leader().is_some());
            let leader = self.leader().unwrap();
            self.propose(&leader);
            self.run(STEP_MS);
        }
        let wanted = self.last_proposal_id;
        self.run_until("commit", 5_000, |group| {
            group.committed.values().any(|(_, bytes, _)| *bytes == command(wanted))
        });
    }

    pub fn propose(&mut self, name: &str) {
        self.last_proposal_id += 1;
        let proposal =
            Proposal { id: self.last_proposal_id, bytes: command(self.last_proposal_id) };
        self.step(name, Input::Propose(vec![proposal]));
    }

    /// Number of commands that were committed.
    pub fn committed_count(&self) -> u64 {
        self.committed.values().last().map_or(0, |(_, _, state)| state.0)
    }

    pub fn all_agree(&self) -> bool {
        let state = self.committed.values().last().map_or((0, 0), |(_, _, state)| *state);
        self.hosts.values().all(|host| host.node.is_none() || host.state == state)
    }

    fn is_unreachable(&self, from: &str, to: &str) -> bool {
        let pair = (from.min(to).to_owned(), from.max(to).to_owned());
        self.partitioned.contains(from) != self.partitioned.contains(to)
            || self.cut_links.contains(&pair)
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, ..)| *at <= self.now);
        self.messages = later;
        for (at, from, to, message) in due {
            let host = self.hosts.get(&to).unwrap();
            if self.is_unreachable(&from, &to) {
                if self.keep_partitioned_messages {
                    self.messages.push((at, from, to, message));
                }
            } else if host.frozen {
                self.messages.push((at, from, to, message));
            } else {
                self.step(&to, Input::Message(message));
            }
        }
    }

    fn step(&mut self, name: &str, input: Input) {
        let host = self.hosts.get_mut(name).unwrap();
        if host.frozen {
            return;
        }
        let Some(node) = &mut host.node else { return };
        let outputs = node.step(self.now, input);
        for output in outputs {
            let host = self.hosts.get_mut(name).unwrap();
            match &mut host.crash_after {
                Some(0) => {
                    host.crash_after = None;
                    host.node = None;
                    return;
                }
                Some(left) => *left -= 1,
                None => {}
            }
            self.execute(name, output);
        }
        self.compact(name);
    }

    fn execute(&mut self, name: &str, output: Output) {
        let host = self.hosts.get_mut(name).unwrap();
        match output {
            Output::Persist(write) => {
                let delay = Millis(self.rng.random_range(0..=self.max_sync_ms));
                host.written += 1;
                host.unsynced.push_back((self.now + delay, write));
            }
            Output::Send { addr, message } if message.body.needs_sync() => {
                host.deferred.push_back((host.written, addr, message));
                self.send_synced(name);
            }
            Output::Send { addr, message } => self.send(name, addr, message),
            Output::RestoreSnapshot { index, data } => {
                host.state = postcard::from_bytes(&data).unwrap();
                let mut before = self.committed.range(..=index);
                let state = before.next_back().map_or((0, 0), |(_, (_, _, state))| *state);
                assert_eq!(host.state, state, "snapshot at {index}");
            }
            Output::Committed { index, term, bytes } => {
                let mut input = bytes.to_vec();
                input.extend_from_slice(&host.state.1.to_le_bytes());
                host.state = (host.state.0 + 1, xxhash_rust::xxh3::xxh3_64(&input));
                let found = (term, bytes, host.state);
                let first = self.committed.entry(index).or_insert_with(|| found.clone());
                assert_eq!(*first, found, "{name} committed a different entry at {index}");
            }
            Output::ProposalRejected { .. } => host.rejected += 1,
            Output::RoleChanged(change) if change.role == Role::Leader => {
                let id = host.node.as_ref().unwrap().id().clone();
                let first = self.leaders.entry(change.term).or_insert_with(|| id.clone());
                assert_eq!(*first, id, "two leaders in term {}", change.term);
            }
            _ => {}
        }
    }

    /// Syncs the writes whose time has come, in order.
    fn sync(&mut self) {
        for name in self.names() {
            loop {
                let host = self.hosts.get_mut(&name).unwrap();
                let due = host.unsynced.front().is_some_and(|(at, _)| *at <= self.now);
                if !due || host.frozen || host.node.is_none() {
                    break;
                }
                let (_, write) = host.unsynced.pop_front().unwrap();
                host.stored.apply(&write);
                host.synced += 1;
                self.step(&name, Input::Persisted);
                self.send_synced(&name);
            }
        }
    }

    /// Sends the messages whose preceding writes are synced.
    fn send_synced(&mut self, name: &str) {
        loop {
            let host = self.hosts.get_mut(name).unwrap();
            let synced = host.synced;
            if host.deferred.front().is_none_or(|(writes, ..)| *writes > synced) {
                return;
            }
            let (_, to, message) = host.deferred.pop_front().unwrap();
            self.send(name, to, message);
        }
    }

    fn send(&mut self, from: &str, to: String, message: GroupMessage) {
        if matches!(message.body, GroupBody::Hello(_)) {
            *self.hellos_sent.entry(from.to_owned()).or_default() += 1;
        }
        let delay = Millis(self.rng.random_range(1..=self.max_delay_ms));
        if self.rng.random_range(0..100) >= self.drop_percent {
            self.messages.push((self.now + delay, from.to_owned(), to, message));
        }
    }

    fn compact(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).unwrap();
        let Some(node) = &host.node else { return };
        if node.entries_since_snapshot() >= self.compact_after_entries {
            let data = postcard::to_stdvec(&host.state).unwrap().into();
            self.step(name, Input::Compact { data });
        }
    }
}

pub fn command(number: u64) -> Bytes {
    Bytes::from(format!("command {number}"))
}
