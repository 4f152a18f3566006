//! Which change of the voters a leader begins next.
//!
//! The group must bear the loss of `tolerated_losses` disks (`f` below) at any moment while
//! enough hosts are there: nothing acknowledged is lost, and the hosts that are left elect a
//! leader. An acknowledged entry is on a majority of the voters. So what counts is the number
//! of voters that hold the log, not how many are on the list:
//!
//! 1. *A voter that is only silent may come back, or may be lost for good; a leader cannot tell
//!    which.* Its removal must be right in both cases. It is if the other voters that respond and
//!    hold the log, less `f` of them, are a majority of the list that is left. Then `f` more may
//!    be lost, even before the leader notices, and the others need neither the removed voter nor
//!    another silent one. Otherwise the silent voter stays: it may be needed after the next loss.
//! 2. *A host enters before another one leaves.* A silent voter makes room for a host that has
//!    caught up, even if the list is full, and leaves by rule 1 once it has been silent for
//!    `remove_after`. The number of voters that hold the log therefore never falls by a change.
//!    A voter that responds and does not catch up, because its disk does not sync, counts as
//!    silent after `remove_after`.
//! 3. *A host that comes under the name of a voter has replaced it*: the identity of the voter
//!    was on the disk that is gone, so it never votes again. It leaves as soon as its successor
//!    votes.
//! 4. *Each change leaves a majority that responds.* Otherwise the change itself could not be
//!    committed. A host that a new leader has not heard does not count as responding.
//! 5. *More than [`MAX_VOTERS`] that respond and hold the log are too many*, after silent ones
//!    came back. The youngest leaves by rule 1 and follows as a learner.
//!
//! One host is added or removed at a time, and only after the last change and an entry of the
//! leader's own term are committed: see [`membership`](crate::control::membership). A loss of
//! power in the middle of a change leaves either list, and majorities of both overlap.
//!
//! Replacements are hosts that ask to join; who asks whom is in
//! [`discovery`](crate::control::discovery).

use std::collections::BTreeMap;

use derive_more::Display;

use crate::{
    clock::Millis,
    control::{
        leader::MIN_VOTERS,
        membership::{MAX_VOTERS, quorum_of},
    },
    ids::ControlId,
    wire::group::{Member, Members},
};

/// Settings of the decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoterChangeSettings {
    /// Number of disks that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Silence from which a host does not respond.
    pub respond_timeout: Millis,
    /// Silence after which a voter may be removed; `None` if only its successor under the same
    /// name replaces it.
    pub remove_after: Option<Millis>,
}

impl Default for VoterChangeSettings {
    fn default() -> Self {
        Self { tolerated_losses: 1, respond_timeout: Millis(1_000), remove_after: None }
    }
}

impl VoterChangeSettings {
    /// Number of voters that bear the tolerated losses.
    pub fn min_voters(&self) -> usize {
        (2 * self.tolerated_losses + 1).clamp(MIN_VOTERS, MAX_VOTERS)
    }
}

/// What the leader knows of a host that it replicates to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostState {
    pub member: Member,
    /// Whether the host has responded to this leader since its election, or since it was frozen.
    pub has_responded: bool,
    /// Time since the last response, or since the leader could first expect one.
    pub silence: Millis,
    /// Time since the host last held nearly all entries; zero if it holds them.
    pub lag: Millis,
}

/// Change of the voters by one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoterChange {
    Add { host: ControlId, member: Member },
    Remove { host: ControlId, reason: RemovalReason },
}

/// Why a voter is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RemovalReason {
    #[display("its successor of the same name votes")]
    Replaced,
    #[display("it does not respond, and enough others do")]
    Unresponsive,
    #[display("more hosts vote than are needed")]
    Surplus,
}

/// Next change of `voters`, if one is due. `hosts` are all hosts that the leader `own`
/// replicates to.
pub fn next_voter_change(
    settings: &VoterChangeSettings,
    own: &ControlId,
    voters: &Members,
    hosts: &BTreeMap<ControlId, HostState>,
) -> Option<VoterChange> {
    let group = GroupState { settings, own, voters, hosts };
    group.replaced().or_else(|| group.addition()).or_else(|| group.removal())
}

/// Voters with what the leader knows of them.
struct GroupState<'a> {
    settings: &'a VoterChangeSettings,
    own: &'a ControlId,
    voters: &'a Members,
    hosts: &'a BTreeMap<ControlId, HostState>,
}

impl GroupState<'_> {
    /// Voter whose successor of the same name votes.
    fn replaced(&self) -> Option<VoterChange> {
        let host = self.voters.replaced()?;
        let responding = self.count(|id| id != host && self.responds(id));
        let removal = VoterChange::Remove { host: host.clone(), reason: RemovalReason::Replaced };
        (responding >= quorum_of(self.voters.0.len() - 1)).then_some(removal)
    }

    /// Voter that the group does not need, even after the tolerated losses.
    fn removal(&self) -> Option<VoterChange> {
        let unresponsive = || Some((self.unresponsive()?, RemovalReason::Unresponsive));
        let surplus = || Some((self.surplus()?, RemovalReason::Surplus));
        let (host, reason) = unresponsive().or_else(surplus)?;
        let holding = self.count(|id| id != host && self.responds(id) && self.holds_log(id));
        let left = holding.saturating_sub(self.settings.tolerated_losses);
        let removal = VoterChange::Remove { host: host.clone(), reason };
        (left >= quorum_of(self.voters.0.len() - 1)).then_some(removal)
    }

    /// Voter that has been silent for long.
    fn unresponsive(&self) -> Option<&ControlId> {
        let remove_after = self.settings.remove_after?;
        self.voters.0.keys().find(|id| self.absence(id) >= remove_after)
    }

    /// Voter added last, if more respond and hold the log than the group may have.
    fn surplus(&self) -> Option<&ControlId> {
        if self.count(|id| self.responds(id) && self.holds_log(id)) <= MAX_VOTERS {
            return None;
        }
        let others = self.voters.0.iter().filter(|(id, _)| *id != self.own);
        others.max_by_key(|(_, member)| member.added_index).map(|(id, _)| id)
    }

    /// Host that has caught up and for which there is room.
    fn addition(&self) -> Option<VoterChange> {
        let responding = self.count(|id| self.responds(id));
        if responding + 1 < quorum_of(self.voters.0.len() + 1) {
            return None;
        }
        let has_room = self.occupied() < MAX_VOTERS;
        let mut learners = self.hosts.iter().filter(|(id, _)| !self.voters.0.contains_key(*id));
        let (host, state) = learners.find(|(id, host)| {
            let replaces_voter = self.voters.named(&host.member.name).is_some();
            (has_room || replaces_voter) && self.holds_log(id) && self.responds(id)
        })?;
        Some(VoterChange::Add { host: host.clone(), member: state.member.clone() })
    }

    /// Number of places on the list that make no room for another host. A host that a new
    /// leader has not heard occupies its place until it could have responded.
    fn occupied(&self) -> usize {
        let Some(remove_after) = self.settings.remove_after else { return self.voters.0.len() };
        let occupies = |host: &HostState| {
            host.silence < self.settings.respond_timeout && host.lag < remove_after
        };
        self.count(|id| self.hosts.get(id).is_none_or(occupies))
    }

    fn count(&self, is_counted: impl Fn(&ControlId) -> bool) -> usize {
        self.voters.0.keys().filter(|id| is_counted(id)).count()
    }

    /// Whether a host responds; the leader itself counts as one that does.
    fn responds(&self, id: &ControlId) -> bool {
        self.hosts
            .get(id)
            .is_none_or(|host| host.has_responded && host.silence < self.settings.respond_timeout)
    }

    /// Time for which a host has not taken part: it is silent or lacks entries.
    fn absence(&self, id: &ControlId) -> Millis {
        self.hosts.get(id).map_or(Millis(0), |host| host.silence.max(host.lag))
    }

    fn holds_log(&self, id: &ControlId) -> bool {
        self.hosts.get(id).is_none_or(|host| host.lag == Millis(0))
    }
}
