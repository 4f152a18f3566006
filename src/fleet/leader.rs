//! Work of a control host while it leads: reports of entry hosts, the view and the
//! changes of primaries.

use std::mem;

use indexmap::IndexMap;

use crate::{
    clock::{Clock, Millis},
    fleet::{
        control::{Control, HostConnection, Leading},
        failover::{self, Action, TargetCommand},
        hosts::LEASE,
        link::{ConnectionId, encode},
        messages::{FleetView, Frame, HostReport, HostUpdate, Primary, Redirect, ViewRevision},
        registry::Noted,
        runtime::Ports,
        state::FleetCommand,
    },
    ids::{HostId, InstanceId, Service},
};

/// Interval between two deliveries of the parts of the demands to one host.
const PARTS_INTERVAL: Millis = Millis(5_000);

/// Shortest interval between views that only add hosts or targets: when all hosts
/// start together, each would otherwise cause a view for all others.
const VIEW_INTERVAL: Millis = Millis(400);

/// Time after which a configuration is sent again to a host that has not confirmed it.
const RESEND_CONFIG: Millis = Millis(1_000);

/// Time for which a new leader leaves shares as they are: it does not know the
/// demand before every host has reported more than once.
const SHARES_DELAY: Millis = Millis(1_500);

/// Shortest interval between two configurations that are pushed to one host.
const PUSH_INTERVAL: Millis = Millis(200);

impl<P: Ports> Control<P> {
    /// Regular work of a leader.
    pub(super) fn lead(&mut self) {
        let now = self.clock.now();
        let Some(leading) = &mut self.leading else { return };
        let silent_hosts = leading.hosts.forget_silent(now);
        let silent_targets = leading.registry.forget_silent(now);
        leading.view_outdated |= silent_hosts || silent_targets;
        if leading.failover_due(now) {
            let services: Vec<Service> = self.config.services.keys().cloned().collect();
            let mut failover = mem::take(&mut leading.failover);
            let cx = leading.failover_cx(now);
            let actions = failover.tick(&cx, services.into_iter(), &self.state.promotions);
            leading.failover = failover;
            self.act(actions);
        }
        self.push_configs(now);
        self.store_inventory(now);
    }

    pub(super) fn failover_event(&mut self, service: &Service, event: failover::Event) {
        let now = self.clock.now();
        let Some(leading) = &mut self.leading else { return };
        let mut failover = mem::take(&mut leading.failover);
        let actions = failover.handle(&leading.failover_cx(now), service, event);
        leading.failover = failover;
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Ask { service, target, command } => self.ask(&service, &target, command),
                Action::LogBegin { service, target } => {
                    self.propose(&FleetCommand::PromotionBegan { service, target });
                }
                Action::LogEnd { service } => {
                    self.propose(&FleetCommand::PromotionEnded { service });
                }
                Action::Call { service, target, token } => {
                    spdlog::info!("promotion is called", kv: {service = service.as_str(), target = target.as_str(), token});
                    self.metrics.promotions.inc();
                    let lease_holder = self.name.clone();
                    self.tasks.promote(self.ports.clone(), service, target, lease_holder, token);
                }
                Action::ViewChanged => {
                    if let Some(leading) = &mut self.leading {
                        leading.view_stale = true;
                    }
                }
            }
        }
        self.push_view();
    }

    fn ask(&self, service: &Service, target: &InstanceId, command: TargetCommand) {
        let known = self.leading.as_ref().and_then(|leading| leading.registry.get(target));
        if let Some(known) = known {
            self.tasks.send_command(self.ports.clone(), service.clone(), known.clone(), command);
        }
    }

    /// Handles the report of an entry host.
    pub(super) fn report(&mut self, id: ConnectionId, report: &HostReport) {
        let now = self.clock.now();
        if !self.group.node.is_serving(now) || self.leading.is_none() {
            self.redirect(id);
            return;
        }
        let Some(leading) = &mut self.leading else { return };
        let known_before = leading.hosts.get(&report.host).map(|host| host.incarnation);
        let changed = leading.hosts.note(now, report);
        let is_new = known_before != Some(report.incarnation);
        leading.rates.note(&report.usage);
        leading.rates.plan(now, &self.config.workspaces, leading.hosts.demands());
        for announcement in &report.known_targets {
            leading.view_outdated |= leading.registry.suggest(now, announcement) == Noted::Changed;
            if announcement.role == crate::fleet::messages::TargetRole::Primary
                && !leading.failover.knows(&announcement.service)
            {
                leading.failover.claimed(&announcement.service, &announcement.id);
            }
        }
        if changed {
            spdlog::info!("entry host reported", kv: {host = report.host.as_str(), leaving = report.leaving, hosts = leading.hosts.len()});
            leading.view_outdated = true;
        }
        let connection = leading
            .connections
            .entry(report.host.clone())
            .or_insert_with(|| HostConnection::new(id));
        if connection.id != id || is_new {
            *connection = HostConnection::new(id);
        }
        connection.echo = report.sent_at;
        connection.view = report.view_revision;
        self.push_view();
        self.answer(now, &report.host, true);
    }

    fn redirect(&self, id: ConnectionId) {
        let members = &self.group.node.members().0;
        let leader = self.group.node.role().leader.filter(|leader| leader != self.group.node.id());
        let leader = leader.and_then(|id| members.get(&id)).map(|member| member.bus_addr.clone());
        let members = members.values().map(|member| member.bus_addr.clone()).collect();
        self.send(id, &Frame::NotLeader(Redirect { leader, members }));
    }

    fn send(&self, id: ConnectionId, frame: &Frame) -> bool {
        let Some(queue) = self.outgoing.get(&id) else { return false };
        queue.try_send(encode(frame)).is_ok()
    }

    /// Sends a host what it lacks.
    fn answer(&mut self, now: Millis, host: &HostId, always: bool) {
        let Some(leading) = &mut self.leading else { return };
        let Some(connection) = leading.connections.get_mut(host) else { return };
        let known = leading.hosts.get(host).map_or(0, |host| host.config_version);
        let mut update = HostUpdate {
            echo: connection.echo,
            lease: LEASE,
            config: None,
            view: None,
            shares: None,
            demand_fractions: None,
        };
        let in_force = self.state.config.version;
        let (sent, sent_at) = connection.config_sent;
        let is_due = sent != in_force || now.since(sent_at) >= RESEND_CONFIG;
        if known < in_force && is_due && now.since(sent_at) >= PUSH_INTERVAL {
            connection.config_sent = (in_force, now);
            update.config = Some(self.state.config.clone());
        }
        if connection.view != leading.view.revision {
            connection.view = leading.view.revision;
            update.view = Some(leading.view.clone());
        }
        if always && now.since(leading.since) >= SHARES_DELAY {
            let demand = leading.hosts.get(host).map(|host| &host.demand);
            let workspaces = &self.config.workspaces;
            let shares = demand.map(|demand| leading.rates.shares(demand, workspaces));
            if let Some(shares) = shares.filter(|shares| *shares != connection.shares) {
                connection.shares.clone_from(&shares);
                update.shares = Some(shares);
            }
            if now.since(connection.parts_sent) >= PARTS_INTERVAL {
                connection.parts_sent = now;
                update.demand_fractions = demand.map(|demand| leading.rates.parts(demand));
            }
        }
        let id = connection.id;
        if !always && update.config.is_none() && update.view.is_none() {
            return;
        }
        if !self.send(id, &Frame::Update(update))
            && let Some(leading) = &mut self.leading
        {
            leading.connections.shift_remove(host);
        }
    }

    /// Sends a newer configuration to hosts that lack it.
    fn push_configs(&mut self, now: Millis) {
        let Some(leading) = &self.leading else { return };
        let in_force = self.state.config.version;
        let lacks = |host: &&HostId| {
            leading.hosts.get(host).is_some_and(|host| host.config_version < in_force)
        };
        let behind: Vec<HostId> = leading.connections.keys().filter(lacks).cloned().collect();
        for host in behind {
            self.answer(now, &host, false);
        }
    }

    /// Computes the view anew if something changed, and sends it to all hosts.
    pub(super) fn push_view(&mut self) {
        let now = self.clock.now();
        let serving = self.group.node.is_serving(now);
        let control_addrs =
            self.group.node.members().0.values().map(|member| member.bus_addr.clone()).collect();
        let Some(leading) = &mut self.leading else { return };
        let is_due = leading.view_outdated && now.since(leading.view_sent) >= VIEW_INTERVAL;
        if !serving || !(leading.view_stale || is_due) {
            return;
        }
        leading.view_stale = false;
        leading.view_outdated = false;
        leading.view_sent = now;
        let revision = leading.view.revision;
        let next = FleetView {
            revision: ViewRevision { number: revision.number + 1, ..revision },
            hosts: leading.hosts.owners(),
            targets: leading.registry.all().cloned().collect(),
            primaries: leading.primaries(&self.state.promotions),
            control_addrs,
        };
        leading.view = next;
        let hosts: Vec<HostId> = leading.connections.keys().cloned().collect();
        for host in hosts {
            self.answer(now, &host, false);
        }
    }
}

impl Leading {
    fn failover_cx(&self, now: Millis) -> failover::Cx<'_> {
        failover::Cx {
            now,
            term: self.view.revision.term,
            since: self.since,
            registry: &self.registry,
            hosts: &self.hosts,
            view: self.view.revision,
        }
    }

    fn primaries(&self, unfinished: &IndexMap<Service, InstanceId>) -> Vec<Primary> {
        let services = self.failover.services().map(|(service, _)| service);
        services
            .filter_map(|service| {
                let (id, changing) = self.failover.primary(service, unfinished)?;
                Some(Primary { service: service.clone(), id: id.cloned(), changing })
            })
            .collect()
    }
}

impl HostConnection {
    fn new(id: ConnectionId) -> Self {
        Self {
            id,
            view: ViewRevision::default(),
            config_sent: (0, Millis(0)),
            shares: Vec::new(),
            parts_sent: Millis(0),
            echo: Millis(0),
        }
    }
}
