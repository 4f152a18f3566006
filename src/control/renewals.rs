//! Lease renewals of entry hosts and the updates sent to them.

use crate::{
    clock::{Clock, Millis},
    control::{event_loop::EventLoop, leases::Decision},
    ids::{ControlId, Revision},
    state::model::{Command, Instance},
    wire::control::{ControlMessage, Release, RenewRequest, RenewResponse, Update},
};

impl EventLoop {
    pub(super) fn renew(&mut self, renew: &RenewRequest) {
        let now = self.clock.now();
        let addr = &renew.host.bus_addr;
        if !self.group.node.is_serving(now) {
            let role = self.group.node.role();
            let leader = role.leader.filter(|leader| leader != self.group.node.id());
            // Entry hosts know control hosts only by their configured names.
            let member =
                leader.and_then(|leader| self.group.node.members().0.get(&leader).cloned());
            let leader = member.map(|member| ControlId::from(member.name));
            self.send_response(addr, RenewResponse::NotLeader { leader });
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        let (decision, mut commands) = leadership.leases.renew(now, renew);
        match decision {
            Decision::Waiting => {}
            Decision::Removed => {
                let host = renew.host.id.clone();
                self.send_response(addr, RenewResponse::Removed { host });
            }
            Decision::Granted => {
                commands.extend(self.commands_from_report(now, renew));
                self.grant(renew);
            }
        }
        self.propose_all(commands);
    }

    /// Commands that the reports in a granted renewal require.
    fn commands_from_report(&mut self, now: Millis, renew: &RenewRequest) -> Vec<Command> {
        let view = &self.state.view;
        let mut commands = Vec::new();
        for spec in &renew.announced {
            let known = view.instances.get(&spec.id);
            let is_new = known.is_none_or(|known| {
                known.spec.incarnation <= spec.incarnation && known.spec != *spec
            });
            if is_new {
                commands.push(Command::InstanceAnnounced(spec.clone()));
            }
        }
        for Release { instance, epoch, kept } in &renew.releases {
            let is_held = |it: &Instance| {
                let mut held = it.owner.iter().chain(&it.previous);
                held.any(|held| held.epoch == *epoch && held.is_held_by(&renew.host))
            };
            if view.instances.get(instance).is_some_and(is_held) {
                let (instance, epoch, kept) = (instance.clone(), *epoch, *kept);
                commands.push(Command::OwnershipReleased { instance, epoch, kept });
            }
        }
        if let Some(leadership) = &mut self.leadership {
            for observation in &renew.observations {
                commands.extend(leadership.promotions.observe(now, observation, view));
            }
        }
        commands
    }

    fn grant(&mut self, renew: &RenewRequest) {
        let Some(leadership) = &mut self.leadership else { return };
        let update = self.history.update_for(renew.revision, &self.state.view);
        let lease = leadership.leases.lease_duration();
        let current = self.state.view.revision;
        leadership.leases.mark_sent(&renew.host.id, current);
        let response = RenewResponse::Lease { echo: renew.sent_at, lease, update };
        self.send_response(&renew.host.bus_addr, response);
    }

    /// Pushes committed changes to entry hosts without waiting for their renewals. The
    /// messages repeat the echo of the last renewal, so they do not extend a lease.
    pub(super) fn push_updates(&mut self) {
        if !self.group.node.is_serving(self.clock.now()) {
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        let (duration, current) = (leadership.leases.lease_duration(), self.state.view.revision);
        let mut update: Option<(Revision, Update)> = None;
        for lease in leadership.leases.leases_to_update(current) {
            let Some(echo) = lease.echo else { continue };
            let base = lease.sent_revision;
            if update.as_ref().is_none_or(|(from, _)| *from != base) {
                update = Some((base, self.history.update_for(base, &self.state.view)));
            }
            let Some((_, update)) = &update else { continue };
            lease.sent_revision = current;
            let response = RenewResponse::Lease { echo, lease: duration, update: update.clone() };
            send(&self.bus, &lease.host.bus_addr, &ControlMessage::RenewResponse(response));
        }
    }

    fn send_response(&self, addr: &str, response: RenewResponse) {
        send(&self.bus, addr, &ControlMessage::RenewResponse(response));
    }
}

fn send(bus: &crate::adapters::bus::Bus, addr: &str, message: &ControlMessage) {
    match postcard::to_stdvec(message) {
        Ok(body) => bus.send(addr, &body),
        Err(error) => spdlog::error!("cannot encode a response: {error}"),
    }
}
