//! Evacuated failure domains and lost contact at an entry host.

mod gateway_fixture;

use std::{cell::RefCell, collections::VecDeque, rc::Rc, sync::Arc, time::Duration};

use eyre::Result;
use futures::{SinkExt, StreamExt};
use gateway_fixture::{config, configure, target};
use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        config::{Consistency, FleetConfig, FleetRoute, FleetWorkspace},
        failover::TargetStatus,
        link::{ConnectionId, Inbound, decode, encode, split_framed},
        messages::{
            Announcement, FleetView, Frame, HostUpdate, LimitUpdate, Primary, TargetRole,
            ViewRevision,
        },
    },
    gateway::{
        control_link::{self, ControlHosts},
        cx::{Cx, GatewaySettings},
        evacuation::{EvacuatedDomains, ViewReceipt, has_contact},
        executor::execute,
        health::HealthTracker,
        job::{Job, JobError, JobKind, RejectReason},
        peer_server,
        ports::{
            Caller, CallerMessage, StartupMessage, TargetConnection, TargetFailure, TargetRequest,
            Targets,
        },
        read_selection::ReadSelection,
        readmission::{ColdTargets, ReadRestrictions, SessionHash},
        runtime::serve,
        statement::{Answer, ErrorCode, Request, Statement, StatementError, TransactionState},
    },
    ids::{FailureDomain, Incarnation, InstanceId, Mark, Workspace},
};
use tokio::{net::TcpListener, sync::mpsc, task::LocalSet, time::sleep};

const DELAY: Millis = Millis(5_000);

fn receipt(now: u64, last_contact: u64) -> ViewReceipt {
    ViewReceipt { now: Millis(now), last_contact: Millis(last_contact), max_delay: DELAY }
}

fn domains(names: &[&str]) -> Vec<FailureDomain> {
    names.iter().map(|name| FailureDomain::from(*name)).collect()
}

/// Domains of a host that has had a view without an evacuation.
fn domains_of_running_host() -> EvacuatedDomains {
    let mut evacuated = EvacuatedDomains::default();
    evacuated.apply(receipt(0, 0), &[]);
    evacuated
}

/// Times, of those in `at`, at which the primaries of "a" get statements.
fn used_at(evacuated: &EvacuatedDomains, at: &[u64]) -> Vec<u64> {
    at.iter().copied().filter(|now| !evacuated.is_out_of_use(Millis(*now), &"a".into())).collect()
}

/// Guards against writes that are refused before control can have replaced the primary, and
/// against statements there later than control has promised.
#[test]
fn primary_is_used_until_a_second_before_the_promised_delay() {
    let mut evacuated = domains_of_running_host();
    evacuated.apply(receipt(20_000, 19_700), &domains(&["a"]));
    assert!(evacuated.contains(&"a".into()));
    assert_eq!(used_at(&evacuated, &[20_000, 23_999, 24_000, 60_000]), [20_000, 23_999]);
    evacuated.apply(receipt(22_000, 21_700), &domains(&["a", "b"]));
    assert_eq!(used_at(&evacuated, &[23_999, 24_000]), [23_999], "a later view changes nothing");
}

/// Guards against a host that was out of contact and counts the whole delay from its return:
/// control has acknowledged the evacuation because the host's older view was about to expire.
#[test]
fn host_that_returns_is_bound_by_the_age_of_its_older_view() {
    let mut evacuated = domains_of_running_host();
    evacuated.apply(receipt(25_000, 20_000), &domains(&["a"]));
    assert_eq!(used_at(&evacuated, &[25_999, 26_000]), [25_999]);
    let mut evacuated = domains_of_running_host();
    evacuated.apply(receipt(30_000, 20_000), &domains(&["a"]));
    assert_eq!(used_at(&evacuated, &[30_000]), [0; 0]);
}

/// Guards against a host that starts long after an evacuation and uses the domain for seconds.
#[test]
fn host_that_starts_uses_no_evacuated_domain() {
    let mut evacuated = EvacuatedDomains::default();
    evacuated.apply(receipt(100, 0), &domains(&["a"]));
    assert_eq!(used_at(&evacuated, &[100]), [0; 0]);
}

/// Guards against a second evacuation that is counted from the first one, or that a withdrawal
/// which arrives before it cancels.
#[test]
fn evacuation_after_a_withdrawal_counts_on_its_own() {
    let mut evacuated = domains_of_running_host();
    evacuated.apply(receipt(20_000, 19_700), &domains(&["a"]));
    evacuated.apply(receipt(20_100, 19_900), &[]);
    assert!(!evacuated.contains(&"a".into()));
    assert_eq!(evacuated.restored_for(Millis(20_150), &"a".into()), Some(Millis(50)));
    assert_eq!(used_at(&evacuated, &[24_000, 60_000]), [24_000, 60_000]);
    evacuated.apply(receipt(20_200, 19_900), &domains(&["a"]));
    assert_eq!(evacuated.restored_for(Millis(20_250), &"a".into()), None);
    assert_eq!(used_at(&evacuated, &[24_199, 24_200]), [24_199]);
}

/// Guards against a host without contact that goes on for ever, and against a deployment without
/// the setting that stops.
#[test]
fn contact_is_required_with_the_setting_only() {
    assert!(has_contact(Millis(15_999), Millis(10_000), Some(DELAY)));
    assert!(!has_contact(Millis(16_000), Millis(10_000), Some(DELAY)));
    assert!(has_contact(Millis(60_000), Millis(10_000), None));
}

/// Guards against reads in an evacuated domain while another target is fresh enough, and against
/// refused reads while only the primary there is.
#[test]
fn reads_leave_an_evacuated_domain() {
    let in_domain = |id: &str, domain: &str| {
        Rc::new(Announcement { domain: domain.into(), ..target(id, TargetRole::Replica) })
    };
    let targets = [in_domain("p", "a"), in_domain("r1", "a"), in_domain("r2", "b")];
    let select = |names: &[&str], required: Option<Mark>, tried: &[InstanceId]| {
        let mut evacuated = domains_of_running_host();
        evacuated.apply(receipt(20_000, 19_700), &domains(names));
        let selection = ReadSelection {
            now: Millis(20_000),
            domain: &"a".into(),
            health: &HealthTracker::default(),
            primary: Some(&"p".into()),
            required,
            tried,
            restrictions: ReadRestrictions {
                domains: &evacuated,
                cold: &ColdTargets::default(),
                session: SessionHash::default(),
            },
        };
        selection.select(&targets).map(|it| it.id.to_string())
    };
    let fresh = Some(Mark::new(1, 1));
    assert_eq!(select(&[], fresh, &[]).as_deref(), Some("p"), "no evacuation");
    assert_eq!(select(&["a"], fresh, &[]).as_deref(), Some("r2"));
    assert_eq!(select(&["a"], fresh, &["r2".into()]).as_deref(), Some("p"));
    assert_eq!(select(&["a"], None, &[]).as_deref(), Some("p"));
    assert_eq!(select(&["a"], fresh, &["r2".into(), "p".into()]), None);
}

/// Targets that record what is sent to them, and when a connection is closed.
#[derive(Clone, Default)]
struct Recorder(Rc<RefCell<Vec<String>>>);

impl Recorder {
    fn record(&self, target: &InstanceId, event: &str) {
        self.0.borrow_mut().push(format!("{target} {event}"));
    }

    fn take(&self) -> Vec<String> {
        self.0.take()
    }
}

struct RecordedConnection {
    recorder: Recorder,
    id: InstanceId,
    pending: VecDeque<TransactionState>,
    state: TransactionState,
}

impl Drop for RecordedConnection {
    fn drop(&mut self) {
        self.recorder.record(&self.id, "closed");
    }
}

impl TargetConnection for RecordedConnection {
    async fn send(&mut self, requests: &[TargetRequest<'_>]) -> Result<(), TargetFailure> {
        for request in requests {
            let (event, state) = match request {
                TargetRequest::Begin { .. } => ("begin", TransactionState::Open),
                TargetRequest::Rollback => ("rollback", TransactionState::Idle),
                TargetRequest::Status => ("status", self.state),
                TargetRequest::Forward { request, .. } => match request.statement {
                    Statement::Read => ("read", self.state),
                    Statement::Commit => ("commit", TransactionState::Idle),
                    _ => ("write", self.state),
                },
                _ => ("other", self.state),
            };
            self.recorder.record(&self.id, event);
            self.state = state;
            self.pending.push_back(state);
        }
        Ok(())
    }

    async fn receive(&mut self) -> Result<Answer, TargetFailure> {
        sleep(Duration::from_millis(1)).await;
        let state = self.pending.pop_front().unwrap_or_default();
        Ok(Answer { position: Some(Mark::new(1, 1)), ..Answer::local(state) })
    }

    fn status(_: &Answer) -> Option<TargetStatus> {
        None
    }
}

impl Targets for Recorder {
    type Connection = RecordedConnection;

    async fn open(
        &self,
        target: &Announcement,
        _: Option<&Workspace>,
    ) -> Result<(RecordedConnection, Option<Mark>), TargetFailure> {
        let (recorder, id) = (self.clone(), target.id.clone());
        let (pending, state) = (VecDeque::new(), TransactionState::Idle);
        Ok((RecordedConnection { recorder, id, pending, state }, None))
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(FleetConfig::default())
    }
}

/// Caller without a key that sends its statements with pauses before them.
struct PausingCaller {
    database: &'static str,
    steps: VecDeque<(u64, Statement)>,
    answers: Rc<RefCell<Vec<Answer>>>,
}

impl Caller for PausingCaller {
    async fn start(&mut self) -> Result<Option<StartupMessage>> {
        Ok(Some(StartupMessage { database: self.database.to_owned(), key: None }))
    }

    async fn accept(&mut self) -> Result<()> {
        Ok(())
    }

    async fn refuse(&mut self, error: &StatementError) -> Result<()> {
        panic!("session refused: {error}");
    }

    async fn next(&mut self) -> Result<CallerMessage> {
        let Some((pause, _)) = self.steps.front() else { return Ok(CallerMessage::End) };
        sleep(Duration::from_millis(*pause)).await;
        let Some((_, statement)) = self.steps.pop_front() else { return Ok(CallerMessage::End) };
        let (id, text) = ("1".to_owned(), String::new());
        Ok(CallerMessage::Request(Request { id, text, statement }))
    }

    async fn answer(&mut self, answer: &Answer) -> Result<()> {
        self.answers.borrow_mut().push(answer.clone());
        Ok(())
    }
}

type HostCx = Rc<Cx<Recorder>>;

const BEGIN: Statement = Statement::Begin { read_only: false };

/// Host with the primary `p` and the replica `r1` in "a", and the replica `r2` in "b". The routes
/// "newest" and "older" need no key.
fn host(max_evacuation_delay: Option<Millis>) -> HostCx {
    let settings =
        GatewaySettings { domain: "a".into(), max_evacuation_delay, ..GatewaySettings::default() };
    let cx = Rc::new(Cx::new(settings, Recorder::default()));
    let base = config(400, FleetWorkspace { rate: 1_000, burst: 1_000 });
    let route = FleetRoute { allow_anonymous: true, ..(*base.routes["db"]).clone() };
    let consistency = Consistency::BoundedStaleness(Millis(20_000));
    let older = FleetRoute { consistency, ..route.clone() };
    let routes = IndexMap::from([
        (Arc::from("newest"), Arc::new(route)),
        (Arc::from("older"), Arc::new(older)),
    ]);
    let transaction_idle_timeout = Millis(10_000);
    configure(&cx, FleetConfig { routes, transaction_idle_timeout, ..base }, 900);
    cx.lease.borrow_mut().extend(cx.now(), Millis(60_000));
    // The age of the configuration has a rule of its own.
    cx.lease.borrow_mut().renew_config(cx.now() + Millis(60_000));
    cx
}

fn view(number: u64, evacuated: &[&str]) -> FleetView {
    let in_domain =
        |id, role, domain: &str| Announcement { domain: domain.into(), ..target(id, role) };
    FleetView {
        revision: ViewRevision { term: 1, number },
        targets: vec![
            in_domain("p", TargetRole::Primary, "a"),
            in_domain("r1", TargetRole::Replica, "a"),
            in_domain("r2", TargetRole::Replica, "b"),
        ],
        primaries: vec![Primary {
            service: "ledger".into(),
            id: Some("p".into()),
            changing: false,
        }],
        evacuated: domains(evacuated),
        ..FleetView::default()
    }
}

fn apply_view(cx: &HostCx, number: u64, evacuated: &[&str]) {
    cx.topology.borrow_mut().set_view(view(number, evacuated));
    cx.apply_domains();
    cx.freshness.borrow_mut().observe(&"ledger".into(), cx.now(), Mark::new(1, 1));
}

async fn run(
    cx: &HostCx,
    database: &'static str,
    steps: impl IntoIterator<Item = (u64, Statement)>,
) -> Vec<Answer> {
    let answers = Rc::default();
    let steps = steps.into_iter().collect();
    serve(cx.clone(), PausingCaller { database, steps, answers: Rc::clone(&answers) }).await;
    answers.take()
}

fn codes(answers: &[Answer]) -> Vec<Option<ErrorCode>> {
    answers.iter().map(Answer::code).collect()
}

fn text(answer: &Answer) -> &str {
    answer.result.as_ref().map_or_else(|error| error.text.as_str(), String::as_str)
}

/// Guards against an outage for as long as control replaces a primary in an evacuated domain, and
/// against reads that stay there.
#[tokio::test]
async fn what_only_the_primary_can_run_goes_on_at_first() {
    let cx = host(Some(DELAY));
    apply_view(&cx, 1, &[]);
    apply_view(&cx, 2, &["a"]);
    let written = run(&cx, "newest", [(0, Statement::Write), (0, Statement::Read)]).await;
    assert_eq!(codes(&written), [None, None]);
    let read = run(&cx, "older", [(0, Statement::Read)]).await;
    assert_eq!(codes(&read), [None]);
    assert_eq!(cx.targets.take(), ["p write", "p read", "r2 read"]);
    let metrics = cx.metrics.encode();
    let line = "pomelopin_entry_evacuated_statements_total{domain=\"a\",reason=\"primary\"} 2";
    assert!(metrics.contains(line), "{metrics}");
}

/// Guards against statements at a primary in a domain that is out of use, and against callers that
/// wait for a target which will not come.
#[tokio::test]
async fn what_only_the_primary_can_run_is_refused_at_once_later() {
    let cx = host(Some(DELAY));
    apply_view(&cx, 1, &["a"]);
    let steps = [(0, Statement::Write), (0, Statement::Read), (0, BEGIN), (0, Statement::Write)];
    let began = cx.now();
    let refused = run(&cx, "newest", steps).await;
    let took = cx.now().since(began);
    assert!(took < Millis(100), "{took}");
    let busy = Some(ErrorCode::Busy);
    assert_eq!(codes(&refused), [busy, busy, None, busy]);
    let expected = "the failure domain of the primary is out of use; retry after 500 ms";
    assert_eq!(text(&refused[0]), expected);
    let read = run(&cx, "older", [(0, Statement::Read)]).await;
    assert_eq!(codes(&read), [None]);
    assert_eq!(cx.targets.take(), ["r2 read"]);
    apply_view(&cx, 2, &[]);
    assert_eq!(codes(&run(&cx, "newest", [(0, Statement::Write)]).await), [None], "restored");
}

/// Guards against a transaction that outlives the use of its target, be it idle or not, and against
/// a COMMIT or ROLLBACK that is sent there.
#[tokio::test]
async fn transactions_end_with_the_use_of_their_target() {
    for last in [Statement::Write, Statement::Commit] {
        // Primaries are used for 200 ms after the evacuation.
        let cx = host(Some(Millis(1_200)));
        apply_view(&cx, 1, &[]);
        let evacuation = async {
            sleep(Duration::from_millis(50)).await;
            apply_view(&cx, 2, &["a"]);
            sleep(Duration::from_millis(150)).await;
            assert_eq!(cx.targets.take(), ["p begin", "p write", "p write"]);
            sleep(Duration::from_millis(500)).await;
            assert_eq!(cx.targets.take(), ["p closed"], "the idle transaction is rolled back");
        };
        let steps =
            [(0, BEGIN), (0, Statement::Write), (100, Statement::Write), (1_000, last.clone())];
        let (answers, ()) = futures::join!(run(&cx, "newest", steps), evacuation);
        assert_eq!(codes(&answers), [None, None, None, Some(ErrorCode::Aborted)]);
        let expected = "the failure domain of the target is out of use; nothing is kept";
        assert_eq!(text(&answers[3]), expected);
        assert_eq!(cx.targets.take(), [""; 0]);
    }
}

fn job(kind: JobKind) -> Job {
    Job {
        target: "p".into(),
        workspace: None,
        variables: IndexMap::new(),
        priority: 0,
        max_wait: Millis(100),
        timeout: Millis(500),
        kind,
        urgency: None,
        then: None,
    }
}

fn write_job(in_transaction: bool) -> Job {
    let request = Request { id: "1".into(), text: String::new(), statement: Statement::Write };
    job(JobKind::Statement { request, prepared: None, after: None, in_transaction })
}

/// Guards against an owner that runs jobs of hosts which have not learned of an evacuation, against
/// a reason that older builds cannot read, and against a primary change that stops because no
/// target answers status queries.
#[tokio::test]
async fn owner_refuses_jobs_for_a_domain_out_of_use() {
    let cx = host(Some(DELAY));
    apply_view(&cx, 1, &[]);
    let mut held = None;
    let begin = job(JobKind::Begin { read_only: false, after: None });
    assert!(execute(&cx, &mut held, &begin).await.is_ok());
    let restarted = host(Some(DELAY));
    apply_view(&restarted, 1, &["a"]);
    let refused = |result| matches!(result, Err(JobError::Rejected(_, RejectReason::NoTarget)));
    assert!(refused(execute(&restarted, &mut held, &write_job(true)).await));
    assert!(held.is_none(), "the transaction is rolled back");
    assert!(refused(execute(&restarted, &mut None, &write_job(false)).await));
    assert!(execute(&restarted, &mut None, &job(JobKind::Status)).await.is_ok());
    assert_eq!(cx.targets.take(), ["p begin", "p closed"]);
    assert_eq!(restarted.targets.take(), ["p status"]);
}

/// Guards against transactions of other hosts that stay open at a target out of use while these
/// hosts are silent, and against ones that are closed without need.
#[tokio::test]
async fn owner_closes_idle_transactions_of_other_hosts() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let cx = host(Some(Millis(1_800)));
            apply_view(&cx, 1, &[]);
            let (events, inbound) = mpsc::channel(8);
            let (outgoing, mut answers) = mpsc::channel(8);
            tokio::task::spawn_local(peer_server::run(cx.clone(), inbound));
            let id = ConnectionId(1);
            let begin = job(JobKind::Begin { read_only: false, after: None });
            let request = Frame::Request { request_id: 1, stream: 1, job: begin };
            for event in [
                Inbound::Opened { id, outgoing },
                Inbound::Received { id, frame: Box::new(request) },
            ] {
                events.send(event).await.expect("server runs");
            }
            answers.recv().await.expect("answer");
            apply_view(&cx, 2, &["a"]);
            sleep(Duration::from_millis(600)).await;
            assert_eq!(cx.targets.take(), ["p begin"], "the primary is still used");
            sleep(Duration::from_millis(600)).await;
            assert_eq!(cx.targets.take(), ["p closed"]);
        })
        .await;
}

/// Leader whose views name an evacuated domain from the third one on: the host confirms the first
/// one at once, and sends the third report 400 ms later.
async fn lead(listener: TcpListener) {
    let (stream, _) = listener.accept().await.expect("connection of the host");
    let (mut reader, mut writer) = split_framed(stream);
    let mut number = 0;
    while let Some(Ok(bytes)) = reader.next().await {
        let Ok(Frame::Report(report)) = decode(&bytes) else { panic!("no report") };
        number += 1;
        let evacuated: &[&str] = if number < 3 { &[] } else { &["a"] };
        let limits = Some(LimitUpdate::default());
        let view = Some(view(number, evacuated));
        let (echo, lease) = (report.sent_at, Millis(1_500));
        // As the leader does: the view first, in an update that extends no lease.
        for update in [
            HostUpdate { view, limits: limits.clone(), ..HostUpdate::default() },
            HostUpdate { echo, lease, limits, ..HostUpdate::default() },
        ] {
            writer.send(encode(&Frame::Update(update))).await.expect("open connection");
        }
    }
}

/// Guards against evacuations that reach a host in a view and have no effect.
#[tokio::test]
async fn views_of_the_leader_evacuate() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
            let addr = listener.local_addr().expect("bound").to_string();
            tokio::task::spawn_local(lead(listener));
            // Primaries are used for 300 ms after the evacuation.
            let cx = host(Some(Millis(1_300)));
            let control_hosts = Rc::new(RefCell::new(ControlHosts::new(vec![addr])));
            tokio::task::spawn_local(control_link::run(cx.clone(), control_hosts, Incarnation(1)));
            let mut used = Vec::new();
            let mut evacuated = Vec::new();
            for _ in 0..40 {
                sleep(Duration::from_millis(50)).await;
                let primary = target("p", TargetRole::Primary);
                let primary = Announcement { domain: "a".into(), ..primary };
                used.push(cx.refusal(&primary).is_none());
                evacuated.push(cx.topology.borrow().evacuated.contains(&"a".into()));
            }
            let (first, last) = (evacuated.first(), evacuated.last());
            assert_eq!((first, last), (Some(&false), Some(&true)), "{evacuated:?}");
            let learned = evacuated.iter().position(|it| *it).unwrap_or(evacuated.len());
            assert!(used[learned], "{used:?}");
            assert_eq!(used.last(), Some(&false), "{used:?}");
        })
        .await;
}

/// Time after the last contact from which a host must send nothing.
const MAX_SILENCE_MS: u64 = 6_000;

/// Guards against statements and transactions, with or without a key, at a host that may have
/// missed an evacuation; its connections for other hosts included. Without the setting such a host
/// goes on with what it knows.
#[tokio::test]
async fn host_without_contact_sends_nothing_with_the_setting_only() {
    let check = |delay: Option<Millis>| async move {
        let cx = host(delay);
        apply_view(&cx, 1, &[]);
        let pause = MAX_SILENCE_MS + 200;
        let steps = [
            (0, BEGIN),
            (0, Statement::Write),
            (pause, Statement::Write),
            (0, Statement::Rollback),
            (0, Statement::Read),
        ];
        let answers = run(&cx, "older", steps).await;
        let served = execute(&cx, &mut None, &write_job(false)).await;
        (codes(&answers)[2..].to_vec(), served.map(|_| ()), cx.targets.take())
    };
    let local = LocalSet::new();
    let (with, without) =
        local.run_until(async { futures::join!(check(Some(DELAY)), check(None)) }).await;
    let (aborted, busy) = (Some(ErrorCode::Aborted), Some(ErrorCode::Busy));
    assert_eq!(with.0, [aborted, None, busy]);
    assert_eq!(with.1, Err(JobError::Unreachable), "another owner is to be asked");
    assert_eq!(with.2, ["p begin", "p write", "p closed"]);
    assert_eq!(without.0, [None, None, None]);
    assert_eq!(without.1, Ok(()));
}
