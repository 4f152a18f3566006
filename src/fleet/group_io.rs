//! Outputs of the control group's node, carried out in order.

use bytes::Bytes;
use eyre::{Result, WrapErr};

use crate::{
    clock::{Clock, Millis},
    control::{
        driver::decode_state,
        node::{Input, Output},
    },
    fleet::{
        control::{Control, ControlResponse, Waiting},
        document::decode_config,
        failover,
        link::encode,
        messages::Frame,
        runtime::Ports,
        state::{Applied, FleetCommand},
    },
    wire::group::GroupTerm,
};

/// Silence after which the connection to another control host is opened anew.
const PEER_SILENCE: Millis = Millis(700);

impl<P: Ports> Control<P> {
    pub(super) fn step(&mut self, input: Input) -> Result<()> {
        for output in self.group.step(input)? {
            self.execute(output)?;
        }
        Ok(())
    }

    /// Follows `count` synced writes and sends the messages that waited for them.
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
            // The driver has given it to the disk.
            Output::Persist(_) => {}
            Output::Send { addr, message } => {
                self.links.send(&addr, encode(&Frame::Group(message)));
            }
            Output::RestoreSnapshot { index, data } => {
                self.state = decode_state(&data)?;
                self.config = decode_config(&self.ports, &self.state.config);
                spdlog::info!("restored a snapshot", kv: {index, version = self.state.config.version});
            }
            Output::Committed { index, term, bytes } => self.apply(index, term, &bytes)?,
            Output::Proposed { id, index, term } => {
                if let Some(reply) = self.proposed.remove(&id) {
                    self.waiting.push(Waiting { index, term, reply });
                }
            }
            Output::ProposalRejected { id, .. } => {
                if let Some(reply) = self.proposed.remove(&id) {
                    let _ = reply.send(ControlResponse::Unavailable);
                }
            }
            Output::RoleChanged(change) => {
                let leader = change.leader.as_ref().map_or("none", |leader| leader.as_str());
                spdlog::info!("role changed", kv: {role = change.role.to_string().as_str(), term = change.term.0, leader});
                self.change_role(change.role, change.term.0);
            }
            Output::Frozen { gap } => self.thaw(gap),
            Output::Removed { by } => {
                spdlog::warn!("regarded as removed from the group", kv: {by = by.as_str()});
            }
        }
        Ok(())
    }

    fn apply(&mut self, index: u64, term: GroupTerm, bytes: &Bytes) -> Result<()> {
        let command: FleetCommand = postcard::from_bytes(bytes)
            .wrap_err_with(|| format!("cannot decode the command at index {index}"))?;
        match self.state.apply(&command) {
            Applied::Nothing | Applied::PromotionBegan => {}
            Applied::Configuration => {
                self.config = decode_config(&self.ports, &self.state.config);
                spdlog::info!("configuration in force", kv: {version = self.state.config.version, index});
            }
            Applied::PromotionEnded => {
                if let Some(leading) = &mut self.leading {
                    leading.view_stale = true;
                }
            }
        }
        let done = |it: &mut Waiting| it.index <= index;
        for waiting in self.waiting.extract_if(.., done).collect::<Vec<_>>() {
            let committed = waiting.index == index && waiting.term == term;
            let answer =
                if committed { ControlResponse::Done } else { ControlResponse::Unavailable };
            let _ = waiting.reply.send(answer);
        }
        if let FleetCommand::PromotionBegan { service, .. } = &command {
            self.failover_event(service, failover::Event::Logged);
        }
        Ok(())
    }

    /// Opens connections to silent control hosts anew.
    pub(super) fn reconnect(&mut self) {
        let now = self.clock.now();
        let own = self.group.node.id().clone();
        for (id, member) in &self.group.node.members().0 {
            let heard = self.heard.entry(member.name.clone()).or_insert(now);
            if *id != own && now.since(*heard) > PEER_SILENCE {
                self.links.reset(&member.bus_addr);
                *heard = now;
            }
        }
    }
}
