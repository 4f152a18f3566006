//! Carries out the outputs of the control group's node in order.

use std::collections::BTreeSet;

use bytes::Bytes;
use eyre::{Result, WrapErr};

use crate::{
    clock::{Clock, Millis},
    control::{
        group_log::log_voter_change,
        node::{Input, Output},
    },
    fleet::{
        control::{ControlLoop, ControlResponse, PendingCommit},
        document::decode_config,
        failover,
        link::encode,
        messages::Frame,
        runtime::Ports,
        state::{Applied, FleetCommand, FleetState, LogEntry},
    },
    wire::group::GroupTerm,
};

/// Time without a message after which the connection to another control host is reopened.
const PEER_TIMEOUT: Millis = Millis(700);

impl<P: Ports> ControlLoop<P> {
    pub(super) fn step(&mut self, input: Input) -> Result<()> {
        for output in self.group.step(input)? {
            self.execute(output)?;
        }
        Ok(())
    }

    /// Carries out the outputs that were held back until `count` writes were synced to disk.
    pub(super) fn confirm(&mut self, count: usize) -> Result<()> {
        for _ in 0..count {
            for output in self.group.confirm()? {
                self.execute(output)?;
            }
        }
        Ok(())
    }

    fn execute(&mut self, output: Output) -> Result<()> {
        match output {
            // The driver has already queued it to the disk.
            Output::Persist(_) => {}
            Output::Send { addr, message } => {
                self.links.send(&addr, encode(&Frame::Group(message)));
            }
            Output::RestoreSnapshot { index, data } => {
                self.state = FleetState::decode(&data)?;
                self.config = decode_config(&self.ports, &self.state.config);
                self.config_committed_at = self.clock.now();
                spdlog::info!("snapshot restored", kv: {index, version = self.state.config.version});
            }
            Output::Committed { index, term, bytes } => self.apply(index, term, &bytes)?,
            Output::Proposed { id, index, term } => {
                if let Some(reply) = self.pending_proposals.remove(&id) {
                    self.pending_commits.push(PendingCommit { index, term, reply });
                }
            }
            Output::ProposalRejected { id, .. } => {
                if let Some(reply) = self.pending_proposals.remove(&id) {
                    let _ = reply.send(ControlResponse::Unavailable);
                }
            }
            Output::RoleChanged(change) => {
                let leader = change.leader.as_ref().map_or("none", |leader| leader.as_str());
                spdlog::info!("role changed", kv: {role = change.role.to_string().as_str(), term = change.term.0, leader});
                self.change_role(change.role, change.term.0);
            }
            Output::Frozen { gap } => self.reset_after_pause(gap),
            Output::VotersChanging { change, voters, responding } => {
                log_voter_change(&change, voters, responding);
            }
            Output::Removed { by } => self.group_log.record_removal(self.clock.now(), &by),
        }
        Ok(())
    }

    fn apply(&mut self, index: u64, term: GroupTerm, bytes: &Bytes) -> Result<()> {
        let entry = LogEntry::decode(bytes)
            .wrap_err_with(|| format!("cannot decode the command at index {index}"))?;
        let LogEntry { command, allocations, evacuation, host_processes } = entry;
        if let Some(batch) = allocations {
            self.apply_allocations(index, &batch);
        }
        if let Some(delta) = host_processes {
            self.state.host_processes.apply(&delta);
        }
        let applied_order = evacuation.map(|order| self.apply_evacuation(index, order));
        match self.state.apply(&command) {
            Applied::Nothing | Applied::PromotionBegan => {}
            Applied::Configuration => {
                self.config = decode_config(&self.ports, &self.state.config);
                self.record_config_commit(term);
                spdlog::info!("configuration applied", kv: {version = self.state.config.version, index});
            }
            Applied::PromotionEnded => {
                if let Some(leader) = &mut self.leader_state {
                    leader.view_push_urgent = true;
                }
            }
        }
        let is_passed = |it: &mut PendingCommit| it.index <= index;
        for pending in self.pending_commits.extract_if(.., is_passed).collect::<Vec<_>>() {
            if pending.index != index || pending.term != term {
                let _ = pending.reply.send(ControlResponse::Unavailable);
            } else if let Some(applied) = &applied_order {
                self.acknowledge_order(applied, pending.reply);
            } else {
                self.acknowledge_after_rollout(pending.reply);
            }
        }
        if let FleetCommand::PromotionBegan { service, target } = command {
            let logged = failover::Event::PromotionLogged { target };
            self.handle_failover_event(&service, logged);
        }
        Ok(())
    }

    /// Closes connections to control hosts that time out; the next message opens new ones. This
    /// holds for all hosts that this one sends to: a connection to a learner, or to a host that is
    /// asked for the group, may stop delivering data as well.
    pub(super) fn reconnect(&mut self) {
        let now = self.clock.now();
        self.links.remove_failed();
        let linked: BTreeSet<String> = self.links.addrs().cloned().collect();
        self.peers_heard_at.retain(|name, _| linked.contains(name));
        for addr in linked {
            let heard_at = self.peers_heard_at.entry(addr.clone()).or_insert(now);
            if now.since(*heard_at) > PEER_TIMEOUT {
                self.links.reset(&addr);
                *heard_at = now;
            }
        }
    }
}
