//! Start of a control host: opens the adapters and runs the event loop.

use std::{
    sync::Arc,
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use eyre::{Result, WrapErr, eyre};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot},
};

use crate::{
    adapters::{
        bus::{Bus, BusSettings, InboundMessage},
        disk::{Disk, Opened},
        disk_queue::{Confirmations, DiskQueue},
        fencing::FencingClient,
        operator_http::{HttpCx, router},
    },
    clock::{Clock, SystemClock},
    control::{
        driver::decode_state,
        event_loop::{Event, EventLoop, Parts},
        group_log::log_start,
        metrics::Metrics,
        node::{GroupPolicy, Node, NodeSettings},
    },
    ids::Incarnation,
    settings::control::ControlSettings,
    state::model::ClusterState,
    wire::group::Member,
};

/// Largest number of events queued for the event loop.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// Runs a control host until it receives a termination signal or fails.
pub async fn run(settings: ControlSettings) -> Result<()> {
    let settings = Arc::new(settings);
    let clock = SystemClock::default();
    let http = TcpListener::bind(settings.http_listen)
        .await
        .wrap_err_with(|| format!("cannot bind the HTTP listener to {}", settings.http_listen))?;
    let (bus, inbound) = Bus::bind(BusSettings {
        listen: settings.bus_listen.to_string(),
        name: settings.name.clone(),
        incarnation: incarnation(),
        key: settings.host_key.clone(),
    })?;
    let (events_tx, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let metrics = Arc::new(Metrics::new());
    let fencing = FencingClient::new(tokio::runtime::Handle::current(), &events_tx)?;
    let (event_loop, confirmations) =
        open_event_loop(&settings, clock, bus.clone(), fencing, metrics.clone())?;
    let result_rx = spawn_event_loop(event_loop, inbound, events, confirmations)?;
    let token = settings.token.clone();
    let cx = HttpCx { clock, token, bus, metrics, events: events_tx };
    let server = axum::serve(http, router(cx));
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        served = server => served.wrap_err("the HTTP listener failed"),
        result = result_rx => result.unwrap_or_else(|_| Err(eyre!("the event loop stopped"))),
        _ = terminate.recv() => Ok(()),
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

/// Opens the data folder and creates an event loop with the stored state.
fn open_event_loop(
    settings: &Arc<ControlSettings>,
    clock: SystemClock,
    bus: Bus,
    fencing: FencingClient,
    metrics: Arc<Metrics>,
) -> Result<(EventLoop, Confirmations)> {
    let Opened { disk, id, stored, removed_bytes } =
        Disk::open(&settings.data_folder, &settings.name)?;
    if removed_bytes > 0 {
        spdlog::warn!("removed {removed_bytes} bytes of an incomplete write from the log");
    }
    let state = match &stored.snapshot {
        Some(snapshot) => decode_state(&snapshot.data)?,
        None => ClusterState::default(),
    };
    let entries = stored.entries.len();
    spdlog::info!("opened the data folder", kv: {id = id.as_str(), entries, revision = state.view.revision.0});
    let node = Node::new(node_settings(settings, id), stored, clock.now());
    log_start(&node);
    let settings = settings.clone();
    let (disk, confirmations) = DiskQueue::start(disk)?;
    let parts = Parts { settings, clock, node, disk, bus, fencing, state, metrics };
    Ok((EventLoop::new(parts), confirmations))
}

fn node_settings(settings: &ControlSettings, id: crate::ids::ControlId) -> NodeSettings {
    let member = Member {
        name: settings.name.clone(),
        bus_addr: settings.control_hosts.get(&settings.name).cloned().unwrap_or_default(),
        http_addr: settings.http_listen.to_string(),
        added_index: 0,
    };
    NodeSettings {
        id,
        member,
        group: settings.control_hosts.clone(),
        seed: rand::random(),
        timing: settings.group_timing.clone(),
        policy: GroupPolicy {
            tolerated_losses: settings.control_hosts.len().saturating_sub(1) / 2,
            ..GroupPolicy::default()
        },
    }
}

/// Runs the event loop on a separate thread, so that HTTP requests do not delay it.
fn spawn_event_loop(
    event_loop: EventLoop,
    inbound: mpsc::Receiver<InboundMessage>,
    events: mpsc::Receiver<Event>,
    confirmations: Confirmations,
) -> Result<oneshot::Receiver<Result<()>>> {
    let (result_tx, result_rx) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        // The receiver is dropped when the process stops.
        let _ = result_tx.send(runtime.block_on(event_loop.run(inbound, events, confirmations)));
    })?;
    Ok(result_rx)
}

/// Wall-clock time of the start, so that it increases with every restart.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
