//! Budget and pauses of repeated attempts.
//!
//! A request that waits for a new primary waits for a newer view and costs no
//! budget; all other repeats are bounded by the workspace's budget, so that faults
//! do not multiply the load.

use std::time::Duration;

use tokio::time::Instant;

use super::cx::Cx;
use crate::{
    clock::Clock,
    ids::Workspace,
    retry::deadline::backoff,
    wire::peer::{Outcome, Refusal},
};

/// Longest wait for a newer view before the same primary is tried again.
const VIEW_WAIT: Duration = Duration::from_millis(500);

/// Attempt that did not end with an answer for the caller.
#[derive(Debug, Clone, Copy)]
pub struct Unanswered<'a> {
    pub workspace: Option<&'a Workspace>,
    pub outcome: &'a Outcome,
    /// Attempts so far.
    pub attempts: u32,
    /// Primary of the attempt has a successor, so the repeat goes to another instance.
    pub replaced: bool,
}

/// Whether the attempt must wait for a newer view instead of being repeated.
fn waits_for_view(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Refused(
            Refusal::NotPrimary | Refusal::NotOwner | Refusal::Unreachable | Refusal::Draining
        )
    )
}

impl Cx {
    /// Counts a request, which earns a part of a repeat.
    pub(super) fn count_request(&self, workspace: Option<&Workspace>) {
        let now = self.clock.now();
        self.budgets.lock().get(now, workspace, &self.retry).deposit(&self.retry);
    }

    /// Waits before a request is repeated; false if it must be given up.
    pub(super) async fn before_repeat(
        &self,
        unanswered: Unanswered<'_>,
        deadline: Instant,
    ) -> bool {
        let Unanswered { workspace, outcome, attempts, replaced } = unanswered;
        if Instant::now() >= deadline {
            return false;
        }
        let pause = backoff(attempts, &self.retry, &mut *self.rng.lock()).duration();
        if replaced {
            // One repeat per promotion cannot become a retry storm.
        } else if waits_for_view(outcome) {
            self.wait_for_view(deadline.min(Instant::now() + VIEW_WAIT)).await;
        } else if !self.takes_budget(workspace) {
            return false;
        }
        tokio::time::sleep_until(deadline.min(Instant::now() + pause)).await;
        self.metrics.record_repeat(workspace);
        true
    }

    fn takes_budget(&self, workspace: Option<&Workspace>) -> bool {
        let now = self.clock.now();
        self.budgets.lock().get(now, workspace, &self.retry).try_withdraw(now, &self.retry)
    }

    /// Waits for a newer view, at most until `until`.
    pub(super) async fn wait_for_view(&self, until: Instant) {
        let mut revision = self.view.subscribe();
        let _ = tokio::time::timeout_at(until, revision.changed()).await;
    }
}
