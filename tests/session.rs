//! Session marks: table bounds, and the store and lookup rules under changes of the view.

use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    ids::{HostId, Incarnation, Mark, Service, SessionId},
    session::{
        home_set::{HomeSetHistory, PendingStore, SessionItem},
        marks::{MarkKey, MarkTable},
        state::{Lookup, LookupResult, MarkRequirement, SessionState},
    },
    settings::session::{LookupPolicy, SessionSettings},
    state::model::Host,
};
use quickcheck::{QuickCheck, TestResult};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

type Hosts = IndexMap<HostId, Host>;

fn host(id: &str, domain: &str) -> Host {
    Host {
        id: id.into(),
        incarnation: Incarnation(1),
        failure_domain: domain.into(),
        peer_addr: String::new(),
        bus_addr: String::new(),
        leaving: false,
    }
}

fn hosts(list: &[(&str, &str)]) -> Hosts {
    list.iter().map(|(id, domain)| ((*id).into(), host(id, domain))).collect()
}

fn key(session: &str) -> MarkKey {
    MarkKey { workspace: "w".into(), session: session.into(), service: "jobs".into() }
}

fn item(session: &str) -> SessionItem {
    SessionItem::new(&"w".into(), &session.into())
}

/// Two hosts, which are both home hosts of every session.
const PAIR: [(&str, &str); 2] = [("a", "nabeul"), ("b", "korba")];

fn history(me: &str, list: &[(&str, &str)]) -> HomeSetHistory {
    let mut history = HomeSetHistory::new(me.into(), SessionSettings::default());
    history.record(Millis(0), &hosts(list), false);
    history
}

/// Time at which a host that started at 0 has been a home host for longer than `settle`.
const SETTLED: Millis = Millis(10_000);

/// Guards against a delayed earlier mark that replaces a later one.
#[test]
fn raise_never_lowers_a_mark() {
    let history = history("a", &PAIR);
    let mut table = MarkTable::new(SessionSettings::default());
    for (position, expected) in [(5, 5), (3, 5), (9, 9)] {
        table.raise(SETTLED, &key("s"), Mark::new(1, position), &history);
        let known = table.lookup(SETTLED, &key("s"), &history);
        assert_eq!(known, Some(Mark::new(1, expected)));
    }
}

/// Guards against a lost mark that is taken for "no writes", or for an older mark that
/// arrives late.
#[test]
fn lost_marks_are_unknown() {
    let history = history("a", &PAIR);
    let settings = SessionSettings { capacity: 2, ..Default::default() };
    let mut table = MarkTable::new(settings.clone());
    assert_eq!(table.lookup(SETTLED, &key("s"), &history), None, "restarted");
    for session in ["s", "t", "u"] {
        table.raise(SETTLED, &key(session), Mark::new(1, 9), &history);
    }
    assert_eq!(table.len(), 2);
    assert_eq!(table.lookup(SETTLED, &key("s"), &history), None, "evicted");
    table.raise(SETTLED, &key("s"), Mark::new(1, 4), &history);
    assert_eq!(table.lookup(SETTLED, &key("s"), &history), None, "late mark after eviction");
    let later = SETTLED + settings.settle();
    table.raise(later, &key("s"), Mark::new(1, 10), &history);
    assert_eq!(table.lookup(later, &key("s"), &history), Some(Mark::new(1, 10)));
    assert_eq!(table.lookup(later + settings.idle_timeout, &key("s"), &history), None, "expired");
}

/// Guards against an answer from a host that left the home set, could miss later marks,
/// and returned to the set.
#[test]
fn mark_is_unknown_after_return_to_the_home_set() {
    let mut history = history("b", &PAIR);
    let mut table = MarkTable::new(SessionSettings::default());
    table.raise(SETTLED, &key("s"), Mark::new(1, 9), &history);
    let mut leaving = hosts(&PAIR);
    leaving[1].leaving = true;
    history.record(SETTLED, &leaving, true);
    history.record(SETTLED, &hosts(&PAIR), true);
    assert_eq!(table.lookup(SETTLED, &key("s"), &history), None);
}

/// Guards against a mark that is stored only at hosts that readers on an older view do
/// not ask, and against a store set computed from an incomplete history.
#[test]
fn marks_are_stored_at_replaced_home_sets_too() {
    let mut history = history("a", &PAIR);
    assert!(history.store_set(Millis(2_199), &item("s")).is_err());
    let mut grown = hosts(&PAIR);
    for number in 0..20 {
        grown.insert(format!("n{number}").into(), host(&format!("n{number}"), "isando"));
    }
    history.record(Millis(9_000), &grown, true);
    let during = history.store_set(Millis(11_199), &item("s"));
    let after = history.store_set(Millis(11_200), &item("s"));
    let has = |set: &Result<indexmap::IndexSet<HostId>, _>, id: &str| {
        set.as_ref().is_ok_and(|set| set.contains(&HostId::from(id)))
    };
    assert!(has(&during, "a") && has(&during, "b"));
    assert!(!(has(&after, "a") && has(&after, "b")));
    history.record(Millis(20_000), &grown, false);
    assert!(history.store_set(Millis(20_001), &item("s")).is_err(), "snapshot hides changes");
}

/// Guards against a read that skips a needed lookup, and against lookups for sessions
/// whose writes are all known locally.
#[test]
fn session_state_requires_lookups_only_when_needed() {
    let service = Service::from("jobs");
    let mark = Mark::new(1, 4);
    let mut local = SessionState::with_generated_id("s".into(), LookupPolicy::EachRead);
    assert_eq!(local.requirement(&service), MarkRequirement::Known(None));
    local.raise(&service, mark);
    assert_eq!(local.requirement(&service), MarkRequirement::Known(Some(mark)));
    assert_eq!(local.share(), [(service.clone(), mark)]);
    assert_eq!(local.requirement(&service), MarkRequirement::Lookup);

    let mut once = SessionState::with_caller_id("s".into(), LookupPolicy::OncePerConnection);
    once.raise(&service, Mark::new(1, 9));
    assert_eq!(once.requirement(&service), MarkRequirement::Lookup);
    assert_eq!(once.record_complete(&service, mark), Mark::new(1, 9));
    assert_eq!(once.requirement(&service), MarkRequirement::Known(Some(Mark::new(1, 9))));
}

/// Guards against a lookup that ends as unknown while a home host may still answer.
#[test]
fn lookup_needs_one_known_answer() {
    let (a, b) = (HostId::from("a"), HostId::from("b"));
    let mark = Mark::new(1, 4);
    let (mut lookup, result) = Lookup::new(vec![a.clone(), b.clone()]);
    assert_eq!(result, LookupResult::Pending);
    assert_eq!(lookup.answer(&a, None), LookupResult::Pending);
    assert_eq!(lookup.answer(&a, None), LookupResult::Pending, "repeated answer");
    assert_eq!(lookup.answer(&b, Some(mark)), LookupResult::Known(mark));
    assert_eq!(Lookup::new(Vec::new()).1, LookupResult::Unknown);
    let (mut lookup, _) = Lookup::new(vec![a.clone(), b.clone()]);
    lookup.answer(&b, None);
    assert_eq!(lookup.answer(&a, None), LookupResult::Unknown);
}

/// Process of a simulated entry host.
struct Process {
    history: HomeSetHistory,
    table: MarkTable,
    /// Views that it has not received yet, with the time of their arrival.
    pending_views: Vec<(u64, Hosts)>,
    started: u64,
}

/// Simulated hosts that receive view changes at different times, with crashes, restarts
/// and marks that arrive late. Times are in milliseconds.
struct Simulation {
    rng: SmallRng,
    now: u64,
    /// Hosts of the latest view.
    committed: Hosts,
    live: IndexMap<HostId, Process>,
    /// Crashed hosts, with the time at which the view removes them.
    crashed: IndexMap<HostId, u64>,
    /// Marks in transit, with the time of their arrival.
    delayed_marks: Vec<(u64, HostId, Mark)>,
    /// Mark of the last acknowledged write.
    acknowledged: Mark,
    /// Number of lookups that returned a mark.
    known_answers: u32,
}

/// Longest time after which a host receives a view: its lease.
const LEASE_MS: u64 = 2_000;

impl Simulation {
    fn new(seed: u64) -> Self {
        let names = ["a", "b", "c", "d", "e", "f"];
        let domains = ["nabeul", "korba", "hammamet"];
        let pairs: Vec<(&str, &str)> = names.into_iter().zip(domains.into_iter().cycle()).collect();
        let committed = hosts(&pairs);
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            live: IndexMap::new(),
            crashed: IndexMap::new(),
            delayed_marks: Vec::new(),
            acknowledged: Mark::default(),
            known_answers: 0,
            committed,
        };
        for name in names {
            simulation.start(name.into());
        }
        simulation
    }

    fn start(&mut self, id: HostId) {
        let settings = SessionSettings { capacity: 3, ..Default::default() };
        let mut history = HomeSetHistory::new(id.clone(), settings.clone());
        history.record(Millis(self.now), &self.committed, false);
        let table = MarkTable::new(settings);
        let process = Process { history, table, pending_views: Vec::new(), started: self.now };
        self.live.insert(id, process);
    }

    /// Commits a new view and schedules its arrival at each live host.
    fn commit(&mut self, change: impl FnOnce(&mut Hosts)) {
        change(&mut self.committed);
        for process in self.live.values_mut() {
            let previous_at = process.pending_views.last().map_or(0, |(at, _)| *at);
            let at = (self.now + self.rng.random_range(0..LEASE_MS)).max(previous_at);
            process.pending_views.push((at, self.committed.clone()));
        }
    }

    fn advance(&mut self, span: u64) {
        self.now += span;
        let now = self.now;
        let removed: Vec<HostId> =
            self.crashed.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for id in removed {
            self.crashed.swap_remove(&id);
            self.commit(|hosts| {
                hosts.swap_remove(&id);
            });
        }
        for process in self.live.values_mut() {
            process.pending_views.retain(|(at, hosts)| {
                if *at <= now {
                    process.history.record(Millis(now), hosts, true);
                }
                *at > now
            });
        }
        let (due, delayed) = self.delayed_marks.drain(..).partition(|(at, ..)| *at <= now);
        self.delayed_marks = delayed;
        let due: Vec<(u64, HostId, Mark)> = due;
        for (_, id, mark) in due {
            self.deliver(&id, mark);
        }
    }

    /// Delivers a mark to a host; false if it is not live.
    fn deliver(&mut self, id: &HostId, mark: Mark) -> bool {
        let Some(process) = self.live.get_mut(id) else { return false };
        process.table.raise(Millis(self.now), &key("s"), mark, &process.history);
        true
    }

    /// Writes through a random entry host. A write is not acknowledged if its mark cannot
    /// be stored before the deadline.
    fn write(&mut self) {
        let mark = Mark::new(1, self.acknowledged.position.0 + 1);
        let ids: Vec<HostId> = self.live.keys().cloned().collect();
        let Some(writer) = ids.choose(&mut self.rng).cloned() else { return };
        let mut pending = PendingStore::default();
        let deadline = self.now + 5_000;
        while self.now < deadline {
            let process = &self.live[&writer];
            match pending.missing(Millis(self.now), &process.history, &item("s")) {
                Ok(missing) if missing.is_empty() => {
                    self.acknowledged = mark;
                    return;
                }
                Ok(missing) => self.send(&missing, mark, &mut pending),
                Err(_) => {}
            }
            self.advance(50);
        }
    }

    fn send(&mut self, missing: &[HostId], mark: Mark, pending: &mut PendingStore) {
        for id in missing {
            if self.deliver(id, mark) {
                pending.confirm(id.clone());
            }
            if self.rng.random_bool(0.3) {
                self.delayed_marks.push((
                    self.now + self.rng.random_range(0..4_900),
                    id.clone(),
                    mark,
                ));
            }
        }
    }

    /// Whether each known answer that a reader may use covers the last acknowledged write.
    fn read_is_current(&mut self) -> bool {
        let ids: Vec<HostId> = self.live.keys().cloned().collect();
        let Some(reader) = ids.choose(&mut self.rng) else { return true };
        for id in self.live[reader].history.home_set(&item("s")) {
            let Some(process) = self.live.get_mut(&id) else { continue };
            let known = process.table.lookup(Millis(self.now), &key("s"), &process.history);
            self.known_answers += u32::from(known.is_some());
            if known.is_some_and(|mark| mark < self.acknowledged) {
                return false;
            }
        }
        true
    }

    fn inject_fault(&mut self) {
        let ids: Vec<HostId> = self.live.keys().cloned().collect();
        let Some(id) = ids.choose(&mut self.rng).cloned() else { return };
        match self.rng.random_range(0..4) {
            0 if self.live.len() > 3 && self.now > self.live[&id].started + 3_000 => {
                self.live.swap_remove(&id);
                self.crashed.insert(id, self.now + 2_200);
            }
            1 if self.committed.contains_key(&id) => {
                let leaving = !self.committed[&id].leaving;
                self.commit(|hosts| hosts[&id].leaving = leaving);
            }
            2 => self.restart(),
            _ => {
                for number in 0..self.rng.random_range(0..4) {
                    self.deliver(&id, Mark::default());
                    let other = key(&format!("other{number}"));
                    let process = &mut self.live[&id];
                    process.table.raise(
                        Millis(self.now),
                        &other,
                        Mark::new(1, 1),
                        &process.history,
                    );
                }
            }
        }
    }

    /// Starts a host that crashed and was removed from the view.
    fn restart(&mut self) {
        let absent = ["a", "b", "c", "d", "e", "f"]
            .into_iter()
            .map(HostId::from)
            .find(|id| !self.live.contains_key(id) && !self.crashed.contains_key(id));
        if let Some(id) = absent {
            let restarted = host(id.as_str(), "korba");
            self.commit(|hosts| {
                hosts.insert(id.clone(), restarted);
            });
            self.start(id);
        }
    }
}

/// Guards against a stale read after a session moved between entry hosts while home hosts
/// changed, crashed, restarted, evicted marks or received marks late.
#[test]
fn known_answers_include_the_last_acknowledged_write() {
    fn property(seed: u64) -> TestResult {
        let mut simulation = Simulation::new(seed);
        for _ in 0..120 {
            let span = simulation.rng.random_range(1..1_200);
            simulation.advance(span);
            match simulation.rng.random_range(0..10) {
                0 => simulation.inject_fault(),
                1..6 => simulation.write(),
                _ => {}
            }
            if !simulation.read_is_current() {
                return TestResult::error(format!("stale answer at {} ms", simulation.now));
            }
        }
        TestResult::from_bool(
            simulation.acknowledged > Mark::default() && simulation.known_answers > 0,
        )
    }
    let rng = quickcheck::Gen::from_size_and_seed(100, 5);
    QuickCheck::new().rng(rng).tests(400).quickcheck(property as fn(u64) -> TestResult);
}

/// Guards against access to the marks of another workspace by use of the same session id.
#[test]
fn items_of_different_workspaces_differ() {
    let session = SessionId::from("s");
    assert_ne!(SessionItem::new(&"a".into(), &session), SessionItem::new(&"b".into(), &session));
}
