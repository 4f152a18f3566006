//! Simulation of hosts that enforce the limits of one workspace, in virtual time.

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

const HOST_NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Hosts receive a new view within their lease.
const LEASE_MS: u64 = 2_000;

/// Time from a crash to the view without the host.
const REMOVAL_MS: u64 = 2_200;

#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub rate: u32,
    pub burst: u32,
}

/// Number of admissions that end a window with more than `rate * t + burst` admissions.
pub fn windows_over_rate(admitted: &[u64], limits: Limits) -> usize {
    let (rate, burst) = (i128::from(limits.rate), i128::from(limits.burst));
    let mut lowest = i128::MAX;
    let mut over = 0;
    for (index, at) in admitted.iter().enumerate() {
        // Admissions before this one, less those the rate allows, in thousandths.
        let level = index as i128 * 1_000 - rate * i128::from(*at);
        lowest = lowest.min(level);
        over += usize::from(level + 1_000 - lowest > burst * 1_000);
    }
    over
}

pub fn refused_share(admitted: usize, refused: usize) -> f64 {
    refused as f64 / (admitted + refused).max(1) as f64
}

/// Index of the host for an arrival. In two of three cases it is the first host, in the
/// others any host with equal probability.
fn skewed_host(rng: &mut SmallRng, count: usize) -> usize {
    if rng.random_bool(2.0 / 3.0) { 0 } else { rng.random_range(0..count) }
}

struct HostProcess {
    /// Local clock minus true time.
    clock_offset: u64,
    history: HostHistory,
    limiter: Limiter,
    admission: AdmissionController,
    /// Views that the host has not received yet, with the times of their receipt.
    pending_views: Vec<(u64, IndexMap<HostId, Host>)>,
}

enum Message {
    Request { to: HostId, sent_at: Millis, req: GrantRequest },
    Response { to: HostId, sent_at: Millis, grant: Grant },
}

pub struct Simulation {
    rng: SmallRng,
    now: u64,
    limits: Limits,
    load: f64,
    faults: bool,
    max_view_delay: u64,
    /// Hosts of the latest view.
    committed: IndexMap<HostId, Host>,
    live: IndexMap<HostId, HostProcess>,
    /// Crashed hosts, with the times of their removal from the view.
    removals: Vec<(u64, HostId)>,
    messages: Vec<(u64, Message)>,
    incarnation: u64,
    /// Times of the admissions, in milliseconds.
    pub admitted: Vec<u64>,
    pub refused: usize,
    /// Number of requests that were queued before their admission.
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
            max_view_delay: LEASE_MS,
            committed: IndexMap::new(),
            live: IndexMap::new(),
            removals: Vec::new(),
            messages: Vec::new(),
            incarnation: 0,
            admitted: Vec::new(),
            refused: 0,
            waited: 0,
        };
        for name in HOST_NAMES {
            simulation.insert_host(name);
        }
        for name in HOST_NAMES {
            simulation.start(name.into());
        }
        simulation
    }

    pub fn with_faults(mut self) -> Self {
        self.faults = true;
        self
    }

    /// Sets the longest delay until hosts receive a view, by default their lease.
    pub fn with_max_view_delay(mut self, max_view_delay: u64) -> Self {
        self.max_view_delay = max_view_delay;
        self
    }

    /// Sets the arrivals as a multiple of the rate.
    pub fn with_load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Runs for `duration` milliseconds. Arrivals begin 3 s after the start, because the
    /// first limiter owner must not grant until its history covers the view overlap.
    pub fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 1;
            self.update_views();
            self.deliver();
            if self.now > 3_000 {
                self.generate_arrivals();
            }
            if self.faults && self.rng.random_bool(0.002) {
                self.inject_fault();
            }
            self.tick();
        }
    }

    /// Crashes the limiter owner or, if `planned`, marks it as leaving.
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
        let clock_offset = self.rng.random_range(0..1_000_000);
        let mut history = HostHistory::default();
        history.record(Millis(self.now + clock_offset), &self.committed, false);
        let limiter = Limiter::new(id.clone(), settings.clone());
        let admission = AdmissionController::new(workspace(), id.clone(), settings);
        let process =
            HostProcess { clock_offset, history, limiter, admission, pending_views: Vec::new() };
        self.live.insert(id, process);
    }

    fn publish(&mut self) {
        for process in self.live.values_mut() {
            let previous = process.pending_views.last().map_or(0, |(at, _)| *at);
            let at = (self.now + self.rng.random_range(0..self.max_view_delay)).max(previous);
            process.pending_views.push((at, self.committed.clone()));
        }
    }

    fn crash(&mut self, id: HostId) {
        self.live.shift_remove(&id);
        self.removals.push((self.now + REMOVAL_MS, id));
    }

    fn inject_fault(&mut self) {
        let ids: Vec<HostId> = self.live.keys().cloned().collect();
        let Some(id) = ids.choose(&mut self.rng).cloned() else { return };
        let absent = HOST_NAMES.into_iter().find(|name| {
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

    fn update_views(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.removals).into_iter().partition(|(at, _)| *at <= now);
        self.removals = later;
        for (_, id) in due {
            self.committed.shift_remove(&id);
            self.publish();
        }
        for process in self.live.values_mut() {
            process.pending_views.retain(|(at, hosts)| {
                if *at <= now {
                    process.history.record(Millis(now + process.clock_offset), hosts, true);
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
                Message::Request { to, sent_at, req } => self.on_request(to, sent_at, &req),
                Message::Response { to, sent_at, grant } => self.on_response(&to, sent_at, grant),
            }
        }
    }

    fn on_request(&mut self, to: HostId, sent_at: Millis, req: &GrantRequest) {
        let Some(process) = self.live.get_mut(&to) else { return };
        let spec = WorkspaceSpec {
            rate: self.limits.rate,
            burst: self.limits.burst,
            ..Default::default()
        };
        let local = Millis(local_time(self.now, process));
        let grant = process.limiter.grant(local, req, &spec, &process.history);
        let duplicated = self.faults && self.rng.random_bool(0.05);
        let to = req.host.clone();
        if duplicated {
            self.send(Message::Response { to: to.clone(), sent_at, grant: grant.clone() });
        }
        self.send(Message::Response { to, sent_at, grant });
    }

    fn on_response(&mut self, to: &HostId, sent_at: Millis, grant: Grant) {
        let Some(process) = self.live.get_mut(to) else { return };
        let local = Millis(local_time(self.now, process));
        let released: Vec<Ticket> = process.admission.on_grant(local, sent_at, grant);
        self.waited += released.len();
        self.admitted.extend(released.iter().map(|_| self.now));
    }

    fn generate_arrivals(&mut self) {
        let mut due = f64::from(self.limits.rate) * self.load / 1_000.0;
        while due > 0.0 {
            let index = skewed_host(&mut self.rng, self.live.len());
            if self.rng.random_bool(due.min(1.0)) {
                let process = &mut self.live[index];
                match process.admission.admit(Millis(self.now + process.clock_offset)) {
                    Decision::Admitted => self.admitted.push(self.now),
                    Decision::Queued(_) => {}
                    Decision::Refused => self.refused += 1,
                }
            }
            due -= 1.0;
        }
    }

    fn tick(&mut self) {
        let mut requests = Vec::new();
        for process in self.live.values_mut() {
            let local = Millis(local_time(self.now, process));
            self.refused += process.admission.expire(local).len();
            let owner =
                process.history.current().and_then(|list| limiter_owner(&workspace(), list));
            if let (Some(owner), Some(req)) = (owner, process.admission.next_grant_request(local)) {
                requests.push(Message::Request { to: owner.id.clone(), sent_at: local, req });
            }
        }
        requests.into_iter().for_each(|request| self.send(request));
    }
}

fn local_time(now: u64, process: &HostProcess) -> u64 {
    now + process.clock_offset
}

fn workspace() -> Workspace {
    "w".into()
}

/// Baseline for comparison: each of 6 hosts enforces a sixth of the rate and burst
/// independently.
pub struct StaticSplit {
    pub admitted: Vec<u64>,
    pub refused: usize,
}

impl StaticSplit {
    pub fn run(seed: u64, limits: Limits, load: f64, duration: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = HOST_NAMES.len() as f64;
        let (rate, burst) =
            (f64::from(limits.rate) / hosts / 1_000.0, f64::from(limits.burst) / hosts);
        let mut tokens = [burst; HOST_NAMES.len()];
        // Requests wait up to 200 ms, as in the simulation of grants.
        let mut queues: [Vec<u64>; HOST_NAMES.len()] = Default::default();
        let mut split = Self { admitted: Vec::new(), refused: 0 };
        for now in 0..duration {
            if rng.random_bool((f64::from(limits.rate) * load / 1_000.0).min(1.0)) {
                queues[skewed_host(&mut rng, HOST_NAMES.len())].push(now);
            }
            for (queue, tokens) in queues.iter_mut().zip(&mut tokens) {
                *tokens = (*tokens + rate).min(burst);
                while !queue.is_empty() && *tokens >= 1.0 {
                    queue.remove(0);
                    *tokens -= 1.0;
                    split.admitted.push(now);
                }
                let before = queue.len();
                queue.retain(|since| now - since < 200);
                split.refused += before - queue.len();
            }
        }
        split
    }
}
