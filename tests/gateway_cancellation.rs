//! Cancellation of jobs that one host has sent to another.

use std::{cell::RefCell, net::TcpListener, rc::Rc, time::Duration};

use eyre::Result;
use futures::future::join_all;
use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        config::{FleetConfig, FleetService},
        failover::TargetStatus,
        link,
        messages::{Announcement, FleetView, TargetRole, ViewRevision},
    },
    gateway::{
        cx::{Cx, GatewaySettings},
        job::{Job, JobError, JobKind},
        metrics::GatewayMetrics,
        peer_client::PeerClients,
        peer_server,
        ports::{TargetConnection, TargetFailure, TargetRequest, Targets},
        statement::{Answer, Request, Statement, TransactionState},
        urgency::Urgency,
    },
    ids::{Mark, Workspace},
};
use tokio::{sync::mpsc, task::LocalSet, time::timeout};

/// Time that the target takes for a statement.
const SERVICE_TIME: Duration = Duration::from_millis(150);

/// Statements that run at a time: the slots of the target, and two in transit.
const CAPACITY: usize = 3;

/// Targets that record the ids of the requests sent to them.
#[derive(Clone, Default)]
struct RecordingTargets(Rc<RefCell<Vec<String>>>);

struct RecordingConnection(Rc<RefCell<Vec<String>>>);

impl TargetConnection for RecordingConnection {
    async fn send(&mut self, requests: &[TargetRequest<'_>]) -> Result<(), TargetFailure> {
        for request in requests {
            if let TargetRequest::Forward { request, .. } = request {
                self.0.borrow_mut().push(request.id.clone());
            }
        }
        Ok(())
    }

    async fn receive(&mut self) -> Result<Answer, TargetFailure> {
        tokio::time::sleep(SERVICE_TIME).await;
        Ok(Answer::local(TransactionState::Idle))
    }

    fn status(_: &Answer) -> Option<TargetStatus> {
        None
    }
}

impl Targets for RecordingTargets {
    type Connection = RecordingConnection;

    async fn open(
        &self,
        _: &Announcement,
        _: Option<&Workspace>,
    ) -> Result<(RecordingConnection, Option<Mark>), TargetFailure> {
        Ok((RecordingConnection(self.0.clone()), None))
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(FleetConfig::default())
    }
}

/// Makes `cx` know target `t`.
fn set_topology(cx: &Cx<RecordingTargets>) {
    let service = FleetService { max_connections: 64, sync_replicas: 0, ..FleetService::default() };
    let mut topology = cx.topology.borrow_mut();
    topology.set_config(FleetConfig {
        version: 1,
        services: [("ledger".into(), service)].into_iter().collect(),
        ..FleetConfig::default()
    });
    topology.set_view(FleetView {
        revision: ViewRevision { term: 1, number: 1 },
        targets: vec![Announcement {
            id: "t".into(),
            service: "ledger".into(),
            addr: "t:1".to_owned(),
            domain: "a".into(),
            draining: false,
            role: TargetRole::Primary,
            slots: CAPACITY as u32 - 2,
            started_at_ms: 1,
            sequence: 1,
            warmup_remaining: Millis(0),
        }],
        ..FleetView::default()
    });
}

/// Starts the owner of target `t`; returns its address.
async fn start_owner(targets: RecordingTargets) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let cx = Rc::new(Cx::new(GatewaySettings::default(), targets));
    set_topology(&cx);
    let (events, inbound) = mpsc::channel(64);
    tokio::task::spawn_local(async move { link::listen(addr, events).await });
    tokio::task::spawn_local(peer_server::run(cx, inbound));
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        tokio::task::yield_now().await;
    }
    addr.to_string()
}

fn write_job(id: &str) -> Job {
    let request = Request { id: id.into(), text: "WRITE a b".into(), statement: Statement::Write };
    Job {
        target: "t".into(),
        workspace: None,
        variables: IndexMap::new(),
        priority: 0,
        max_wait: Millis(2_000),
        timeout: Millis(2_000),
        kind: JobKind::Statement { request, prepared: None, after: None, in_transaction: false },
        urgency: Some(Urgency { latency_left: Millis(1_000), time_left: Millis(2_000) }),
        then: None,
    }
}

/// Opens the connection, then occupies all slots.
async fn occupy(peers: &Rc<PeerClients>, addr: &str) {
    let first = write_job("first");
    assert!(peers.call(addr, 0, &first).await.result.is_ok());
    for number in 0..CAPACITY {
        let (peers, addr) = (peers.clone(), addr.to_owned());
        tokio::task::spawn_local(async move {
            peers.call(&addr, 0, &write_job(&format!("running{number}"))).await
        });
    }
    tokio::time::sleep(Duration::from_millis(30)).await;
}

/// Guards against work that runs although its caller's host no longer waits for it, and against a
/// cancellation that affects other work: what was sent to the target is answered.
#[tokio::test]
async fn cancelled_job_never_runs() {
    let targets = RecordingTargets::default();
    let check = async {
        let addr = start_owner(targets.clone()).await;
        let peers = Rc::new(PeerClients::new(GatewayMetrics::new(), Rc::default()));
        occupy(&peers, &addr).await;
        let (kept, given_up) = (write_job("kept"), write_job("given up"));
        let (kept, given_up) = tokio::join!(peers.call(&addr, 0, &kept), async {
            timeout(Duration::from_millis(40), peers.call(&addr, 0, &given_up)).await
        });
        assert!(kept.result.is_ok());
        assert!(given_up.is_err());
        tokio::time::sleep(2 * SERVICE_TIME).await;
    };
    LocalSet::new().run_until(check).await;
    let sent = targets.0.borrow();
    assert!(!sent.contains(&"given up".to_owned()), "{sent:?}");
    assert_eq!(sent.len(), 1 + CAPACITY + 1, "{sent:?}");
}

/// Guards against queued work of a host that was lost.
#[tokio::test]
async fn queued_jobs_of_a_lost_host_never_run() {
    let targets = RecordingTargets::default();
    let check = async {
        let addr = start_owner(targets.clone()).await;
        let lost = LocalSet::new();
        let peers = Rc::new(PeerClients::new(GatewayMetrics::new(), Rc::default()));
        let queued = lost.run_until(async {
            occupy(&peers, &addr).await;
            let queued = [write_job("queued1"), write_job("queued2")];
            let calls = join_all(queued.iter().map(|job| peers.call(&addr, 0, job)));
            timeout(Duration::from_millis(40), calls).await
        });
        assert!(queued.await.is_err());
        // Closes the connection, whose task runs on this set.
        drop(lost);
        tokio::time::sleep(4 * SERVICE_TIME).await;
    };
    LocalSet::new().run_until(check).await;
    let sent = targets.0.borrow();
    assert_eq!(sent.len(), 1 + CAPACITY, "{sent:?}");
}

/// Guards against a rejection after the job was sent, which would not be true.
#[tokio::test]
async fn cancellation_after_the_job_was_sent_has_no_effect() {
    let targets = RecordingTargets::default();
    let check = async {
        let addr = start_owner(targets.clone()).await;
        let peers = PeerClients::new(GatewayMetrics::new(), Rc::default());
        assert!(peers.call(&addr, 0, &write_job("first")).await.result.is_ok());
        let job = write_job("sent");
        let result = timeout(SERVICE_TIME / 2, peers.call(&addr, 0, &job)).await;
        assert!(result.is_err(), "no answer is delivered");
        let after: Result<Answer, JobError> =
            peers.call(&addr, 0, &write_job("after")).await.result;
        assert!(after.is_ok(), "the slot and the connection are in order");
    };
    LocalSet::new().run_until(check).await;
    assert_eq!(*targets.0.borrow(), ["first", "sent", "after"]);
}
