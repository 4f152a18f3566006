//! Execution of the node's outputs and of the actions of promotions.

use bytes::Bytes;
use eyre::{Result, WrapErr};

use crate::{
    clock::Clock,
    control::{
        driver::decode_state,
        event_loop::{EventLoop, HISTORY_CHANGES, Leadership},
        group_log::log_voter_change,
        leases::LeaseTable,
        node::{Input, Output, Role, RoleChange},
        promotions::Promotions,
    },
    promotion::state_machine::Action,
    settings::promotion::PromotionSettings,
    state::{
        delta::ChangeHistory,
        model::{Change, Command},
    },
    wire::{
        control::ControlMessage,
        group::{GroupMessage, GroupTerm},
    },
};

impl EventLoop {
    pub(super) fn step(&mut self, input: Input) -> Result<()> {
        for output in self.group.step(input)? {
            self.execute(output)?;
        }
        Ok(())
    }

    /// Confirms `count` synced writes and sends the messages that depended on them.
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
            // Already queued for the disk by the driver.
            Output::Persist(_) => {}
            Output::Send { addr, message } => self.send_group(&addr, message)?,
            Output::RestoreSnapshot { index, data } => {
                self.state = decode_state(&data)?;
                self.history = ChangeHistory::new(HISTORY_CHANGES);
                spdlog::info!("restored a snapshot", kv: {index, revision = self.state.view.revision.0});
            }
            Output::Committed { index, term, bytes } => self.apply(index, term, &bytes)?,
            Output::Proposed { id, index, term } => self.apply_requests.appended(id, index, term),
            Output::ProposalRejected { id, .. } => self.apply_requests.rejected(id),
            Output::RoleChanged(change) => self.change_role(&change),
            Output::Frozen { gap } => {
                spdlog::warn!("the process did not run for {gap}");
                if let Some(leadership) = &mut self.leadership {
                    leadership.leases.extend_all(self.clock.now());
                }
            }
            Output::VotersChanging { change, voters, responding } => {
                log_voter_change(&change, voters, responding);
            }
            Output::Removed { by } => self.group_log.record_removal(self.clock.now(), &by),
        }
        Ok(())
    }

    fn send_group(&self, addr: &str, message: GroupMessage) -> Result<()> {
        let body = postcard::to_stdvec(&ControlMessage::Group(message))?;
        self.bus.send(addr, &body);
        Ok(())
    }

    fn apply(&mut self, index: u64, term: GroupTerm, bytes: &Bytes) -> Result<()> {
        let command: Command = postcard::from_bytes(bytes)
            .wrap_err_with(|| format!("cannot decode the command at index {index}"))?;
        let applied = self.state.apply(&command);
        let now = self.clock.now();
        let mut actions = Vec::new();
        if let Some(leadership) = &mut self.leadership {
            for change in &applied.changes {
                if let Change::Host(id, host) = change {
                    leadership.leases.set_host(now, id, host.as_ref());
                }
            }
            actions = leadership.promotions.committed(now, &command, &self.state.view);
        }
        if !applied.changes.is_empty() {
            self.history.record(self.state.view.revision, applied.changes);
            self.has_unsent_changes = true;
        }
        self.apply_requests.committed(now, index, term, applied.answer);
        self.execute_actions(actions);
        Ok(())
    }

    fn change_role(&mut self, change: &RoleChange) {
        let leader = change.leader.as_ref().map_or("none", |leader| leader.as_str());
        spdlog::info!("role changed", kv: {role = change.role.to_string().as_str(), term = change.term.0, leader});
        if change.role == Role::Leader {
            let now = self.clock.now();
            let timing = self.settings.lease_timing.clone();
            self.leadership.get_or_insert_with(|| Leadership {
                leases: LeaseTable::new(now, &self.state.view, timing),
                promotions: Promotions::new(PromotionSettings::default()),
            });
        } else if self.leadership.take().is_some() {
            self.apply_requests.fail_all();
            self.group.clear_proposals();
        }
    }

    pub(super) fn execute_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ProposeStart { service, term, preferred, reason } => {
                    spdlog::warn!("starting a promotion", kv: {service = service.as_str(), term = term.0, reason = reason.as_str()});
                    self.propose(&Command::PromotionStarted { service, term, preferred, reason });
                }
                Action::ProposeFinish { service, term, primary } => {
                    spdlog::info!("finishing a promotion", kv: {service = service.as_str(), term = term.0, primary = primary.as_str()});
                    self.propose(&Command::PromotionFinished { service, term, primary });
                }
                Action::Fence { instance, term } => {
                    if let Some(target) = self.state.view.instances.get(&instance) {
                        self.fencing.fence(&target.spec, term);
                    }
                }
                Action::Promote { instance, term } => {
                    if let Some(target) = self.state.view.instances.get(&instance) {
                        self.fencing.promote(&target.spec, term);
                    }
                }
            }
        }
    }
}
