//! Control hosts with simulated operators, entry hosts and targets on loopback.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use axum::{Json, Router, extract::State, routing::post};
use pomelopin::{
    adapters::bus::{Bus, BusSettings, InboundMessage},
    clock::{Clock, Millis, SystemClock},
    control::runtime,
    ids::{HostId, Incarnation, InstanceId, Mark, Revision, Service, Term},
    keys::host::HostKey,
    settings::{
        control::ControlSettings,
        timing::{GroupTiming, LeaseTiming},
    },
    state::model::{ApplyAnswer, ClusterView, Host, InstanceSpec, Role},
    wire::{
        control::{
            ControlMessage, FenceRequest, FenceResponse, Observation, RenewRequest, RenewResponse,
        },
        operator::{ApplyRequest, ApplyResponse, NotLeader, StatusResponse},
    },
};
use reqwest::{Client, StatusCode};
use tempfile::TempDir;
use tokio::{sync::mpsc::Receiver, task::JoinHandle, time::timeout};

const KEY: &str = "shared key of the test";
const TOKEN: &str = "operator token of the test";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const FILE: &str = "version = 1\n[[service]]\nname = \"returns\"\ninstances = 3\n";

struct ControlHost {
    name: String,
    settings: ControlSettings,
    task: JoinHandle<eyre::Result<()>>,
    _folder: TempDir,
}

impl ControlHost {
    fn http(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.http_listen)
    }
}

fn free_addr() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

fn start(size: usize) -> Vec<ControlHost> {
    let group: std::collections::BTreeMap<_, _> =
        (1..=size).map(|number| (format!("c{number}"), free_addr())).collect();
    let control = group.iter().map(|(name, addr)| {
        let folder = TempDir::new().unwrap();
        let settings = ControlSettings {
            name: name.clone(),
            control_hosts: group.clone(),
            bus_listen: addr.parse().unwrap(),
            http_listen: free_addr().parse().unwrap(),
            data_folder: folder.path().to_owned(),
            host_key: HostKey::new(KEY).unwrap(),
            token: TOKEN.parse().unwrap(),
            group_timing: GroupTiming::default(),
            lease_timing: LeaseTiming::default(),
        };
        let task = tokio::spawn(runtime::run(settings.clone()));
        ControlHost { name: name.clone(), settings, task, _folder: folder }
    });
    control.collect()
}

async fn get(control: &ControlHost, path: &str) -> Option<reqwest::Response> {
    let request = Client::new().get(control.http(path)).bearer_auth(TOKEN);
    request.timeout(Duration::from_secs(3)).send().await.ok()
}

/// Index of the host that serves operators.
async fn leader(hosts: &[ControlHost]) -> usize {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < deadline {
        for (number, control) in hosts.iter().enumerate() {
            let response = get(control, "/v1/status").await;
            if response.is_some_and(|response| response.status() == StatusCode::OK) {
                return number;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no leader");
}

async fn status(control: &ControlHost) -> StatusResponse {
    get(control, "/v1/status").await.unwrap().json().await.unwrap()
}

async fn apply(
    url: &str,
    id: &str,
    expected_version: u64,
    file: &str,
    wait_ms: u64,
) -> reqwest::Response {
    let request = ApplyRequest {
        id: id.into(),
        operator: "test".to_owned(),
        expected_version,
        file: file.to_owned(),
        wait_ms,
    };
    let post = Client::new().post(url).bearer_auth(TOKEN).json(&request);
    post.timeout(TEST_TIMEOUT).send().await.unwrap()
}

/// Simulated entry host.
struct EntryHost {
    bus: Bus,
    inbound: Receiver<InboundMessage>,
    host: Host,
    view: ClusterView,
    clock: SystemClock,
    announced: Vec<InstanceSpec>,
    observations: Vec<Observation>,
    /// Sending time of the renewal that the last granted lease echoes.
    leased: Option<Millis>,
}

impl EntryHost {
    fn new(name: &str) -> Self {
        let (bus, inbound) = Bus::bind(BusSettings {
            listen: "127.0.0.1:0".to_owned(),
            name: name.to_owned(),
            incarnation: Incarnation(1),
            key: HostKey::new(KEY).unwrap(),
        })
        .unwrap();
        let host = Host {
            id: HostId::from(name),
            incarnation: Incarnation(1),
            failure_domain: "korba".into(),
            peer_addr: "127.0.0.1:1".to_owned(),
            bus_addr: bus.local_addr().to_owned(),
            leaving: false,
        };
        Self {
            bus,
            inbound,
            host,
            view: ClusterView::default(),
            clock: SystemClock::default(),
            announced: Vec::new(),
            observations: Vec::new(),
            leased: None,
        }
    }

    fn renew(&self, control: &ControlHost) {
        let renew = RenewRequest {
            host: self.host.clone(),
            sent_at: self.clock.now(),
            revision: self.view.revision,
            stopped: false,
            announced: self.announced.clone(),
            observations: self.observations.clone(),
            releases: Vec::new(),
        };
        let body = postcard::to_stdvec(&ControlMessage::RenewRequest(renew)).unwrap();
        self.bus.send(&control.settings.bus_listen.to_string(), &body);
    }

    async fn response(&mut self) -> Option<RenewResponse> {
        let inbound = timeout(Duration::from_millis(200), self.inbound.recv()).await.ok()??;
        match postcard::from_bytes(&inbound.body).unwrap() {
            ControlMessage::RenewResponse(response) => Some(response),
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Sends renewals until the condition on the view holds.
    async fn renew_until(
        &mut self,
        control: &ControlHost,
        what: &str,
        wanted: impl Fn(&ClusterView) -> bool,
    ) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !wanted(&self.view) {
            assert!(Instant::now() < deadline, "{what}: {:?}", self.view);
            self.renew(control);
            while let Some(response) = self.response().await {
                self.apply_response(response);
            }
        }
    }

    fn apply_response(&mut self, response: RenewResponse) {
        if let RenewResponse::Lease { echo, update, .. } = response {
            self.view.apply_update(update).unwrap();
            self.leased = Some(echo);
        }
    }
}

/// Guards against requests, leases or applied files that a change of leader loses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_and_entry_hosts_are_served_after_leader_change() {
    let mut hosts = start(3);
    let first = leader(&hosts).await;
    let follower = (first + 1) % 3;

    let response = get(&hosts[follower], "/v1/status").await.unwrap();
    assert_eq!(response.status(), StatusCode::MISDIRECTED_REQUEST);
    let redirect: NotLeader = response.json().await.unwrap();
    assert_eq!(redirect.leader_http_addr, Some(hosts[first].settings.http_listen.to_string()));
    let foreign = Client::new().get(hosts[first].http("/v1/status")).bearer_auth("wrong token");
    assert_eq!(foreign.send().await.unwrap().status(), StatusCode::UNAUTHORIZED);

    let mut entry = EntryHost::new("e1");
    expect_redirect(&mut entry, &hosts[follower], &hosts[first].name).await;
    let joined = |view: &ClusterView| view.hosts.contains_key(&HostId::from("e1"));
    entry.renew_until(&hosts[first], "the host joins", joined).await;
    expect_pushed_update(&mut entry, &hosts[first]).await;

    let original: ApplyResponse =
        apply(&hosts[first].http("/v1/apply"), "a1", 0, FILE, 0).await.json().await.unwrap();
    assert!(matches!(original.answer, ApplyAnswer::Accepted { version: 1, .. }));
    let conflict = apply(&hosts[first].http("/v1/apply"), "a2", 0, FILE, 0).await;
    assert_eq!(conflict.status(), StatusCode::CONFLICT);
    let invalid = apply(&hosts[first].http("/v1/apply"), "a3", 1, "version = 2\nfoo", 0).await;
    assert_eq!(invalid.status(), StatusCode::UNPROCESSABLE_ENTITY);

    let stopped = hosts.remove(first);
    stopped.task.abort();
    let second = leader(&hosts).await;
    let before = status(&hosts[second]).await;
    assert_eq!(before.version, 1);
    let response: ApplyResponse =
        apply(&hosts[second].http("/v1/apply"), "a1", 0, FILE, 0).await.json().await.unwrap();
    assert_eq!(response.answer, original.answer, "a repeated request gets the stored response");
    entry.renew_until(&hosts[second], "the lease goes on", joined).await;
    let metrics = get(&hosts[second], "/metrics").await.unwrap().text().await.unwrap();
    assert!(metrics.contains("pomelopin_control_leads 1"), "{metrics}");
}

async fn expect_redirect(entry: &mut EntryHost, follower: &ControlHost, leader: &str) {
    for _ in 0..50 {
        entry.renew(follower);
        if let Some(response) = entry.response().await {
            let leader = Some(leader.into());
            assert_eq!(response, RenewResponse::NotLeader { leader });
            return;
        }
    }
    panic!("the follower did not respond");
}

/// Applies a file and checks that the update arrives before the next renewal without
/// extending the lease, and that the operator waits for the acknowledgement.
async fn expect_pushed_update(entry: &mut EntryHost, leader: &ControlHost) {
    let before = entry.leased.unwrap();
    let url = leader.http("/v1/apply");
    let operator = tokio::spawn(async move {
        apply(&url, "a1", 0, FILE, 5_000).await.json::<ApplyResponse>().await.unwrap()
    });
    let deadline = Instant::now() + TEST_TIMEOUT;
    while entry.view.version == 0 {
        assert!(Instant::now() < deadline, "no update was pushed");
        if let Some(response) = entry.response().await {
            entry.apply_response(response);
        }
    }
    assert_eq!(entry.leased, Some(before));
    assert!(!operator.is_finished(), "the host has not acknowledged the revision");
    entry.renew(leader);
    let response = operator.await.unwrap();
    assert_eq!(response.pending_hosts, Vec::<HostId>::new());
}

/// Simulated target instance with its term and the number of its promotions.
#[derive(Clone, Default)]
struct Target {
    term: Arc<AtomicU64>,
    promoted: Arc<AtomicU64>,
    position: u64,
}

async fn fence(
    State(target): State<Target>,
    Json(request): Json<FenceRequest>,
) -> Json<FenceResponse> {
    let before = target.term.fetch_max(request.term.0, SeqCst);
    Json(FenceResponse {
        accepted: request.term.0 >= before,
        term: Term(before.max(request.term.0)),
        last: Mark::new(1, target.position),
    })
}

async fn promote(target: State<Target>, request: Json<FenceRequest>) -> Json<FenceResponse> {
    target.promoted.fetch_add(1, SeqCst);
    fence(target, request).await
}

async fn serve(target: Target) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let routes = Router::new().route("/fence", post(fence)).route("/promote", post(promote));
    let server = axum::serve(listener, routes.with_state(target)).into_future();
    tokio::spawn(server);
    addr
}

/// Guards against a promotion without a fenced majority, of a less advanced instance, or
/// without an end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_primary_is_replaced_by_most_advanced_instance() {
    let hosts = start(1);
    leader(&hosts).await;
    let targets: Vec<Target> =
        [9, 5, 7].map(|position| Target { position, ..Target::default() }).into();
    let mut entry = EntryHost::new("e1");
    for (number, target) in targets.iter().enumerate() {
        // The primary, instance 0, does not respond to the control host.
        let http_addr = if number == 0 { free_addr() } else { serve(target.clone()).await };
        entry.announced.push(spec(number, http_addr));
    }
    entry.renew_until(&hosts[0], "instances", |view| view.instances.len() == 3).await;
    apply(&hosts[0].http("/v1/apply"), "a1", 0, FILE, 0).await;
    entry.observations = vec![observation(0, Role::Primary, 0)];
    let service = Service::from("returns");
    let primary = |view: &ClusterView| view.groups.get(&service)?.primary.clone();
    entry.renew_until(&hosts[0], "first primary", |view| primary(view).is_some()).await;
    entry.observations = [0, 1, 2].map(|number| observation(number, Role::Replica, 2_000)).into();
    let replacement = Some(InstanceId::from("returns-2"));
    entry.renew_until(&hosts[0], "promotion", |view| primary(view) == replacement).await;
    assert!(entry.view.revision > Revision(5));
    let promoted: Vec<_> = targets.iter().map(|target| target.promoted.load(SeqCst)).collect();
    assert_eq!(promoted, [0, 0, 1]);
}

fn spec(number: usize, http_addr: String) -> InstanceSpec {
    InstanceSpec {
        id: InstanceId::from(format!("returns-{number}")),
        service: Service::from("returns"),
        failure_domain: "korba".into(),
        incarnation: Incarnation(1),
        sql_addr: "127.0.0.1:1".to_owned(),
        http_addr,
        slots: 2,
        connections: 15,
        leaving: false,
    }
}

fn observation(number: usize, role: Role, silent_ms: u64) -> Observation {
    Observation {
        service: Service::from("returns"),
        instance: InstanceId::from(format!("returns-{number}")),
        role,
        position: Mark::new(1, 1),
        silent_ms,
    }
}
