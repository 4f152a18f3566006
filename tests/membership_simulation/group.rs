//! Control group in virtual time. Decisions are the real ones; the network, the disks and the
//! clocks are simulated.

use std::collections::BTreeMap;

use bytes::Bytes;
use pomelopin::{
    clock::Millis,
    control::{
        deferred::DeferredMessages,
        membership::MAX_VOTERS,
        node::{GroupPolicy, Input, Node, NodeSettings, Output, Proposal, Role},
    },
    settings::timing::GroupTiming,
    wire::group::{GroupMessage, Member},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{
    host::{Host, LocalClock, Process},
    ledger::{AppliedState, Ledger},
    network::Network,
};

/// Number of addresses that a process is given at its start.
pub const SEED_COUNT: usize = 3;

const TICK_MS: u64 = 25;

/// Interval between the changes of a client.
const CLIENT_INTERVAL_MS: u64 = 60;

/// Time in which the group forms.
const FORMATION_MS: u64 = 10_000;

/// Entries after which a host takes a snapshot, and those that remain in the log; few, so that
/// hosts that were away need the snapshot.
const SNAPSHOT_ENTRIES: u64 = 60;
const TAIL_ENTRIES: u64 = 30;

/// Time for which a replacement has run when further disks may be lost.
const REPLACEMENT_TIME: Millis = Millis(6_000);

/// Number of lines of the history that explain a violation.
const EXPLAINED_LINES: usize = 80;

/// Event of the simulation.
enum Event {
    /// Tick of a process, by its number.
    Tick {
        host: usize,
        process: u64,
    },
    /// A sync of a process ends.
    Synced {
        host: usize,
        process: u64,
    },
    Message(Delivery),
    /// A client changes something.
    Client,
}

/// Message on its way.
struct Delivery {
    from: usize,
    to: usize,
    /// Process whose receive queue holds the message, if it has arrived there.
    process: Option<u64>,
    message: GroupMessage,
}

/// Group of control hosts.
pub struct Group {
    /// Time in milliseconds.
    pub now: u64,
    pub hosts: Vec<Host>,
    pub network: Network,
    pub ledger: Ledger,
    pub rng: SmallRng,
    /// Addresses that are given to processes that start.
    seeds: Vec<String>,
    policy: GroupPolicy,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    last_process: u64,
    last_command: u64,
    history: Vec<String>,
}

impl Group {
    /// Group of `size` hosts that bears the loss of `tolerated_losses` disks and has formed.
    pub fn formed(size: usize, tolerated_losses: usize, seed: u64) -> Self {
        let mut group = Self::new(size, tolerated_losses, seed);
        for host in 0..size {
            group.start(host);
        }
        let voters = size.min(MAX_VOTERS);
        let start = group.now;
        while group.voter_count() < voters {
            assert!(group.now < start + FORMATION_MS, "seed {seed}: the group has not formed");
            group.run(TICK_MS);
        }
        group.policy.may_bootstrap = false;
        group
    }

    fn new(size: usize, tolerated_losses: usize, seed: u64) -> Self {
        let addresses: Vec<_> = (0..size).map(address).collect();
        let mut group = Self {
            now: 0,
            seeds: addresses[..SEED_COUNT].to_vec(),
            hosts: addresses.into_iter().map(Host::new).collect(),
            network: Network::default(),
            ledger: Ledger::default(),
            rng: SmallRng::seed_from_u64(seed),
            policy: GroupPolicy {
                tail_entries: TAIL_ENTRIES,
                ..GroupPolicy::dynamic(tolerated_losses, REPLACEMENT_TIME)
            },
            events: BTreeMap::new(),
            last_event: 0,
            last_process: 0,
            last_command: 0,
            history: Vec::new(),
        };
        group.schedule(CLIENT_INTERVAL_MS, Event::Client);
        group
    }

    /// Runs for `ms`, or up to the first violation.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.ledger.violation.is_none()
            && let Some(next) = self.events.first_entry()
            && next.key().0 <= end
        {
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Starts the process of a host.
    pub fn start(&mut self, host: usize) {
        if self.hosts[host].process.is_some() || self.hosts[host].is_gone {
            return;
        }
        self.last_process += 1;
        let number = self.last_process;
        let clock = LocalClock {
            started_ms: self.now,
            offset_ms: self.rng.random_range(0..100_000),
            rate: self.rng.random_range(0.97..1.03),
        };
        let settings = self.node_settings(host);
        let stored = self.hosts[host].folder.open();
        let snapshot = stored.snapshot.as_ref();
        let state =
            snapshot.map_or(AppliedState::default(), |it| postcard::from_bytes(&it.data).unwrap());
        let node = Node::new(settings, stored, clock.at(self.now));
        self.note(host, &format!("starts at {}", node.last()));
        let deferred = DeferredMessages::default();
        self.hosts[host].process = Some(Process {
            number,
            node,
            deferred,
            clock,
            state,
            frozen_until: 0,
            logged_voters: 0,
            is_removal_noted: false,
        });
        let delay = self.rng.random_range(1..=TICK_MS);
        self.schedule(delay, Event::Tick { host, process: number });
    }

    fn node_settings(&mut self, host: usize) -> NodeSettings {
        let addr = self.hosts[host].addr.clone();
        NodeSettings {
            id: self.hosts[host].id(),
            member: Member { name: addr.clone(), bus_addr: addr, ..Member::default() },
            group: self.seeds.iter().map(|it| (it.clone(), it.clone())).collect(),
            seed: self.rng.random(),
            timing: GroupTiming::default(),
            policy: self.policy.clone(),
        }
    }

    /// Ends the process of a host; the files stay as written.
    pub fn kill(&mut self, host: usize) {
        self.note(host, "is killed");
        self.hosts[host].process = None;
        self.hosts[host].folder.kill();
    }

    /// Takes the power from a host.
    pub fn lose_power(&mut self, host: usize) {
        self.note(host, "loses its power");
        self.hosts[host].process = None;
        self.hosts[host].folder.lose_power(&mut self.rng);
    }

    /// Takes the power and the disk from a host.
    pub fn lose_disk(&mut self, host: usize) {
        self.note(host, "loses its disk");
        let lost = &mut self.hosts[host];
        let generation = lost.generation + 1;
        *lost = Host { generation, ..Host::new(lost.addr.clone()) };
    }

    /// Replaces a host for good; returns the new one, which does not run yet.
    pub fn replace(&mut self, host: usize) -> usize {
        self.note(host, "is replaced");
        self.hosts[host].process = None;
        self.hosts[host].is_gone = true;
        let new = self.hosts.len();
        self.hosts.push(Host::new(address(new)));
        let gone = self.hosts[host].addr.clone();
        if self.seeds.contains(&gone) {
            self.exchange_seeds();
        }
        new
    }

    /// Gives other addresses to hosts that start from now on.
    pub fn exchange_seeds(&mut self) {
        let present = self.present();
        let chosen = present.choose_multiple(&mut self.rng, SEED_COUNT);
        self.seeds = chosen.map(|host| self.hosts[*host].addr.clone()).collect();
        self.note_fault(&format!("seeds are now {}", self.seeds.join(" ")));
    }

    /// Stops a process for `ms`, without ending it.
    pub fn freeze(&mut self, host: usize, ms: u64) {
        self.note(host, &format!("is frozen for {ms} ms"));
        let until = self.now + ms;
        if let Some(process) = &mut self.hosts[host].process {
            process.frozen_until = process.frozen_until.max(until);
        }
    }

    /// Hosts that were not replaced.
    pub fn present(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|host| !self.hosts[*host].is_gone).collect()
    }

    /// Hosts that vote, according to the serving leader or else the most recent log.
    pub fn voters(&self) -> Vec<usize> {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let Some(latest) = processes.max_by_key(|it| (it.node.last(), it.number)) else {
            return Vec::new();
        };
        let voters = &latest.node.members().0;
        self.present().into_iter().filter(|it| voters.contains_key(&self.hosts[*it].id())).collect()
    }

    /// Host that serves requests.
    pub fn leader(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|host| self.is_serving(*host))
    }

    fn is_serving(&self, host: usize) -> bool {
        let process = self.hosts[host].active(self.now);
        process.is_some_and(|it| it.node.is_serving(it.clock.at(self.now)))
    }

    fn voter_count(&self) -> usize {
        let leader = self.leader().and_then(|leader| self.hosts[leader].process.as_ref());
        leader.map_or(0, |it| it.node.members().0.len())
    }

    /// Number of the last command that a client has sent.
    pub fn last_command(&self) -> u64 {
        self.last_command
    }

    /// Whether a command after the one with the number is acknowledged.
    pub fn has_acknowledged_after(&self, number: u64) -> bool {
        let last = self.ledger.last_acknowledged_command();
        last.is_some_and(|it| command_number(it) > number)
    }

    /// Whether all hosts run and have committed the entries up to `index`.
    pub fn all_have_committed(&self, index: u64) -> bool {
        let commit_index =
            |host: usize| Some(self.hosts[host].process.as_ref()?.node.commit_index());
        self.present().into_iter().all(|host| commit_index(host).is_some_and(|it| it >= index))
    }

    /// Commit index of each host, in words.
    pub fn commit_indexes(&self) -> String {
        let text = |host: usize| {
            let Host { addr, process, .. } = &self.hosts[host];
            let index = process.as_ref().map(|it| it.node.commit_index());
            format!("{addr}: {index:?}")
        };
        self.present().into_iter().map(text).collect::<Vec<_>>().join(", ")
    }

    /// Adds a line about a host to the history.
    pub fn note(&mut self, host: usize, text: &str) {
        let line = format!("{:>7} {} {text}", self.now, self.hosts[host].id());
        self.history.push(line);
    }

    /// Adds a line about a fault to the history.
    pub fn note_fault(&mut self, text: &str) {
        self.history.push(format!("{:>7} -- {text}", self.now));
    }

    /// Last lines of the history.
    pub fn explain(&self) -> String {
        let first = self.history.len().saturating_sub(EXPLAINED_LINES);
        self.history[first..].join("\n")
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + delay_ms, self.last_event), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { host, process } => self.tick(host, process),
            Event::Synced { host, process } => self.end_sync(host, process),
            Event::Message(delivery) => self.deliver(delivery),
            Event::Client => self.propose(),
        }
    }

    /// Remaining time for which a process is frozen; `None` if it has ended.
    fn frozen_ms(&self, host: usize, process: u64) -> Option<u64> {
        let running = self.hosts[host].process.as_ref().filter(|it| it.number == process)?;
        Some(running.frozen_until.saturating_sub(self.now))
    }

    fn tick(&mut self, host: usize, process: u64) {
        match self.frozen_ms(host, process) {
            None => {}
            Some(0) => {
                self.schedule(TICK_MS, Event::Tick { host, process });
                self.step(host, Input::Tick);
            }
            Some(ms) => self.schedule(ms, Event::Tick { host, process }),
        }
    }

    fn end_sync(&mut self, host: usize, process: u64) {
        let Some(frozen_ms) = self.frozen_ms(host, process) else { return };
        let hangs_ms = self.hosts[host].disk_hangs_until.saturating_sub(self.now);
        let wait_ms = frozen_ms.max(hangs_ms);
        if wait_ms > 0 {
            self.schedule(wait_ms, Event::Synced { host, process });
            return;
        }
        let count = self.hosts[host].folder.end_sync();
        for _ in 0..count {
            self.confirm(host);
        }
        self.begin_sync(host);
    }

    fn confirm(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host].process else { return };
        process.deferred.record_sync();
        self.step(host, Input::Persisted);
        while let Some((addr, message)) =
            self.hosts[host].process.as_mut().and_then(|it| it.deferred.pop_ready())
        {
            self.send(host, &addr, message);
        }
    }

    fn begin_sync(&mut self, host: usize) {
        let Host { folder, process: Some(process), max_sync_ms, disk_hangs_until, .. } =
            &mut self.hosts[host]
        else {
            return;
        };
        if folder.begin_sync() {
            let process = process.number;
            let hangs_ms = disk_hangs_until.saturating_sub(self.now);
            let delay = self.rng.random_range(1..=*max_sync_ms).max(hangs_ms);
            self.schedule(delay, Event::Synced { host, process });
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery { from, to, process, ref message } = delivery;
        let is_connected = process.is_some() || self.network.connects(from, to);
        let Some(receiver) = self.hosts[to].process.as_ref().filter(|_| is_connected) else {
            return;
        };
        let number = receiver.number;
        if process.is_some_and(|it| it != number) {
            return;
        }
        match receiver.frozen_until.saturating_sub(self.now) {
            0 => self.step(to, Input::Message(message.clone())),
            ms => {
                let waiting = Delivery { process: Some(number), ..delivery };
                self.schedule(ms, Event::Message(waiting));
            }
        }
    }

    fn send(&mut self, from: usize, addr: &str, message: GroupMessage) {
        let is_receiver = |host: &Host| !host.is_gone && host.addr == addr;
        let Some(to) = self.hosts.iter().position(is_receiver) else { return };
        if !self.network.connects(from, to) {
            return;
        }
        if let Some(delay) = self.network.delay_ms(&mut self.rng) {
            self.schedule(delay, Event::Message(Delivery { from, to, process: None, message }));
        }
    }

    /// A client sends a change to the leader.
    fn propose(&mut self) {
        self.schedule(CLIENT_INTERVAL_MS, Event::Client);
        self.last_command += 1;
        let id = self.last_command;
        if let Some(leader) = self.leader() {
            let proposal = Proposal { id, bytes: command(id) };
            self.step(leader, Input::Propose(vec![proposal]));
        }
    }

    fn step(&mut self, host: usize, input: Input) {
        let now = self.now;
        let Some(process) = &mut self.hosts[host].process else { return };
        for output in process.node.step(process.clock.at(now), input) {
            self.execute(host, output);
        }
        self.begin_sync(host);
        self.observe(host);
        self.compact(host);
    }

    fn execute(&mut self, host: usize, output: Output) {
        let Host { process: Some(process), folder, addr, .. } = &mut self.hosts[host] else {
            return;
        };
        match output {
            Output::Persist(write) => {
                process.deferred.record_write();
                folder.push(write);
            }
            Output::Send { addr, message } if process.deferred.must_defer(&message) => {
                process.deferred.defer(addr, message);
            }
            Output::Send { addr, message } => self.send(host, &addr, message),
            Output::RestoreSnapshot { data, .. } => {
                process.state = postcard::from_bytes(&data).unwrap();
            }
            Output::Committed { index, term, bytes } => {
                process.state = apply(process.state, &bytes);
                self.ledger.record_commit(addr, index, term, bytes, process.state);
            }
            Output::RoleChanged(change) => {
                if change.role == Role::Leader {
                    self.ledger.record_leader(change.term, process.node.id());
                }
                let leader = change.leader.map_or(String::new(), |it| format!(" of {it}"));
                self.note(host, &format!("is {}{leader} in term {}", change.role, change.term));
            }
            Output::Removed { by } if !process.is_removal_noted => {
                process.is_removal_noted = true;
                self.note(host, &format!("is told of its removal by {by}"));
            }
            _ => {}
        }
    }

    /// Records what a serving leader has acknowledged, and changes of its voters.
    fn observe(&mut self, host: usize) {
        let Host { process: Some(process), addr, .. } = &mut self.hosts[host] else { return };
        let now = process.clock.at(self.now);
        if !process.node.is_serving(now) {
            return;
        }
        self.ledger.record_serving(addr, process.node.commit_index(), process.state);
        let voters = &process.node.members().0;
        if voters.len() != process.logged_voters {
            process.logged_voters = voters.len();
            let names: Vec<_> = voters.keys().map(|id| id.to_string()).collect();
            self.note(host, &format!("leads {} voters: {}", names.len(), names.join(" ")));
        }
    }

    fn compact(&mut self, host: usize) {
        let Some(process) = &self.hosts[host].process else { return };
        if process.node.entries_since_snapshot() >= SNAPSHOT_ENTRIES {
            let data = postcard::to_stdvec(&process.state).unwrap().into();
            self.step(host, Input::Compact { data });
        }
    }
}

/// Bus address of the host with a number.
fn address(host: usize) -> String {
    format!("10.0.0.{}:7000", host + 1)
}

/// Encoded command with a number.
fn command(number: u64) -> Bytes {
    Bytes::copy_from_slice(&number.to_le_bytes())
}

fn command_number(command: &[u8]) -> u64 {
    command.try_into().map_or(0, u64::from_le_bytes)
}

fn apply((count, digest): AppliedState, command: &[u8]) -> AppliedState {
    let mut input = command.to_vec();
    input.extend_from_slice(&digest.to_le_bytes());
    (count + 1, xxhash_rust::xxh3::xxh3_64(&input))
}
