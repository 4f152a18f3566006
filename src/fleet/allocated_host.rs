//! What the control leader knows of one entry host's rate limits.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        allocation::{Allocations, Fraction},
        demand::Demand,
        messages::{Allocation, AllocationRevision},
        rate_plan::Planned,
    },
    ids::{HostId, Incarnation, Workspace},
};

/// Silence after which a host gets nothing in new plans; what it has stays reserved for it.
const SILENCE: Millis = Millis(1_500);

/// Time from a host's first report until its demand is known in any case.
const DEMAND_DELAY: Millis = Millis(4_000);

/// Operations since a host's first report from which its demand is known.
const KNOWN_OPERATIONS: f64 = 8.0;

const MS_PER_SECOND: f64 = 1_000.0;

/// Allocations of the workspaces to one host.
pub(super) type Table = IndexMap<Workspace, Fraction>;

/// Tokens by workspace.
pub(super) type Credits = IndexMap<Workspace, u32>;

#[derive(Debug)]
pub(super) struct Host {
    pub incarnation: Incarnation,
    pub first_heard_at: Millis,
    pub heard_at: Millis,
    pub demand: Demand,
    /// Whether the host's build knows allocations.
    pub knows_allocations: bool,
    /// Whether the last plan included the host.
    pub is_planned: bool,
    /// Parts in the last plan, without what the host gets as a lender.
    pub parts: Table,
    pub targets: Table,
    pub sent: Option<Sent>,
    /// Generation of the allocator in which `sent` was last compared with what is committed.
    pub compared: Option<u64>,
}

/// Allocations that were last sent to a host.
#[derive(Debug)]
pub(super) struct Sent {
    pub revision: AllocationRevision,
    pub at: Millis,
    pub table: Table,
    /// Tokens that the host gets with the allocations.
    pub tokens: Credits,
    pub confirmed: bool,
}

impl Sent {
    pub fn allocations(&self) -> Vec<Allocation> {
        let allocation = |(workspace, fraction): (&Workspace, &Fraction)| Allocation {
            workspace: workspace.clone(),
            fraction: *fraction,
            tokens: self.tokens.get(workspace).copied().unwrap_or_default(),
        };
        self.table.iter().map(allocation).collect()
    }
}

impl Host {
    pub fn new(now: Millis, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            first_heard_at: now,
            heard_at: now,
            demand: Demand::default(),
            knows_allocations: false,
            is_planned: false,
            parts: Table::new(),
            targets: Table::new(),
            sent: None,
            compared: None,
        }
    }

    pub fn is_live(&self, now: Millis) -> bool {
        now.since(self.heard_at) < SILENCE
    }

    /// Whether the host's demand for operations of `workspace` is not known yet.
    pub fn is_new(&self, now: Millis, workspace: &Workspace) -> bool {
        let age = now.since(self.first_heard_at);
        let operations = self.demand.of(workspace) * age.0 as f64 / MS_PER_SECOND;
        age < DEMAND_DELAY && operations < KNOWN_OPERATIONS
    }

    pub fn target(&self, workspace: &Workspace) -> Fraction {
        self.targets.get(workspace).copied().unwrap_or_default()
    }

    pub fn set_planned(&mut self, workspace: &Workspace, planned: Planned) {
        if planned.total > Fraction::NONE {
            self.targets.insert(workspace.clone(), planned.total);
        }
        if planned.part > Fraction::NONE {
            self.parts.insert(workspace.clone(), planned.part);
        } else {
            self.parts.shift_remove(workspace);
        }
    }

    /// Allocations to send: what is committed, but no more than the target.
    pub fn table(&self, id: &HostId, allocations: &Allocations) -> Table {
        let limited = allocations.of_host(id).map(|(workspace, committed)| {
            (workspace.clone(), committed.min(self.target(workspace)))
        });
        limited.filter(|(_, fraction)| *fraction > Fraction::NONE).collect()
    }
}
