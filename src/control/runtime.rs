//! Start of a control host: opens its adapters and runs the event loop.

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
        bus::{Bus, BusSettings, Inbound},
        disk::{Disk, Opened},
        disk_queue::{Confirmations, DiskQueue},
        fencing::Fencing,
        operator_http::{HttpCx, router},
    },
    clock::{Clock, SystemClock},
    control::{
        driver::decode_state,
        event_loop::{Event, EventLoop, Parts},
        metrics::Metrics,
        node::{GroupPolicy, Node, NodeSettings},
    },
    ids::Incarnation,
    settings::control::ControlSettings,
    state::model::ClusterState,
    wire::group::Member,
};

/// Events that wait for the event loop.
const EVENTS: usize = 1024;

/// Runs a control host until it is told to stop or fails.
pub async fn run(settings: ControlSettings) -> Result<()> {
    let settings = Arc::new(settings);
    let clock = SystemClock::default();
    let http = TcpListener::bind(settings.http_listen)
        .await
        .wrap_err_with(|| format!("the HTTP listener cannot use {}", settings.http_listen))?;
    let (bus, inbound) = Bus::bind(BusSettings {
        listen: settings.bus_listen.to_string(),
        name: settings.name.clone(),
        incarnation: incarnation(),
        key: settings.host_key.clone(),
    })?;
    let (events_tx, events) = mpsc::channel(EVENTS);
    let metrics = Arc::new(Metrics::new());
    let fencing = Fencing::new(tokio::runtime::Handle::current(), &events_tx)?;
    let (core, confirmations) = open(&settings, clock, bus.clone(), fencing, metrics.clone())?;
    let failed = spawn(core, inbound, events, confirmations)?;
    let token = settings.token.clone();
    let cx = HttpCx { clock, token, bus, metrics, events: events_tx };
    let server = axum::serve(http, router(cx));
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        served = server => served.wrap_err("the HTTP listener failed"),
        result = failed => result.unwrap_or_else(|_| Err(eyre!("the event loop stopped"))),
        _ = terminate.recv() => Ok(()),
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

/// Opens the data folder and restores the state.
fn open(
    settings: &Arc<ControlSettings>,
    clock: SystemClock,
    bus: Bus,
    fencing: Fencing,
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
    let settings = settings.clone();
    let (disk, confirmations) = DiskQueue::start(disk)?;
    let parts = Parts { settings, clock, node, disk, bus, fencing, state, metrics };
    Ok((EventLoop::new(parts), confirmations))
}

fn node_settings(settings: &ControlSettings, id: crate::ids::ControlId) -> NodeSettings {
    let member = Member {
        name: settings.name.clone(),
        bus_addr: settings.group.get(&settings.name).cloned().unwrap_or_default(),
        http_addr: settings.http_listen.to_string(),
        added_index: 0,
    };
    NodeSettings {
        id,
        member,
        group: settings.group.clone(),
        seed: rand::random(),
        timing: settings.group_timing.clone(),
        policy: GroupPolicy::default(),
    }
}

/// Runs the event loop on a thread of its own, so that HTTP requests do not delay it.
fn spawn(
    core: EventLoop,
    inbound: mpsc::Receiver<Inbound>,
    events: mpsc::Receiver<Event>,
    confirmations: Confirmations,
) -> Result<oneshot::Receiver<Result<()>>> {
    let (done, failed) = oneshot::channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        // The receiver is gone when the process stops.
        let _ = done.send(runtime.block_on(core.run(inbound, events, confirmations)));
    })?;
    Ok(failed)
}

/// Wall-clock time of the start; larger than that of earlier processes.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
