//! Budget of repeated attempts per workspace.
//!
//! Each request earns a fraction of a repeated attempt. A fault that makes every
//! request fail therefore adds at most that fraction to the load, plus a small
//! floor that lets rarely used workspaces repeat at all.

use indexmap::IndexMap;

use crate::{clock::Millis, ids::Workspace, settings::retry::RetrySettings};

/// Thousandths of an attempt, the unit of the balance.
const ATTEMPT: u64 = 1_000;

/// Floor regained per millisecond: one attempt per second.
const FLOOR_PER_MS: u64 = ATTEMPT / 1_000;

/// Balance of one workspace.
#[derive(Debug, Clone)]
pub struct Budget {
    earned: u64,
    floor: u64,
    at: Millis,
}

impl Budget {
    /// Budget with a full floor.
    pub fn new(now: Millis, settings: &RetrySettings) -> Self {
        Self { earned: 0, floor: settings.floor * ATTEMPT, at: now }
    }

    /// Earns a share of an attempt for a new request.
    pub fn deposit(&mut self, settings: &RetrySettings) {
        let most = settings.saved_repeats * ATTEMPT;
        self.earned = (self.earned + settings.repeats_per_thousand).min(most);
    }

    /// Takes one repeated attempt if the balance permits it.
    pub fn try_withdraw(&mut self, now: Millis, settings: &RetrySettings) -> bool {
        let regained = now.since(self.at).0 * FLOOR_PER_MS;
        self.floor = (self.floor + regained).min(settings.floor * ATTEMPT);
        self.at = self.at.max(now);
        for balance in [&mut self.earned, &mut self.floor] {
            if *balance >= ATTEMPT {
                *balance -= ATTEMPT;
                return true;
            }
        }
        false
    }
}

/// Budgets of all workspaces; open routes share one.
#[derive(Debug, Default)]
pub struct Budgets {
    budgets: IndexMap<Option<Workspace>, Budget>,
}

impl Budgets {
    /// Budget of `workspace`.
    pub fn get(
        &mut self,
        now: Millis,
        workspace: Option<&Workspace>,
        settings: &RetrySettings,
    ) -> &mut Budget {
        self.budgets.entry(workspace.cloned()).or_insert_with(|| Budget::new(now, settings))
    }

    /// Drops the budgets of workspaces that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&Workspace) -> bool) {
        self.budgets.retain(|workspace, _| workspace.as_ref().is_none_or(&exists));
    }
}
