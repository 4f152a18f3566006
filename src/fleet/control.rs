//! Event loop of a control host. Every host replicates the log; the leader also keeps the
//! registry of targets and the entry hosts, and changes primaries.

use std::{collections::HashMap, sync::Arc, time::Instant};

use bytes::Bytes;
use eyre::Result;
use tokio::sync::{mpsc, oneshot};

use crate::{
    adapters::disk_queue::{Confirmations, DiskQueue},
    clock::{Clock, Millis, SystemClock},
    control::{
        driver::Driver,
        group_log::GroupLog,
        node::{Input, Node},
    },
    fleet::{
        config::FleetConfig,
        config_acknowledgement::PendingRollout,
        document::decode_config,
        evacuation::EvacuationOrder,
        evacuation_acknowledgement::PendingEvacuation,
        failover,
        leader_state::LeaderState,
        link::{ConnectionId, Inbound, Links},
        loop_load::LoopLoad,
        messages::{Announcement, ConfigDocument, Frame, TargetRole},
        metrics::ControlMetrics,
        registry::AnnouncementEffect,
        runtime::{Ports, Tasks},
        state::{FleetCommand, FleetState},
    },
    gateway::log_limit::LogLimiter,
    ids::{ControlId, FailureDomain, InstanceId, Service},
    wire::group::GroupTerm,
};

/// Interval between ticks of the event loop.
pub const TICK: Millis = Millis(25);

/// Log entries after which a snapshot is stored and the log is truncated.
const SNAPSHOT_ENTRIES: u64 = 64;

/// Request of an operator or a target.
#[derive(Debug)]
pub enum ControlRequest {
    /// Puts a validated document in force.
    Configure(ConfigDocument),
    ReadConfig,
    Announce(Box<Announcement>),
    /// Deregisters a target.
    Leave(InstanceId),
    /// Evacuates a failure domain, or withdraws its evacuation.
    SetEvacuation {
        domain: FailureDomain,
        evacuated: bool,
    },
}

/// Response to a [`ControlRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlResponse {
    Done,
    Config(ConfigDocument),
    /// This host is not the leader; holds the leader's HTTP address.
    Leader(String),
    /// The request cannot be carried out; holds the reason.
    Rejected(String),
    /// No leader is known, or this host is the leader without a confirmed majority.
    Unavailable,
}

/// Event from another task.
#[derive(Debug)]
pub enum Event {
    Request {
        request: ControlRequest,
        reply: oneshot::Sender<ControlResponse>,
    },
    Failover {
        service: Service,
        event: failover::Event,
    },
    /// New bus addresses of the seeds.
    Seeds(Vec<String>),
}

/// What the event loop has to do next.
enum Wake {
    /// So many writes were synced to disk.
    Synced(usize),
    Inbound(Inbound),
    Event(Event),
    Tick,
}

/// Log entry whose commit a client waits for.
pub(super) struct PendingCommit {
    pub(super) index: u64,
    pub(super) term: GroupTerm,
    pub(super) reply: oneshot::Sender<ControlResponse>,
}

/// Event loop of a control host with its state.
pub struct ControlLoop<P> {
    pub(super) clock: SystemClock,
    pub(super) group: Driver,
    pub(super) group_log: GroupLog,
    pub(super) lease_holder: String,
    pub(super) links: Links,
    /// When each other control host was last heard, by name.
    pub(super) peers_heard_at: HashMap<String, Millis>,
    pub(super) state: FleetState,
    pub(super) config: FleetConfig,
    /// When this process learned that the configuration in force is committed.
    pub(super) config_committed_at: Millis,
    /// Queues of outgoing frames of accepted connections.
    pub(super) outgoing: HashMap<ConnectionId, mpsc::Sender<Bytes>>,
    pub(super) leader_state: Option<LeaderState>,
    /// Clients that wait for a proposal to be added to the log, by proposal id.
    pub(super) pending_proposals: HashMap<u64, oneshot::Sender<ControlResponse>>,
    pub(super) pending_commits: Vec<PendingCommit>,
    pub(super) pending_rollouts: Vec<PendingRollout>,
    pub(super) pending_evacuations: Vec<PendingEvacuation>,
    pub(super) ports: P,
    pub(super) tasks: Tasks,
    pub(super) metrics: Arc<ControlMetrics>,
    /// Limits the log lines on changed allocations.
    pub(super) allocation_log: LogLimiter,
    /// Limits the log lines on evacuation orders.
    pub(super) evacuation_log: LogLimiter,
    pub(super) load: LoopLoad,
    /// Expected interval between a target's announcements.
    pub(super) announce_interval: Millis,
    /// Whether the platform rejects promotions with a lower fencing token than an earlier
    /// one.
    pub(super) promotions_are_fenced: bool,
    /// Time after the acknowledgement of a configuration from which no host acts on an older one.
    pub(super) max_config_delay: Millis,
    /// Time after the acknowledgement of an evacuation from which no host sends statements to
    /// targets of the domain.
    pub(super) max_evacuation_delay: Millis,
}

/// Components of a [`ControlLoop`].
pub struct Components<P> {
    /// Name of the host in promotion requests to the platform.
    pub lease_holder: String,
    pub clock: SystemClock,
    pub node: Node,
    pub disk: DiskQueue,
    pub state: FleetState,
    pub ports: P,
    pub tasks: Tasks,
    pub metrics: Arc<ControlMetrics>,
    pub announce_interval: Millis,
    pub promotions_are_fenced: bool,
    pub max_config_delay: Millis,
    pub max_evacuation_delay: Millis,
}

impl<P: Ports> ControlLoop<P> {
    /// Builds the event loop from its components; `state` is that of the stored snapshot.
    pub fn new(components: Components<P>) -> Self {
        let Components {
            lease_holder,
            clock,
            node,
            disk,
            state,
            ports,
            tasks,
            metrics,
            announce_interval,
            promotions_are_fenced,
            max_config_delay,
            max_evacuation_delay,
        } = components;
        let config = decode_config(&ports, &state.config);
        Self {
            clock,
            group: Driver::new(node, clock, disk),
            group_log: GroupLog::default(),
            lease_holder,
            links: Links::default(),
            peers_heard_at: HashMap::new(),
            state,
            config,
            config_committed_at: clock.now(),
            outgoing: HashMap::new(),
            leader_state: None,
            pending_proposals: HashMap::new(),
            pending_commits: Vec::new(),
            pending_rollouts: Vec::new(),
            pending_evacuations: Vec::new(),
            ports,
            tasks,
            metrics,
            allocation_log: LogLimiter::default(),
            evacuation_log: LogLimiter::default(),
            load: LoopLoad::default(),
            announce_interval,
            promotions_are_fenced,
            max_config_delay,
            max_evacuation_delay,
        }
    }

    /// Runs until an error occurs or all event senders are dropped.
    pub async fn run(
        mut self,
        mut inbound: mpsc::Receiver<Inbound>,
        mut events: mpsc::Receiver<Event>,
        mut confirmations: Confirmations,
    ) -> Result<()> {
        let mut ticks = tokio::time::interval(TICK.duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let wake = tokio::select! {
                biased;
                Some(confirmed) = confirmations.recv() => Wake::Synced(confirmed?),
                Some(message) = inbound.recv() => Wake::Inbound(message),
                event = events.recv() => match event {
                    Some(event) => Wake::Event(event),
                    None => return Ok(()),
                },
                _ = ticks.tick() => Wake::Tick,
            };
            let began = Instant::now();
            match wake {
                Wake::Synced(count) => self.confirm(count)?,
                Wake::Inbound(message) => self.handle_inbound(message)?,
                Wake::Event(event) => self.handle_event(event),
                Wake::Tick => self.tick()?,
            }
            while let Ok(message) = inbound.try_recv() {
                self.handle_inbound(message)?;
            }
            while let Ok(event) = events.try_recv() {
                self.handle_event(event);
            }
            self.finish_batch()?;
            self.record_load(began);
        }
    }

    /// Records the time spent since `began`, and logs a second in which the loop had little
    /// time left.
    fn record_load(&mut self, began: Instant) {
        let Some(load) = self.load.record(began) else { return };
        let hosts = self.leader_state.as_ref().map_or(0, |leader| leader.hosts.len());
        spdlog::info!("control host is busy", kv: {busy_ms = load.busy.as_millis(), longest_ms = load.longest.as_millis(), limits_ms = load.limits.as_millis(), views_ms = load.views.as_millis(), failover_ms = load.failover.as_millis(), reporting_ms = load.reporting.as_millis(), reports = load.reports, hosts, leads = self.leader_state.is_some()});
    }

    fn tick(&mut self) -> Result<()> {
        self.step(Input::Tick)?;
        self.reconnect();
        self.group_log.record(self.clock.now(), &self.group);
        if self.group.node.is_serving(self.clock.now()) {
            self.leader_tick();
        }
        self.update_metrics();
        Ok(())
    }

    fn handle_inbound(&mut self, inbound: Inbound) -> Result<()> {
        match inbound {
            Inbound::Opened { id, outgoing } => {
                self.outgoing.insert(id, outgoing);
            }
            Inbound::Closed { id } => {
                self.outgoing.remove(&id);
            }
            Inbound::Received { id, frame } => self.handle_frame(id, *frame)?,
        }
        Ok(())
    }

    fn handle_frame(&mut self, id: ConnectionId, frame: Frame) -> Result<()> {
        match frame {
            Frame::Group(message) => {
                if !message.is_passed_on() {
                    self.record_peer(&message.from);
                }
                self.step(Input::Message(message))?;
            }
            // The host has given up waiting, and reports again on its next connection.
            Frame::Report(report) if !self.is_open(id) => self.record_unanswered(&report),
            Frame::Report(report) => {
                let began = Instant::now();
                self.restore_inventory();
                self.handle_report(id, &report);
                self.load.record_report(began);
            }
            _ => spdlog::debug!("ignoring an unexpected frame"),
        }
        Ok(())
    }

    /// Records that a control host was heard; its name is its address.
    fn record_peer(&mut self, from: &ControlId) {
        let Some((name, _)) = from.as_str().rsplit_once('.') else { return };
        self.peers_heard_at.insert(name.to_owned(), self.clock.now());
    }

    /// Whether frames can still be sent on a connection.
    fn is_open(&self, id: ConnectionId) -> bool {
        self.outgoing.get(&id).is_some_and(|queue| !queue.is_closed())
    }

    fn handle_event(&mut self, event: Event) {
        self.restore_inventory();
        match event {
            Event::Request { request, reply } => self.handle_request(request, reply),
            Event::Failover { service, event } => self.handle_failover_event(&service, event),
            Event::Seeds(seeds) => self.group.node.set_seeds(seeds),
        }
    }

    fn handle_request(&mut self, request: ControlRequest, reply: oneshot::Sender<ControlResponse>) {
        let now = self.clock.now();
        if !self.group.node.is_serving(now) || self.leader_state.is_none() {
            // The client may have stopped waiting.
            let _ = reply.send(self.not_serving_response());
            return;
        }
        match request {
            ControlRequest::Configure(document)
                if document.version <= self.state.config.version =>
            {
                spdlog::info!("configuration ignored: its version is not newer than the one in force", kv: {version = document.version, in_force = self.state.config.version});
                self.acknowledge_after_rollout(reply);
            }
            ControlRequest::Configure(document) => {
                let id = self.propose(&FleetCommand::Configure(document));
                self.pending_proposals.insert(id, reply);
            }
            ControlRequest::ReadConfig => {
                let _ = reply.send(ControlResponse::Config(self.state.config.clone()));
            }
            ControlRequest::Announce(announcement) => {
                self.handle_announcement(now, &announcement);
                let _ = reply.send(ControlResponse::Done);
            }
            ControlRequest::Leave(id) => {
                self.remove_target(&id);
                let _ = reply.send(ControlResponse::Done);
            }
            ControlRequest::SetEvacuation { domain, evacuated } => {
                self.handle_evacuation_order(&EvacuationOrder { domain, evacuated }, reply);
            }
        }
    }

    fn handle_announcement(&mut self, now: Millis, announcement: &Announcement) {
        let Some(leader) = &mut self.leader_state else { return };
        let effect = leader.registry.record(now, announcement);
        self.metrics.announcements.inc();
        if effect == AnnouncementEffect::Stale {
            self.metrics.stale_announcements.inc();
            spdlog::info!("stale announcement ignored", kv: {target = announcement.id.as_str(), sequence = announcement.sequence});
            return;
        }
        if effect == AnnouncementEffect::Changed {
            spdlog::info!("target changed", kv: {target = announcement.id.as_str(), service = announcement.service.as_str(), addr = announcement.addr.as_str(), role = format!("{:?}", announcement.role).as_str(), draining = announcement.draining});
            leader.view_push_urgent |=
                announcement.draining || announcement.role == TargetRole::Primary;
            leader.view_push_pending = true;
        }
        if announcement.role == TargetRole::Primary
            && leader.failover.record_primary_claim(&announcement.service, &announcement.id)
        {
            leader.view_push_urgent = true;
        }
    }

    fn remove_target(&mut self, id: &InstanceId) {
        let Some(leader) = &mut self.leader_state else { return };
        if leader.registry.remove(id) {
            spdlog::info!("target deregistered", kv: {target = id.as_str()});
            leader.view_push_urgent = true;
        }
    }

    /// Response of a host that is not the serving leader; names the leader if it is known.
    fn not_serving_response(&self) -> ControlResponse {
        let leader = self.group.node.role().leader.filter(|leader| leader != self.group.node.id());
        let member = leader.and_then(|id| self.group.node.members().0.get(&id).cloned());
        member.map_or(ControlResponse::Unavailable, |member| {
            ControlResponse::Leader(member.http_addr)
        })
    }

    pub(super) fn propose(&mut self, command: &FleetCommand) -> u64 {
        self.group.propose(command)
    }

    fn finish_batch(&mut self) -> Result<()> {
        self.advance_limits();
        while let Some(input) = self.group.take_proposals() {
            self.step(input)?;
        }
        if let Some(input) = self.group.compaction(SNAPSHOT_ENTRIES, &self.state.snapshot())? {
            self.step(input)?;
        }
        self.restore_inventory();
        self.push_view();
        self.acknowledge_rollouts();
        self.acknowledge_evacuations();
        Ok(())
    }
}
