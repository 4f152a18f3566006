//! Acknowledgement of a configuration by a control host with an entry host that confirms it, or
//! that does not.

use std::time::Duration;

use eyre::Result;
use futures::{SinkExt, StreamExt};
use pomelopin::{
    clock::{Clock, Millis, SystemClock},
    fleet::{
        config::FleetConfig,
        control::{ControlRequest, ControlResponse},
        document::compress,
        failover::{TargetCommand, TargetStatus},
        link::{FrameWriter, connect, decode, encode, split_framed},
        messages::{
            Announcement, ConfigDocument, ConfigStatus, Frame, HostReport, LimitReport,
            ViewRevision,
        },
        runtime::{
            ControlHandle, FleetControlSettings, Ports, PromotionOutcome, PromotionRequest, start,
        },
    },
    ids::Incarnation,
    settings::timing::GroupTiming,
};
use tokio::{
    sync::{mpsc, watch},
    task::LocalSet,
    time::{sleep, timeout},
};

/// Time after the acknowledgement from which no host may act on an older version. Hosts act on a
/// configuration for 6.6 s after its renewal at most, so a silent one is waited for for 1.6 s.
const MAX_CONFIG_DELAY: Millis = Millis(5_000);

const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time in which a version is acknowledged that all hosts confirm.
const SOON: Duration = Duration::from_millis(1_000);

/// Time for which a version is held back that a host does not confirm.
const HELD_BACK: Duration = Duration::from_millis(1_200);

/// Time in which a version is acknowledged in any case.
const AT_LAST: Duration = Duration::from_millis(4_000);

#[derive(Clone)]
struct StubPorts;

impl Ports for StubPorts {
    async fn send_command(&self, _: &Announcement, _: TargetCommand) -> Option<TargetStatus> {
        None
    }

    async fn promote(&self, _: &PromotionRequest) -> PromotionOutcome {
        std::future::pending().await
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(FleetConfig::default())
    }
}

/// Starts a group of one control host.
fn start_control(folder: &std::path::Path) -> (ControlHandle, String) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("free port");
    let addr = listener.local_addr().expect("bound");
    drop(listener);
    let settings = FleetControlSettings {
        bus_addr: addr,
        listen_addr: addr,
        http_addr: "127.0.0.1:1".to_owned(),
        seeds: vec![addr.to_string()],
        may_bootstrap: true,
        data_folder: folder.to_owned(),
        timing: GroupTiming::default(),
        lease_holder: "c1".to_owned(),
        announce_interval: Millis(1_200),
        promotions_are_fenced: true,
        max_config_delay: MAX_CONFIG_DELAY,
    };
    let (handle, run) = start(&settings, StubPorts).expect("control host");
    tokio::task::spawn_local(async move { run.await.expect("running control host") });
    (handle, addr.to_string())
}

fn report(sent_at: Millis, config_version: u64) -> HostReport {
    HostReport {
        host: "h1".into(),
        incarnation: Incarnation(1),
        sent_at,
        config_version,
        view_revision: ViewRevision::default(),
        bus_addr: "127.0.0.1:2".to_owned(),
        domain: "a".into(),
        leaving: false,
        usage: Vec::new(),
        targets: Vec::new(),
        acknowledged: Vec::new(),
        known_targets: Vec::new(),
        limits: Some(LimitReport::default()),
    }
}

async fn send_report(writer: &mut FrameWriter, sent_at: Millis, version: u64) {
    let report = report(sent_at, version);
    writer.send(encode(&Frame::Report(report))).await.expect("open connection");
}

/// Reports as an entry host; takes new versions while `takes_versions` is set. Passes on what
/// the leader says of the host's version.
async fn run_host(
    addr: String,
    takes_versions: watch::Receiver<bool>,
    statuses: mpsc::UnboundedSender<ConfigStatus>,
) {
    let clock = SystemClock::default();
    let (mut reader, mut writer) = split_framed(connect(&addr).await.expect("control host"));
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    let mut version = 0;
    loop {
        tokio::select! {
            _ = reports.tick() => send_report(&mut writer, clock.now(), version).await,
            Some(Ok(bytes)) = reader.next() => {
                let Ok(Frame::Update(update)) = decode(&bytes) else { continue };
                if let Some(status) = update.config_status {
                    // Only some tests read them.
                    let _ = statuses.send(status);
                }
                if let Some(config) = update.config && *takes_versions.borrow() {
                    version = config.version;
                    send_report(&mut writer, clock.now(), version).await;
                }
            }
        }
    }
}

async fn configure(control: &ControlHandle, version: u64) -> ControlResponse {
    let deflated = compress(b"{}").expect("compression in memory");
    let document = ConfigDocument { version, deflated };
    control.call(ControlRequest::Configure(document)).await
}

async fn wait_for_leader(control: &ControlHandle) {
    while control.call(ControlRequest::ReadConfig).await == ControlResponse::Unavailable {
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an acknowledgement while a host may act on the version before for longer than
/// the operator was promised (CONFIG on kcrc-pool-large), and against one that waits for hosts
/// which have confirmed or never will.
#[tokio::test]
async fn configuration_is_acknowledged_when_no_host_can_act_on_an_older_one_for_long() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let folder = tempfile::tempdir().expect("temporary folder");
            let (control, addr) = start_control(folder.path());
            wait_for_leader(&control).await;
            let (takes_versions, receiver) = watch::channel(true);
            let (statuses_tx, mut statuses) = mpsc::unbounded_channel();
            tokio::task::spawn_local(run_host(addr, receiver, statuses_tx));
            let first = timeout(AT_LAST, configure(&control, 1)).await;
            assert_eq!(first, Ok(ControlResponse::Done));
            sleep(HELD_BACK).await;
            let confirmed = timeout(SOON, configure(&control, 2)).await;
            assert_eq!(confirmed, Ok(ControlResponse::Done), "all hosts confirm it");
            takes_versions.send_replace(false);
            let held_back = timeout(HELD_BACK, configure(&control, 3)).await;
            assert!(held_back.is_err(), "a host may act on version 2 for longer than 5 s");
            let sent_again = timeout(AT_LAST, configure(&control, 3)).await;
            assert_eq!(sent_again, Ok(ControlResponse::Done), "the host has stopped by then");
            let mut last = None;
            while let Ok(status) = statuses.try_recv() {
                last = Some(status);
            }
            let is_superseded =
                matches!(last, Some(ConfigStatus::SupersededFor(span)) if span >= Millis(1_000));
            assert!(is_superseded, "version 2 is not renewed any more: {last:?}");
        })
        .await;
}
