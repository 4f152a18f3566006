//! HTTP listener of an entry host over loopback, and the metric names of entry and control
//! hosts.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use pomelopin::{
    adapters::{
        http::{AnnouncementReceiver, HostStatus, HttpState, router},
        metrics::{
            ControlMetrics, ControlRole, EntryMetrics, PromotionResult, Queue, ReadSource,
            RequestOutcome,
        },
    },
    clock::Millis,
    ids::{Incarnation, Mark, Revision, Term},
    keys::announcement::{SIGNATURE_HEADER, sign},
    settings::http::HttpSettings,
    state::model::{InstanceSpec, Role},
    wire::announcement::Announcement,
};
use tokio::{net::TcpListener, sync::mpsc};

const KEY: &[u8] = b"announcement key";

#[derive(Default)]
struct Status {
    stopping: AtomicBool,
}

impl HostStatus for Status {
    fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::SeqCst)
    }

    fn is_healthy(&self) -> bool {
        true
    }
}

fn announcement(incarnation: u64, sequence: u64) -> Announcement {
    let spec = InstanceSpec {
        id: "jobs-1".into(),
        service: "jobs".into(),
        failure_domain: "korba".into(),
        incarnation: Incarnation(incarnation),
        sql_addr: "127.0.0.1:5432".into(),
        http_addr: "127.0.0.1:8080".into(),
        slots: 2,
        connections: 30,
        leaving: false,
    };
    Announcement {
        spec,
        sequence,
        role: Role::Replica,
        position: Mark::new(1, 7),
        age_ms: 20,
        primary_silent_ms: 10,
    }
}

fn body(incarnation: u64, sequence: u64) -> Vec<u8> {
    serde_json::to_vec(&announcement(incarnation, sequence)).unwrap_or_default()
}

struct Listener {
    url: String,
    client: reqwest::Client,
    state: Arc<HttpState<Status>>,
    accepted: mpsc::Receiver<Announcement>,
}

impl Listener {
    async fn start(queue_len: usize) -> eyre::Result<Self> {
        let (tx, accepted) = mpsc::channel(queue_len);
        let announcements = AnnouncementReceiver::new(KEY.to_vec(), HttpSettings::default(), tx);
        let status = Status::default();
        let state = Arc::new(HttpState { status, metrics: Arc::default(), announcements });
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let url = format!("http://{}", listener.local_addr()?);
        let app = router(state.clone());
        tokio::spawn(async move { axum::serve(listener, app).await });
        let client = reqwest::Client::builder().no_proxy().build()?;
        Ok(Self { url, client, state, accepted })
    }

    async fn post(&self, body: Vec<u8>, signature: Option<String>) -> eyre::Result<u16> {
        let mut req = self.client.post(format!("{}/announce", self.url)).body(body);
        if let Some(signature) = signature {
            req = req.header(SIGNATURE_HEADER, signature);
        }
        Ok(req.send().await?.status().as_u16())
    }

    async fn get(&self, path: &str) -> eyre::Result<(u16, String)> {
        let response = self.client.get(format!("{}{path}", self.url)).send().await?;
        Ok((response.status().as_u16(), response.text().await?))
    }
}

/// Guards against forged, replayed, outdated, malformed and oversized announcements.
#[tokio::test]
async fn accepts_only_new_signed_announcements() -> eyre::Result<()> {
    let mut listener = Listener::start(16).await?;
    let signed = |body: Vec<u8>| {
        let signature = sign(KEY, &body);
        (body, Some(signature))
    };
    let other_key = Some(sign(b"other key", &body(1, 9)));
    let oversized = vec![b' '; HttpSettings::default().announcement_bytes + 1];
    let cases = [
        ("first", signed(body(1, 5)), 202),
        ("repeated", signed(body(1, 5)), 409),
        ("older", signed(body(1, 4)), 409),
        ("newer", signed(body(1, 6)), 202),
        ("without signature", (body(1, 7), None), 401),
        ("signature of another key", (body(1, 9), other_key), 401),
        ("signature of another body", (body(1, 8), Some(sign(KEY, &body(1, 7)))), 401),
        ("signature that is not hexadecimal", (body(1, 8), Some("zz".into())), 401),
        ("truncated signature", (body(1, 8), Some(sign(KEY, &body(1, 8))[..32].into())), 401),
        ("empty signature", (body(1, 8), Some(String::new())), 401),
        ("malformed", signed(b"{}".to_vec()), 400),
        ("not UTF-8", signed(vec![0xff, 0]), 400),
        ("oversized", signed(oversized), 413),
        ("restarted instance", signed(body(2, 1)), 202),
        ("late announcement of the previous incarnation", signed(body(1, 100)), 409),
    ];
    for (name, (body, signature), expected) in cases {
        assert_eq!(listener.post(body, signature).await?, expected, "{name}");
    }
    let mut accepted = Vec::new();
    while let Ok(announcement) = listener.accepted.try_recv() {
        accepted.push((announcement.spec.incarnation.0, announcement.sequence));
    }
    assert_eq!(accepted, [(1, 5), (1, 6), (2, 1)]);
    let (_, metrics) = listener.get("/metrics").await?;
    assert!(metrics.contains("pomelopin_announcements_total{result=\"forged\"} 6"), "{metrics}");
    Ok(())
}

/// Guards against a full queue: an announcement that was rejected as busy must not be
/// recorded as seen, because its repetition would then be rejected as stale.
#[tokio::test]
async fn accepts_retry_of_announcement_rejected_as_busy() -> eyre::Result<()> {
    let mut listener = Listener::start(1).await?;
    let signed = |sequence| {
        let body = body(1, sequence);
        let signature = sign(KEY, &body);
        (body, Some(signature))
    };
    for (sequence, expected) in [(1, 202), (2, 503)] {
        let (body, signature) = signed(sequence);
        assert_eq!(listener.post(body, signature).await?, expected);
    }
    assert_eq!(listener.accepted.recv().await.map(|announcement| announcement.sequence), Some(1));
    let (body, signature) = signed(2);
    assert_eq!(listener.post(body, signature).await?, 202);
    Ok(())
}

/// Guards against a host without an announcement key, which would accept anything signed
/// with the empty key.
#[test]
fn empty_key_rejects_all_announcements() {
    let (tx, _rx) = mpsc::channel(1);
    let announcements = AnnouncementReceiver::new(Vec::new(), HttpSettings::default(), tx);
    let signature = sign(b"", &body(1, 1));
    assert!(announcements.accept(Some(signature.as_bytes()), &body(1, 1)).is_err());
}

/// Guards against a stopping host that the load balancer still considers ready, or that is
/// reported as unhealthy while it drains.
#[tokio::test]
async fn stopping_host_is_healthy_but_not_ready() -> eyre::Result<()> {
    let listener = Listener::start(1).await?;
    assert_eq!(listener.get("/ready").await?.0, 200);
    listener.state.status.stopping.store(true, Ordering::SeqCst);
    assert_eq!(listener.get("/ready").await?.0, 503);
    assert_eq!(listener.get("/health").await?.0, 200);
    assert_eq!(listener.get("/other").await?.0, 404);
    Ok(())
}

/// Guards against renamed metrics and labels, on which operators' alerts depend.
#[test]
fn metrics_have_stable_names() {
    let entry = EntryMetrics::default();
    entry.record_request(Some(&"w".into()), RequestOutcome::OverRate);
    entry.record_request(None, RequestOutcome::Done);
    entry.record_read(ReadSource::Replica);
    entry.record_wait(Queue::Limit, Millis(20).duration());
    entry.set_lease_remaining(Millis(1_500));
    entry.set_revision(Revision(7));
    let control = ControlMetrics::default();
    control.set_role(ControlRole::Leader, 3);
    control.set_group_term(&"jobs".into(), Term(2));
    control.record_promotion(PromotionResult::Finished);
    let (entry, control) = (entry.encode(), control.encode());
    let cases = [
        (&entry, "pomelopin_requests_total{outcome=\"over_rate\",workspace=\"w\"} 1"),
        (&entry, "pomelopin_requests_total{outcome=\"done\",workspace=\"open\"} 1"),
        (&entry, "pomelopin_reads_total{source=\"replica\"} 1"),
        (&entry, "pomelopin_queue_wait_seconds_bucket{le=\"0.03\",queue=\"limit\"} 1"),
        (&entry, "pomelopin_lease_valid 1"),
        (&entry, "pomelopin_lease_remaining_seconds 1.5"),
        (&entry, "pomelopin_revision 7"),
        (&control, "pomelopin_control_role{role=\"leader\"} 1"),
        (&control, "pomelopin_control_role{role=\"follower\"} 0"),
        (&control, "pomelopin_control_term 3"),
        (&control, "pomelopin_group_term{service=\"jobs\"} 2"),
        (&control, "pomelopin_promotions_total{result=\"finished\"} 1"),
    ];
    for (text, line) in cases {
        assert!(text.lines().any(|found| found == line), "{line} is missing in\n{text}");
    }
}
