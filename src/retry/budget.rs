//! Retry budget per workspace.
//!
//! Each request deposits a fraction of a retry. A fault that makes every request fail
//! therefore adds at most that fraction to the load, plus a small floor that lets
//! rarely used workspaces retry at all.

use indexmap::IndexMap;

use crate::{clock::Millis, ids::Workspace, settings::retry::RetrySettings};

/// Cost of one retry; balances are in thousandths of a retry.
const RETRY_COST: u64 = 1_000;

/// Refill of the floor per millisecond, which amounts to one retry per second.
const FLOOR_REFILL_PER_MS: u64 = RETRY_COST / 1_000;

/// Retry budget of one workspace.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Balance from deposits.
    deposited: u64,
    /// Balance that refills with time.
    floor: u64,
    refilled_at: Millis,
}

impl Budget {
    /// Budget with a full floor and no deposits.
    pub fn new(now: Millis, settings: &RetrySettings) -> Self {
        Self { deposited: 0, floor: settings.min_retries * RETRY_COST, refilled_at: now }
    }

    /// Deposits a fraction of a retry for a new request.
    pub fn deposit(&mut self, settings: &RetrySettings) {
        let cap = settings.max_saved_retries * RETRY_COST;
        self.deposited = (self.deposited + settings.retries_per_thousand).min(cap);
    }

    /// Withdraws one retry; returns false if the balance does not suffice.
    pub fn try_withdraw(&mut self, now: Millis, settings: &RetrySettings) -> bool {
        let refill = now.since(self.refilled_at).0 * FLOOR_REFILL_PER_MS;
        self.floor = (self.floor + refill).min(settings.min_retries * RETRY_COST);
        self.refilled_at = self.refilled_at.max(now);
        for balance in [&mut self.deposited, &mut self.floor] {
            if *balance >= RETRY_COST {
                *balance -= RETRY_COST;
                return true;
            }
        }
        false
    }
}

/// Budgets of all workspaces; routes without authentication share one.
#[derive(Debug, Default)]
pub struct Budgets {
    budgets: IndexMap<Option<Workspace>, Budget>,
}

impl Budgets {
    /// Budget of `workspace`, created on first use.
    pub fn get(
        &mut self,
        now: Millis,
        workspace: Option<&Workspace>,
        settings: &RetrySettings,
    ) -> &mut Budget {
        self.budgets.entry(workspace.cloned()).or_insert_with(|| Budget::new(now, settings))
    }

    /// Removes the budgets of workspaces that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&Workspace) -> bool) {
        self.budgets.retain(|workspace, _| workspace.as_ref().is_none_or(&exists));
    }
}
