//! Start and end of a control host's leadership, and the metrics of its state.

use crate::{
    clock::{Clock, Millis},
    control::node::Role,
    fleet::{
        control::{ControlLoop, ControlResponse},
        leader_state::LeaderState,
        metrics::ControlState,
        runtime::Ports,
    },
    ids::Service,
};

/// Time without running from which the leader's data on targets and hosts is outdated. It is
/// below the age at which reports of hosts stop counting.
const MIN_OUTDATED_GAP: Millis = Millis(1_000);

impl<P: Ports> ControlLoop<P> {
    pub(super) fn change_role(&mut self, role: Role, term: u64) {
        if role == Role::Leader {
            let (now, interval) = (self.clock.now(), self.announce_interval);
            let config = self.state.config.version;
            self.leader_state.get_or_insert_with(|| LeaderState::new(now, term, interval, config));
        } else if self.leader_state.take().is_some() {
            self.group.clear_proposals();
            for (_, reply) in self.pending_proposals.drain() {
                let _ = reply.send(ControlResponse::Unavailable);
            }
            for pending in self.pending_commits.drain(..) {
                let _ = pending.reply.send(ControlResponse::Unavailable);
            }
            for pending in self.pending_rollouts.drain(..) {
                let _ = pending.reply.send(ControlResponse::Unavailable);
            }
            for pending in self.pending_evacuations.drain(..) {
                let _ = pending.reply.send(ControlResponse::Unavailable);
            }
        }
    }

    /// Resets the leader's state after the process was suspended for long, since its data on
    /// targets and hosts is outdated by the length of the gap.
    pub(super) fn reset_after_pause(&mut self, gap: Millis) {
        spdlog::warn!("process was suspended", kv: {gap_ms = gap.0});
        if gap < MIN_OUTDATED_GAP {
            return;
        }
        if let Some(leader) = &mut self.leader_state {
            // Closes the connections, as hosts send a full report after they reconnect.
            for connection in leader.connections.values() {
                self.outgoing.remove(&connection.id);
            }
            let (now, term) = (self.clock.now(), leader.view.revision.term);
            let config = self.state.config.version;
            let failover = leader.failover.reset();
            let reset = LeaderState::new(now, term, self.announce_interval, config);
            *leader = LeaderState { failover, ..reset };
            leader.view.revision.number = self.clock.now().0;
        }
    }

    pub(super) fn update_metrics(&self) {
        let (now, node) = (self.clock.now(), &self.group.node);
        let role = node.role();
        let leader = self.leader_state.as_ref();
        let count_changing = |leader: &LeaderState| {
            let services = leader.failover.services().map(|(service, _)| service);
            let changing = |service: &&Service| {
                leader
                    .failover
                    .primary(service, &self.state.promotions)
                    .is_some_and(|(_, changing)| changing)
            };
            services.filter(changing).count()
        };
        self.metrics.update(ControlState {
            is_leader: role.role == Role::Leader,
            serving: node.is_serving(now),
            term: role.term.0,
            commit_index: node.commit_index(),
            voters: node.members().0.len(),
            responding_voters: node.responding_voters(now),
            votes: node.members().0.contains_key(node.id()),
            disk_wait: self.group.unsynced_since().map_or(Millis(0), |at| now.since(at)),
            config_version: self.state.config.version,
            hosts: leader.map_or(0, |leader| leader.hosts.len()),
            targets: leader.map_or(0, |leader| leader.registry.all().count()),
            changing_services: leader.map_or(0, count_changing),
            evacuated_domains: self.state.evacuations.len(),
            evacuated_primaries: leader
                .map_or(0, |it| it.count_evacuated_primaries(&self.state.evacuations)),
            pending_evacuations: self.pending_evacuations.len(),
        });
    }
}
