//! Duties of the leader: it answers the reports of entry hosts, distributes the view and the
//! configuration, and drives primary changes.

use std::{mem, time::Instant};

use bytes::Bytes;

use crate::{
    clock::{Clock, Millis},
    fleet::{
        control::ControlLoop,
        evacuation::Evacuations,
        failover::{self, Action, TargetCommand},
        hosts::LEASE_DURATION,
        leader_state::{HostConnection, LeaderState},
        link::{ConnectionId, encode},
        messages::{
            FleetView, Frame, HostReport, HostUpdate, Primary, Redirect, Successor, ViewRevision,
        },
        registry::AnnouncementEffect,
        runtime::{Ports, PromotionRequest},
        state::FleetCommand,
        unfinished::UnfinishedPromotions,
        update_pacing::min_view_interval,
    },
    ids::{HostId, InstanceId, Service},
};

/// Time after which a view is sent again to a host that has not confirmed it.
const VIEW_RETRY_INTERVAL: Millis = Millis(1_000);

/// Time after which a configuration is sent again to a host that has not confirmed it.
const CONFIG_RETRY_INTERVAL: Millis = Millis(1_000);

/// Minimum interval between two configurations sent to one host.
const MIN_CONFIG_INTERVAL: Millis = Millis(200);

impl<P: Ports> ControlLoop<P> {
    /// Removes silent hosts and targets, checks the primaries, and sends and stores what is
    /// due.
    pub(super) fn leader_tick(&mut self) {
        let now = self.clock.now();
        let fenced = self.promotions_are_fenced;
        let Some(leader) = &mut self.leader_state else { return };
        let silent_hosts = leader.hosts.remove_silent(now);
        let silent_targets = leader.registry.remove_silent(now);
        leader.view_push_pending |= silent_hosts || silent_targets;
        if leader.failover_due(now) {
            let began = Instant::now();
            let services: Vec<Service> = self.config.services.keys().cloned().collect();
            let mut failover = mem::take(&mut leader.failover);
            let cx = leader.failover_cx(now, fenced, &self.state.evacuations);
            let actions = failover.tick(&cx, services.into_iter(), &self.state.promotions);
            self.metrics.withheld_promotions.inc_by(failover.take_withheld());
            leader.failover = failover;
            self.execute_actions(actions);
            self.load.record_failover(began);
        }
        self.send_updates(now);
        self.store_inventory(now);
    }

    pub(super) fn handle_failover_event(&mut self, service: &Service, event: failover::Event) {
        let now = self.clock.now();
        let fenced = self.promotions_are_fenced;
        let Some(leader) = &mut self.leader_state else { return };
        let mut failover = mem::take(&mut leader.failover);
        let cx = leader.failover_cx(now, fenced, &self.state.evacuations);
        let actions = failover.handle(&cx, service, event, &self.state.promotions);
        leader.failover = failover;
        self.execute_actions(actions);
    }

    fn execute_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendCommand { service, target, command } => {
                    self.send_command(&service, &target, command)
                }
                Action::LogPromotionBegan { service, target } => {
                    self.propose(&FleetCommand::PromotionBegan { service, target });
                }
                Action::LogPromotionEnded { service } => {
                    self.propose(&FleetCommand::PromotionEnded { service });
                }
                Action::Promote { service, target, token } => {
                    spdlog::info!("promotion requested", kv: {service = service.as_str(), target = target.as_str(), token});
                    self.metrics.promotions.inc();
                    let holder = self.lease_holder.clone();
                    let request = PromotionRequest::new(service, target, holder, token, self.clock);
                    self.tasks.promote(self.ports.clone(), request);
                }
                Action::ViewChanged => {
                    if let Some(leader) = &mut self.leader_state {
                        leader.view_push_urgent = true;
                    }
                }
            }
        }
        self.push_view();
    }

    fn send_command(&self, service: &Service, target: &InstanceId, command: TargetCommand) {
        let target = self.leader_state.as_ref().and_then(|leader| leader.registry.get(target));
        if let Some(target) = target {
            let (ports, sent_at) = (self.ports.clone(), self.clock.now());
            self.tasks.send_command(ports, service.clone(), target.clone(), command, sent_at);
        }
    }

    /// Handles the report of an entry host.
    pub(super) fn handle_report(&mut self, id: ConnectionId, report: &HostReport) {
        let now = self.clock.now();
        if self.leader_state.is_none() {
            self.redirect(id);
            return;
        }
        self.record_limits(now, report);
        if !self.group.node.is_serving(now) {
            self.record_unanswered(report);
            return;
        }
        let Some(leader) = &mut self.leader_state else { return };
        let previous_incarnation = leader.hosts.get(&report.host).map(|host| host.incarnation);
        let changed = leader.hosts.record(now, report);
        let is_new = previous_incarnation != Some(report.incarnation);
        for announcement in &report.known_targets {
            leader.view_push_pending |=
                leader.registry.record_reported(now, announcement) == AnnouncementEffect::Changed;
            if announcement.role == crate::fleet::messages::TargetRole::Primary
                && !leader.failover.has_primary(&announcement.service)
            {
                leader.failover.record_primary_claim(&announcement.service, &announcement.id);
            }
        }
        if changed {
            spdlog::info!("entry host joined or changed its leaving state", kv: {host = report.host.as_str(), leaving = report.leaving, hosts = leader.hosts.len()});
            leader.view_push_pending = true;
        }
        let connection = leader
            .connections
            .entry(report.host.clone())
            .or_insert_with(|| HostConnection::new(id));
        if connection.id != id || is_new {
            *connection = HostConnection::new(id);
        }
        connection.echo = report.sent_at;
        // A report may cross the view on its way.
        if connection.view_revision != leader.view.revision
            || now.since(connection.view_sent_at) >= VIEW_RETRY_INTERVAL
        {
            connection.view_revision = report.view_revision;
        }
        self.push_view();
        self.advance_limits();
        self.send_update(now, &report.host, true);
    }

    /// Records what a host says only once, in a report that gets no answer. A leader without a
    /// confirmed majority may have one again in a moment; if it sent its hosts away until then,
    /// all of them would return at once.
    pub(super) fn record_unanswered(&mut self, report: &HostReport) {
        if let Some(leader) = &mut self.leader_state {
            leader.hosts.record_acknowledged(report);
        }
    }

    fn redirect(&self, id: ConnectionId) {
        let members = &self.group.node.members().0;
        let leader = self.group.node.role().leader.filter(|leader| leader != self.group.node.id());
        let leader = leader.and_then(|id| members.get(&id)).map(|member| member.bus_addr.clone());
        let members = members.values().map(|member| member.bus_addr.clone()).collect();
        self.send(id, encode(&Frame::NotLeader(Redirect { leader, members })));
    }

    fn send(&self, id: ConnectionId, frame: Bytes) -> bool {
        let Some(queue) = self.outgoing.get(&id) else { return false };
        queue.try_send(frame).is_ok()
    }

    /// Sends a host the configuration, the view and the allocations that it lacks. A reply to
    /// a report is always sent, after them.
    pub(super) fn send_update(&mut self, now: Millis, host: &HostId, is_reply: bool) {
        let Some(leader) = &mut self.leader_state else { return };
        let Some(connection) = leader.connections.get_mut(host) else { return };
        let host_version = leader.hosts.get(host).map_or(0, |host| host.config_version);
        let mut frames = Vec::new();
        let in_force = self.state.config.version;
        if connection.config_is_due(now, host_version, in_force) {
            connection.config_sent = (in_force, now);
            frames.push(leader.frames.config(&self.state.config));
        }
        if connection.view_revision != leader.view.revision {
            connection.view_revision = leader.view.revision;
            connection.view_sent_at = now;
            frames.push(leader.frames.view(&leader.view));
        }
        let (id, echo) = (connection.id, connection.echo);
        let mut update = HostUpdate {
            echo,
            lease: LEASE_DURATION,
            config_status: Some(leader.config_history.status(now, host_version)),
            ..HostUpdate::default()
        };
        self.add_limits(now, host, &mut update);
        let has_allocations = update.limits.as_ref().is_some_and(|it| it.allocations.is_some())
            || update.shares.is_some();
        if is_reply || has_allocations {
            frames.push(encode(&Frame::Update(update)));
        }
        if !frames.into_iter().all(|frame| self.send(id, frame))
            && let Some(leader) = &mut self.leader_state
        {
            leader.connections.shift_remove(host);
        }
    }

    /// Sends the view and the configuration in force to the next hosts that have older ones.
    fn send_updates(&mut self, now: Millis) {
        let Some(leader) = &mut self.leader_state else { return };
        let in_force = self.state.config.version;
        let (view, hosts) = (leader.view.revision, &leader.hosts);
        let is_behind = |id: &HostId, connection: &HostConnection| {
            let host_version = hosts.get(id).map_or(0, |host| host.config_version);
            connection.view_revision != view
                || connection.config_is_due(now, host_version, in_force)
        };
        for host in leader.update_pacer.next_hosts(now, &leader.connections, is_behind) {
            self.send_update(now, &host, false);
        }
    }

    /// Builds a new view if a change is due to be sent, and begins to send it.
    pub(super) fn push_view(&mut self) {
        let began = Instant::now();
        self.build_and_send_view();
        self.load.record_views(began);
    }

    fn build_and_send_view(&mut self) {
        let now = self.clock.now();
        let serving = self.group.node.is_serving(now);
        let control_addrs =
            self.group.node.members().0.values().map(|member| member.bus_addr.clone()).collect();
        let Some(leader) = &mut self.leader_state else { return };
        let elapsed = now.since(leader.view_sent_at);
        let hosts = leader.connections.len();
        let is_urgent = leader.view_push_urgent && elapsed >= min_view_interval(hosts, true);
        let is_due = leader.view_push_pending && elapsed >= min_view_interval(hosts, false);
        if !serving || !(is_urgent || is_due) {
            return;
        }
        leader.view_push_urgent = false;
        leader.view_push_pending = false;
        leader.view_sent_at = now;
        let revision = leader.view.revision;
        let next = FleetView {
            revision: ViewRevision { number: revision.number + 1, ..revision },
            hosts: leader.hosts.eligible_owners(),
            targets: leader.registry.all().cloned().collect(),
            primaries: leader.primaries(&self.state.promotions),
            control_addrs,
            successors: leader.successors(&self.state.promotions),
            evacuated: self.state.evacuations.domains().cloned().collect(),
        };
        leader.named_domains.record(&next);
        leader.hosts.record_view(next.revision);
        leader.view = next;
        self.send_updates(now);
    }
}

impl LeaderState {
    fn failover_cx<'a>(
        &'a self,
        now: Millis,
        promotions_are_fenced: bool,
        evacuations: &'a Evacuations,
    ) -> failover::Cx<'a> {
        failover::Cx {
            promotions_are_fenced,
            now,
            term: self.view.revision.term,
            leader_since: self.since,
            registry: &self.registry,
            hosts: &self.hosts,
            view_revision: self.view.revision,
            evacuations,
        }
    }

    fn primaries(&self, unfinished: &UnfinishedPromotions) -> Vec<Primary> {
        let services = self.failover.services().map(|(service, _)| service);
        services
            .filter_map(|service| {
                let (id, changing) = self.failover.primary(service, unfinished)?;
                Some(Primary { service: service.clone(), id: id.cloned(), changing })
            })
            .collect()
    }

    fn successors(&self, unfinished: &UnfinishedPromotions) -> Vec<Successor> {
        let services = self.failover.services().map(|(service, _)| service);
        services.flat_map(|service| self.failover.successors(service, unfinished)).collect()
    }
}

impl HostConnection {
    fn new(id: ConnectionId) -> Self {
        Self {
            id,
            view_revision: ViewRevision::default(),
            view_sent_at: Millis(0),
            config_sent: (0, Millis(0)),
            echo: Millis(0),
        }
    }

    /// Whether the configuration `in_force` is to be sent to a host that has `host_version`.
    fn config_is_due(&self, now: Millis, host_version: u64, in_force: u64) -> bool {
        let (sent, sent_at) = self.config_sent;
        let since_sent = now.since(sent_at);
        let is_retry_due = sent != in_force || since_sent >= CONFIG_RETRY_INTERVAL;
        host_version < in_force && is_retry_due && since_sent >= MIN_CONFIG_INTERVAL
    }
}
