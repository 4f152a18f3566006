//! Evidence of where the acknowledged commits of a service are.
//!
//! A commit is acknowledged once the primary and one replica hold it, and another entry host knows
//! of it ([`lost_hosts`](crate::fleet::lost_hosts)). Two kinds of gaps remain:
//!
//! - A replica has left, or was promoted and leads now. No other replica may hold what it had
//!   received.
//! - The reports of the entry hosts tell what was acknowledged, but hosts that have ended together
//!   can't report their last commits any more, and a new leader may not know of all hosts
//!   ([`host_processes`](crate::fleet::host_processes)).
//!
//! A position closes both if the primary reported it when it was queried later: its log
//! holds every commit that was acknowledged before the query.

use std::collections::VecDeque;

use derive_more::Display;
use indexmap::IndexSet;

use crate::{
    clock::Millis,
    fleet::loss_settlement::LossSettlement,
    ids::{InstanceId, Mark, Term},
};

/// Interval between the queries that close a gap.
const QUERY_INTERVAL: Millis = Millis(500);

/// Positions of the primary that are kept, each the first one after a loss of hosts.
const MAX_POSITIONS_AFTER_LOSSES: usize = 8;

/// Evidence of one service.
#[derive(Debug, Default, Display)]
#[display("{replication:?}, primary {primary_position:?}")]
pub(super) struct CommitEvidence {
    replicas: IndexSet<InstanceId>,
    /// Replicas that have left and may have held the only copy of a commit beside the
    /// primary's.
    departed: IndexSet<InstanceId>,
    replication: Replication,
    /// Position of the primary, and when it was queried.
    primary_position: Option<(Millis, Mark)>,
    /// First position of the primary after each of the newest losses of hosts, and when it was
    /// queried. Later ones may include commits that no replica has received.
    positions_after_losses: VecDeque<(Millis, Mark)>,
    /// Term that the primary leads, and what it had received when it began to.
    term_start: Option<(Term, Mark)>,
    settlement: LossSettlement,
    queried_at: Option<Millis>,
}

/// Whether the replicas in the registry hold every acknowledged commit among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Replication {
    #[default]
    Complete,
    /// The primary alone may hold commits that were acknowledged before the given time.
    UnknownUntil(Millis),
    /// The primary alone may hold commits up to the given position.
    AwaitedUpTo(Mark),
}

impl CommitEvidence {
    /// Notes which replicas the registry holds. A pause says nothing of one that has left: it may
    /// have ended before.
    pub(super) fn update_replicas(&mut self, now: Millis, replicas: &[&InstanceId]) {
        for id in self.replicas.extract_if(.., |id| !replicas.contains(&id)) {
            self.replication = Replication::UnknownUntil(now);
            self.departed.insert(id);
        }
        for id in replicas {
            if !self.replicas.contains(*id) {
                self.replicas.insert((*id).clone());
                self.departed.shift_remove(*id);
            }
        }
        self.settlement.retain_replicas(&self.replicas);
    }

    /// Notes a replica that an earlier leader knew. If the registry does not hold it, the next
    /// update finds that it has left.
    pub(super) fn restore_replica(&mut self, id: &InstanceId) {
        self.replicas.insert(id.clone());
    }

    /// Records the position of the primary from its answer to a query. Hosts that were lost until
    /// `newest_loss` acknowledge nothing any more.
    pub(super) fn record_primary(
        &mut self,
        queried_at: Millis,
        received: Mark,
        newest_loss: Millis,
    ) {
        let is_after_newest =
            self.positions_after_losses.back().is_some_and(|(at, _)| *at >= newest_loss);
        if queried_at >= newest_loss && !is_after_newest {
            self.positions_after_losses.push_back((queried_at, received));
            if self.positions_after_losses.len() > MAX_POSITIONS_AFTER_LOSSES {
                self.positions_after_losses.pop_front();
            }
        }
        if let Replication::UnknownUntil(until) = self.replication
            && queried_at >= until
        {
            self.replication = Replication::AwaitedUpTo(received);
        }
        if self.primary_position.is_none_or(|(at, _)| at < queried_at) {
            self.primary_position = Some((queried_at, received));
        }
    }

    /// Records the position of a target that answered as a replica.
    pub(super) fn record_replica(&mut self, target: &InstanceId, received: Mark) {
        self.settlement.record_replica(target, received);
        if self.replicas.contains(target) && self.replication.is_complete_at(received) {
            self.replication = Replication::Complete;
            self.departed.clear();
        }
    }

    /// Whether a candidate that covers all replicas and has received up to `received` holds
    /// what only replicas that have left had received.
    pub(super) fn covers_departed(&self, received: Mark) -> bool {
        self.replication.is_complete_at(received)
    }

    /// Whether a candidate that has received up to `received` holds every commit acknowledged
    /// before `until`.
    pub(super) fn covers_all_before(&self, until: Millis, received: Mark) -> bool {
        self.primary_position
            .is_some_and(|(queried_at, position)| queried_at >= until && received >= position)
    }

    /// Records that a primary has begun to lead `term` with what it had received.
    pub(super) fn record_term_start(&mut self, term: Term, received: Mark) {
        if received.term < term {
            self.term_start = Some((term, received));
        }
    }

    /// Newest commit that was acknowledged, if hosts report `newest`. A host may report a commit that
    /// it was about to acknowledge; one that the promotion rolled back was not.
    pub(super) fn not_rolled_back(&self, newest: Mark) -> Mark {
        match self.term_start {
            Some((term, start)) if newest.term < term => newest.min(start),
            _ => newest,
        }
    }

    /// Time before which every commit that was acknowledged is held by a candidate that has received
    /// up to `received`.
    pub(super) fn covers_until(&self, received: Mark) -> Option<Millis> {
        let positions = self.positions_after_losses.iter().chain(&self.primary_position);
        let reached = positions.filter(|(_, position)| received >= *position);
        reached.map(|(queried_at, _)| *queried_at).max()
    }

    /// Replicas that have left and may have held the only copy of a commit beside the primary's.
    pub(super) fn departed(&self) -> impl Iterator<Item = &InstanceId> {
        self.departed.iter()
    }

    /// All replicas that may hold the only copy of a commit beside the primary's, including those
    /// that have left since the last update.
    pub(super) fn known(&self) -> impl Iterator<Item = &InstanceId> {
        self.replicas.iter().chain(&self.departed)
    }

    /// Whether the positions of the replicas are needed, for one that has left or for the losses of
    /// hosts until `lost_until`.
    pub(super) fn awaits_replicas(&self, lost_until: Millis) -> bool {
        let is_unsettled = self.settlement.settled_until() < lost_until;
        self.replication != Replication::Complete || (is_unsettled && !self.replicas.is_empty())
    }

    /// Records the position of the primary for the settlement of the losses until `lost_until`.
    pub(super) fn settle_losses(&mut self, queried_at: Millis, received: Mark, lost_until: Millis) {
        self.settlement.record_primary(queried_at, received, lost_until, &self.replicas);
    }

    /// Time before which the losses of hosts are settled; `None` if there is no replica that could be
    /// promoted.
    pub(super) fn settled_until(&self) -> Option<Millis> {
        self.known().next().is_some().then(|| self.settlement.settled_until())
    }

    /// Whether the primary is to be queried now, and the replicas if `awaits_replicas`. Hosts may have
    /// acknowledged commits before `unreported_until` that nobody reports.
    pub(super) fn query_is_due(
        &mut self,
        now: Millis,
        unreported_until: Millis,
        awaits_replicas: bool,
    ) -> bool {
        let is_unreported = now >= unreported_until
            && self.primary_position.is_none_or(|(at, _)| at < unreported_until);
        let is_needed = is_unreported || awaits_replicas;
        let is_due = is_needed && self.queried_at.is_none_or(|at| now.since(at) >= QUERY_INTERVAL);
        if is_due {
            self.queried_at = Some(now);
        }
        is_due
    }
}

impl Replication {
    fn is_complete_at(self, received: Mark) -> bool {
        match self {
            Self::Complete => true,
            Self::UnknownUntil(_) => false,
            Self::AwaitedUpTo(position) => received >= position,
        }
    }
}
