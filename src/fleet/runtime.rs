//! Startup of a fleet's control host, its ports and the handle to its event loop.

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
        group_log::log_start,
        node::{GroupPolicy, Node, NodeSettings},
    },
    fleet::{
        config::FleetConfig,
        control::{Components, ControlLoop, ControlRequest, ControlResponse, Event},
        failover::{self, TargetCommand, TargetStatus},
        link::listen,
        messages::Announcement,
        metrics::ControlMetrics,
        state::FleetState,
    },
    ids::{InstanceId, Service},
    settings::timing::GroupTiming,
    wire::group::Member,
};

pub use crate::fleet::failover::PromotionOutcome;

/// Capacity of the queue of events to the event loop.
const EVENT_QUEUE_LEN: usize = 1024;

/// Capacity of the queue of frames to the event loop. Further ones stay with their senders: the
/// connections decode what the queue takes before the event loop runs again.
const INBOUND_QUEUE_LEN: usize = 64;

/// Entries before a snapshot that remain in the log. More would fill small disks, as each
/// may hold a configuration of thousands of routes.
const TAIL_ENTRIES: u64 = 64;

/// Time within which a promotion must be sent after it was decided. A later leader sends none
/// earlier, because the leases of entry hosts outlive their leader by more than this.
const PROMOTION_SEND_WINDOW: Millis = Millis(1_000);

/// Requests of a control host to targets and to the platform.
pub trait Ports: Clone + 'static {
    /// Sends a command to a target; `None` if it does not answer.
    fn send_command(
        &self,
        target: &Announcement,
        command: TargetCommand,
    ) -> impl Future<Output = Option<TargetStatus>>;

    /// Requests a promotion from the platform.
    fn promote(&self, request: &PromotionRequest) -> impl Future<Output = PromotionOutcome>;

    /// Parses an operator's configuration document.
    fn decode_config(&self, document: &[u8]) -> Result<FleetConfig>;
}

/// Request to the platform to make `target` the primary of `service`.
#[derive(Debug, Clone)]
pub struct PromotionRequest {
    pub service: Service,
    pub target: InstanceId,
    pub lease_holder: String,
    /// Fencing token.
    pub token: u64,
    clock: SystemClock,
    /// Until when the request may be sent.
    expires_at: Millis,
}

impl PromotionRequest {
    /// Request that was decided now.
    pub fn new(
        service: Service,
        target: InstanceId,
        lease_holder: String,
        token: u64,
        clock: SystemClock,
    ) -> Self {
        let expires_at = clock.now() + PROMOTION_SEND_WINDOW;
        Self { service, target, lease_holder, token, clock, expires_at }
    }

    /// Whether it is too late to send the request.
    pub fn has_expired(&self) -> bool {
        self.clock.now() >= self.expires_at
    }
}

/// Settings of a control host.
#[derive(Debug, Clone)]
pub struct FleetControlSettings {
    /// Advertised address for other hosts; it also names the host.
    pub bus_addr: SocketAddr,
    /// Local address to listen on for connections to `bus_addr`.
    pub listen_addr: SocketAddr,
    /// Address for operators and targets.
    pub http_addr: String,
    /// Bus addresses of the hosts that form the group, or that a joining host contacts.
    pub seeds: Vec<String>,
    /// Whether the host may form a new group: the system starts for the first time.
    pub may_bootstrap: bool,
    pub data_folder: PathBuf,
    /// Number of disks of control hosts that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Time after its start from which a host that replaces a lost one counts as in place.
    pub replacement_time: Millis,
    pub timing: GroupTiming,
    /// Name of the host in promotion requests to the platform.
    pub lease_holder: String,
    /// Expected interval between a target's announcements.
    pub announce_interval: Millis,
    /// Whether the platform rejects promotions with a lower fencing token than an earlier
    /// one.
    pub promotions_are_fenced: bool,
    /// Time after the acknowledgement of a configuration from which no host acts on an older one.
    pub max_config_delay: Millis,
    /// Time after the acknowledgement of an evacuation from which no host sends statements to
    /// targets of the failure domain.
    pub max_evacuation_delay: Millis,
}

/// Handle for requests to the event loop.
#[derive(Clone)]
pub struct ControlHandle {
    events: mpsc::Sender<Event>,
    pub metrics: Arc<ControlMetrics>,
}

impl ControlHandle {
    /// Sends a request to the event loop and waits for the response.
    pub async fn call(&self, request: ControlRequest) -> ControlResponse {
        let (reply, response) = oneshot::channel();
        if self.events.send(Event::Request { request, reply }).await.is_err() {
            return ControlResponse::Unavailable;
        }
        response.await.unwrap_or(ControlResponse::Unavailable)
    }

    /// Replaces the seeds that the host asks for its group.
    pub async fn set_seeds(&self, seeds: Vec<String>) {
        // The receiver is dropped when the process stops.
        let _ = self.events.send(Event::Seeds(seeds)).await;
    }
}

/// Spawns tasks that send requests to targets and to the platform, and report the results
/// to the event loop.
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
        sent_at: Millis,
    ) {
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let status = ports.send_command(&target, command).await;
            let target = target.id;
            let event = failover::Event::CommandCompleted { target, command, sent_at, status };
            // The receiver is dropped when the process stops.
            let _ = events.send(Event::Failover { service, event }).await;
        });
    }

    pub(super) fn promote<P: Ports>(&self, ports: P, request: PromotionRequest) {
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let outcome = ports.promote(&request).await;
            let PromotionRequest { service, target, token, .. } = request;
            spdlog::info!("promotion request completed", kv: {service = service.as_str(), target = target.as_str(), token, outcome = format!("{outcome:?}").as_str()});
            let event = failover::Event::PromotionCompleted { token, outcome };
            let _ = events.send(Event::Failover { service, event }).await;
        });
    }
}

/// Prepares the event loop and returns its handle and the future that runs it.
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
        Some(snapshot) => FleetState::decode(&snapshot.data)?,
        None => FleetState::default(),
    };
    spdlog::info!("data folder opened", kv: {id = id.as_str(), entries = stored.entries.len(), version = state.config.version});
    let node = Node::new(node_settings(settings, id), stored, clock.now());
    log_start(&node);
    let (disk, confirmations) = DiskQueue::start(disk)?;
    let (events_tx, events) = mpsc::channel(EVENT_QUEUE_LEN);
    let (inbound_tx, inbound) = mpsc::channel(INBOUND_QUEUE_LEN);
    let tasks = Tasks { events: events_tx.clone() };
    let lease_holder = settings.lease_holder.clone();
    let metrics = ControlMetrics::new();
    let components = Components {
        lease_holder,
        clock,
        node,
        disk,
        state,
        ports,
        tasks,
        metrics: metrics.clone(),
        announce_interval: settings.announce_interval,
        promotions_are_fenced: settings.promotions_are_fenced,
        max_config_delay: settings.max_config_delay,
        max_evacuation_delay: settings.max_evacuation_delay,
    };
    let control = ControlLoop::new(components);
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
            may_bootstrap: settings.may_bootstrap,
            tail_entries: TAIL_ENTRIES,
            ..GroupPolicy::dynamic(settings.tolerated_losses, settings.replacement_time)
        },
    }
}
