//! Evacuation orders at running control hosts, with an entry host that confirms the views or does
//! not.

mod fleet_fixture;

use std::time::Duration;

use fleet_fixture::{
    ControlHost, free_addrs, send_report_with_view, start_control, wait_for_leader,
};
use futures::StreamExt;
use pomelopin::{
    clock::{Clock, SystemClock},
    fleet::{
        control::{ControlRequest, ControlResponse},
        evacuation::MAX_EVACUATED_DOMAINS,
        link::{connect, decode, split_framed},
        messages::{Frame, ViewRevision},
        runtime::ControlHandle,
    },
    ids::FailureDomain,
};
use tokio::{
    sync::{mpsc, watch},
    task::LocalSet,
    time::{sleep, timeout},
};

const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time in which an order is acknowledged that nothing holds back.
const SOON: Duration = Duration::from_millis(1_000);

/// Time for which an evacuation is held back that a host does not confirm. The host uses its view
/// for 6.6 s at most after its last report, and may do so for 5 s after the acknowledgement.
const HELD_BACK: Duration = Duration::from_millis(1_200);

/// Time in which an evacuation is acknowledged in any case, also by a new leader.
const AT_LAST: Duration = Duration::from_millis(4_000);

/// Time in which a group without its leader elects another one.
const ELECTION: Duration = Duration::from_millis(5_000);

/// Reports as an entry host; confirms new views while `confirms` is set. Passes on the evacuated
/// domains in each view.
async fn run_host(
    addr: String,
    confirms: watch::Receiver<bool>,
    views: mpsc::UnboundedSender<Vec<FailureDomain>>,
) {
    let clock = SystemClock::default();
    let (mut reader, mut writer) = split_framed(connect(&addr).await.expect("control host"));
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    let mut revision = ViewRevision::default();
    loop {
        tokio::select! {
            _ = reports.tick() => send_report_with_view(&mut writer, clock.now(), 1, revision).await,
            Some(Ok(bytes)) = reader.next() => {
                let Ok(Frame::Update(update)) = decode(&bytes) else { continue };
                let Some(view) = update.view else { continue };
                // Only some tests read them.
                let _ = views.send(view.evacuated);
                if *confirms.borrow() {
                    revision = view.revision;
                }
            }
        }
    }
}

async fn order(control: &ControlHandle, domain: &str, evacuated: bool) -> ControlResponse {
    control.call(ControlRequest::SetEvacuation { domain: domain.into(), evacuated }).await
}

/// Guards against an acknowledgement while a host may use a view without the evacuation for longer
/// than the operator was promised, and against one that waits for a host which has confirmed the
/// view or never will. A withdrawal waits for no host, and ends the wait for the evacuation, whose
/// promise does not hold any more.
#[tokio::test]
async fn evacuation_is_acknowledged_when_no_host_can_miss_it_for_long() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let folder = tempfile::tempdir().expect("temporary folder");
            let addrs = free_addrs(1);
            let hosts = [start_control(folder.path(), addrs[0], &addrs)];
            wait_for_leader(&hosts).await;
            let (control, addr) = (&hosts[0].handle, hosts[0].addr.clone());
            let (confirms, receiver) = watch::channel(true);
            let (views, mut evacuated) = mpsc::unbounded_channel();
            tokio::task::spawn_local(run_host(addr, receiver, views));
            let first = timeout(AT_LAST, order(control, "b", true)).await;
            assert_eq!(first, Ok(ControlResponse::Done));
            sleep(HELD_BACK).await;
            let confirmed = timeout(SOON, order(control, "a", true)).await;
            assert_eq!(confirmed, Ok(ControlResponse::Done), "the host confirms the view");
            confirms.send_replace(false);
            let held_back = timeout(HELD_BACK, order(control, "c", true)).await;
            assert!(held_back.is_err(), "the host still reports a view without the domain");
            let repeated = timeout(SOON, order(control, "a", true)).await;
            assert_eq!(repeated, Ok(ControlResponse::Done), "the host's view names the domain");
            let (waiting, withdrawn) = tokio::join!(order(control, "c", true), async {
                sleep(Duration::from_millis(200)).await;
                timeout(SOON, order(control, "c", false)).await
            });
            assert_eq!(withdrawn, Ok(ControlResponse::Done));
            assert_eq!(waiting, ControlResponse::Unavailable, "the evacuation does not apply");
            sleep(REPORT_INTERVAL).await;
            let mut last = Vec::new();
            while let Ok(domains) = evacuated.try_recv() {
                last = domains;
            }
            assert_eq!(last, ["a".into(), "b".into()], "every view names them");
        })
        .await;
}

/// Guards against invalid orders that reach the log, and orders beyond the limit that do so
/// together.
#[tokio::test]
async fn invalid_orders_are_rejected() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let folder = tempfile::tempdir().expect("temporary folder");
            let addrs = free_addrs(1);
            let hosts = [start_control(folder.path(), addrs[0], &addrs)];
            wait_for_leader(&hosts).await;
            let control = &hosts[0].handle;
            let is_rejected = |it: &ControlResponse| matches!(it, ControlResponse::Rejected(_));
            assert!(is_rejected(&order(control, "", true).await));
            assert!(is_rejected(&order(control, &"x".repeat(129), false).await));
            let names: Vec<String> =
                (0..MAX_EVACUATED_DOMAINS + 3).map(|it| format!("d{it}")).collect();
            let orders = names.iter().map(|name| order(control, name, true));
            let responses = timeout(AT_LAST, futures::future::join_all(orders)).await;
            let responses = responses.expect("all orders are answered");
            let rejected = responses.iter().filter(|it| is_rejected(it)).count();
            let done = responses.iter().filter(|it| **it == ControlResponse::Done).count();
            assert_eq!((rejected, done), (3, MAX_EVACUATED_DOMAINS));
        })
        .await;
}

/// Index of the host that leads.
async fn wait_for_new_leader(hosts: &[ControlHost]) -> usize {
    timeout(ELECTION, wait_for_leader(hosts)).await.expect("a new leader")
}

/// Guards against an evacuation that is lost, or acknowledged without its promise, with a leader
/// that is lost between the commit and the acknowledgement: the operator is told to repeat the
/// order, every view of the next leader names the domain, and only the next leader acknowledges it.
#[tokio::test]
async fn evacuation_survives_its_leader() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let folder = tempfile::tempdir().expect("temporary folder");
            let addrs = free_addrs(3);
            let start = |addr| start_control(folder.path(), addr, &addrs);
            let mut hosts: Vec<ControlHost> = addrs.iter().copied().map(start).collect();
            let leader = wait_for_new_leader(&hosts).await;
            let (_confirms, receiver) = watch::channel(false);
            let (views, _) = mpsc::unbounded_channel();
            tokio::task::spawn_local(run_host(hosts[leader].addr.clone(), receiver, views));
            sleep(REPORT_INTERVAL).await;
            let former = hosts.remove(leader);
            let (response, ()) = tokio::join!(order(&former.handle, "b", true), async {
                sleep(Duration::from_millis(500)).await;
                former.task.abort();
            });
            assert_eq!(response, ControlResponse::Unavailable);
            let leader = wait_for_new_leader(&hosts).await;
            let (_confirms, receiver) = watch::channel(true);
            let (views, mut evacuated) = mpsc::unbounded_channel();
            tokio::task::spawn_local(run_host(hosts[leader].addr.clone(), receiver, views));
            let first = timeout(SOON, evacuated.recv()).await.expect("a view");
            assert_eq!(first, Some(vec!["b".into()]));
            let repeated = timeout(AT_LAST, order(&hosts[leader].handle, "b", true)).await;
            assert_eq!(repeated, Ok(ControlResponse::Done));
        })
        .await;
}
