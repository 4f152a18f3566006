//! Tests of slots, connection limits, fault injection, announcements and HTTP endpoints.

use std::time::Duration;

use axum::{Router, body::Bytes, http::HeaderMap, routing::post};
use pomelopin::{
    clock::Millis,
    ids::{Mark, Term},
    keys::announcement::sign,
    settings::target::TargetSettings,
    state::model::Role,
    target::http::Status,
    wire::{announcement::Announcement, control::FenceResponse},
};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

use crate::group::{Group, WAIT_TIMEOUT, code, connect, single, wait_for};

/// Guards against running more concurrent statements than the instance has slots.
#[tokio::test]
async fn statements_wait_for_a_slot() {
    let settings = TargetSettings { service_time_us: 50_000, ..TargetSettings::default() };
    let group = Group::start(1, settings).await;
    let mut clients = Vec::new();
    for _ in 0..6 {
        clients.push(group.client(0).await);
    }
    let start = Instant::now();
    let selects = clients.iter().map(|client| client.simple_query("SELECT id FROM t"));
    let all = futures::future::join_all(selects);
    let free = async {
        sleep(Duration::from_millis(10)).await;
        let client = group.client(0).await;
        client.simple_query("SELECT pomelopin_position()").await.unwrap();
        start.elapsed()
    };
    let (_, free) = tokio::join!(all, free);
    assert!(start.elapsed() >= Duration::from_millis(150), "three rounds of two slots");
    assert!(free < Duration::from_millis(100), "functions use no slot");
}

/// Guards against accepting more connections than configured, which would hide a proxy
/// that exceeds its granted connections.
#[tokio::test]
async fn connections_are_limited() {
    let settings =
        TargetSettings { connections: 2, connect_delay: Millis(30), ..TargetSettings::default() };
    let group = Group::start(1, settings).await;
    let start = Instant::now();
    let first = group.client(0).await;
    assert!(start.elapsed() >= Duration::from_millis(30));
    let _second = group.client(0).await;
    let error = connect(&group.instances[0], "pomelopin", "pomelopin").await.unwrap_err();
    assert_eq!(code(&error), "53300");
    drop(first);
    wait_for(|| async { group.instances[0].instance.connections() == 1 }).await;
    group.client(0).await;
}

/// Guards against injected faults that do not affect open connections, and against
/// traffic missing from the capture.
#[tokio::test]
async fn faults_block_open_connections() {
    let group = single().await;
    let client = group.client(0).await;
    let instance = &group.instances[0].instance;
    instance.faults.freeze(Millis(200));
    let start = Instant::now();
    client.simple_query("SELECT pomelopin_position()").await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(200));
    group.isolate(0);
    let query = client.simple_query("SELECT 'marker of the capture'");
    assert!(timeout(Duration::from_millis(100), query).await.is_err());
    instance.faults.heal();
    client.simple_query("SELECT 1").await.unwrap();
    let (bytes, truncated) = instance.capture.read();
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.contains("marker of the capture") && !truncated);
}

/// Starts a fake entry host that forwards received announcements to a channel.
async fn announcement_receiver() -> (std::net::SocketAddr, mpsc::Receiver<(String, Bytes)>) {
    let (tx, rx) = mpsc::channel(100);
    let receive = async move |headers: HeaderMap, body: Bytes| {
        let signature = headers["x-pomelopin-signature"].to_str().unwrap().to_owned();
        tx.send((signature, body)).await.unwrap();
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let router = Router::new().route("/announce", post(receive));
    tokio::spawn(async move { axum::serve(listener, router).await });
    (addr, rx)
}

/// Guards against announcements that are unsigned, delayed after a change, or not sent to
/// the next entry host when one is unreachable.
#[tokio::test]
async fn announcements_are_signed_fail_over_and_follow_changes() {
    let (addr, mut rx) = announcement_receiver().await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let settings = TargetSettings {
        announce_to: vec![closed, addr],
        announce_interval: Millis(60_000),
        announcement_key: b"key".to_vec(),
        ..TargetSettings::default()
    };
    let group = Group::start(1, settings).await;
    let instance = &group.instances[0].instance;
    let mut received = Vec::new();
    for step in 0..3 {
        let (signature, body) = timeout(WAIT_TIMEOUT, rx.recv()).await.unwrap().unwrap();
        assert_eq!(signature, sign(b"key", &body));
        received.push(serde_json::from_slice::<Announcement>(&body).unwrap());
        if step == 0 {
            // The initial promotion may be announced twice.
            instance.leave();
        } else if received[step].spec.leaving {
            break;
        }
    }
    let (first, last) = (&received[0], &received[received.len() - 1]);
    assert_eq!((first.role, first.position, first.age_ms), (Role::Primary, Mark::new(1, 1), 0));
    assert_eq!(first.spec.sql_addr, group.instances[0].sql_addr.to_string());
    assert!(last.spec.leaving && last.sequence > first.sequence);
}

/// Guards against control endpoints that fail over HTTP or stay reachable in a partition.
#[tokio::test]
async fn control_requests_and_test_controls_work_over_http() {
    let group = single().await;
    let base = format!("http://{}", group.instances[0].http_addr);
    let client = reqwest::Client::new();
    let post = async |path: &str, body: &str| {
        let request =
            client.post(format!("{base}/{path}")).header("content-type", "application/json");
        request.body(body.to_owned()).timeout(Duration::from_millis(500)).send().await
    };
    let answer = async |path: &str, body: &str| -> FenceResponse {
        post(path, body).await.unwrap().json().await.unwrap()
    };
    let fenced = answer("fence", r#"{"term":3}"#).await;
    assert_eq!(fenced, FenceResponse { accepted: true, term: Term(3), last: Mark::new(1, 1) });
    let promoted = answer("promote", r#"{"term":3}"#).await;
    assert_eq!(promoted, FenceResponse { accepted: true, term: Term(3), last: Mark::new(3, 2) });
    for (path, body) in [
        ("test/lag", r#"{"ms":5}"#),
        ("test/leave", ""),
        ("test/partition", r#"{"from":["a"]}"#),
        ("test/heal", ""),
        ("test/partition", r#"{"from":"all"}"#),
    ] {
        assert_eq!(post(path, body).await.unwrap().status(), 204, "{path}");
    }
    assert!(post("fence", r#"{"term":4}"#).await.is_err(), "lost in the partition");
    let status: Status =
        client.get(format!("{base}/status")).send().await.unwrap().json().await.unwrap();
    assert_eq!((status.term, status.role, status.leaving), (Term(3), Role::Primary, true));
    assert_eq!(post("test/heal", "").await.unwrap().status(), 204);
    assert!(answer("fence", r#"{"term":4}"#).await.accepted);
}
