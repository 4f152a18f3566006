//! Event loop of a control host.
//!
//! One thread owns the node, the data folder, the state machine and, while the host
//! is the leader, the lease table and the promotions. It executes the outputs of the
//! node in order.

use std::{collections::BTreeMap, sync::Arc};

use eyre::Result;
use tokio::sync::mpsc;

use crate::{
    adapters::{
        bus::{Bus, InboundMessage},
        disk_queue::{Confirmations, DiskQueue},
        fencing::FencingClient,
    },
    clock::{Clock, Millis, SystemClock},
    control::{
        driver::Driver,
        group_log::GroupLog,
        leases::LeaseTable,
        metrics::Metrics,
        node::{Input, Node},
        operators::{Answer, ApplyRequests, Reply, Request},
        promotions::Promotions,
    },
    ids::{ControlId, Service},
    promotion::state_machine::Event as PromotionEvent,
    settings::control::ControlSettings,
    state::{
        delta::ChangeHistory,
        model::{ClusterState, Command},
    },
    wire::{control::ControlMessage, operator::NotLeader},
};

/// Changes kept for hosts that are slightly behind; about one day of changes at the
/// size that the system is designed for.
pub(super) const HISTORY_CHANGES: usize = 50_000;

/// Entries after which a snapshot is taken and the log compacted.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Largest number of queued messages processed before other work.
const MAX_BATCH_MESSAGES: usize = 256;

/// Time without a message after which the connection to a control host is reopened.
const PEER_TIMEOUT: Millis = Millis(2_000);

/// Pause after sending updates, as a multiple of the time that sending took. Limits
/// sending to a fifth of the event loop's time; many hosts that start together would
/// otherwise cause updates to all of them after each commit.
const PUSH_PAUSE_FACTOR: u64 = 4;

/// Event from another task.
#[derive(Debug)]
pub enum Event {
    Operator { request: Request, reply: Reply },
    Promotion { service: Service, event: PromotionEvent },
}

/// State that exists only while the host is the leader.
pub(super) struct Leadership {
    pub(super) leases: LeaseTable,
    pub(super) promotions: Promotions,
}

/// Event loop with the state of a control host.
pub struct EventLoop {
    pub(super) settings: Arc<ControlSettings>,
    pub(super) clock: SystemClock,
    pub(super) group: Driver,
    pub(super) bus: Bus,
    pub(super) fencing: FencingClient,
    pub(super) state: ClusterState,
    pub(super) history: ChangeHistory,
    pub(super) leadership: Option<Leadership>,
    pub(super) apply_requests: ApplyRequests,
    /// Whether committed changes have not been sent to the entry hosts.
    pub(super) has_unsent_changes: bool,
    /// Earliest time of the next push of updates.
    next_push_at: Millis,
    pub(super) group_log: GroupLog,
    /// Time of the last message from each control host, by name.
    last_contact: BTreeMap<String, Millis>,
    metrics: Arc<Metrics>,
}

/// Dependencies of an [`EventLoop`].
pub struct Parts {
    pub settings: Arc<ControlSettings>,
    pub clock: SystemClock,
    pub node: Node,
    pub disk: DiskQueue,
    pub bus: Bus,
    pub fencing: FencingClient,
    pub state: ClusterState,
    pub metrics: Arc<Metrics>,
}

impl EventLoop {
    pub fn new(parts: Parts) -> Self {
        let Parts { settings, clock, node, disk, bus, fencing, state, metrics } = parts;
        Self {
            settings,
            clock,
            group: Driver::new(node, clock, disk),
            bus,
            fencing,
            state,
            history: ChangeHistory::new(HISTORY_CHANGES),
            leadership: None,
            apply_requests: ApplyRequests::default(),
            has_unsent_changes: false,
            next_push_at: Millis(0),
            group_log: GroupLog::default(),
            last_contact: BTreeMap::new(),
            metrics,
        }
    }

    /// Runs until an error occurs or all event senders are dropped.
    pub async fn run(
        mut self,
        mut inbound: mpsc::Receiver<InboundMessage>,
        mut events: mpsc::Receiver<Event>,
        mut confirmations: Confirmations,
    ) -> Result<()> {
        let tick = self.settings.group_timing.tick.duration();
        let mut ticks = tokio::time::interval(tick);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick()?,
                Some(confirmed) = confirmations.recv() => self.confirm(confirmed?)?,
                Some(message) = inbound.recv() => self.receive(message)?,
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return Ok(()),
                },
            }
            for _ in 0..MAX_BATCH_MESSAGES {
                let Ok(message) = inbound.try_recv() else { break };
                self.receive(message)?;
            }
            self.finish_batch()?;
        }
    }

    fn tick(&mut self) -> Result<()> {
        self.step(Input::Tick)?;
        self.reconnect();
        let now = self.clock.now();
        self.group_log.record(now, &self.group);
        if !self.group.node.is_serving(now) {
            return Ok(());
        }
        let Some(leadership) = &mut self.leadership else { return Ok(()) };
        let commands = leadership.leases.tick(now);
        self.apply_requests.answer_waiting(now, &leadership.leases);
        let actions = leadership.promotions.tick(now, &self.state.view, &leadership.leases);
        self.propose_all(commands);
        self.execute_actions(actions);
        Ok(())
    }

    fn receive(&mut self, inbound: InboundMessage) -> Result<()> {
        match postcard::from_bytes(&inbound.body) {
            Ok(ControlMessage::Group(message)) if is_id_of(&message.from, &inbound.from) => {
                self.last_contact.insert(inbound.from, self.clock.now());
                self.step(Input::Message(message))?;
            }
            Ok(ControlMessage::RenewRequest(renew)) if inbound.from == renew.host.id.as_str() => {
                self.renew(&renew);
            }
            Ok(_) => spdlog::debug!("ignoring an unexpected message from {}", inbound.from),
            Err(error) => spdlog::warn!("cannot decode a message from {}: {error}", inbound.from),
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Operator { request, reply } => self.handle_operator_request(now, request, reply),
            Event::Promotion { service, event } => {
                if !self.group.node.is_serving(now) {
                    return;
                }
                let Some(leadership) = &mut self.leadership else { return };
                let actions = leadership.promotions.handle_event(now, &service, event);
                self.execute_actions(actions);
            }
        }
    }

    /// Proposes the commands of the batch, pushes committed changes, compacts the log and
    /// updates the metrics.
    fn finish_batch(&mut self) -> Result<()> {
        while let Some(input) = self.group.take_proposals() {
            self.step(input)?;
        }
        let now = self.clock.now();
        if self.has_unsent_changes && now >= self.next_push_at {
            self.has_unsent_changes = false;
            self.push_updates();
            let end = self.clock.now();
            self.next_push_at = end + Millis(end.since(now).0 * PUSH_PAUSE_FACTOR);
            if let Some(leadership) = &self.leadership {
                self.apply_requests.answer_waiting(self.clock.now(), &leadership.leases);
            }
        }
        if let Some(input) = self.group.compaction(SNAPSHOT_ENTRIES, &self.state)? {
            self.step(input)?;
        }
        self.metrics.update(self.clock.now(), &self.group, &self.state, self.leadership.as_ref());
        Ok(())
    }

    fn handle_operator_request(&mut self, now: Millis, request: Request, reply: Reply) {
        if !self.group.node.is_serving(now) {
            let _ = reply.send(self.not_leader_answer());
            return;
        }
        match request {
            Request::Apply { command, wait } => match self.state.answers.get(&command.id) {
                Some(answer) => self.apply_requests.answer(now, answer.clone(), wait, reply),
                None => {
                    let proposal_id = self.propose(&Command::Apply(command));
                    self.apply_requests.propose(proposal_id, wait, reply);
                }
            },
            request => {
                let _ = reply.send(self.read(now, &request));
            }
        }
    }

    /// Answer that names the leader, or an error if this host leads without a majority.
    fn not_leader_answer(&self) -> Answer {
        let leader = self.group.node.role().leader;
        let member = leader.as_ref().and_then(|id| self.group.node.members().0.get(id));
        match member {
            Some(_) if leader.as_ref() == Some(self.group.node.id()) => {
                Answer::unavailable("this host leads without a majority")
            }
            member => Answer::NotLeader(NotLeader {
                leader_http_addr: member.map(|member| member.http_addr.clone()),
                leader,
            }),
        }
    }

    pub(super) fn propose_all(&mut self, commands: impl IntoIterator<Item = Command>) {
        for command in commands {
            self.propose(&command);
        }
    }

    pub(super) fn propose(&mut self, command: &Command) -> u64 {
        self.group.propose(command)
    }

    /// Reopens the connections to control hosts that have sent nothing for a while.
    fn reconnect(&mut self) {
        let now = self.clock.now();
        for (name, addr) in &self.settings.control_hosts {
            let last_contact = self.last_contact.entry(name.clone()).or_insert(now);
            if *name != self.settings.name && now.since(*last_contact) > PEER_TIMEOUT {
                self.bus.reset(addr);
                *last_contact = now;
            }
        }
    }
}

/// Whether `id` belongs to the control host `name`. Entry hosts share the host key
/// but must not impersonate a control host.
fn is_id_of(id: &ControlId, name: &str) -> bool {
    id.rsplit_once('.').is_some_and(|(owner, _)| owner == name)
}
