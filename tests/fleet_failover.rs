//! Change of a primary: nothing acknowledged is lost, and no host relies on the old
//! primary when the new one begins.

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        failover::{Action, Cx, Event, Failover, PromotionOutcome, TargetCommand, TargetStatus},
        hosts::Hosts,
        messages::{Announcement, Health, HostReport, TargetHealth, TargetRole, ViewRevision},
        registry::Registry,
    },
    ids::{Incarnation, InstanceId, Mark, Service},
};

const STEP: u64 = 50;

/// Control leader with three targets and a few entry hosts.
struct Bench {
    now: Millis,
    registry: Registry,
    hosts: Hosts,
    failover: Failover,
    unfinished: IndexMap<Service, InstanceId>,
    view: u64,
    term: u64,
    /// Position and role of each target; `None` for one that does not answer.
    targets: IndexMap<&'static str, Option<(TargetRole, Mark)>>,
    paused: Vec<String>,
    calls: Vec<(String, u64)>,
    /// Whether the platform carries out calls.
    carries_out: bool,
    failing: Option<Millis>,
    /// Host that gets answers of the primary although others do not.
    answered_host: Option<&'static str>,
    /// Position that `r1` reaches just before it is paused.
    r1_at_pause: Option<Mark>,
    /// Replicas that no host can reach.
    unreachable: Vec<&'static str>,
    confirms_view: bool,
    acknowledged: Mark,
    sequence: u64,
}

fn service() -> Service {
    Service::from("ledger")
}

impl Bench {
    fn new() -> Self {
        let mark = Mark::new(3, 100);
        let mut bench = Self {
            now: Millis(10_000),
            registry: Registry::default(),
            hosts: Hosts::new(Millis(0)),
            failover: Failover::default(),
            unfinished: IndexMap::new(),
            view: 1,
            term: 7,
            targets: IndexMap::from([
                ("p", Some((TargetRole::Primary, mark))),
                ("r1", Some((TargetRole::Replica, mark))),
                ("r2", Some((TargetRole::Replica, mark))),
            ]),
            paused: Vec::new(),
            calls: Vec::new(),
            carries_out: true,
            failing: None,
            answered_host: None,
            r1_at_pause: None,
            unreachable: Vec::new(),
            confirms_view: true,
            acknowledged: mark,
            sequence: 0,
        };
        bench.failover.claimed(&service(), &"p".into());
        bench.announce(false);
        bench
    }

    fn announce(&mut self, primary_drains: bool) {
        self.sequence += 1;
        for (id, state) in &self.targets {
            let Some((role, _)) = state else { continue };
            self.registry.note(
                self.now,
                &Announcement {
                    id: (*id).into(),
                    service: service(),
                    addr: format!("{id}:1"),
                    domain: "a".into(),
                    draining: primary_drains && *id == "p",
                    role: *role,
                    slots: 2,
                    started_at_ms: 1,
                    sequence: self.sequence,
                    warmup_remaining: Millis(0),
                },
            );
        }
    }

    fn report(&mut self) {
        for name in ["h1", "h2", "h3"] {
            let failing = self.failing.filter(|_| self.answered_host != Some(name));
            let health = failing.map_or(Health::Answering, Health::Failing);
            let view = if self.confirms_view { self.view } else { 1 };
            self.hosts.note(
                self.now,
                &HostReport {
                    host: name.into(),
                    incarnation: Incarnation(1),
                    sent_at: self.now,
                    config_version: 1,
                    view_revision: ViewRevision { term: self.term, number: view },
                    bus_addr: String::new(),
                    domain: "a".into(),
                    leaving: false,
                    usage: Vec::new(),
                    targets: self.health(health),
                    acknowledged: vec![(service(), self.acknowledged)],
                    known_targets: Vec::new(),
                },
            );
        }
    }

    fn health(&self, of_primary: Health) -> Vec<TargetHealth> {
        let failing =
            |id: &&str| TargetHealth { id: (*id).into(), health: Health::Failing(Millis(2_000)) };
        let primary = TargetHealth { id: "p".into(), health: of_primary };
        self.unreachable.iter().map(failing).chain([primary]).collect()
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP {
            self.now += Millis(STEP);
            self.report();
            let mut failover = std::mem::take(&mut self.failover);
            let services = [service()].into_iter();
            let actions = failover.tick(&self.cx(), services, &self.unfinished);
            self.failover = failover;
            self.act(actions);
        }
    }

    fn cx(&self) -> Cx<'_> {
        Cx {
            now: self.now,
            term: self.term,
            since: Millis(0),
            registry: &self.registry,
            hosts: &self.hosts,
            view: ViewRevision { term: self.term, number: self.view },
        }
    }

    fn event(&mut self, event: Event) {
        let mut failover = std::mem::take(&mut self.failover);
        let actions = failover.handle(&self.cx(), &service(), event);
        self.failover = failover;
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Ask { target, command, .. } => self.answer(target, command),
                Action::LogBegin { target, .. } => {
                    self.unfinished.insert(service(), target);
                    self.event(Event::Logged);
                }
                Action::LogEnd { .. } => {
                    self.unfinished.clear();
                }
                Action::Call { target, token, .. } => self.call(&target, token),
                Action::ViewChanged => self.view += 1,
            }
        }
    }

    fn answer(&mut self, target: InstanceId, command: TargetCommand) {
        if let ("r1", TargetCommand::Pause(_), Some(mark)) =
            (target.as_str(), command, self.r1_at_pause)
        {
            self.targets["r1"] = Some((TargetRole::Replica, mark));
        }
        let Some(Some((role, received))) = self.targets.get(target.as_str()).copied() else {
            self.event(Event::Answered { target, command, status: None });
            return;
        };
        match command {
            TargetCommand::Pause(term) => {
                assert!(term > received.term.0, "a pause needs a term above the newest one");
                self.paused.push(target.to_string());
            }
            TargetCommand::Resume => self.paused.retain(|id| *id != target.as_str()),
            TargetCommand::Status => {}
        }
        let status = Some(TargetStatus { role, term: received.term.0, received });
        self.event(Event::Answered { target, command, status });
    }

    fn call(&mut self, target: &InstanceId, token: u64) {
        self.calls.push((target.to_string(), token));
        assert!(!self.paused.contains(&target.to_string()), "a paused target is promoted");
        if self.targets.get(target.as_str()).is_none_or(Option::is_none) {
            self.event(Event::Called { token, outcome: PromotionOutcome::Refused });
            return;
        }
        if self.carries_out {
            for state in self.targets.values_mut().flatten() {
                state.0 = TargetRole::Replica;
            }
            let promoted = self.targets.get_mut(target.as_str()).and_then(Option::as_mut);
            promoted.expect("the promoted target runs").0 = TargetRole::Primary;
        }
        let outcome =
            if self.carries_out { PromotionOutcome::Accepted } else { PromotionOutcome::Unknown };
        self.event(Event::Called { token, outcome });
    }

    fn promoted(&self) -> Vec<&str> {
        self.calls.iter().map(|(target, _)| target.as_str()).collect()
    }
}

/// Guards against a planned change that loses commits which only the other replica
/// received: it is paused before the call, and the candidate holds what it held.
#[test]
fn planned_change_pauses_the_other_replica() {
    let mut bench = Bench::new();
    bench.targets["r2"] = Some((TargetRole::Replica, Mark::new(3, 90)));
    bench.announce(true);
    bench.run(1_000);
    assert_eq!(bench.promoted(), ["r1"]);
    assert!(bench.paused.is_empty(), "paused replicas are resumed at the end");
    assert_eq!(
        bench.failover.primary(&service(), &bench.unfinished),
        Some((Some(&"r1".into()), false))
    );
}

/// Guards against the promotion of a replica that lacks an acknowledged commit.
#[test]
fn replica_with_the_highest_position_is_promoted() {
    let mut bench = Bench::new();
    bench.targets["p"] = None;
    bench.targets["r1"] = Some((TargetRole::Replica, Mark::new(3, 99)));
    bench.failing = Some(Millis(800));
    bench.run(1_000);
    assert_eq!(bench.promoted(), ["r2"]);
}

/// Guards against a promotion while the replica that acknowledged the last commit
/// cannot be asked.
#[test]
fn change_waits_for_a_silent_replica_that_may_hold_more() {
    let mut bench = Bench::new();
    bench.targets["p"] = None;
    bench.targets["r2"] = None;
    bench.acknowledged = Mark::new(3, 101);
    bench.failing = Some(Millis(800));
    bench.run(4_000);
    assert!(bench.calls.is_empty());
    bench.targets["r2"] = Some((TargetRole::Replica, Mark::new(3, 101)));
    bench.run(4_000);
    assert_eq!(bench.promoted(), ["r2"]);
}

/// A silent replica does not block the change if the hosts' reports prove that the
/// candidate holds all acknowledged commits.
#[test]
fn change_goes_on_without_a_silent_replica_that_cannot_hold_more() {
    let mut bench = Bench::new();
    bench.targets["p"] = None;
    bench.targets["r2"] = None;
    bench.failing = Some(Millis(800));
    bench.run(2_000);
    assert_eq!(bench.promoted(), ["r1"]);
}

/// Guards against stale reads at the old primary: no call before every host has
/// confirmed that it no longer relies on it.
#[test]
fn no_call_before_hosts_confirm_the_view() {
    let mut bench = Bench::new();
    bench.confirms_view = false;
    bench.announce(true);
    bench.run(2_000);
    assert!(bench.calls.is_empty());
    bench.confirms_view = true;
    bench.run(500);
    assert_eq!(bench.calls.len(), 1);
}

/// Guards against a late call that undoes a newer one: numbers only rise, also over
/// leaders.
#[test]
fn numbers_of_calls_rise() {
    let mut bench = Bench::new();
    bench.carries_out = false;
    bench.announce(true);
    bench.run(4_000);
    let first: Vec<u64> = bench.calls.iter().map(|(_, token)| *token).collect();
    assert!(first.len() > 1 && first.is_sorted_by(|a, b| a < b));
    let mut next = Bench::new();
    next.term = bench.term + 1;
    next.announce(true);
    next.run(1_000);
    assert!(next.calls[0].1 > first[first.len() - 1]);
}

/// Guards against a call of an earlier leader that is carried out when nobody expects
/// it: the next leader calls for the primary that serves, with a higher number.
#[test]
fn unfinished_promotion_is_settled() {
    let mut bench = Bench::new();
    bench.unfinished.insert(service(), "r2".into());
    bench.run(1_000);
    assert_eq!(bench.promoted(), ["p"]);
    assert!(bench.unfinished.is_empty());
}

/// Guards against a change for a primary that only a few hosts cannot reach for a
/// moment.
#[test]
fn short_failures_change_nothing() {
    let mut bench = Bench::new();
    bench.failing = Some(Millis(300));
    bench.run(3_000);
    assert!(bench.calls.is_empty());
}

/// Guards against an old announcement of a primary that was replaced: callers were sent
/// back to it and read old data (soak, seed 1). The targets are asked, and hosts do not
/// rely on the primary until they have answered.
#[test]
fn late_announcement_of_an_old_primary_changes_nothing() {
    let mut bench = Bench::new();
    bench.run(1_000);
    assert!(!bench.failover.claimed(&service(), &"r1".into()));
    assert_eq!(bench.failover.primary(&service(), &bench.unfinished).unwrap().0, Some(&"p".into()));
    let view = bench.view;
    bench.run(50);
    assert!(bench.view > view, "hosts learn that the primary is in doubt");
    bench.run(500);
    assert!(bench.calls.is_empty());
    assert_eq!(
        bench.failover.primary(&service(), &bench.unfinished),
        Some((Some(&"p".into()), false))
    );
}

/// A target that really leads is found by its own answer.
#[test]
fn new_primary_is_found_by_its_status() {
    let mut bench = Bench::new();
    bench.run(1_000);
    bench.targets["p"] = Some((TargetRole::Replica, Mark::new(4, 100)));
    bench.targets["r1"] = Some((TargetRole::Primary, Mark::new(4, 100)));
    bench.failover.claimed(&service(), &"r1".into());
    bench.run(500);
    assert!(bench.calls.is_empty());
    assert_eq!(
        bench.failover.primary(&service(), &bench.unfinished),
        Some((Some(&"r1".into()), false))
    );
}

/// Guards against hosts that rely on a primary while a promotion of an earlier leader
/// may be carried out.
#[test]
fn unfinished_promotion_leaves_the_primary_in_doubt() {
    let mut bench = Bench::new();
    bench.unfinished.insert(service(), "r2".into());
    assert!(bench.failover.primary(&service(), &bench.unfinished).unwrap().1);
}

/// Guards against the promotion of a replica that control reaches and no entry host
/// does (incident inc-a0a2).
#[test]
fn replica_that_no_host_reaches_is_not_promoted() {
    let mut bench = Bench::new();
    bench.failing = Some(Millis(800));
    bench.unreachable = vec!["r2"];
    bench.run(1_000);
    assert_eq!(bench.promoted(), ["r1"]);
    let mut bench = Bench::new();
    bench.failing = Some(Millis(800));
    bench.unreachable = vec!["r1", "r2"];
    bench.run(3_000);
    assert!(bench.calls.is_empty() && bench.paused.is_empty());
}

/// Guards against a lost commit: while some host still gets acknowledgements of the old
/// primary, a replica that does not answer may hold more than the reports tell (day
/// cut-targets on scb-pomelopin, seed 773904579005).
#[test]
fn change_waits_for_a_silent_replica_while_the_primary_acknowledges() {
    let mut bench = Bench::new();
    bench.failing = Some(Millis(800));
    bench.answered_host = Some("h1");
    bench.targets["r2"] = None;
    bench.run(3_000);
    assert!(bench.calls.is_empty());
    bench.targets["r2"] = Some((TargetRole::Replica, Mark::new(3, 100)));
    bench.run(3_000);
    assert_eq!(bench.calls.len(), 1);
}

/// Guards against the promotion of a replica that was paused while another one was the
/// candidate: the primary went on to acknowledge commits that a target which had just
/// joined received (kcrc-pool scale-1, 44 commits lost).
#[test]
fn candidate_that_was_paused_is_resumed_before_the_call() {
    let mut bench = Bench::new();
    bench.r1_at_pause = Some(Mark::new(3, 101));
    bench.announce(true);
    bench.run(2_000);
    assert_eq!(bench.promoted(), ["r1"]);
}

/// Guards against a target that joins during a change and acknowledges commits that the
/// candidate lacks: it is paused before the call.
#[test]
fn target_that_joins_during_a_change_is_paused() {
    let mut bench = Bench::new();
    bench.confirms_view = false;
    bench.announce(true);
    bench.run(300);
    bench.targets.insert("r3", Some((TargetRole::Replica, Mark::new(3, 100))));
    bench.announce(true);
    bench.run(300);
    assert!(bench.paused.contains(&"r3".to_owned()));
    bench.confirms_view = true;
    bench.run(500);
    assert_eq!(bench.calls.len(), 1);
}

/// Guards against the replacement of a primary that is merely between two announcements,
/// on a deployment whose targets announce themselves every five seconds.
#[test]
fn silence_is_counted_in_announcements() {
    let mut bench = Bench::new();
    bench.registry = Registry::new(Millis(5_000));
    bench.announce(false);
    bench.hosts = Hosts::new(Millis(0));
    let until = bench.now + Millis(14_000);
    while bench.now < until {
        bench.now += Millis(STEP);
        let cx = Cx {
            now: bench.now,
            term: bench.term,
            since: Millis(0),
            registry: &bench.registry,
            hosts: &bench.hosts,
            view: ViewRevision { term: bench.term, number: bench.view },
        };
        let actions = bench.failover.tick(&cx, [service()].into_iter(), &bench.unfinished);
        assert_eq!(actions, [], "{} ms after the announcement", bench.now.0 - 10_000);
    }
}

/// Guards against a change that takes itself back: calls got no answer for five seconds,
/// the last one was carried out, and the leader called for the draining primary again
/// (kcrc-pool, late-promotions.toml --vary --seed 526224999460).
#[test]
fn unanswered_calls_are_repeated_for_the_same_candidate() {
    let mut bench = Bench::new();
    bench.carries_out = false;
    bench.announce(true);
    bench.run(9_000);
    assert!(bench.calls.len() >= 8, "{} calls in 9 s", bench.calls.len());
    assert!(!bench.promoted().contains(&"p"), "{:?}", bench.promoted());
    bench.carries_out = true;
    bench.run(3_000);
    let primary = bench.failover.primary(&service(), &bench.unfinished).unwrap();
    assert!(primary.0.is_some_and(|id| id.as_str() != "p") && !primary.1, "{primary:?}");
}

/// Guards against a change that waits for ever for a candidate that was lost.
#[test]
fn lost_candidate_is_replaced() {
    let mut bench = Bench::new();
    bench.carries_out = false;
    bench.announce(true);
    bench.run(1_000);
    let lost = bench.calls[0].0.clone();
    bench.targets[lost.as_str()] = None;
    bench.registry.remove(&lost.as_str().into());
    bench.run(1_000);
    bench.carries_out = true;
    bench.run(8_000);
    let primary = bench.failover.primary(&service(), &bench.unfinished).unwrap();
    assert!(primary.0.is_some_and(|id| id.as_str() != lost) && !primary.1, "{primary:?}");
}

/// Guards against a new leader that keeps a draining primary in command to settle the
/// promotion of an earlier one.
#[test]
fn unfinished_promotion_does_not_keep_a_draining_primary() {
    let mut bench = Bench::new();
    bench.announce(true);
    bench.unfinished.insert(service(), "r2".into());
    bench.run(2_000);
    assert!(!bench.calls.is_empty() && !bench.promoted().contains(&"p"), "{:?}", bench.calls);
    assert!(bench.unfinished.is_empty());
}
