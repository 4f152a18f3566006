//! Model of a control leader and its entry hosts in virtual time. The rules are the real ones:
//! what the leader knows of hosts, when it acknowledges, and when a host acts on what it has.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use pomelopin::{
    clock::Millis,
    fleet::{
        config_rollout::{ConfigHistory, ConfigRollout},
        hosts::Hosts,
        messages::{ConfigStatus, HostReport, ViewRevision},
    },
    gateway::lease::ControlLease,
    ids::{HostId, Incarnation},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time after an acknowledgement from which no host may act on an older version.
pub const MAX_DELAY: Millis = Millis(5_000);

/// Step of the virtual time.
const STEP_MS: u64 = 5;

const REPORT_INTERVAL_MS: u64 = 400;
const PUSH_INTERVAL_MS: u64 = 25;
const PUSHED_HOSTS: usize = 32;
const SILENCE_MS: u64 = 900;
const CONFIG_INTERVAL_MS: u64 = 200;
const CONFIG_RETRY_MS: u64 = 1_000;

/// Rule of the design that a run leaves out, to show that the checks need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Omitted {
    Nothing,
    /// A version is acknowledged as soon as it is committed.
    WaitForHosts,
    /// A host acts on its configuration for any time.
    Expiry,
    /// Each answer renews the configuration, whatever version the host has.
    Supersession,
    /// Older versions are renewed after a newer one was acknowledged.
    EndOfRenewals,
}

struct Host {
    id: HostId,
    /// Speed of the host's clock.
    clock_rate: f64,
    lease: ControlLease,
    version: u64,
    /// Term of the leader that the host is connected to.
    term: u64,
    /// Changes with each connection; messages of earlier ones are lost.
    connection: u64,
    report_at: u64,
    connect_at: Option<u64>,
    received_at: u64,
    stopped_until: u64,
    cut_until: u64,
    last_arrival: u64,
}

struct Leader {
    term: u64,
    hosts: Hosts,
    history: ConfigHistory,
    version: u64,
    committed_at: Millis,
    waiting: Vec<ConfigRollout>,
    sent: BTreeMap<usize, (u64, u64)>,
    busy_until: u64,
    next_pushed: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Report { term: u64, sent_at: u64, version: u64 },
    Config { version: u64 },
    Reply { echo: u64, superseded: Option<u64> },
}

/// Message on its way from or to a host: arrival, order, host, connection.
type InFlight = Reverse<(u64, u64, usize, u64, Message)>;

/// What a run has counted.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// Moments at which a host acted on a version that was too old.
    pub breaches: u64,
    /// Moments at which a running host refused to act.
    pub refused: u64,
    /// Moments at which a running host was looked at.
    pub looked: u64,
    pub acknowledged: u64,
    /// Longest time from a commit to its acknowledgement.
    pub slowest_ms: u64,
}

pub struct Fleet {
    pub now: u64,
    pub rng: SmallRng,
    pub counts: Counts,
    omitted: Omitted,
    /// Time that the leader takes for one report.
    report_cost_us: u64,
    hosts: Vec<Host>,
    leader: Leader,
    messages: BinaryHeap<InFlight>,
    sequence: u64,
    newest: u64,
    /// Time of the first acknowledgement of each version.
    acknowledged: BTreeMap<u64, u64>,
    spent_us: u64,
}

impl Leader {
    fn new(now: u64, term: u64, version: u64) -> Self {
        Self {
            term,
            hosts: Hosts::new(Millis(now)),
            history: ConfigHistory::new(version),
            version,
            committed_at: Millis(now),
            waiting: Vec::new(),
            sent: BTreeMap::new(),
            busy_until: now,
            next_pushed: 0,
        }
    }
}

impl Host {
    fn local_time(&self, now: u64) -> Millis {
        Millis((now as f64 * self.clock_rate) as u64)
    }
}

impl Fleet {
    pub fn new(seed: u64, hosts: usize, report_cost_us: u64, omitted: Omitted) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = (0..hosts).map(|number| Host {
            id: format!("h{number}").as_str().into(),
            clock_rate: rng.random_range(0.96..1.04),
            lease: ControlLease::default(),
            version: 0,
            term: 0,
            connection: 0,
            report_at: 0,
            connect_at: Some(rng.random_range(1..300)),
            received_at: 0,
            stopped_until: 0,
            cut_until: 0,
            last_arrival: 0,
        });
        Self {
            now: 0,
            counts: Counts::default(),
            omitted,
            report_cost_us,
            hosts: hosts.collect(),
            leader: Leader::new(0, 1, 0),
            messages: BinaryHeap::new(),
            sequence: 0,
            newest: 0,
            acknowledged: BTreeMap::new(),
            spent_us: 0,
            rng,
        }
    }

    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Stops the process of a host, which also reads no messages.
    pub fn stop_host(&mut self, host: usize, ms: u64) {
        self.hosts[host].stopped_until = self.now + ms;
    }

    /// Cuts a host off from control.
    pub fn cut_host(&mut self, host: usize, ms: u64) {
        self.hosts[host].cut_until = self.now + ms;
        self.hosts[host].connection += 1;
    }

    /// Stops the leader's process for a while that is too short for a change of the leader.
    pub fn stop_leader(&mut self, ms: u64) {
        self.leader.busy_until = self.now + ms;
    }

    /// Replaces the leader. The new one may learn only later that the newest version is committed.
    pub fn change_leader(&mut self) {
        let term = self.leader.term + 1;
        let known = self.newest.saturating_sub(u64::from(self.rng.random_bool(0.5)));
        self.leader = Leader::new(self.now, term, known);
        if known < self.newest {
            self.leader.history.record_inherited(self.newest);
            self.leader.version = self.newest;
        }
    }

    /// Commits a further version.
    pub fn commit(&mut self) {
        if self.now < self.leader.busy_until {
            return;
        }
        self.newest += 1;
        let leader = &mut self.leader;
        leader.version = self.newest;
        leader.committed_at = Millis(self.now);
        leader.history.record(Millis(self.now), self.newest);
        leader.waiting.push(ConfigRollout { version: self.newest, committed_at: Millis(self.now) });
    }

    /// Runs for `ms`.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.deliver();
            for host in 0..self.hosts.len() {
                self.run_host(host);
            }
            self.run_leader();
            self.check();
        }
    }

    fn send(&mut self, host: usize, message: Message) {
        let delay = self.rng.random_range(2..12);
        let to = &mut self.hosts[host];
        if self.now < to.cut_until {
            return;
        }
        to.last_arrival = to.last_arrival.max(self.now + delay);
        self.sequence += 1;
        let in_flight = (to.last_arrival, self.sequence, host, to.connection, message);
        self.messages.push(Reverse(in_flight));
    }

    fn deliver(&mut self) {
        let mut deferred = Vec::new();
        while let Some(Reverse((at, ..))) = self.messages.peek()
            && *at <= self.now
        {
            let Some(Reverse((_, order, host, connection, message))) = self.messages.pop() else {
                return;
            };
            let receiver_is_busy = match message {
                Message::Report { .. } => self.now < self.leader.busy_until,
                _ => self.now < self.hosts[host].stopped_until,
            };
            if receiver_is_busy {
                deferred.push(Reverse((self.now + STEP_MS, order, host, connection, message)));
            } else if connection == self.hosts[host].connection {
                self.receive(host, message);
            }
        }
        self.messages.extend(deferred);
    }

    fn receive(&mut self, host: usize, message: Message) {
        match message {
            Message::Report { term, sent_at, version } => {
                self.handle_report(host, term, sent_at, version);
            }
            Message::Config { version } => {
                let host_state = &mut self.hosts[host];
                host_state.received_at = self.now;
                if version > host_state.version {
                    host_state.version = version;
                    host_state.report_at = self.now;
                }
            }
            Message::Reply { echo, superseded } => {
                let omitted = self.omitted;
                let host = &mut self.hosts[host];
                host.received_at = self.now;
                let superseded =
                    if omitted == Omitted::Supersession { Some(0) } else { superseded };
                if let Some(span) = superseded {
                    host.lease.renew_config(Millis(echo.saturating_sub(span)));
                }
            }
        }
    }

    fn handle_report(&mut self, host: usize, term: u64, sent_at: u64, version: u64) {
        self.spent_us += self.report_cost_us;
        if self.spent_us >= 1_000 * STEP_MS {
            self.leader.busy_until = self.now + self.spent_us / 1_000;
            self.spent_us = 0;
        }
        if term != self.leader.term {
            return;
        }
        let report = report(&self.hosts[host].id, sent_at, version);
        self.leader.hosts.record(Millis(self.now), &report);
        self.send_config(host, version);
        let status = self.leader.history.status(Millis(self.now), version);
        let superseded = match status {
            ConfigStatus::SupersededFor(span) => Some(span.0),
            ConfigStatus::Outdated => None,
        };
        self.send(host, Message::Reply { echo: sent_at, superseded });
    }

    fn send_config(&mut self, host: usize, version: u64) {
        let in_force = self.leader.version;
        let (sent, at) = self.leader.sent.get(&host).copied().unwrap_or_default();
        let since = self.now.saturating_sub(at);
        let is_due = version < in_force
            && since >= CONFIG_INTERVAL_MS
            && (sent != in_force || since >= CONFIG_RETRY_MS);
        if is_due {
            self.leader.sent.insert(host, (in_force, self.now));
            self.send(host, Message::Config { version: in_force });
        }
    }

    fn run_host(&mut self, index: usize) {
        let (now, term) = (self.now, self.leader.term);
        let host = &mut self.hosts[index];
        if now < host.stopped_until {
            return;
        }
        match host.connect_at {
            Some(at) if now >= at && now >= host.cut_until => {
                host.connect_at = None;
                host.connection += 1;
                host.term = term;
                host.received_at = now;
                host.report_at = now;
            }
            Some(_) => return,
            None if now - host.received_at >= SILENCE_MS => {
                host.connect_at = Some(now + self.rng.random_range(60..1_500));
                return;
            }
            None => {}
        }
        if now < host.report_at {
            return;
        }
        host.report_at = now + REPORT_INTERVAL_MS;
        let sent_at = host.local_time(now).0;
        let report = Message::Report { term: host.term, sent_at, version: host.version };
        self.send(index, report);
    }

    fn run_leader(&mut self) {
        if self.now < self.leader.busy_until {
            return;
        }
        let now = Millis(self.now);
        self.leader.hosts.remove_silent(now);
        if self.now.is_multiple_of(PUSH_INTERVAL_MS) {
            self.push();
        }
        let at_once = self.omitted == Omitted::WaitForHosts;
        let renews_older = self.omitted == Omitted::EndOfRenewals;
        let Leader { waiting, hosts, history, .. } = &mut self.leader;
        let is_complete = |it: &mut ConfigRollout| at_once || it.is_complete(now, hosts, MAX_DELAY);
        for rollout in waiting.extract_if(.., is_complete) {
            if !renews_older {
                history.record_acknowledged(rollout.version);
            }
            self.acknowledged.entry(rollout.version).or_insert(now.0);
            self.counts.acknowledged += 1;
            let took = now.since(rollout.committed_at).0;
            self.counts.slowest_ms = self.counts.slowest_ms.max(took);
        }
    }

    fn push(&mut self) {
        let count = self.hosts.len();
        let mut pushed = 0;
        for offset in 0..count {
            let host = (self.leader.next_pushed + offset) % count;
            let Some(known) = self.leader.hosts.get(&self.hosts[host].id) else { continue };
            let version = known.config_version;
            if version < self.leader.version {
                self.send_config(host, version);
                pushed += 1;
            }
            if pushed == PUSHED_HOSTS {
                self.leader.next_pushed = host + 1;
                return;
            }
        }
    }

    /// Checks that no running host acts on a version that is too old.
    fn check(&mut self) {
        for host in &self.hosts {
            if self.now < host.stopped_until || host.version == 0 {
                continue;
            }
            self.counts.looked += 1;
            let local_time = host.local_time(self.now);
            let acts = match self.omitted {
                Omitted::Expiry => host.lease.config_age(local_time).is_some(),
                _ => host.lease.allows_config(local_time),
            };
            if !acts {
                self.counts.refused += 1;
                continue;
            }
            let newer = self.acknowledged.range(host.version + 1..).map(|(_, at)| *at).min();
            let is_too_old = newer.is_some_and(|at| self.now > at + MAX_DELAY.0);
            self.counts.breaches += u64::from(is_too_old);
        }
    }
}

fn report(host: &HostId, sent_at: u64, version: u64) -> HostReport {
    HostReport {
        host: host.clone(),
        incarnation: Incarnation(1),
        sent_at: Millis(sent_at),
        config_version: version,
        view_revision: ViewRevision::default(),
        bus_addr: String::new(),
        domain: "a".into(),
        leaving: false,
        usage: Vec::new(),
        targets: Vec::new(),
        acknowledged: Vec::new(),
        known_targets: Vec::new(),
        limits: None,
        load: None,
    }
}
