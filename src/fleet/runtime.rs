//! Start of a control host of a fleet.

use std::{collections::BTreeMap, future::Future, net::SocketAddr, path::PathBuf, sync::Arc};

use eyre::Result;
use tokio::sync::{mpsc, oneshot};

use crate::{
    adapters::{
        disk::{Disk, Opened},
        disk_queue::DiskQueue,
    },
    clock::{Clock, Millis, SystemClock},
    control::{
        driver::decode_state,
        node::{GroupPolicy, Node, NodeSettings},
    },
    fleet::{
        config::FleetConfig,
        control::{Control, ControlRequest, ControlResponse, Event, Parts},
        failover::{self, PromotionOutcome, TargetCommand, TargetStatus},
        link::listen,
        messages::Announcement,
        metrics::ControlMetrics,
        state::FleetState,
    },
    ids::{InstanceId, Service},
    settings::timing::GroupTiming,
    wire::group::Member,
};

/// Events that wait for the event loop.
const EVENTS: usize = 1024;

/// Entries before a snapshot that remain in the log; documents of many routes would
/// otherwise fill small disks.
const TAIL_ENTRIES: u64 = 64;

/// Calls of a control host to targets and to the platform.
pub trait Ports: Clone + 'static {
    /// Gives an order to a target; `None` without an answer.
    fn send_command(
        &self,
        target: &Announcement,
        command: TargetCommand,
    ) -> impl Future<Output = Option<TargetStatus>>;

    /// Calls the platform to make `target` the primary of `service`.
    fn promote(
        &self,
        service: &Service,
        target: &InstanceId,
        lease_holder: &str,
        token: u64,
    ) -> impl Future<Output = PromotionOutcome>;

    /// Reads an operator's document.
    fn decode_config(&self, document: &[u8]) -> Result<FleetConfig>;
}

/// Settings of a control host.
#[derive(Debug, Clone)]
pub struct FleetControlSettings {
    /// Address for other hosts; it also names the host.
    pub bus_addr: SocketAddr,
    /// Address to listen on for what is announced as `bus_addr`.
    pub listen_addr: SocketAddr,
    /// Address for operators and targets.
    pub http_addr: String,
    /// Bus addresses of the hosts that form the group, or that a joining host asks.
    pub seeds: Vec<String>,
    /// Whether the system starts for the first time.
    pub may_bootstrap: bool,
    pub data_folder: PathBuf,
    pub timing: GroupTiming,
    /// Name of the host in calls to the platform.
    pub lease_holder: String,
    /// Usual interval between a target's announcements.
    pub announce_interval: Millis,
}

/// Handle for calls to the event loop.
#[derive(Clone)]
pub struct ControlHandle {
    events: mpsc::Sender<Event>,
    pub metrics: Arc<ControlMetrics>,
}

impl ControlHandle {
    /// ControlResponse to `call`.
    pub async fn call(&self, call: ControlRequest) -> ControlResponse {
        let (reply, answer) = oneshot::channel();
        if self.events.send(Event::Call { call, reply }).await.is_err() {
            return ControlResponse::Unavailable;
        }
        answer.await.unwrap_or(ControlResponse::Unavailable)
    }
}

/// Tasks that call targets and the platform and report to the event loop.
#[derive(Debug, Clone)]
pub struct Tasks {
    events: mpsc::Sender<Event>,
}

impl Tasks {
    pub(super) fn send_command<P: Ports>(
        &self,
        ports: P,
        service: Service,
        target: Announcement,
        command: TargetCommand,
    ) {
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let status = ports.send_command(&target, command).await;
            let event = failover::Event::Answered { target: target.id, command, status };
            // The event loop is gone when the process stops.
            let _ = events.send(Event::Failover { service, event }).await;
        });
    }

    pub(super) fn promote<P: Ports>(
        &self,
        ports: P,
        service: Service,
        target: InstanceId,
        lease_holder: String,
        token: u64,
    ) {
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let outcome = ports.promote(&service, &target, &lease_holder, token).await;
            spdlog::info!("promotion was answered", kv: {service = service.as_str(), target = target.as_str(), token, outcome = format!("{outcome:?}").as_str()});
            let event = failover::Event::Called { token, outcome };
            let _ = events.send(Event::Failover { service, event }).await;
        });
    }
}

/// Starts the event loop in the current local set; the result ends with the loop.
pub fn start<P: Ports>(
    settings: &FleetControlSettings,
    ports: P,
) -> Result<(ControlHandle, impl Future<Output = Result<()>> + use<P>)> {
    let clock = SystemClock::default();
    let name = settings.bus_addr.to_string();
    let Opened { disk, id, stored, removed_bytes } = Disk::open(&settings.data_folder, &name)?;
    if removed_bytes > 0 {
        spdlog::warn!("removed {removed_bytes} bytes of an incomplete write from the log");
    }
    let state = match &stored.snapshot {
        Some(snapshot) => decode_state(&snapshot.data)?,
        None => FleetState::default(),
    };
    spdlog::info!("opened the data folder", kv: {id = id.as_str(), entries = stored.entries.len(), version = state.config.version});
    let node = Node::new(node_settings(settings, id), stored, clock.now());
    let (disk, confirmations) = DiskQueue::start(disk)?;
    let (events_tx, events) = mpsc::channel(EVENTS);
    let (inbound_tx, inbound) = mpsc::channel(EVENTS);
    let tasks = Tasks { events: events_tx.clone() };
    let name = settings.lease_holder.clone();
    let metrics = ControlMetrics::new();
    let parts = Parts {
        name,
        clock,
        node,
        disk,
        state,
        ports,
        tasks,
        metrics: metrics.clone(),
        announce_interval: settings.announce_interval,
    };
    let control = Control::new(parts);
    let listen_addr = settings.listen_addr;
    let run = async move {
        tokio::select! {
            result = listen(listen_addr, inbound_tx) => result,
            result = control.run(inbound, events, confirmations) => result,
        }
    };
    Ok((ControlHandle { events: events_tx, metrics }, run))
}

fn node_settings(settings: &FleetControlSettings, id: crate::ids::ControlId) -> NodeSettings {
    let name = settings.bus_addr.to_string();
    let group: BTreeMap<String, String> =
        settings.seeds.iter().map(|addr| (addr.clone(), addr.clone())).collect();
    NodeSettings {
        id,
        member: Member {
            name: name.clone(),
            bus_addr: name,
            http_addr: settings.http_addr.clone(),
            added_index: 0,
        },
        group,
        seed: rand::random(),
        timing: settings.timing.clone(),
        policy: GroupPolicy {
            dynamic_membership: true,
            may_bootstrap: settings.may_bootstrap,
            remove_after: Millis(8_000),
            tail_entries: TAIL_ENTRIES,
        },
    }
}
