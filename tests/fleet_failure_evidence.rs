//! Evidence for a primary change when many services are slow, compared with the rule that 30 % of
//! the hosts must report 500 ms of failure.

use std::sync::LazyLock;

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        evacuation::Evacuations,
        failover::{Action, Cx, Event, Failover, PromotionOutcome, TargetCommand, TargetStatus},
        hosts::Hosts,
        messages::{Announcement, Health, HostReport, TargetHealth, TargetRole, ViewRevision},
        registry::Registry,
        unfinished::UnfinishedPromotions,
    },
    gateway::load_signal::LoadReport,
    ids::{Incarnation, InstanceId, Mark, Service},
};

static NO_EVACUATIONS: LazyLock<Evacuations> = LazyLock::new(Evacuations::default);

const STEP_MS: u64 = 50;
const REPORT_MS: u64 = 400;
const HOSTS: u64 = 20;
const SERVICES: u64 = 8;
const START: u64 = 10_000;

/// What the hosts and the leader see.
struct Load {
    /// Services whose primary is dead from the start on.
    dead: Vec<u64>,
    /// Time that a target takes to answer the leader.
    answer_ms: u64,
    /// Time for which a host sees the primary of a service fail, at a time since the start.
    failing: fn(host: u64, service: u64, at: u64) -> Option<u64>,
    /// Whether a host reports being busy.
    busy: fn(host: u64) -> bool,
    /// Times since the start at which the leader is frozen.
    frozen: std::ops::Range<u64>,
}

struct Fleet {
    now: u64,
    load: Load,
    registry: Registry,
    hosts: Hosts,
    failover: Failover,
    unfinished: UnfinishedPromotions,
    view: u64,
    /// Targets that lead, with their term, by service.
    primaries: IndexMap<Service, (InstanceId, u64)>,
    paused: Vec<InstanceId>,
    /// Answers under way, with the time of their arrival.
    answers: Vec<(u64, Service, Event)>,
    /// Service and time since the start of each change that has begun.
    changes: Vec<(u64, u64)>,
    /// The same by the rule on reports alone.
    changes_by_reports: Vec<(u64, u64)>,
}

fn service(number: u64) -> Service {
    format!("s{number}").as_str().into()
}

fn target(service: u64, name: &str) -> InstanceId {
    format!("s{service}-{name}").as_str().into()
}

impl Fleet {
    fn new(load: Load) -> Self {
        let mut fleet = Self {
            now: START,
            load,
            registry: Registry::default(),
            hosts: Hosts::new(Millis(0)),
            failover: Failover::default(),
            unfinished: UnfinishedPromotions::default(),
            view: 1,
            primaries: IndexMap::new(),
            paused: Vec::new(),
            answers: Vec::new(),
            changes: Vec::new(),
            changes_by_reports: Vec::new(),
        };
        for number in 0..SERVICES {
            fleet.failover.record_primary_claim(&service(number), &target(number, "p"));
            fleet.primaries.insert(service(number), (target(number, "p"), 1));
        }
        fleet.announce();
        fleet
    }

    fn announce(&mut self) {
        for number in 0..SERVICES {
            for name in ["p", "a", "b"] {
                let id = target(number, name);
                let leads = self.primaries[&service(number)].0 == id;
                let announcement = Announcement {
                    addr: id.to_string(),
                    id,
                    service: service(number),
                    domain: "d".into(),
                    draining: false,
                    role: if leads { TargetRole::Primary } else { TargetRole::Replica },
                    slots: 4,
                    started_at_ms: 1,
                    sequence: self.now,
                    warmup_remaining: Millis(0),
                };
                self.registry.record(Millis(self.now), &announcement);
            }
        }
    }

    fn is_dead(&self, id: &InstanceId) -> bool {
        self.load.dead.iter().any(|number| *id == target(*number, "p"))
    }

    fn report(&mut self, host: u64) {
        let since = self.now - START;
        let targets = (0..SERVICES).map(|number| {
            let id = self.primaries[&service(number)].0.clone();
            let seen = (self.load.failing)(host, number, since);
            let dead = Some(since).filter(|span| *span >= REPORT_MS && self.is_dead(&id));
            let health = dead.or(seen).map_or(Health::Answering, |it| Health::Failing(Millis(it)));
            TargetHealth { id, health }
        });
        let report = HostReport {
            host: format!("h{host}").as_str().into(),
            incarnation: Incarnation(1),
            sent_at: Millis(self.now),
            config_version: 1,
            view_revision: ViewRevision { term: 7, number: self.view },
            bus_addr: String::new(),
            domain: "d".into(),
            leaving: false,
            usage: Vec::new(),
            targets: targets.collect(),
            acknowledged: Vec::new(),
            known_targets: Vec::new(),
            limits: None,
            load: (self.load.busy)(host).then_some(LoadReport { loop_delay: Millis(100) }),
        };
        self.hosts.record(Millis(self.now), &report);
    }

    fn run(mut self, span: u64) -> Self {
        while self.now < START + span {
            self.now += STEP_MS;
            if self.load.frozen.contains(&(self.now - START)) {
                continue;
            }
            if self.now.is_multiple_of(1_000) {
                self.announce();
            }
            for host in 0..HOSTS {
                if (self.now + host * STEP_MS).is_multiple_of(REPORT_MS) {
                    self.report(host);
                }
            }
            let due: Vec<_> = self.answers.extract_if(.., |(at, ..)| *at <= self.now).collect();
            for (_, service, event) in due {
                self.handle(&service, event);
            }
            self.tick();
        }
        self
    }

    fn cx<'a>(now: u64, view: u64, registry: &'a Registry, hosts: &'a Hosts) -> Cx<'a> {
        Cx {
            now: Millis(now),
            term: 7,
            leader_since: Millis(0),
            promotions_are_fenced: true,
            registry,
            hosts,
            view_revision: ViewRevision { term: 7, number: view },
            evacuations: &NO_EVACUATIONS,
        }
    }

    fn is_changing(&self, number: u64) -> bool {
        self.failover.primary(&service(number), &self.unfinished).is_some_and(|it| it.1)
    }

    fn tick(&mut self) {
        let changing: Vec<bool> = (0..SERVICES).map(|number| self.is_changing(number)).collect();
        let cx = Self::cx(self.now, self.view, &self.registry, &self.hosts);
        let actions = self.failover.tick(&cx, (0..SERVICES).map(service), &self.unfinished);
        let since = self.now - START;
        for number in 0..SERVICES {
            if !changing[number as usize] && self.is_changing(number) {
                self.changes.push((number, since));
            }
            let primary = &self.primaries[&service(number)].0;
            let summary = self.hosts.health_summary(Millis(self.now), primary);
            if summary.failing * 100 >= (summary.answering + summary.failing) * 30
                && summary.longest_failure >= Millis(500)
                && !self.changes_by_reports.iter().any(|(known, _)| *known == number)
            {
                self.changes_by_reports.push((number, since));
            }
        }
        self.execute(actions);
    }

    fn handle(&mut self, service: &Service, event: Event) {
        let cx = Self::cx(self.now, self.view, &self.registry, &self.hosts);
        let actions = self.failover.handle(&cx, service, event, &self.unfinished);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendCommand { service, target, command } => {
                    self.command(service, target, command);
                }
                Action::LogPromotionBegan { service, target } => {
                    self.unfinished.begin(service.clone(), target.clone());
                    self.handle(&service, Event::PromotionLogged { target });
                }
                Action::Promote { service, target, token } => {
                    let term = self.primaries[&service].1 + 1;
                    self.primaries.insert(service.clone(), (target, term));
                    let outcome = PromotionOutcome::Accepted;
                    self.handle(&service, Event::PromotionCompleted { token, outcome });
                }
                Action::LogPromotionEnded { service } => {
                    self.unfinished.end(&service);
                }
                Action::ViewChanged => self.view += 1,
            }
        }
    }

    fn command(&mut self, service: Service, target: InstanceId, command: TargetCommand) {
        if self.is_dead(&target) {
            return;
        }
        match command {
            TargetCommand::Pause(_) => self.paused.push(target.clone()),
            TargetCommand::Resume => self.paused.retain(|id| *id != target),
            TargetCommand::Demote(_) | TargetCommand::Status => {}
        }
        let (primary, term) = self.primaries[&service].clone();
        let role = if primary == target { TargetRole::Primary } else { TargetRole::Replica };
        let paused_under = self.paused.contains(&target).then_some(term + 1);
        let received = Mark::new(term, 10);
        let status = Some(TargetStatus { role, term, paused_under, received });
        let sent_at = Millis(self.now);
        let event = Event::CommandCompleted { target, command, sent_at, status };
        self.answers.push((self.now + self.load.answer_ms, service, event));
    }
}

/// Most hosts see most primaries fail: 3 of 4 pairs of host and service at any time.
fn slow(host: u64, service: u64, at: u64) -> Option<u64> {
    let is_slow = at >= 400 && !(host * 3 + service * 5 + at / 400).is_multiple_of(4);
    is_slow.then_some(400 + (host * 7 + service) % 6 * 100)
}

fn calm(_: u64, _: u64, _: u64) -> Option<u64> {
    None
}

/// Most hosts see the primary of one service fail from 2.5 s on.
fn blamed(host: u64, service: u64, at: u64) -> Option<u64> {
    (service == 0 && at > 2_500 && host < 16).then_some(800)
}

/// Guards against promotions of healthy primaries at a peak during which the leader freezes, and
/// against a dead primary that stays because everything is slow.
#[test]
fn healthy_primaries_are_kept_during_a_peak() {
    let load = Load {
        dead: vec![3],
        answer_ms: 300,
        failing: slow,
        busy: |host| host.is_multiple_of(2),
        frozen: 1_000..2_000,
    };
    let fleet = Fleet::new(load).run(8_000);
    assert_eq!(fleet.changes_by_reports.len() as u64, SERVICES, "the reports alone replace all");
    let [(3, at)] = fleet.changes[..] else { panic!("{:?}", fleet.changes) };
    assert!(at <= 4_000, "the dead primary was replaced after {at} ms");
}

/// Guards against dead primaries that are replaced later than by the reports alone: by nothing if
/// a few services or less than half are affected, and by at most 100 ms if most of them are.
#[test]
fn dead_primaries_are_replaced_without_delay() {
    let most: Vec<u64> = (0..6).collect();
    for (dead, max_delay) in [(vec![0], 0), (vec![0, 1], 0), (vec![0, 1, 2], 0), (most, 100)] {
        let count = dead.len();
        let load = Load { dead, answer_ms: 10, failing: calm, busy: |_| false, frozen: 0..0 };
        let fleet = Fleet::new(load).run(1_500);
        let by_reports = fleet.changes_by_reports;
        assert_eq!((fleet.changes.len(), by_reports.len()), (count, count));
        for ((_, at), (_, former)) in fleet.changes.iter().zip(&by_reports) {
            assert!(*at <= former + max_delay, "{count} dead: {at} ms instead of {former} ms");
        }
    }
}

/// Guards against one promotion after the other because hosts go on reporting failures: the next
/// primary is kept, since it answers the leader.
#[test]
fn another_promotion_needs_more_evidence() {
    let load =
        Load { dead: vec![0], answer_ms: 10, failing: blamed, busy: |_| false, frozen: 0..0 };
    let fleet = Fleet::new(load).run(6_000);
    assert!(fleet.changes_by_reports.len() == 1 && fleet.changes.len() == 1, "{:?}", fleet.changes);
    assert_ne!(fleet.primaries[&service(0)].0, target(0, "p"));
    let primary = &fleet.primaries[&service(0)].0;
    let summary = fleet.hosts.health_summary(Millis(fleet.now), primary);
    assert!(summary.failing >= 16, "the reports alone would replace it again");
}
