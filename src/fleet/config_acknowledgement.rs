//! Acknowledgements of configurations by a control host; [`config_rollout`] says when.
//!
//! [`config_rollout`]: crate::fleet::config_rollout

use tokio::sync::oneshot;

use crate::{
    clock::Clock,
    fleet::{
        config_rollout::ConfigRollout,
        control::{ControlLoop, ControlResponse},
        runtime::Ports,
    },
    wire::group::GroupTerm,
};

/// Configuration in force that an operator waits for.
pub(super) struct PendingRollout {
    rollout: ConfigRollout,
    pub(super) reply: oneshot::Sender<ControlResponse>,
}

impl<P: Ports> ControlLoop<P> {
    /// Records that the configuration in force, which was proposed in `term`, is committed.
    pub(super) fn record_config_commit(&mut self, term: GroupTerm) {
        let (now, version) = (self.clock.now(), self.state.config.version);
        self.config_committed_at = now;
        let Some(leader) = &mut self.leader_state else { return };
        if term.0 == leader.view.revision.term {
            leader.config_history.record(now, version);
        } else {
            leader.config_history.record_inherited(version);
        }
    }

    /// Acknowledges the configuration in force as soon as the promise of the acknowledgement holds.
    pub(super) fn acknowledge_after_rollout(&mut self, reply: oneshot::Sender<ControlResponse>) {
        let (version, committed_at) = (self.state.config.version, self.config_committed_at);
        let rollout = ConfigRollout { version, committed_at };
        self.pending_rollouts.push(PendingRollout { rollout, reply });
    }

    /// Acknowledges the configurations whose rollout is complete.
    pub(super) fn acknowledge_rollouts(&mut self) {
        let Some(leader) = &mut self.leader_state else { return };
        let (now, max_delay) = (self.clock.now(), self.max_config_delay);
        let (hosts, history) = (&leader.hosts, &mut leader.config_history);
        self.pending_rollouts.retain(|it| !it.reply.is_closed());
        let is_complete = |it: &mut PendingRollout| it.rollout.is_complete(now, hosts, max_delay);
        for PendingRollout { rollout, reply } in self.pending_rollouts.extract_if(.., is_complete) {
            history.record_acknowledged(rollout.version);
            // The operator may have stopped waiting; it sends the configuration again.
            let _ = reply.send(ControlResponse::Done);
            let behind = hosts.count_behind(rollout.version);
            let took_ms = now.since(rollout.committed_at).0;
            spdlog::info!("configuration acknowledged", kv: {version = rollout.version, took_ms, hosts = hosts.len(), behind});
        }
    }
}
