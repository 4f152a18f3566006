//! Event loop of a control host: the replicated log, and as its leader the registry,
//! the entry hosts and the changes of primaries.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use eyre::Result;
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};

use crate::{
    adapters::disk_queue::{Confirmations, DiskQueue},
    clock::{Clock, Millis, SystemClock},
    control::{
        driver::Driver,
        node::{Input, Node, Role},
    },
    fleet::{
        config::FleetConfig,
        document::decode_config,
        failover::{self, Failover},
        hosts::Hosts,
        link::{ConnectionId, Inbound, Links},
        messages::{
            Announcement, ConfigDocument, FleetView, Frame, Share, TargetRole, ViewRevision,
        },
        metrics::{ControlMetrics, ControlState},
        registry::{Noted, Registry},
        runtime::{Ports, Tasks},
        shares::Rates,
        state::{FleetCommand, FleetState},
    },
    ids::{HostId, InstanceId, Service},
    wire::group::GroupTerm,
};

/// Interval between ticks of the event loop.
pub const TICK: Millis = Millis(25);

/// Interval between looks at the targets' health.
const FAILOVER_TICK: Millis = Millis(50);

/// Entries after which the state is stored and the log shortened.
const SNAPSHOT_ENTRIES: u64 = 64;

/// Call of an operator or a target.
#[derive(Debug)]
pub enum ControlRequest {
    /// Puts a checked document in force.
    Configure(ConfigDocument),
    ReadConfig,
    Announce(Box<Announcement>),
    Leave(InstanceId),
}

/// ControlResponse to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlResponse {
    Done,
    Config(ConfigDocument),
    /// HTTP address of the leader.
    Leader(String),
    /// No leader is known, or this host cannot prove that it leads.
    Unavailable,
}

/// Event from another task.
#[derive(Debug)]
pub enum Event {
    Call { call: ControlRequest, reply: oneshot::Sender<ControlResponse> },
    Failover { service: Service, event: failover::Event },
}

/// State that exists only while the host leads.
pub(super) struct Leading {
    pub(super) since: Millis,
    pub(super) registry: Registry,
    pub(super) hosts: Hosts,
    pub(super) failover: Failover,
    pub(super) rates: Rates,
    /// Connection and last sent versions of each entry host.
    pub(super) connections: IndexMap<HostId, HostConnection>,
    pub(super) view: FleetView,
    /// Hosts should learn of a change at once.
    pub(super) view_stale: bool,
    /// Hosts should learn of a change at the next opportunity.
    pub(super) view_outdated: bool,
    pub(super) view_sent: Millis,
    pub(super) failover_at: Millis,
    /// Inventory of the log was taken over.
    pub(super) informed: bool,
    /// When the inventory was last compared with the log.
    pub(super) stored_at: Millis,
}

/// What was last sent to an entry host.
pub(super) struct HostConnection {
    pub(super) id: ConnectionId,
    pub(super) view: ViewRevision,
    pub(super) config_sent: (u64, Millis),
    pub(super) shares: Vec<Share>,
    pub(super) parts_sent: Millis,
    pub(super) echo: Millis,
}

/// Proposal whose commit an operator waits for.
pub(super) struct Waiting {
    pub(super) index: u64,
    pub(super) term: GroupTerm,
    pub(super) reply: oneshot::Sender<ControlResponse>,
}

/// State of a control host.
pub struct Control<P> {
    pub(super) clock: SystemClock,
    pub(super) group: Driver,
    pub(super) name: String,
    pub(super) links: Links,
    pub(super) heard: HashMap<String, Millis>,
    pub(super) state: FleetState,
    pub(super) config: FleetConfig,
    pub(super) outgoing: HashMap<ConnectionId, mpsc::Sender<Bytes>>,
    pub(super) leading: Option<Leading>,
    pub(super) proposed: HashMap<u64, oneshot::Sender<ControlResponse>>,
    pub(super) waiting: Vec<Waiting>,
    pub(super) ports: P,
    pub(super) tasks: Tasks,
    pub(super) metrics: Arc<ControlMetrics>,
    /// Usual interval between a target's announcements.
    announce_interval: Millis,
}

/// Parts that a [`Control`] joins.
pub struct Parts<P> {
    /// Name of the host in calls to the platform.
    pub name: String,
    pub clock: SystemClock,
    pub node: Node,
    pub disk: DiskQueue,
    pub state: FleetState,
    pub ports: P,
    pub tasks: Tasks,
    pub metrics: Arc<ControlMetrics>,
    pub announce_interval: Millis,
}

impl<P: Ports> Control<P> {
    /// Joins the parts; `state` is what the stored snapshot holds.
    pub fn new(parts: Parts<P>) -> Self {
        let Parts { name, clock, node, disk, state, ports, tasks, metrics, announce_interval } =
            parts;
        let config = decode_config(&ports, &state.config);
        Self {
            clock,
            group: Driver::new(node, clock, disk),
            name,
            links: Links::default(),
            heard: HashMap::new(),
            state,
            config,
            outgoing: HashMap::new(),
            leading: None,
            proposed: HashMap::new(),
            waiting: Vec::new(),
            ports,
            tasks,
            metrics,
            announce_interval,
        }
    }

    /// Runs until an error or until the senders are gone.
    pub async fn run(
        mut self,
        mut inbound: mpsc::Receiver<Inbound>,
        mut events: mpsc::Receiver<Event>,
        mut confirmations: Confirmations,
    ) -> Result<()> {
        let mut ticks = tokio::time::interval(TICK.duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                Some(confirmed) = confirmations.recv() => self.confirm(confirmed?)?,
                Some(message) = inbound.recv() => self.receive(message)?,
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return Ok(()),
                },
                _ = ticks.tick() => self.tick()?,
            }
            while let Ok(message) = inbound.try_recv() {
                self.receive(message)?;
            }
            while let Ok(event) = events.try_recv() {
                self.handle(event);
            }
            self.finish_batch()?;
        }
    }

    fn tick(&mut self) -> Result<()> {
        self.step(Input::Tick)?;
        self.reconnect();
        if self.group.node.is_serving(self.clock.now()) {
            self.lead();
        }
        self.update_metrics();
        Ok(())
    }

    fn update_metrics(&self) {
        let role = self.group.node.role();
        let leading = self.leading.as_ref();
        let changes = |leading: &Leading| {
            let services = leading.failover.services().map(|(service, _)| service);
            let changing = |service: &&Service| {
                leading
                    .failover
                    .primary(service, &self.state.promotions)
                    .is_some_and(|(_, changing)| changing)
            };
            services.filter(changing).count()
        };
        self.metrics.update(ControlState {
            leads: role.role == Role::Leader,
            serving: self.group.node.is_serving(self.clock.now()),
            term: role.term.0,
            commit: self.group.node.commit_index(),
            voters: self.group.node.members().0.len(),
            config_version: self.state.config.version,
            hosts: leading.map_or(0, |leading| leading.hosts.len()),
            targets: leading.map_or(0, |leading| leading.registry.all().count()),
            changing: leading.map_or(0, changes),
        });
    }

    fn receive(&mut self, inbound: Inbound) -> Result<()> {
        match inbound {
            Inbound::Opened { id, outgoing } => {
                self.outgoing.insert(id, outgoing);
            }
            Inbound::Closed { id } => {
                self.outgoing.remove(&id);
            }
            Inbound::Received { id, frame } => self.receive_frame(id, *frame)?,
        }
        Ok(())
    }

    fn receive_frame(&mut self, id: ConnectionId, frame: Frame) -> Result<()> {
        match frame {
            Frame::Group(message) => {
                let name = message.from.as_str().rsplit_once('.').map_or("", |(name, _)| name);
                self.heard.insert(name.to_owned(), self.clock.now());
                self.step(Input::Message(message))?;
            }
            Frame::Report(report) => {
                self.take_over();
                self.report(id, &report);
            }
            _ => spdlog::debug!("ignoring an unexpected frame"),
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        self.take_over();
        match event {
            Event::Call { call, reply } => self.call(call, reply),
            Event::Failover { service, event } => self.failover_event(&service, event),
        }
    }

    fn call(&mut self, call: ControlRequest, reply: oneshot::Sender<ControlResponse>) {
        let now = self.clock.now();
        if !self.group.node.is_serving(now) || self.leading.is_none() {
            // The caller may have gone.
            let _ = reply.send(self.refusal());
            return;
        }
        match call {
            ControlRequest::Configure(document)
                if document.version <= self.state.config.version =>
            {
                spdlog::info!("configuration is not newer than the one in force", kv: {version = document.version, in_force = self.state.config.version});
                let _ = reply.send(ControlResponse::Done);
            }
            ControlRequest::Configure(document) => {
                let ticket = self.propose(&FleetCommand::Configure(document));
                self.proposed.insert(ticket, reply);
            }
            ControlRequest::ReadConfig => {
                let _ = reply.send(ControlResponse::Config(self.state.config.clone()));
            }
            ControlRequest::Announce(announcement) => {
                self.announce(now, &announcement);
                let _ = reply.send(ControlResponse::Done);
            }
            ControlRequest::Leave(id) => {
                self.leave(&id);
                let _ = reply.send(ControlResponse::Done);
            }
        }
    }

    fn announce(&mut self, now: Millis, announcement: &Announcement) {
        let Some(leading) = &mut self.leading else { return };
        let noted = leading.registry.note(now, announcement);
        self.metrics.announcements.inc();
        if noted == Noted::Stale {
            self.metrics.stale_announcements.inc();
            spdlog::info!("stale announcement ignored", kv: {target = announcement.id.as_str(), sequence = announcement.sequence});
            return;
        }
        if noted == Noted::Changed {
            spdlog::info!("target changed", kv: {target = announcement.id.as_str(), service = announcement.service.as_str(), addr = announcement.addr.as_str(), role = format!("{:?}", announcement.role).as_str(), draining = announcement.draining});
            leading.view_stale |= announcement.draining || announcement.role == TargetRole::Primary;
            leading.view_outdated = true;
        }
        if announcement.role == TargetRole::Primary
            && leading.failover.claimed(&announcement.service, &announcement.id)
        {
            leading.view_stale = true;
        }
    }

    fn leave(&mut self, id: &InstanceId) {
        let Some(leading) = &mut self.leading else { return };
        if leading.registry.remove(id) {
            spdlog::info!("target left", kv: {target = id.as_str()});
            leading.view_stale = true;
        }
    }

    /// Names the leader if another host leads.
    fn refusal(&self) -> ControlResponse {
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
        while let Some(input) = self.group.take_proposals() {
            self.step(input)?;
        }
        if let Some(input) = self.group.compaction(SNAPSHOT_ENTRIES, &self.state)? {
            self.step(input)?;
        }
        self.take_over();
        self.push_view();
        Ok(())
    }

    pub(super) fn change_role(&mut self, role: Role, term: u64) {
        if role == Role::Leader {
            let (now, interval) = (self.clock.now(), self.announce_interval);
            self.leading.get_or_insert_with(|| Leading::new(now, term, interval));
        } else if self.leading.take().is_some() {
            self.group.clear_proposals();
            for (_, reply) in self.proposed.drain() {
                let _ = reply.send(ControlResponse::Unavailable);
            }
            for waiting in self.waiting.drain(..) {
                let _ = waiting.reply.send(ControlResponse::Unavailable);
            }
        }
    }

    /// A leader that did not run begins anew: its knowledge of targets and hosts is
    /// as old as the gap.
    pub(super) fn thaw(&mut self, gap: Millis) {
        spdlog::warn!("the process did not run", kv: {gap_ms = gap.0});
        if let Some(leading) = &mut self.leading {
            // Hosts that connect again report all that they know.
            for connection in leading.connections.values() {
                self.outgoing.remove(&connection.id);
            }
            let term = leading.view.revision.term;
            *leading = Leading::new(self.clock.now(), term, self.announce_interval);
            leading.view.revision.number = self.clock.now().0;
        }
    }
}

impl Leading {
    fn new(now: Millis, term: u64, announce_interval: Millis) -> Self {
        let revision = ViewRevision { term, number: 0 };
        Self {
            since: now,
            registry: Registry::new(announce_interval),
            hosts: Hosts::new(now),
            failover: Failover::default(),
            rates: Rates::default(),
            connections: IndexMap::new(),
            view: FleetView { revision, ..FleetView::default() },
            view_stale: true,
            view_outdated: false,
            view_sent: Millis(0),
            failover_at: now + FAILOVER_TICK,
            informed: false,
            stored_at: now,
        }
    }

    /// Whether it is time to look at the targets' health.
    pub(super) fn failover_due(&mut self, now: Millis) -> bool {
        let due = now >= self.failover_at;
        if due {
            self.failover_at = now + FAILOVER_TICK;
        }
        due
    }
}
