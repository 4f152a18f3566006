//! Calls to promote a target that the platform may still carry out.
//!
//! A call without an answer may be carried out at any later time. Where the platform compares
//! fencing tokens, it has no effect once a call with a higher token was accepted. Elsewhere it
//! replaces whoever leads by that time, as long as its target runs. A late call for the target
//! that leads changes nothing.

use crate::{
    clock::Millis,
    fleet::failover::{Cx, PromotionOutcome},
    ids::InstanceId,
};

/// Time for which the target of a call without an answer is preferred to all others, where the
/// platform does not compare tokens: usually it leads by then.
const PREFERENCE_TIME: Millis = Millis(10_000);

/// Calls of one service without a clear answer.
#[derive(Debug, Default)]
pub(super) struct OutstandingCalls(Vec<Call>);

#[derive(Debug)]
struct Call {
    target: InstanceId,
    token: u64,
    sent_at: Millis,
}

impl OutstandingCalls {
    /// Records a call that is sent.
    pub(super) fn record_sent(&mut self, now: Millis, target: &InstanceId, token: u64) {
        self.0.push(Call { target: target.clone(), token, sent_at: now });
    }

    /// Records that a call that this leader does not know of may have been sent, with a token up to
    /// `newest_token`.
    pub(super) fn assume_sent(&mut self, now: Millis, target: &InstanceId, newest_token: u64) {
        if self.0.iter().all(|call| call.target != *target) {
            self.record_sent(now, target, newest_token);
        }
    }

    /// Records the outcome of a call. A call with a clear answer was carried out or never will be.
    pub(super) fn record_outcome(
        &mut self,
        token: u64,
        outcome: PromotionOutcome,
        promotions_are_fenced: bool,
    ) {
        if outcome == PromotionOutcome::Unknown {
            return;
        }
        self.0.retain(|call| call.token != token);
        if outcome == PromotionOutcome::Accepted && promotions_are_fenced {
            self.0.retain(|call| call.token > token);
        }
    }

    /// Whether a call for another target than `primary` may be carried out.
    pub(super) fn may_replace(&self, cx: &Cx<'_>, primary: &InstanceId) -> bool {
        self.targets(cx).any(|target| target != primary)
    }

    /// Whether calls must be remembered after a change. A call for the primary is harmless while it
    /// leads; it has to be remembered if a newer call does not void it.
    pub(super) fn must_be_remembered(&self, cx: &Cx<'_>, primary: Option<&InstanceId>) -> bool {
        self.targets(cx).any(|target| !cx.promotions_are_fenced || Some(target) != primary)
    }

    /// Targets of calls that may be carried out. A target that has left is not promoted; where
    /// tokens are compared, a newer call voids the calls for it as well.
    fn targets(&self, cx: &Cx<'_>) -> impl Iterator<Item = &InstanceId> {
        let targets = self.0.iter().map(|call| &call.target);
        targets.filter(|id| cx.promotions_are_fenced || cx.registry.get(id).is_some())
    }

    /// Target that is preferred to all others, since calls for it are outstanding.
    pub(super) fn required_target(&self, cx: &Cx<'_>) -> Option<&InstanceId> {
        if cx.promotions_are_fenced {
            return None;
        }
        let is_recent = |call: &&Call| cx.now.since(call.sent_at) < PREFERENCE_TIME;
        let runs = |call: &&Call| cx.registry.get(&call.target).is_some();
        self.0.iter().filter(is_recent).filter(runs).map(|call| &call.target).next_back()
    }
}
