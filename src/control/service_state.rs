//! Whether a control host can serve requests, and what it lacks otherwise.

use derive_more::Display;

use crate::{
    clock::Millis,
    control::node::{Node, State},
};

/// Service that a control host can give, or the first thing that it lacks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum ServiceState {
    #[display("leads the group")]
    Serving,
    /// Requests are passed on to the leader.
    #[display("follows a leader")]
    Following,
    /// The host votes and hears no leader.
    #[default]
    #[display("knows no leader")]
    NoLeader,
    /// The host neither votes nor hears a leader; it asks other hosts to let it join.
    #[display("is no voter and knows no leader")]
    NotMember,
    #[display("leads without a confirmed majority")]
    NoMajority,
    #[display("leads, but entries of earlier terms are not committed")]
    Uncommitted,
    /// During bootstrap, data that only a few hosts hold would be lost with their disks.
    #[display("leads, but too few hosts vote")]
    TooFewVoters,
}

impl ServiceState {
    /// Whether requests are answered, here or by a leader that the host can name.
    pub fn is_available(self) -> bool {
        matches!(self, Self::Serving | Self::Following)
    }
}

impl Node {
    /// Whether this host may serve requests, and what it lacks otherwise.
    pub fn service_state(&self, now: Millis) -> ServiceState {
        let State::Leader(state) = &self.state else {
            return match (&self.leader, self.is_voter()) {
                (Some(_), _) => ServiceState::Following,
                (None, true) => ServiceState::NoLeader,
                (None, false) => ServiceState::NotMember,
            };
        };
        if !self.has_majority(now, self.settings.timing.leader_lease()) {
            ServiceState::NoMajority
        } else if self.commit_index < state.first_index {
            ServiceState::Uncommitted
        } else if !self.has_enough_voters(now) {
            ServiceState::TooFewVoters
        } else {
            ServiceState::Serving
        }
    }

    /// Whether this host may serve requests: it is the leader, all entries of earlier
    /// leaders are committed, a majority has confirmed it within its lease, and the
    /// group has enough voters.
    pub fn is_serving(&self, now: Millis) -> bool {
        self.service_state(now) == ServiceState::Serving
    }
}
