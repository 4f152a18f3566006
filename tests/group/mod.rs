//! In-memory control group with virtual time, seeded network and storage.

#![allow(dead_code, reason = "each test file uses a part")]
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
    wire::group::{GroupMessage, GroupTerm, Member},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STEP_MS: u64 = 5;
const TICK_MS: u64 = 25;

/// Control host with its storage, which outlives the process.
#[derive(Default)]
pub struct Host {
    pub node: Option<Node>,
    pub stored: StoredState,
    pub generation: u64,
    pub frozen: bool,
    /// State machine: the number of commands and a digest of all of them.
    pub state: (u64, u64),
    /// Writes that are not synced, with the time at which they are.
    pub unsynced: VecDeque<(Millis, Write)>,
    /// Messages that wait for the number of writes before them.
    waiting: VecDeque<(u64, String, GroupMessage)>,
    written: u64,
    synced: u64,
    /// Outputs after which the process crashes.
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
    /// Hosts on the far side of a partition.
    pub cut: BTreeSet<String>,
    /// Pairs of hosts that do not reach each other.
    pub links: BTreeSet<(String, String)>,
    /// Late messages cross the partition after it is healed.
    pub hold_cut: bool,
    pub compact_after: u64,
    /// Policy of hosts that start.
    pub policy: GroupPolicy,
    /// Hosts that are configured; empty for all.
    pub seeds: Vec<String>,
    messages: Vec<(Millis, String, String, GroupMessage)>,
    /// First committed command and state of each index.
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
            cut: BTreeSet::new(),
            links: BTreeSet::new(),
            hold_cut: false,
            compact_after: u64::MAX,
            policy: GroupPolicy::default(),
            seeds: Vec::new(),
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

    /// Group that has formed with all its hosts as voters.
    pub fn formed(size: usize, seed: u64) -> Self {
        let mut group = Self::new(size, seed);
        group.until("all hosts vote", 5_000, |group| group.voters() == size);
        group
    }

    pub fn names(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    pub fn start(&mut self, name: &str) {
        let seed = self.rng.random();
        let configured = if self.seeds.is_empty() { self.names() } else { self.seeds.clone() };
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
        host.waiting.clear();
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

    /// Host that may answer operators now.
    pub fn leader(&self) -> Option<String> {
        let awake = |name: &String| !self.hosts[name].frozen;
        let mut serving =
            self.running().filter(|(name, node)| awake(name) && node.is_serving(self.now));
        let leader = serving.next().map(|(name, _)| name.clone());
        let second = serving.next().map(|(name, _)| name);
        assert_eq!(second, None, "two hosts serve at {}: {leader:?} and {second:?}", self.now);
        leader
    }

    pub fn followers(&self) -> Vec<String> {
        let leader = self.leader();
        self.names().into_iter().filter(|name| Some(name) != leader.as_ref()).collect()
    }

    pub fn voters(&self) -> usize {
        let leader = self.leader().and_then(|name| self.hosts[&name].node.as_ref());
        leader.map_or(0, |node| node.members().0.len())
    }

    /// Whether all hosts run, vote and know it.
    pub fn is_whole(&self) -> bool {
        let ids: Vec<_> = self.running().map(|(_, node)| node.id().clone()).collect();
        let knows = |node: &Node| node.members().0.keys().eq(&ids);
        let synced = |node: &Node| node.commit_index() == node.last().index;
        ids.len() == self.hosts.len()
            && self.leader().is_some()
            && self.running().all(|(_, node)| knows(node) && synced(node))
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

    /// Runs until the condition holds; returns the time that it took.
    pub fn until(&mut self, what: &str, ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !condition(self) {
            assert!(self.now.since(start).0 < ms, "not within {ms} ms: {what}");
            self.run(STEP_MS);
        }
        self.now.since(start).0
    }

    /// Proposes commands at the leader and waits until all hosts in reach hold them.
    pub fn commit(&mut self, count: u64) {
        for _ in 0..count {
            self.until("a leader", 5_000, |group| group.leader().is_some());
            let leader = self.leader().unwrap();
            self.propose(&leader);
            self.run(STEP_MS);
        }
        let wanted = self.last_proposal_id;
        self.until("commit", 5_000, |group| {
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
    pub fn committed(&self) -> u64 {
        self.committed.values().last().map_or(0, |(_, _, state)| state.0)
    }

    pub fn all_agree(&self) -> bool {
        let state = self.committed.values().last().map_or((0, 0), |(_, _, state)| *state);
        self.hosts.values().all(|host| host.node.is_none() || host.state == state)
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let pair = (from.min(to).to_owned(), from.max(to).to_owned());
        self.cut.contains(from) != self.cut.contains(to) || self.links.contains(&pair)
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, ..)| *at <= self.now);
        self.messages = later;
        for (at, from, to, message) in due {
            let host = self.hosts.get(&to).unwrap();
            if self.is_cut(&from, &to) {
                if self.hold_cut {
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
                host.waiting.push_back((host.written, addr, message));
                self.release(name);
            }
            Output::Send { addr, message } => self.send(name, addr, message),
            Output::RestoreSnapshot { index, data } => {
                host.state = postcard::from_bytes(&data).unwrap();
                let mut before = self.committed.range(..=index);
                let state = before.next_back().map_or((0, 0), |(_, (_, _, state))| *state);
                assert_eq!(host.state, state, "snapshot at {index}");
            }
            Output::Committed { index, term, bytes } => {
                let mut text = bytes.to_vec();
                text.extend_from_slice(&host.state.1.to_le_bytes());
                host.state = (host.state.0 + 1, xxhash_rust::xxh3::xxh3_64(&text));
                let found = (term, bytes, host.state);
                let first = self.committed.entry(index).or_insert_with(|| found.clone());
                assert_eq!(*first, found, "{name} committed another entry at {index}");
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

    /// Syncs the writes that are due, in order.
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
                self.release(&name);
            }
        }
    }

    /// Sends the messages whose writes are synced.
    fn release(&mut self, name: &str) {
        loop {
            let host = self.hosts.get_mut(name).unwrap();
            let synced = host.synced;
            if host.waiting.front().is_none_or(|(writes, ..)| *writes > synced) {
                return;
            }
            let (_, to, message) = host.waiting.pop_front().unwrap();
            self.send(name, to, message);
        }
    }

    fn send(&mut self, from: &str, to: String, message: GroupMessage) {
        let delay = Millis(self.rng.random_range(1..=self.max_delay_ms));
        if self.rng.random_range(0..100) >= self.drop_percent {
            self.messages.push((self.now + delay, from.to_owned(), to, message));
        }
    }

    fn compact(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).unwrap();
        let Some(node) = &host.node else { return };
        if node.entries_since_snapshot() >= self.compact_after {
            let data = postcard::to_stdvec(&host.state).unwrap().into();
            self.step(name, Input::Compact { data });
        }
    }
}

pub fn command(number: u64) -> Bytes {
    Bytes::from(format!("command {number}"))
}
