//! Hosts that share the limits of one workspace, in virtual time.

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    ids::{HostId, Incarnation, Workspace},
    limits::{
        admission::{AdmissionController, Decision, Ticket},
        limiter::{Limiter, limiter_owner},
    },
    session::history::HostHistory,
    settings::limits::LimitSettings,
    state::model::{Host, WorkspaceSpec},
    wire::peer::{Grant, GrantRequest},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Hosts learn of a view within their lease.
const LEASE_MS: u64 = 2_000;

/// Time from a crash to the view without the host.
const REMOVAL_MS: u64 = 2_200;

#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub rate: u32,
    pub burst: u32,
}

/// Number of uses that end a window with more than `rate * t + burst` uses.
pub fn windows_over_rate(used: &[u64], limits: Limits) -> usize {
    let (rate, burst) = (i128::from(limits.rate), i128::from(limits.burst));
    let mut least = i128::MAX;
    let mut over = 0;
    for (index, at) in used.iter().enumerate() {
        // Thousandths of a request: uses before this one minus what the rate allows.
        let level = index as i128 * 1_000 - rate * i128::from(*at);
        least = least.min(level);
        over += usize::from(level + 1_000 - least > burst * 1_000);
    }
    over
}

pub fn refused_share(used: usize, refused: usize) -> f64 {
    refused as f64 / (used + refused).max(1) as f64
}

/// Index of the host for an arrival: two thirds come to the first.
fn skewed(rng: &mut SmallRng, count: usize) -> usize {
    if rng.random_bool(2.0 / 3.0) { 0 } else { rng.random_range(0..count) }
}

struct Process {
    /// Local clock minus true time.
    offset: u64,
    history: HostHistory,
    limiter: Limiter,
    admission: AdmissionController,
    coming: Vec<(u64, IndexMap<HostId, Host>)>,
}

enum Message {
    Ask { to: HostId, sent_at: Millis, req: GrantRequest },
    Answer { to: HostId, sent_at: Millis, grant: Grant },
}

pub struct Simulation {
    rng: SmallRng,
    now: u64,
    limits: Limits,
    load: f64,
    faults: bool,
    learning: u64,
    committed: IndexMap<HostId, Host>,
    live: IndexMap<HostId, Process>,
    removals: Vec<(u64, HostId)>,
    messages: Vec<(u64, Message)>,
    incarnation: u64,
    pub used: Vec<u64>,
    pub refused: usize,
    pub waited: usize,
}

impl Simulation {
    pub fn new(seed: u64, limits: Limits) -> Self {
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            limits,
            load: 1.0,
            faults: false,
            learning: LEASE_MS,
            committed: IndexMap::new(),
            live: IndexMap::new(),
            removals: Vec::new(),
            messages: Vec::new(),
            incarnation: 0,
            used: Vec::new(),
            refused: 0,
            waited: 0,
        };
        for name in NAMES {
            simulation.insert_host(name);
        }
        for name in NAMES {
            simulation.start(name.into());
        }
        simulation
    }

    pub fn with_faults(mut self) -> Self {
        self.faults = true;
        self
    }

    /// Longest time after which hosts learn of a view; by default their lease.
    pub fn with_learning(mut self, learning: u64) -> Self {
        self.learning = learning;
        self
    }

    /// Arrivals as a multiple of the rate.
    pub fn with_load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Runs for `span` milliseconds. The first owner may grant only after the
    /// history has settled, so arrivals begin 3 s after the start.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.learn();
            self.deliver();
            if self.now > 3_000 {
                self.arrive();
            }
            if self.faults && self.rng.random_bool(0.002) {
                self.fault();
            }
            self.tick();
        }
    }

    /// Ends the limiter owner, or marks it as leaving.
    pub fn remove_owner(&mut self, planned: bool) {
        let process = self.live.values().next();
        let list = process.and_then(|process| process.history.current());
        let owner =
            list.and_then(|list| limiter_owner(&workspace(), list)).map(|host| host.id.clone());
        match owner {
            Some(owner) if planned => {
                self.committed[&owner].leaving = true;
                self.publish();
            }
            Some(owner) => self.crash(owner),
            None => {}
        }
    }

    fn insert_host(&mut self, name: &str) {
        self.incarnation += 1;
        let host = Host {
            id: name.into(),
            incarnation: Incarnation(self.incarnation),
            failure_domain: "nabeul".into(),
            peer_addr: String::new(),
            bus_addr: String::new(),
            leaving: false,
        };
        self.committed.insert(host.id.clone(), host);
    }

    fn start(&mut self, id: HostId) {
        let settings = LimitSettings::default();
        let offset = self.rng.random_range(0..1_000_000);
        let mut history = HostHistory::default();
        history.learn(Millis(self.now + offset), &self.committed, false);
        let limiter = Limiter::new(id.clone(), settings.clone());
        let admission = AdmissionController::new(workspace(), id.clone(), settings);
        let process = Process { offset, history, limiter, admission, coming: Vec::new() };
        self.live.insert(id, process);
    }

    fn publish(&mut self) {
        for process in self.live.values_mut() {
            let known_after = process.coming.last().map_or(0, |(at, _)| *at);
            let at = (self.now + self.rng.random_range(0..self.learning)).max(known_after);
            process.coming.push((at, self.committed.clone()));
        }
    }

    fn crash(&mut self, id: HostId) {
        self.live.shift_remove(&id);
        self.removals.push((self.now + REMOVAL_MS, id));
    }

    fn fault(&mut self) {
        let ids: Vec<HostId> = self.live.keys().cloned().collect();
        let Some(id) = ids.choose(&mut self.rng).cloned() else { return };
        let absent = NAMES.into_iter().find(|name| {
            let id = HostId::from(*name);
            !self.live.contains_key(&id) && !self.committed.contains_key(&id)
        });
        match self.rng.random_range(0..3) {
            0 if self.live.len() > 2 => self.crash(id),
            1 if self.committed.contains_key(&id) => {
                self.committed[&id].leaving = !self.committed[&id].leaving;
                self.publish();
            }
            _ => {
                if let Some(name) = absent {
                    self.insert_host(name);
                    self.publish();
                    self.start(name.into());
                }
            }
        }
    }

    fn learn(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.removals).into_iter().partition(|(at, _)| *at <= now);
        self.removals = later;
        for (_, id) in due {
            self.committed.shift_remove(&id);
            self.publish();
        }
        for process in self.live.values_mut() {
            process.coming.retain(|(at, hosts)| {
                if *at <= now {
                    process.history.learn(Millis(now + process.offset), hosts, true);
                }
                *at > now
            });
        }
    }

    fn send(&mut self, message: Message) {
        if !(self.faults && self.rng.random_bool(0.05)) {
            self.messages.push((self.now + self.rng.random_range(3..=5), message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        for (_, message) in due {
            match message {
                Message::Ask { to, sent_at, req } => self.on_ask(to, sent_at, &req),
                Message::Answer { to, sent_at, grant } => self.on_answer(&to, sent_at, grant),
            }
        }
    }

    fn on_ask(&mut self, to: HostId, sent_at: Millis, req: &GrantRequest) {
        let Some(process) = self.live.get_mut(&to) else { return };
        let spec = WorkspaceSpec {
            rate: self.limits.rate,
            burst: self.limits.burst,
            ..Default::default()
        };
        let local = Millis(now_at(self.now, process));
        let grant = process.limiter.grant(local, req, &spec, &process.history);
        let repeated = self.faults && self.rng.random_bool(0.05);
        let to = req.host.clone();
        if repeated {
            self.send(Message::Answer { to: to.clone(), sent_at, grant: grant.clone() });
        }
        self.send(Message::Answer { to, sent_at, grant });
    }

    fn on_answer(&mut self, to: &HostId, sent_at: Millis, grant: Grant) {
        let Some(process) = self.live.get_mut(to) else { return };
        let local = Millis(now_at(self.now, process));
        let released: Vec<Ticket> = process.admission.on_grant(local, sent_at, grant);
        self.waited += released.len();
        self.used.extend(released.iter().map(|_| self.now));
    }

    fn arrive(&mut self) {
        let mut due = f64::from(self.limits.rate) * self.load / 1_000.0;
        while due > 0.0 {
            let index = skewed(&mut self.rng, self.live.len());
            if self.rng.random_bool(due.min(1.0)) {
                let process = &mut self.live[index];
                match process.admission.admit(Millis(self.now + process.offset)) {
                    Decision::Admitted => self.used.push(self.now),
                    Decision::Queued(_) => {}
                    Decision::Refused => self.refused += 1,
                }
            }
            due -= 1.0;
        }
    }

    fn tick(&mut self) {
        let mut asks = Vec::new();
        for process in self.live.values_mut() {
            let local = Millis(now_at(self.now, process));
            self.refused += process.admission.expire(local).len();
            let owner =
                process.history.current().and_then(|list| limiter_owner(&workspace(), list));
            if let (Some(owner), Some(req)) = (owner, process.admission.next_request(local)) {
                asks.push(Message::Ask { to: owner.id.clone(), sent_at: local, req });
            }
        }
        asks.into_iter().for_each(|ask| self.send(ask));
    }
}

fn now_at(now: u64, process: &Process) -> u64 {
    now + process.offset
}

fn workspace() -> Workspace {
    "w".into()
}

/// Each of 6 hosts enforces a sixth of the rate and burst by itself.
pub struct StaticSplit {
    pub used: Vec<u64>,
    pub refused: usize,
}

impl StaticSplit {
    pub fn run(seed: u64, limits: Limits, load: f64, span: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = NAMES.len() as f64;
        let (rate, burst) =
            (f64::from(limits.rate) / hosts / 1_000.0, f64::from(limits.burst) / hosts);
        let mut tokens = [burst; NAMES.len()];
        // Requests wait up to 200 ms, as with grants.
        let mut queues: [Vec<u64>; NAMES.len()] = Default::default();
        let mut split = Self { used: Vec::new(), refused: 0 };
        for now in 0..span {
            if rng.random_bool((f64::from(limits.rate) * load / 1_000.0).min(1.0)) {
                queues[skewed(&mut rng, NAMES.len())].push(now);
            }
            for (queue, tokens) in queues.iter_mut().zip(&mut tokens) {
                *tokens = (*tokens + rate).min(burst);
                while !queue.is_empty() && *tokens >= 1.0 {
                    queue.remove(0);
                    *tokens -= 1.0;
                    split.used.push(now);
                }
                let before = queue.len();
                queue.retain(|since| now - since < 200);
                split.refused += before - queue.len();
            }
        }
        split
    }
}
