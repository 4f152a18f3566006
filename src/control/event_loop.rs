//! Event loop of a control host.
//!
//! One thread owns the node, the data folder, the state machine and, while the
//! host leads, the lease table and the promotions. It carries out the outputs of
//! the node in order.

use std::{collections::BTreeMap, sync::Arc};

use eyre::Result;
use tokio::sync::mpsc;

use crate::{
    adapters::{
        bus::{Bus, Inbound},
        disk_queue::{Confirmations, DiskQueue},
        fencing::Fencing,
    },
    clock::{Clock, Millis, SystemClock},
    control::{
        driver::Driver,
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
        delta::History,
        model::{ClusterState, Command},
    },
    wire::{control::ControlMessage, operator::NotLeader},
};

/// Changes kept for hosts that are a little behind; about a day of changes at the
/// target size.
pub(super) const HISTORY_CHANGES: usize = 50_000;

/// Entries after which the state is stored and the log shortened.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Messages that are processed before other work.
const BATCH_MESSAGES: usize = 256;

/// Silence after which the connection to another control host is opened anew.
const PEER_SILENCE: Millis = Millis(2_000);

/// Share of the event loop's time that sending updates may take: one part in five.
/// Many hosts that start together would otherwise cause updates to all of them
/// after each commit.
const PUSH_PAUSE_FACTOR: u64 = 4;

/// Event from another task.
#[derive(Debug)]
pub enum Event {
    Operator { request: Request, reply: Reply },
    Promotion { service: Service, event: PromotionEvent },
}

/// State that exists only while the host leads.
pub(super) struct Leadership {
    pub(super) leases: LeaseTable,
    pub(super) promotions: Promotions,
}

/// State of a control host.
pub struct EventLoop {
    pub(super) settings: Arc<ControlSettings>,
    pub(super) clock: SystemClock,
    pub(super) group: Driver,
    pub(super) bus: Bus,
    pub(super) fencing: Fencing,
    pub(super) state: ClusterState,
    pub(super) history: History,
    pub(super) leadership: Option<Leadership>,
    pub(super) apply_requests: ApplyRequests,
    /// Committed changes that have not been sent to the hosts.
    pub(super) unsent: bool,
    /// Time before which no updates are pushed.
    push_after: Millis,
    /// When the log last noted that others regard this host as removed.
    pub(super) removed_at: Option<Millis>,
    /// When each control host was last heard.
    heard: BTreeMap<String, Millis>,
    metrics: Arc<Metrics>,
}

/// Parts that a [`EventLoop`] joins.
pub struct Parts {
    pub settings: Arc<ControlSettings>,
    pub clock: SystemClock,
    pub node: Node,
    pub disk: DiskQueue,
    pub bus: Bus,
    pub fencing: Fencing,
    pub state: ClusterState,
    pub metrics: Arc<Metrics>,
}

impl EventLoop {
    /// Joins the parts.
    pub fn new(parts: Parts) -> Self {
        let Parts { settings, clock, node, disk, bus, fencing, state, metrics } = parts;
        Self {
            settings,
            clock,
            group: Driver::new(node, clock, disk),
            bus,
            fencing,
            state,
            history: History::new(HISTORY_CHANGES),
            leadership: None,
            apply_requests: ApplyRequests::default(),
            unsent: false,
            push_after: Millis(0),
            removed_at: None,
            heard: BTreeMap::new(),
            metrics,
        }
    }

    /// Runs until an error or until the senders of events are gone.
    pub async fn run(
        mut self,
        mut inbound: mpsc::Receiver<Inbound>,
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
            for _ in 0..BATCH_MESSAGES {
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
        if !self.group.node.is_serving(now) {
            return Ok(());
        }
        let Some(leadership) = &mut self.leadership else { return Ok(()) };
        let commands = leadership.leases.tick(now);
        self.apply_requests.check(now, &leadership.leases);
        let actions = leadership.promotions.tick(now, &self.state.view, &leadership.leases);
        self.propose_all(commands);
        self.act(actions);
        Ok(())
    }

    fn receive(&mut self, inbound: Inbound) -> Result<()> {
        match postcard::from_bytes(&inbound.body) {
            Ok(ControlMessage::Group(message)) if is_id_of(&message.from, &inbound.from) => {
                self.heard.insert(inbound.from, self.clock.now());
                self.step(Input::Message(message))?;
            }
            Ok(ControlMessage::RenewRequest(renew)) if inbound.from == renew.host.id.as_str() => {
                self.renew(&renew);
            }
            Ok(_) => spdlog::debug!("ignoring a message of another kind from {}", inbound.from),
            Err(error) => spdlog::warn!("invalid message from {}: {error}", inbound.from),
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Operator { request, reply } => self.answer_operator(now, request, reply),
            Event::Promotion { service, event } => {
                if !self.group.node.is_serving(now) {
                    return;
                }
                let Some(leadership) = &mut self.leadership else { return };
                let actions = leadership.promotions.handle_event(now, &service, event);
                self.act(actions);
            }
        }
    }

    /// Proposes what the batch brought, sends committed changes and reports.
    fn finish_batch(&mut self) -> Result<()> {
        while let Some(input) = self.group.take_proposals() {
            self.step(input)?;
        }
        let now = self.clock.now();
        if self.unsent && now >= self.push_after {
            self.unsent = false;
            self.push_updates();
            let end = self.clock.now();
            self.push_after = end + Millis(end.since(now).0 * PUSH_PAUSE_FACTOR);
            if let Some(leadership) = &self.leadership {
                self.apply_requests.check(self.clock.now(), &leadership.leases);
            }
        }
        if let Some(input) = self.group.compaction(SNAPSHOT_ENTRIES, &self.state)? {
            self.step(input)?;
        }
        self.metrics.update(
            self.clock.now(),
            &self.group.node,
            &self.state,
            self.leadership.as_ref(),
        );
        Ok(())
    }

    fn answer_operator(&mut self, now: Millis, request: Request, reply: Reply) {
        if !self.group.node.is_serving(now) {
            let _ = reply.send(self.refusal());
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

    /// Names the leader, unless this host leads without a majority.
    fn refusal(&self) -> Answer {
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

    /// Opens connections to silent control hosts anew.
    fn reconnect(&mut self) {
        let now = self.clock.now();
        for (name, addr) in &self.settings.group {
            let heard = self.heard.entry(name.clone()).or_insert(now);
            if *name != self.settings.name && now.since(*heard) > PEER_SILENCE {
                self.bus.reset(addr);
                *heard = now;
            }
        }
    }
}

/// Whether `id` belongs to the control host `name`. Entry hosts share the host key
/// but must not speak for a control host.
fn is_id_of(id: &ControlId, name: &str) -> bool {
    id.rsplit_once('.').is_some_and(|(owner, _)| owner == name)
}
