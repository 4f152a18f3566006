//! Comparison of a candidate's position with those of the other targets.
//!
//! A commit that was acknowledged before the hosts began to acknowledge only what the candidate
//! holds was at two targets at least: the primary, and the replica that gave the receipt. If all
//! targets that receive are known and keep their logs, it is in the candidate's log if the candidate
//! holds all that the other targets held, except one at most. It does not matter which one, nor
//! which target led: the primary may be silent, or ahead by commits that no replica has received.
//!
//! Nobody can tell that all targets are known. So this proves nothing by itself: the reports of the
//! hosts decide ([`lost_hosts`](crate::fleet::lost_hosts)).
//!
//! The positions are answers to questions that were asked after all hosts had begun. A comparison
//! that has succeeded holds on: the candidate keeps its log when it restarts, and the hosts acknowledge
//! nothing that it lacks. Replicas that join, leave, restart or are resumed later cannot change
//! that. A candidate whose position falls has lost its log, or was rolled back to that of another
//! target, and must be compared again.

use std::fmt;

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    ids::{InstanceId, Mark},
};

/// Targets whose positions a proof may do without.
const MAX_UNCOVERED: usize = 1;

/// Positions of the targets of a service since all hosts acknowledge only what the candidate
/// holds.
#[derive(Debug)]
pub(super) struct CandidateProof {
    since: Millis,
    /// First position of each target.
    first: IndexMap<InstanceId, Mark>,
    /// Newest position of the candidate.
    candidate: Option<Mark>,
    has_regressed: bool,
}

impl CandidateProof {
    /// Proof by answers to questions that are asked from `since` on.
    pub(super) fn new(since: Millis) -> Self {
        Self { since, first: IndexMap::new(), candidate: None, has_regressed: false }
    }

    /// Records the position of `target` in its answer to a question of `asked_at`.
    pub(super) fn record(
        &mut self,
        candidate: Option<&InstanceId>,
        target: &InstanceId,
        asked_at: Millis,
        received: Mark,
    ) {
        if asked_at < self.since {
            return;
        }
        self.first.entry(target.clone()).or_insert(received);
        if candidate == Some(target) {
            self.has_regressed |= self.candidate.is_some_and(|newest| received < newest);
            self.candidate = Some(received);
        }
    }

    /// Whether the candidate has less than it had.
    pub(super) fn has_regressed(&self) -> bool {
        self.has_regressed
    }

    /// Whether `target` has answered.
    pub(super) fn has_answered(&self, target: &InstanceId) -> bool {
        self.first.contains_key(target)
    }

    /// Newest position of the candidate.
    pub(super) fn candidate(&self) -> Option<Mark> {
        self.candidate
    }

    /// Whether the candidate holds every commit that was acknowledged before, if `others` are all
    /// other targets that may have held one. A primary that is not known counts as one more.
    pub(super) fn covers<'a>(
        &self,
        others: impl Iterator<Item = &'a InstanceId>,
        primary_is_known: bool,
    ) -> bool {
        let Some(own) = self.candidate.filter(|_| !self.has_regressed) else { return false };
        let is_uncovered = |id: &&InstanceId| self.first.get(*id).is_none_or(|it| *it > own);
        others.filter(is_uncovered).count() + usize::from(!primary_is_known) <= MAX_UNCOVERED
    }
}

/// First position of each target that has answered.
impl fmt::Display for CandidateProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (target, received)) in self.first.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{target}={received}")?;
        }
        Ok(())
    }
}
