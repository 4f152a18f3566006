//! Simulation of a control group and of entry hosts that admit the operations of one
//! workspace, in virtual time. Hosts, leaders and the log run the real decisions; messages
//! and commits are delayed, and clocks differ between hosts.

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        allocation::{AllocationBatch, Allocations},
        config::FleetWorkspace,
        messages::{
            AllocationRevision, EntryHost, LimitReport, LimitUpdate, TokenGrant, TokenRequest,
            Usage,
        },
        rate_allocator::{PlanCx, RateAllocator},
    },
    gateway::{lenders::Lenders, rate_limit::RateLimiter},
    ids::{HostId, Incarnation, Workspace},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Interval between a host's reports.
const REPORT_INTERVAL_MS: u64 = 400;

/// Interval between ticks of the leader.
const TICK_MS: u64 = 25;

/// Time without a report after which the leader removes a host from the view.
const HOST_TIMEOUT_MS: u64 = 5_000;

/// Longest time to commit a log entry.
const MAX_COMMIT_MS: u64 = 30;

/// Time without a leader after the loss of one.
const ELECTION_MS: u64 = 700;

/// Time for which a host waits for a lender's answer.
const LENDER_TIMEOUT_MS: u64 = 60;

/// Longest time for which an operation may be refunded.
const MAX_OPERATION_MS: u64 = 400;

/// Share of the operations that no target runs.
const REFUND_SHARE: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    pub rate: u32,
    pub burst: u32,
}

impl Limits {
    fn workspaces(self) -> IndexMap<Workspace, FleetWorkspace> {
        let limits = FleetWorkspace { rate: self.rate, burst: self.burst };
        IndexMap::from([(workspace(), limits)])
    }
}

struct Host {
    incarnation: u64,
    started_at: u64,
    limiter: RateLimiter,
    revision: AllocationRevision,
    /// Cut off from control.
    cut: bool,
    /// Cut off from all other hosts.
    isolated: bool,
    paused_until: u64,
    reported_at: Option<u64>,
    /// Operations that wait for a lender, by request id.
    loans: IndexMap<u64, Loan>,
    /// Operations that end at the given time, and whether they ran.
    running: Vec<(u64, bool)>,
}

struct Loan {
    requested_at: u64,
    lenders: Vec<HostId>,
}

struct Leader {
    allocator: RateAllocator,
    heard_at: IndexMap<HostId, u64>,
    /// Process that sent a host's last report, and when on its clock.
    echoes: IndexMap<HostId, (u64, Millis)>,
    view: Vec<EntryHost>,
    /// Batches that are not committed yet, with the time of their commit.
    proposed: Vec<(u64, AllocationBatch)>,
}

enum Message {
    Report { host: HostId, incarnation: u64, echo: Millis, usage: Vec<Usage>, report: LimitReport },
    Update { host: HostId, incarnation: u64, echo: Millis, update: LimitUpdate },
    TokenRequest { from: HostId, to: HostId, req: TokenRequest },
    TokenGrant { to: HostId, grant: TokenGrant },
}

impl Message {
    /// Entry host that receives the message.
    fn receiver(&self) -> Option<&HostId> {
        match self {
            Self::Report { .. } => None,
            Self::Update { host, .. } => Some(host),
            Self::TokenRequest { to, .. } | Self::TokenGrant { to, .. } => Some(to),
        }
    }
}

/// What became of the operations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub offered: usize,
    pub refused: usize,
}

pub struct Fleet {
    rng: SmallRng,
    pub now: u64,
    limits: Limits,
    /// Limits that the admissions are compared with.
    bound: Option<Limits>,
    load: f64,
    started: usize,
    requests: u64,
    hosts: IndexMap<HostId, Host>,
    allocations: Allocations,
    leader: Option<Leader>,
    /// Lenders according to the last view.
    lenders: Lenders,
    leaders: u64,
    election_ends_at: u64,
    messages: Vec<(u64, Message)>,
    /// Message delays of the next messages, in milliseconds.
    max_delay: u64,
    /// Times at which operations that ran were admitted, in milliseconds.
    pub admitted: Vec<u64>,
    pub counts: Counts,
}

pub fn workspace() -> Workspace {
    "w".into()
}

impl Host {
    fn new(now: u64, incarnation: u64, limits: Limits) -> Self {
        let mut limiter = RateLimiter::default();
        limiter.set_workspaces(Millis(0), &limits.workspaces());
        Self {
            incarnation,
            started_at: now,
            limiter,
            revision: AllocationRevision::default(),
            cut: false,
            isolated: false,
            paused_until: 0,
            reported_at: None,
            loans: IndexMap::new(),
            running: Vec::new(),
        }
    }

    /// Time on the host's clock, which starts with its process.
    fn clock(&self, now: u64) -> Millis {
        Millis(now - self.started_at)
    }

    fn is_running(&self, now: u64) -> bool {
        self.paused_until <= now
    }
}

impl Leader {
    /// Leader that expects `hosts` to report.
    fn new<'a>(now: u64, number: u64, hosts: impl Iterator<Item = &'a HostId>) -> Self {
        Self {
            allocator: RateAllocator::new(Millis(now), number, number),
            heard_at: hosts.map(|id| (id.clone(), now)).collect(),
            echoes: IndexMap::new(),
            view: Vec::new(),
            proposed: Vec::new(),
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
            bound: None,
            load: 0.0,
            started: 0,
            requests: 0,
            hosts: IndexMap::new(),
            allocations: Allocations::default(),
            leader: Some(Leader::new(0, 1, std::iter::empty())),
            lenders: Lenders::default(),
            leaders: 1,
            election_ends_at: 0,
            messages: Vec::new(),
            max_delay: 6,
            admitted: Vec::new(),
            counts: Counts::default(),
        };
        (0..hosts).for_each(|_| fleet.add_host());
        // Hosts are ready once they have allocations.
        fleet.run(3_000);
        fleet.load = load;
        fleet
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    pub fn set_load(&mut self, load: f64) {
        self.load = load;
    }

    /// Sets the limits that the admissions are compared with, if not those in force.
    pub fn set_bound(&mut self, limits: Limits) {
        self.bound = Some(limits);
    }

    /// Sets the longest delay of a message.
    pub fn set_max_delay(&mut self, max_delay: u64) {
        self.max_delay = max_delay;
    }

    /// Changes the limits; every host that is in contact applies them at once.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let now = self.now;
        for host in self.hosts.values_mut().filter(|host| !host.cut) {
            let clock = host.clock(now);
            host.limiter.set_workspaces(clock, &limits.workspaces());
        }
    }

    pub fn add_host(&mut self) {
        let id = HostId::from(format!("h{}", self.started));
        self.started += 1;
        self.hosts.insert(id, Host::new(self.now, 1, self.limits));
    }

    /// Cuts every `nth` host off from control.
    pub fn cut(&mut self, nth: usize) {
        self.hosts.values_mut().step_by(nth).for_each(|host| host.cut = true);
    }

    /// Cuts every `nth` host off from control and from all other hosts.
    pub fn isolate(&mut self, nth: usize) {
        for host in self.hosts.values_mut().step_by(nth) {
            host.cut = true;
            host.isolated = true;
        }
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        for host in self.hosts.values_mut() {
            host.cut = false;
            host.isolated = false;
        }
    }

    /// Kills every `nth` host; it starts again at once.
    pub fn restart(&mut self, nth: usize) {
        let (now, limits) = (self.now, self.limits);
        for host in self.hosts.values_mut().step_by(nth) {
            *host = Host::new(now, host.incarnation + 1, limits);
        }
    }

    /// Ends every `nth` host for good.
    pub fn remove(&mut self, nth: usize) {
        let mut index = 0;
        self.hosts.retain(|_, _| {
            index += 1;
            (index - 1) % nth != 0
        });
    }

    /// Stops every `nth` host for `span` milliseconds.
    pub fn pause(&mut self, nth: usize, span: u64) {
        let until = self.now + span;
        self.hosts.values_mut().step_by(nth).for_each(|host| host.paused_until = until);
    }

    /// Ends the leader; another control host leads after the election. Some of its last
    /// proposals are committed, before those of the next leader.
    pub fn change_leader(&mut self) {
        let Some(leader) = self.leader.take() else { return };
        let kept = self.rng.random_range(0..=leader.proposed.len());
        for (_, batch) in leader.proposed.into_iter().take(kept) {
            self.allocations.apply(&batch);
        }
        self.election_ends_at = self.now + ELECTION_MS;
    }

    /// Resets the leader's memory, as after a pause of its process; its proposals are still
    /// committed.
    pub fn reset_leader(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        let proposed = std::mem::take(&mut leader.proposed);
        self.leaders += 1;
        let view = std::mem::take(&mut leader.view);
        let new = Leader::new(self.now, self.leaders, self.hosts.keys());
        *leader = Leader { proposed, view, ..new };
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            if self.leader.is_none() && self.now >= self.election_ends_at {
                self.leaders += 1;
                let hosts = self.hosts.keys();
                self.leader = Some(Leader::new(self.now, self.leaders, hosts));
            }
            self.deliver();
            self.end_operations();
            self.generate_arrivals();
            self.give_up_loans();
            self.report();
            self.advance_leader();
        }
    }

    /// Runs for 10 s and forgets the admissions, so that only later ones are checked.
    pub fn settle(&mut self) {
        self.run(10_000);
        self.forget();
    }

    /// Forgets the admissions.
    pub fn forget(&mut self) {
        self.admitted.clear();
        self.counts = Counts::default();
    }

    /// Largest number of admissions in any window, less the `rate * t + burst` that are
    /// allowed in it; zero or below if the limit was kept.
    pub fn largest_excess(&self) -> i64 {
        let mut admitted = self.admitted.clone();
        admitted.sort_unstable();
        largest_excess(&admitted, self.bound.unwrap_or(self.limits))
    }

    pub fn refused_share(&self) -> f64 {
        self.counts.refused as f64 / self.counts.offered.max(1) as f64
    }

    fn generate_arrivals(&mut self) {
        let mut due = f64::from(self.limits.rate) * self.load / 1_000.0;
        while due > 0.0 {
            if self.rng.random_bool(due.min(1.0)) {
                // Half of the callers are at a third of the hosts.
                let busy = (self.hosts.len() / 3).max(1);
                let count = if self.rng.random_bool(0.5) { busy } else { self.hosts.len() };
                let index = self.rng.random_range(0..count);
                self.arrive(index);
            }
            due -= 1.0;
        }
    }

    fn arrive(&mut self, index: usize) {
        let now = self.now;
        let Some((id, host)) = self.hosts.get_index_mut(index) else { return };
        if !host.is_running(now) {
            return;
        }
        let (id, clock) = (id.clone(), host.clock(now));
        self.counts.offered += 1;
        host.limiter.record_offered(clock, &workspace());
        if host.limiter.admit(clock, &workspace()) {
            return self.start_operation(&id);
        }
        if host.limiter.exhausted_until(clock, &workspace()) > clock {
            self.counts.refused += 1;
            return;
        }
        let lenders = self.lenders(&id);
        self.ask(id, Loan { requested_at: now, lenders });
    }

    /// Other hosts that lend tokens, according to the view.
    fn lenders(&self, id: &HostId) -> Vec<HostId> {
        let lenders = self.lenders.of(Millis(self.now), &workspace(), &entry_host(id));
        lenders.map(|host| host.id.clone()).filter(|lender| lender != id).collect()
    }

    /// Asks the next lender, or refuses the operation if there is none left.
    fn ask(&mut self, id: HostId, mut loan: Loan) {
        let now = self.now;
        if loan.lenders.is_empty() {
            let host = &mut self.hosts[&id];
            let clock = host.clock(now);
            if host.limiter.admit(clock, &workspace()) {
                return self.start_operation(&id);
            }
            let retry_after = host.limiter.retry_after(clock, &workspace());
            host.limiter.record_exhausted(clock, &workspace(), retry_after);
            self.counts.refused += 1;
            return;
        }
        self.requests += 1;
        let to = loan.lenders.remove(0);
        loan.requested_at = now;
        let req = TokenRequest { request_id: self.requests, workspace: workspace(), wanted: 1 };
        self.hosts[&id].loans.insert(self.requests, loan);
        self.send(Message::TokenRequest { from: id, to, req });
    }

    fn start_operation(&mut self, id: &HostId) {
        let ends_at = self.now + self.rng.random_range(5..MAX_OPERATION_MS);
        let ran = !self.rng.random_bool(REFUND_SHARE);
        if ran {
            self.admitted.push(self.now);
        }
        self.hosts[id].running.push((ends_at, ran));
    }

    fn end_operations(&mut self) {
        let now = self.now;
        for host in self.hosts.values_mut().filter(|host| host.is_running(now)) {
            let clock = host.clock(now);
            for (_, ran) in host.running.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
                host.limiter.settle(clock, &workspace(), ran);
            }
        }
    }

    fn give_up_loans(&mut self) {
        let now = self.now;
        let mut late = Vec::new();
        for (id, host) in self.hosts.iter_mut().filter(|(_, host)| host.is_running(now)) {
            let is_late = |_: &u64, loan: &mut Loan| now - loan.requested_at >= LENDER_TIMEOUT_MS;
            late.extend(host.loans.extract_if(.., is_late).map(|(_, loan)| (id.clone(), loan)));
        }
        late.into_iter().for_each(|(id, loan)| self.ask(id, loan));
    }

    fn report(&mut self) {
        let now = self.now;
        let mut reports = Vec::new();
        for (index, (id, host)) in self.hosts.iter_mut().enumerate() {
            let revision = host.limiter.allocation_age(host.clock(now)).0;
            let is_confirmation = revision != host.revision;
            let is_due = host
                .reported_at
                .map_or(now % 40 == index as u64 % 40, |at| now - at >= REPORT_INTERVAL_MS);
            if !host.is_running(now) || host.cut || !(is_due || is_confirmation) {
                continue;
            }
            host.reported_at = Some(now);
            host.revision = revision;
            let clock = host.clock(now);
            let report = host.limiter.report(clock);
            let (usage, incarnation) = (host.limiter.take_usage(), host.incarnation);
            reports.push(Message::Report {
                host: id.clone(),
                incarnation,
                echo: clock,
                usage,
                report,
            });
        }
        reports.into_iter().for_each(|report| self.send(report));
    }

    fn send(&mut self, message: Message) {
        let at = self.now + self.rng.random_range(1..=self.max_delay);
        self.messages.push((at, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (_, message) in self.messages.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            let paused_until = message
                .receiver()
                .and_then(|id| self.hosts.get(id))
                .map_or(0, |it| it.paused_until);
            if paused_until > now {
                self.messages.push((paused_until + 1, message));
                continue;
            }
            match message {
                Message::Report { host, incarnation, echo, usage, report } => {
                    self.on_report(&host, incarnation, echo, &usage, report)
                }
                Message::Update { host, incarnation, echo, update } => {
                    let Some(host) = self.hosts.get_mut(&host) else { continue };
                    if !host.cut && host.incarnation == incarnation {
                        let clock = host.clock(now);
                        host.limiter.apply(clock, echo, update);
                    }
                }
                Message::TokenRequest { from, to, req } => self.on_token_request(from, &to, &req),
                Message::TokenGrant { to, grant } => self.on_token_grant(&to, &grant),
            }
        }
    }

    fn on_token_request(&mut self, from: HostId, to: &HostId, req: &TokenRequest) {
        let now = self.now;
        let reaches = |id| self.hosts.get(id).is_some_and(|host: &Host| !host.isolated);
        if !reaches(&from) || !reaches(to) {
            return;
        }
        let lender = &mut self.hosts[to];
        let clock = lender.clock(now);
        let grant = lender.limiter.lend(clock, req);
        self.send(Message::TokenGrant { to: from, grant });
    }

    fn on_token_grant(&mut self, to: &HostId, grant: &TokenGrant) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(to) else { return };
        let Some(loan) = host.loans.swap_remove(&grant.request_id) else { return };
        let requested_at = Millis(loan.requested_at.saturating_sub(host.started_at));
        let clock = host.clock(now);
        if grant.tokens == 0 {
            return self.ask(to.clone(), loan);
        }
        if host.limiter.admit_borrowed(clock, &workspace(), requested_at) {
            self.admitted.push(now);
        } else {
            self.counts.refused += 1;
        }
    }

    fn on_report(
        &mut self,
        host: &HostId,
        incarnation: u64,
        echo: Millis,
        usage: &[Usage],
        report: LimitReport,
    ) {
        let now = Millis(self.now);
        let Some(leader) = &mut self.leader else { return };
        leader.heard_at.insert(host.clone(), self.now);
        leader.echoes.insert(host.clone(), (incarnation, echo));
        leader.allocator.record(now, host, Incarnation(incarnation), usage, Some(&report));
        let workspaces = self.limits.workspaces();
        let update = leader.allocator.update(now, host, &self.allocations, &workspaces);
        self.send(Message::Update { host: host.clone(), incarnation, echo, update });
    }

    fn advance_leader(&mut self) {
        let now = self.now;
        let commit_at = now + self.rng.random_range(5..MAX_COMMIT_MS);
        let Some(leader) = &mut self.leader else { return };
        for (_, batch) in leader.proposed.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.allocations.apply(&batch);
            leader.allocator.record_applied(batch.proposer);
        }
        if !now.is_multiple_of(TICK_MS) {
            return;
        }
        leader.heard_at.retain(|_, at| now - *at < HOST_TIMEOUT_MS);
        leader.view = leader.heard_at.keys().map(entry_host).collect();
        self.lenders.set_hosts(Millis(now), &leader.view);
        let workspaces = self.limits.workspaces();
        let cx = PlanCx {
            now: Millis(now),
            allocations: &self.allocations,
            workspaces: &workspaces,
            hosts: &leader.view,
        };
        if let Some(batch) = leader.allocator.advance(&cx) {
            let previous = leader.proposed.last().map_or(0, |(at, _)| *at);
            leader.proposed.push((commit_at.max(previous), batch));
        }
        for id in leader.allocator.outdated(Millis(now), &self.allocations) {
            let update = leader.allocator.update(Millis(now), &id, &self.allocations, &workspaces);
            let Some((incarnation, echo)) = leader.echoes.get(&id).copied() else { continue };
            let message = Message::Update { host: id, incarnation, echo, update };
            let at = now + self.rng.random_range(1..=self.max_delay);
            self.messages.push((at, message));
        }
    }
}

fn entry_host(id: &HostId) -> EntryHost {
    EntryHost { id: id.clone(), addr: id.to_string(), domain: "d".into() }
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
