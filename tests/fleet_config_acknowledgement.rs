//! Acknowledgement of a configuration by a control host with an entry host that confirms it, or
//! that does not.

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::{free_addrs, send_report, start_control, wait_for_leader};
use futures::StreamExt;
use pomelopin::{
    clock::{Clock, Millis, SystemClock},
    fleet::{
        control::{ControlRequest, ControlResponse},
        document::compress,
        link::{connect, decode, split_framed},
        messages::{ConfigDocument, ConfigStatus, Frame},
        runtime::ControlHandle,
    },
};
use tokio::{
    sync::{mpsc, watch},
    task::LocalSet,
    time::{sleep, timeout},
};

const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time in which a version is acknowledged that all hosts confirm.
const SOON: Duration = Duration::from_millis(1_000);

/// Time for which a version is held back that a host does not confirm. The host acts on the one
/// before for 6.6 s at most after its last renewal, and may do so for 5 s after the
/// acknowledgement.
const HELD_BACK: Duration = Duration::from_millis(1_200);

/// Time in which a version is acknowledged in any case.
const AT_LAST: Duration = Duration::from_millis(4_000);

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

/// Guards against an acknowledgement while a host may act on the version before for longer than
/// the operator was promised (CONFIG on kcrc-pool-large), and against one that waits for hosts
/// which have confirmed or never will.
#[tokio::test]
async fn configuration_is_acknowledged_when_no_host_can_act_on_an_older_one_for_long() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let folder = tempfile::tempdir().expect("temporary folder");
            let addrs = free_addrs(1);
            let hosts = [start_control(folder.path(), addrs[0], &addrs)];
            wait_for_leader(&hosts).await;
            let (control, addr) = (&hosts[0].handle, hosts[0].addr.clone());
            let (takes_versions, receiver) = watch::channel(true);
            let (statuses_tx, mut statuses) = mpsc::unbounded_channel();
            tokio::task::spawn_local(run_host(addr, receiver, statuses_tx));
            let first = timeout(AT_LAST, configure(control, 1)).await;
            assert_eq!(first, Ok(ControlResponse::Done));
            sleep(HELD_BACK).await;
            let confirmed = timeout(SOON, configure(control, 2)).await;
            assert_eq!(confirmed, Ok(ControlResponse::Done), "all hosts confirm it");
            takes_versions.send_replace(false);
            let held_back = timeout(HELD_BACK, configure(control, 3)).await;
            assert!(held_back.is_err(), "a host may act on version 2 for longer than 5 s");
            let sent_again = timeout(AT_LAST, configure(control, 3)).await;
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
