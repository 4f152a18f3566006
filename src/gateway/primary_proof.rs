//! Proof that a target is the primary of its service, for a host that control cannot vouch
//! for: its lease has ended, or the primary is about to change.
//!
//! A replaced primary does not know that it was replaced. It goes on answering as the
//! primary until it is demoted or reaches its successor, so its own word proves nothing. Its
//! successor does know: it answers as a primary of a later term from the moment at which the
//! promotion takes effect. A target is therefore the primary if it says so and every other
//! target of the service denies that it leads a later term.
//!
//! All answers must be to questions asked after the statement had arrived. Then no promotion
//! had taken effect when the statement arrived, and every commit that was acknowledged before
//! that moment is in the log of the proven primary. A promotion that takes effect later does
//! no harm: the statement need not see commits that were acknowledged after it had arrived.
//!
//! One silent target prevents the proof, since it may be the successor. An answer of a
//! majority is not enough: a paused replica forgets the pause when the promotion takes
//! effect, and learns the new term only with the first commit of the successor.
//!
//! A view without a primary allows no proof: control has withdrawn the primary, because it
//! promotes another target although a replica is out of its reach.
//!
//! The targets are those in the host's view. [`MAX_VIEW_AGE`] bounds how long a target that
//! joined since can be unknown to the host; control does not promote one before.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{failover::TargetStatus, messages::TargetRole},
    ids::InstanceId,
};

/// Time since the last contact with control after which the targets in the view prove
/// nothing.
pub const MAX_VIEW_AGE: Millis = Millis(6_000);

/// Answers of a service's targets to one round of questions.
#[derive(Debug)]
pub struct PrimaryProof {
    targets: usize,
    answers: IndexMap<InstanceId, TargetStatus>,
}

impl PrimaryProof {
    /// Proof for a service with the given number of targets.
    pub fn new(targets: usize) -> Self {
        Self { targets, answers: IndexMap::new() }
    }

    /// Records the answer of a target.
    pub fn record(&mut self, target: InstanceId, status: TargetStatus) {
        self.answers.insert(target, status);
    }

    /// Proven primary; `None` if a target has not answered, or if one may lead a later term.
    pub fn primary(&self) -> Option<&InstanceId> {
        if self.answers.len() < self.targets {
            return None;
        }
        let is_primary = |(_, status): &(_, &TargetStatus)| status.role == TargetRole::Primary;
        let claims = self.answers.iter().filter(is_primary);
        let (id, newest) = claims.max_by_key(|(_, status)| status.term)?;
        let denies =
            |(other, status): (_, &TargetStatus)| other == id || status.denies_lead(newest);
        self.answers.iter().all(denies).then_some(id)
    }
}

impl TargetStatus {
    /// Whether this answer rules out that its target leads after `primary`. Two primaries of
    /// one term refute each other.
    fn denies_lead(&self, primary: &TargetStatus) -> bool {
        match self.role {
            TargetRole::Primary => self.term < primary.term,
            TargetRole::Replica => self.term <= primary.term,
        }
    }
}
