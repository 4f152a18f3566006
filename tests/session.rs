//! Session marks: table bounds, and the store and lookup rules under view changes.

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

const PAIR: [(&str, &str); 2] = [("a", "nabeul"), ("b", "korba")];

fn history(me: &str, list: &[(&str, &str)]) -> HomeSetHistory {
    let mut history = HomeSetHistory::new(me.into(), SessionSettings::default());
    history.record(Millis(0), &hosts(list), false);
    history
}

/// Time at which a host that started at 0 counts as settled.
const SETTLED: Millis = Millis(10_000);

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

/// Guards against "unknown" being taken for "no writes" or for an older mark.
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
    assert_eq!(table.lookup(later + settings.idle, &key("s"), &history), None, "expired");
}

/// Guards against trust in marks of a host that was not a home host meanwhile.
#[test]
fn home_host_that_returns_to_the_set_is_unknown() {
    let mut history = history("b", &PAIR);
    let mut table = MarkTable::new(SessionSettings::default());
    table.raise(SETTLED, &key("s"), Mark::new(1, 9), &history);
    let mut leaving = hosts(&PAIR);
    leaving[1].leaving = true;
    history.record(SETTLED, &leaving, true);
    history.record(SETTLED, &hosts(&PAIR), true);
    assert_eq!(table.lookup(SETTLED, &key("s"), &history), None);
}

/// Guards against a write that is stored only where readers on an older view do
/// not ask, and against stores without the history to know them.
#[test]
fn writes_are_stored_at_replaced_home_sets_too() {
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

#[test]
fn session_state_asks_home_hosts_only_when_it_must() {
    let service = Service::from("jobs");
    let mark = Mark::new(1, 4);
    let mut own = SessionState::with_generated_id("s".into(), LookupPolicy::EachRead);
    assert_eq!(own.requirement(&service), MarkRequirement::Known(None));
    own.raise(&service, mark);
    assert_eq!(own.requirement(&service), MarkRequirement::Known(Some(mark)));
    assert_eq!(own.share(), [(service.clone(), mark)]);
    assert_eq!(own.requirement(&service), MarkRequirement::Lookup);

    let mut once = SessionState::with_caller_id("s".into(), LookupPolicy::OncePerConnection);
    once.raise(&service, Mark::new(1, 9));
    assert_eq!(once.requirement(&service), MarkRequirement::Lookup);
    assert_eq!(once.record_complete(&service, mark), Mark::new(1, 9));
    assert_eq!(once.requirement(&service), MarkRequirement::Known(Some(Mark::new(1, 9))));
}

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

/// Process of an entry host.
struct Process {
    history: HomeSetHistory,
    table: MarkTable,
    /// When it learns of the views that it does not know yet.
    coming: Vec<(u64, Hosts)>,
    started: u64,
}

/// Hosts that learn of view changes at different times, with crashes, restarts
/// and marks that arrive late.
struct Simulation {
    rng: SmallRng,
    now: u64,
    committed: Hosts,
    live: IndexMap<HostId, Process>,
    /// Crashed hosts with the time when the view drops them.
    crashed: IndexMap<HostId, u64>,
    late: Vec<(u64, HostId, Mark)>,
    acknowledged: Mark,
    answers: u32,
}

/// Hosts learn of a view within their lease.
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
            late: Vec::new(),
            acknowledged: Mark::default(),
            answers: 0,
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
        let process = Process { history, table, coming: Vec::new(), started: self.now };
        self.live.insert(id, process);
    }

    fn commit(&mut self, change: impl FnOnce(&mut Hosts)) {
        change(&mut self.committed);
        for process in self.live.values_mut() {
            let known_after = process.coming.last().map_or(0, |(at, _)| *at);
            let at = (self.now + self.rng.random_range(0..LEASE_MS)).max(known_after);
            process.coming.push((at, self.committed.clone()));
        }
    }

    fn advance(&mut self, span: u64) {
        self.now += span;
        let now = self.now;
        let gone: Vec<HostId> =
            self.crashed.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.crashed.swap_remove(&id);
            self.commit(|hosts| {
                hosts.swap_remove(&id);
            });
        }
        for process in self.live.values_mut() {
            process.coming.retain(|(at, hosts)| {
                if *at <= now {
                    process.history.record(Millis(now), hosts, true);
                }
                *at > now
            });
        }
        let (due, late) = self.late.drain(..).partition(|(at, ..)| *at <= now);
        self.late = late;
        let due: Vec<(u64, HostId, Mark)> = due;
        for (_, id, mark) in due {
            self.put(&id, mark);
        }
    }

    fn put(&mut self, id: &HostId, mark: Mark) -> bool {
        let Some(process) = self.live.get_mut(id) else { return false };
        process.table.raise(Millis(self.now), &key("s"), mark, &process.history);
        true
    }

    /// Writes through a random entry; a write that cannot be stored in time is not
    /// acknowledged.
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
            if self.put(id, mark) {
                pending.confirm(id.clone());
            }
            if self.rng.random_bool(0.3) {
                self.late.push((self.now + self.rng.random_range(0..4_900), id.clone(), mark));
            }
        }
    }

    /// Every known answer that a reader may use must include the last write.
    fn read_is_current(&mut self) -> bool {
        let ids: Vec<HostId> = self.live.keys().cloned().collect();
        let Some(reader) = ids.choose(&mut self.rng) else { return true };
        for id in self.live[reader].history.home_set(&item("s")) {
            let Some(process) = self.live.get_mut(&id) else { continue };
            let known = process.table.lookup(Millis(self.now), &key("s"), &process.history);
            self.answers += u32::from(known.is_some());
            if known.is_some_and(|mark| mark < self.acknowledged) {
                return false;
            }
        }
        true
    }

    fn fault(&mut self) {
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
                    self.put(&id, Mark::default());
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

/// Guards against a stale read after a session moved between entries while home
/// hosts changed, crashed, restarted, evicted marks or received marks late.
#[test]
fn known_answers_include_the_last_acknowledged_write() {
    fn property(seed: u64) -> TestResult {
        let mut simulation = Simulation::new(seed);
        for _ in 0..120 {
            let span = simulation.rng.random_range(1..1_200);
            simulation.advance(span);
            match simulation.rng.random_range(0..10) {
                0 => simulation.fault(),
                1..6 => simulation.write(),
                _ => {}
            }
            if !simulation.read_is_current() {
                return TestResult::error(format!("stale answer at {} ms", simulation.now));
            }
        }
        TestResult::from_bool(simulation.acknowledged > Mark::default() && simulation.answers > 0)
    }
    let rng = quickcheck::Gen::from_size_and_seed(100, 5);
    QuickCheck::new().rng(rng).tests(400).quickcheck(property as fn(u64) -> TestResult);
}

/// The id of a session that is not shared must not be guessable as another's item.
#[test]
fn items_of_different_workspaces_differ() {
    let session = SessionId::from("s");
    assert_ne!(SessionItem::new(&"a".into(), &session), SessionItem::new(&"b".into(), &session));
}
