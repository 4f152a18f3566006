//! Retry budget and backoff of failed attempts.
//!
//! A retry after a refusal for which a newer view is expected waits for that view and
//! costs no budget. All other retries are limited by the retry budget of the
//! workspace, so that faults do not multiply the load.

use std::time::Duration;

use tokio::time::Instant;

use super::cx::Cx;
use crate::{
    clock::Clock,
    ids::Workspace,
    retry::deadline::backoff,
    wire::peer::{Outcome, Refusal},
};

/// Longest wait for a newer view before a retry with the current one.
const VIEW_WAIT: Duration = Duration::from_millis(500);

/// Attempt whose outcome is not returned to the caller at once.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt<'a> {
    pub workspace: Option<&'a Workspace>,
    pub outcome: &'a Outcome,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Whether the primary of the attempt was replaced, so that the retry goes to another
    /// instance.
    pub replaced: bool,
}

/// Whether a retry should first wait for a newer view, which is likely to name another
/// owner or primary.
fn needs_newer_view(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Refused(
            Refusal::NotPrimary | Refusal::NotOwner | Refusal::Unreachable | Refusal::Draining
        )
    )
}

impl Cx {
    /// Deposits a fraction of a retry in the budget for a new request.
    pub(super) fn deposit_retry_budget(&self, workspace: Option<&Workspace>) {
        let now = self.clock.now();
        self.budgets.lock().get(now, workspace, &self.retry).deposit(&self.retry);
    }

    /// Waits until a request may be retried; returns false if it must fail.
    pub(super) async fn wait_before_retry(
        &self,
        failed: FailedAttempt<'_>,
        deadline: Instant,
    ) -> bool {
        let FailedAttempt { workspace, outcome, attempts, replaced } = failed;
        if Instant::now() >= deadline {
            return false;
        }
        let pause = backoff(attempts, &self.retry, &mut *self.rng.lock()).duration();
        if replaced {
            // One retry per promotion cannot cause a retry storm, so it costs no budget.
        } else if needs_newer_view(outcome) {
            self.wait_for_view(deadline.min(Instant::now() + VIEW_WAIT)).await;
        } else if !self.withdraw_retry(workspace) {
            return false;
        }
        tokio::time::sleep_until(deadline.min(Instant::now() + pause)).await;
        self.metrics.record_repeat(workspace);
        true
    }

    fn withdraw_retry(&self, workspace: Option<&Workspace>) -> bool {
        let now = self.clock.now();
        self.budgets.lock().get(now, workspace, &self.retry).try_withdraw(now, &self.retry)
    }

    /// Waits for a newer view, at most until `until`.
    pub(super) async fn wait_for_view(&self, until: Instant) {
        let mut revision = self.view.subscribe();
        let _ = tokio::time::timeout_at(until, revision.changed()).await;
    }
}
