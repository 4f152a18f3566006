//! Return of restored failure domains, and the limit on statements to cold targets.

mod gateway_fixture;

use std::{cell::Cell, rc::Rc};

use eyre::Result;
use gateway_fixture::{config, configure, target};
use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        config::{FleetConfig, FleetService, FleetWorkspace},
        failover::TargetStatus,
        messages::{Announcement, EntryHost, FleetView, TargetRole, ViewRevision},
    },
    gateway::{
        cx::{Cx, GatewaySettings},
        evacuation::{EvacuatedDomains, ViewReceipt},
        executor::execute,
        health::HealthTracker,
        job::{Job, JobError, JobKind, RejectReason},
        ports::{TargetConnection, TargetFailure, TargetRequest, Targets},
        read_selection::ReadSelection,
        readmission::{ColdLimit, ColdStatement, ColdTargets, ReadRestrictions, SessionHash},
        statement::{Answer, Request, Statement, TransactionState},
    },
    ids::{HostId, InstanceId, Mark, Workspace},
};

/// Share of 10,000 sessions that read in a domain after `restored_for`, in percent.
fn readmitted_percent(restored_for: u64) -> usize {
    let hosts = ["h1", "h2", "h3", "h4"].map(HostId::from);
    let sessions = hosts.iter().flat_map(|host| (0..2_500).map(|it| SessionHash::new(host, it)));
    sessions.filter(|it| it.is_readmitted(Millis(restored_for))).count() / 100
}

/// Guards against all reads that return to idle targets at once, and against sessions that go
/// back and forth.
#[test]
fn reads_return_to_a_restored_domain_gradually() {
    assert_eq!(readmitted_percent(0), 0);
    for (restored_for, share) in [(1_000, 10), (5_000, 50), (9_000, 90)] {
        let percent = readmitted_percent(restored_for);
        assert!(percent.abs_diff(share) <= 2, "{percent} % after {restored_for} ms");
    }
    assert_eq!(readmitted_percent(10_000), 100);
    for number in 0..100 {
        let hash = SessionHash::new(&"h1".into(), number);
        let returned: Vec<bool> = (0..100).map(|it| hash.is_readmitted(Millis(it * 100))).collect();
        assert!(returned.is_sorted(), "session {number} leaves again");
    }
}

/// Guards against a restored domain that is avoided although nothing else can serve the read, and
/// against one that is preferred to a primary in a domain that is evacuated.
#[test]
fn restored_domain_is_used_where_nothing_else_is() {
    let in_domain = |id: &str, domain: &str| {
        Rc::new(Announcement { domain: domain.into(), ..target(id, TargetRole::Replica) })
    };
    let targets = [in_domain("p", "b"), in_domain("r1", "a"), in_domain("r2", "c")];
    let mut domains = EvacuatedDomains::default();
    let mut now = 0;
    for evacuated in [&[][..], &["a".into()][..], &["b".into()][..]] {
        now += 1_000;
        let contact = Millis(now);
        let receipt = ViewReceipt { now: contact, last_contact: contact, max_delay: contact };
        domains.apply(receipt, evacuated);
    }
    let select = |tried: &[InstanceId]| {
        let selection = ReadSelection {
            now: Millis(now),
            domain: &"a".into(),
            health: &HealthTracker::default(),
            primary: Some(&"p".into()),
            required: Some(Mark::new(1, 1)),
            tried,
            restrictions: ReadRestrictions {
                domains: &domains,
                cold: &ColdTargets::default(),
                session: SessionHash::default(),
            },
        };
        selection.select(&targets).map(|it| it.id.to_string())
    };
    assert_eq!(select(&[]).as_deref(), Some("r2"));
    assert_eq!(select(&["r2".into()]).as_deref(), Some("r1"));
    assert_eq!(select(&["r2".into(), "r1".into()]).as_deref(), Some("p"));
}

/// Guards against reads that go on asking for a cold target at its limit: each is refused there
/// before it goes elsewhere.
#[test]
fn cold_target_at_its_limit_gets_no_reads_for_a_while() {
    let mut cold = ColdTargets::default();
    let (slow, other) = (target("slow", TargetRole::Replica), target("other", TargetRole::Replica));
    cold.hold_back(Millis(1_000), &slow.id, Millis(20));
    let domains = EvacuatedDomains::default();
    let restrictions =
        ReadRestrictions { domains: &domains, cold: &cold, session: SessionHash::default() };
    let preference =
        |now, target: &Announcement| restrictions.preference(Millis(now), target, false);
    assert!(preference(1_100, &slow) > preference(1_100, &other));
    assert_eq!(preference(2_000, &slow), preference(2_000, &other));
}

fn service(rate_millis: u64) -> FleetService {
    FleetService {
        max_connections: 16,
        cold_time: Millis(20_000),
        max_cold_rate_millis: Some(rate_millis),
        ..FleetService::default()
    }
}

fn revision(number: u64) -> ViewRevision {
    ViewRevision { term: 1, number }
}

/// One entry host as it acts on a cold target: its view and lease are set by the test.
#[derive(Default)]
struct ColdHost {
    cold: ColdTargets,
    owns: bool,
    lease_until: u64,
}

impl ColdHost {
    fn apply(&mut self, now: u64, number: u64, owns: bool) {
        let targets = [target("t", TargetRole::Replica)];
        self.cold.apply(Millis(now), revision(number), &targets, |_| owns);
        self.owns = owns;
    }

    fn takes(&mut self, now: u64, limit: ColdLimit) -> bool {
        let is_owner = self.owns && now < self.lease_until;
        let statement = ColdStatement { now: Millis(now), target: &"t".into(), limit, is_owner };
        self.cold.take(statement).is_ok()
    }
}

/// Largest number of `sent` within one second.
fn most_per_second(sent: &[u64]) -> usize {
    let in_second =
        |from: &u64| sent.iter().filter(|at| (*from..*from + 1_000).contains(at)).count();
    sent.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against more statements to a cold target than its rate, the overage and the slack allow in
/// any second, and against a limit that leaves most of them unused.
#[test]
fn cold_target_gets_at_most_its_rate() {
    for (rate, overage, slack, allowed) in
        [(20, 1.0, 0, 20), (20, 1.5, 0, 30), (20, 1.0, 4, 24), (2, 1.0, 0, 2), (1, 1.0, 0, 1)]
    {
        let limit = ColdLimit::new(&service(rate * 1_000), overage, slack).expect("limited");
        let mut host = ColdHost { lease_until: u64::MAX, ..ColdHost::default() };
        host.apply(0, 1, true);
        assert!(!host.takes(10_000, limit), "the bucket starts empty");
        let sent: Vec<u64> = (10_000..20_000).filter(|now| host.takes(*now, limit)).collect();
        let most = most_per_second(&sent);
        assert!(most <= allowed, "{most} at {rate}, {overage}, {slack}");
        assert!(sent.len() >= allowed * 4, "{} at {rate}, {overage}, {slack}", sent.len());
    }
    let unlimited = FleetService::default();
    assert_eq!(ColdLimit::new(&unlimited, 1.0, 0), None);
}

/// Guards against two hosts that both send as the owner of a cold target: the former owner has not
/// received the view that names the new one, and its lease goes on for a while.
#[test]
fn hosts_that_disagree_on_the_owner_do_not_exceed_the_rate() {
    let limit = ColdLimit::new(&service(20_000), 1.0, 0).expect("limited");
    let mut former = ColdHost { lease_until: 11_500, ..ColdHost::default() };
    let mut next = ColdHost { lease_until: u64::MAX, ..ColdHost::default() };
    former.apply(0, 1, true);
    next.apply(0, 1, false);
    let mut sent = [Vec::new(), Vec::new()];
    for now in 5_000..20_000 {
        if now == 10_000 {
            next.apply(now, 2, true);
        }
        for (host, sent) in [&mut former, &mut next].into_iter().zip(&mut sent) {
            if host.takes(now, limit) {
                sent.push(now);
            }
        }
    }
    let [by_former, by_next] = &sent;
    assert!(by_former.last() < by_next.first(), "{:?} {:?}", by_former.last(), by_next.first());
    assert!(by_next.first() < Some(&12_000), "the new owner begins once the lease has ended");
    assert!(most_per_second(&[by_former.clone(), by_next.clone()].concat()) <= 20);
}

/// Guards against an owner that missed the view which named another one, and goes on beside it when
/// the next view names it again.
#[test]
fn owner_that_missed_a_view_waits() {
    let limit = ColdLimit::new(&service(20_000), 1.0, 0).expect("limited");
    let mut host = ColdHost { lease_until: u64::MAX, ..ColdHost::default() };
    host.apply(0, 1, true);
    host.takes(5_000, limit);
    assert!(host.takes(6_000, limit));
    host.apply(6_500, 2, true);
    assert!(host.takes(6_600, limit), "no view was missed");
    host.apply(7_000, 4, true);
    assert!(!(7_000..8_700).any(|now| host.takes(now, limit)));
    assert!((8_700..9_000).any(|now| host.takes(now, limit)));
}

/// Guards against a target that stays cold because views repeat an old announcement, and against
/// one that is not cold after a restart or the return of its domain.
#[test]
fn target_is_cold_for_its_time() {
    let mut cold = ColdTargets::default();
    let mut warming = target("t", TargetRole::Replica);
    warming.warmup_remaining = Millis(4_000);
    let apply = |cold: &mut ColdTargets, now, number, target: &Announcement| {
        cold.apply(Millis(now), revision(number), std::slice::from_ref(target), |_| true);
    };
    apply(&mut cold, 10_000, 1, &warming);
    apply(&mut cold, 13_000, 2, &warming);
    let is_cold =
        |cold: &ColdTargets, now| cold.is_cold(Millis(now), &"t".into(), Millis(20_000), None);
    assert!(is_cold(&cold, 13_900));
    assert!(!is_cold(&cold, 14_000), "the second view repeats the announcement");
    warming.started_at_ms += 1;
    apply(&mut cold, 15_000, 3, &warming);
    assert!(is_cold(&cold, 18_900), "another process");
    let restored = |span| cold.is_cold(Millis(60_000), &"t".into(), Millis(20_000), Some(span));
    assert!(restored(Millis(19_000)));
    assert!(!restored(Millis(20_000)));
}

/// Targets that count the statements sent to them.
#[derive(Clone, Default)]
struct CountingTargets(Rc<Cell<usize>>);

struct CountingConnection(Rc<Cell<usize>>);

impl TargetConnection for CountingConnection {
    async fn send(&mut self, requests: &[TargetRequest<'_>]) -> Result<(), TargetFailure> {
        self.0.set(self.0.get() + requests.len());
        Ok(())
    }

    async fn receive(&mut self) -> Result<Answer, TargetFailure> {
        Ok(Answer::local(TransactionState::Open))
    }

    fn status(_: &Answer) -> Option<TargetStatus> {
        None
    }
}

impl Targets for CountingTargets {
    type Connection = CountingConnection;

    async fn open(
        &self,
        _: &Announcement,
        _: Option<&Workspace>,
    ) -> Result<(CountingConnection, Option<Mark>), TargetFailure> {
        Ok((CountingConnection(self.0.clone()), None))
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(FleetConfig::default())
    }
}

/// Host with a lease and the warming target `t`, whose owner is `owner`.
fn host(owner: &str) -> Cx<CountingTargets> {
    let cx = Cx::new(GatewaySettings::default(), CountingTargets::default());
    let base = config(400, FleetWorkspace { rate: 1_000, burst: 1_000 });
    let services = IndexMap::from([("ledger".into(), service(5_000))]);
    configure(&cx, FleetConfig { services, ..base }, 900);
    let host = EntryHost { id: owner.into(), addr: format!("{owner}:1"), domain: "local".into() };
    let warmup_remaining = Millis(30_000);
    cx.topology.borrow_mut().set_view(FleetView {
        revision: revision(1),
        hosts: vec![host],
        targets: vec![Announcement { warmup_remaining, ..target("t", TargetRole::Primary) }],
        ..FleetView::default()
    });
    cx.lease.borrow_mut().extend(cx.now(), Millis(60_000));
    cx.apply_domains();
    cx
}

fn job(kind: JobKind) -> Job {
    Job {
        target: "t".into(),
        workspace: None,
        variables: IndexMap::new(),
        priority: 0,
        max_wait: Millis(100),
        timeout: Millis(1_000),
        kind,
        urgency: None,
        then: None,
    }
}

fn is_refused(result: &Result<Answer, JobError>) -> bool {
    matches!(result, Err(JobError::Rejected(_, RejectReason::Busy)))
}

/// Guards against statements to a cold target over a host that is not its owner, by which the
/// rates of several hosts would add up.
#[tokio::test]
async fn only_the_owner_sends_to_a_cold_target() {
    let cx = host("another");
    let begin = job(JobKind::Begin { read_only: false, after: None });
    assert!(is_refused(&execute(&cx, &mut None, &begin).await));
    assert_eq!(cx.targets.0.get(), 0);
}

/// Guards against transactions that are rolled back for want of a token: their statements wait for
/// it, while what begins is refused and has not run.
#[tokio::test]
async fn statements_of_open_transactions_wait_at_a_cold_target() {
    let cx = host("entry");
    let begin = job(JobKind::Begin { read_only: false, after: None });
    let mut held = None;
    assert!(is_refused(&execute(&cx, &mut held, &begin).await), "a former owner may still act");
    tokio::time::sleep(std::time::Duration::from_millis(2_400)).await;
    assert!(execute(&cx, &mut held, &begin).await.is_ok());
    assert!(is_refused(&execute(&cx, &mut None, &begin).await));
    assert_eq!(cx.targets.0.get(), 1);
    let request = Request { id: "1".into(), text: String::new(), statement: Statement::Write };
    let write =
        job(JobKind::Statement { request, prepared: None, after: None, in_transaction: true });
    let began = cx.now();
    assert!(execute(&cx, &mut held, &write).await.is_ok());
    assert!(cx.now().since(began) >= Millis(100), "the statement has waited");
    assert_eq!(cx.targets.0.get(), 2);
}
