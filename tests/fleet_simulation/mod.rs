//! Simulation of a control leader and of entry hosts that admit the operations of one
//! workspace, in virtual time.

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        config::FleetWorkspace,
        messages::{Share, Usage},
        rate_allocator::{Demand, RateAllocator},
    },
    gateway::rate_limit::RateLimiter,
    ids::{HostId, Workspace},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Interval between a host's reports.
const REPORT_INTERVAL_MS: u64 = 400;

/// Minimum interval between reports that are sent before the regular interval has passed.
const EARLY_REPORT_INTERVAL_MS: u64 = 100;

/// Time after a report that was answered for which a host counts as in contact.
const CONTACT_MS: u64 = 1_500;

/// Time without a report after which the leader forgets a host.
const HOST_TIMEOUT_MS: u64 = 5_000;

/// Time for which a new leader sends no shares.
const SHARES_DELAY_MS: u64 = 1_500;

/// Interval at which the leader sends the fractions of the demand.
const FRACTIONS_INTERVAL_MS: u64 = 5_000;

/// Time without a leader after the loss of one.
const ELECTION_MS: u64 = 700;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    pub rate: u32,
    pub burst: u32,
}

struct Host {
    limiter: RateLimiter,
    limits: FleetWorkspace,
    cut: bool,
    paused_until: u64,
    reported_at: u64,
    answered_at: Option<u64>,
}

struct Leader {
    since: u64,
    allocator: RateAllocator,
    demands: IndexMap<HostId, Demand>,
    heard_at: IndexMap<HostId, u64>,
    fractions_sent_at: IndexMap<HostId, u64>,
}

enum Message {
    Report {
        host: HostId,
        sent_at: u64,
        usage: Vec<Usage>,
    },
    Answer {
        host: HostId,
        sent_at: u64,
        shares: Option<Vec<Share>>,
        fractions: Option<Vec<(Workspace, f32)>>,
    },
}

pub struct Fleet {
    rng: SmallRng,
    pub now: u64,
    limits: Limits,
    load: f64,
    started: usize,
    hosts: IndexMap<HostId, Host>,
    leader: Option<Leader>,
    election_ends_at: u64,
    messages: Vec<(u64, Message)>,
    /// Times of the admissions, in milliseconds.
    pub admitted: Vec<u64>,
    pub refused: usize,
}

fn workspace() -> Workspace {
    "w".into()
}

impl Host {
    fn new(limits: Limits) -> Self {
        Self {
            limiter: RateLimiter::default(),
            limits: FleetWorkspace { rate: limits.rate, burst: limits.burst },
            cut: false,
            paused_until: 0,
            reported_at: 0,
            answered_at: None,
        }
    }
}

impl Leader {
    fn new(now: u64) -> Self {
        Self {
            since: now,
            allocator: RateAllocator::default(),
            demands: IndexMap::new(),
            heard_at: IndexMap::new(),
            fractions_sent_at: IndexMap::new(),
        }
    }
}

impl Fleet {
    /// Fleet whose callers send `load` times the rate.
    pub fn new(seed: u64, hosts: usize, limits: Limits, load: f64) -> Self {
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            limits,
            load,
            started: 0,
            hosts: IndexMap::new(),
            leader: Some(Leader::new(0)),
            election_ends_at: 0,
            messages: Vec::new(),
            admitted: Vec::new(),
            refused: 0,
        };
        (0..hosts).for_each(|_| fleet.add_host());
        fleet
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    pub fn set_load(&mut self, load: f64) {
        self.load = load;
    }

    /// Changes the limits; every host that is in contact applies them at once.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        for host in self.hosts.values_mut().filter(|host| !host.cut) {
            host.limits = FleetWorkspace { rate: limits.rate, burst: limits.burst };
        }
    }

    pub fn add_host(&mut self) {
        let id = HostId::from(format!("h{}", self.started));
        self.started += 1;
        self.hosts.insert(id, Host::new(self.limits));
    }

    /// Cuts every `nth` host off from control.
    pub fn cut(&mut self, nth: usize) {
        for host in self.hosts.values_mut().step_by(nth) {
            host.cut = true;
        }
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.hosts.values_mut().for_each(|host| host.cut = false);
    }

    /// Kills every `nth` host; it starts again at once.
    pub fn restart(&mut self, nth: usize) {
        let limits = self.limits;
        self.hosts.values_mut().step_by(nth).for_each(|host| *host = Host::new(limits));
    }

    /// Stops every `nth` host for `span` milliseconds.
    pub fn pause(&mut self, nth: usize, span: u64) {
        let until = self.now + span;
        self.hosts.values_mut().step_by(nth).for_each(|host| host.paused_until = until);
    }

    /// Ends the leader; another control host leads after the election.
    pub fn change_leader(&mut self) {
        self.leader = None;
        self.election_ends_at = self.now + ELECTION_MS;
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            if self.leader.is_none() && self.now >= self.election_ends_at {
                self.leader = Some(Leader::new(self.now));
            }
            self.deliver();
            self.generate_arrivals();
            self.report();
        }
    }

    /// Runs for 10 s and forgets the admissions, so that only later ones are checked.
    pub fn settle(&mut self) {
        self.run(10_000);
        self.admitted.clear();
    }

    /// Largest number of admissions in any window, less the `rate * t + burst` that are
    /// allowed in it; zero or below if the limit was kept.
    pub fn largest_excess(&self) -> i64 {
        largest_excess(&self.admitted, self.limits)
    }

    fn generate_arrivals(&mut self) {
        let mut due = f64::from(self.limits.rate) * self.load / 1_000.0;
        while due > 0.0 {
            if self.rng.random_bool(due.min(1.0)) {
                let index = self.rng.random_range(0..self.hosts.len());
                let now = self.now;
                let host = &mut self.hosts[index];
                let in_contact = host.answered_at.is_some_and(|at| now < at + CONTACT_MS);
                if host.paused_until <= now {
                    match host.limiter.admit(Millis(now), &workspace(), &host.limits, in_contact) {
                        Ok(()) => self.admitted.push(now),
                        Err(_) => self.refused += 1,
                    }
                }
            }
            due -= 1.0;
        }
    }

    fn report(&mut self) {
        let now = self.now;
        let mut reports = Vec::new();
        for (id, host) in self.hosts.iter_mut().filter(|(_, host)| host.paused_until <= now) {
            let age = now - host.reported_at;
            let is_early = host.limiter.is_report_due() && age >= EARLY_REPORT_INTERVAL_MS;
            if host.reported_at == 0 || age >= REPORT_INTERVAL_MS || is_early {
                host.reported_at = now;
                let usage = host.limiter.take_usage();
                if !host.cut {
                    reports.push(Message::Report { host: id.clone(), sent_at: now, usage });
                }
            }
        }
        reports.into_iter().for_each(|report| self.send(report));
    }

    fn send(&mut self, message: Message) {
        self.messages.push((self.now + self.rng.random_range(1..=6), message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (_, message) in self.messages.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            match message {
                Message::Report { host, sent_at, usage } => self.on_report(host, sent_at, &usage),
                Message::Answer { host, sent_at, shares, fractions } => {
                    let Some(host) = self.hosts.get_mut(&host).filter(|host| !host.cut) else {
                        continue;
                    };
                    host.answered_at = Some(sent_at);
                    if let Some(shares) = shares {
                        host.limiter.set_shares(shares);
                    }
                    if let Some(fractions) = fractions {
                        host.limiter.set_demand_fractions(fractions);
                    }
                }
            }
        }
    }

    fn on_report(&mut self, host: HostId, sent_at: u64, usage: &[Usage]) {
        let now = self.now;
        let limits = FleetWorkspace { rate: self.limits.rate, burst: self.limits.burst };
        let workspaces = IndexMap::from([(workspace(), limits)]);
        let Some(leader) = &mut self.leader else { return };
        leader.heard_at.insert(host.clone(), now);
        let heard_at = &leader.heard_at;
        leader
            .demands
            .retain(|id, _| heard_at.get(id).is_some_and(|at| now - at < HOST_TIMEOUT_MS));
        leader.demands.entry(host.clone()).or_default().record(Millis(now), usage);
        leader.allocator.record(usage);
        leader.allocator.update(Millis(now), &workspaces, leader.demands.iter());
        let demand = &leader.demands[&host];
        let sends_shares = now - leader.since >= SHARES_DELAY_MS;
        let shares = sends_shares.then(|| leader.allocator.shares(demand, &workspaces));
        let fractions_sent_at = leader.fractions_sent_at.entry(host.clone()).or_default();
        let is_due = sends_shares && now - *fractions_sent_at >= FRACTIONS_INTERVAL_MS;
        let fractions = is_due.then(|| {
            *fractions_sent_at = now;
            leader.allocator.demand_fractions(demand)
        });
        self.send(Message::Answer { host, sent_at, shares, fractions });
    }
}

/// Largest number of admissions in any window, less `rate * t + burst`, rounded up.
fn largest_excess(admitted: &[u64], limits: Limits) -> i64 {
    let (rate, burst) = (i64::from(limits.rate), i64::from(limits.burst));
    let mut lowest = i64::MAX;
    let mut largest = i64::MIN;
    for (index, at) in (0..).zip(admitted) {
        // Admissions before this one, less those that the rate allows, in thousandths.
        let level = index * 1_000 - rate * *at as i64;
        lowest = lowest.min(level);
        largest = largest.max(level + 1_000 - lowest - burst * 1_000);
    }
    largest.max(-burst * 1_000).div_euclid(1_000) + i64::from(largest.rem_euclid(1_000) > 0)
}
