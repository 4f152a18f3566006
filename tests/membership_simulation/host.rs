//! Control host: its address, its data folder and its process.

use pomelopin::{
    clock::Millis,
    control::{deferred::DeferredMessages, node::Node},
    ids::ControlId,
    wire::group::LogId,
};

use crate::{data_folder::DataFolder, ledger::AppliedState};

/// Longest time that a sync takes without faults, in milliseconds.
const USUAL_SYNC_MS: u64 = 5;

/// Control host.
pub struct Host {
    /// Bus address, which is also its name.
    pub addr: String,
    /// Number of disks that the host has lost.
    pub generation: u64,
    pub folder: DataFolder,
    pub process: Option<Process>,
    /// Whether another host has replaced this one for good.
    pub is_gone: bool,
    /// Longest time that a sync takes, in milliseconds.
    pub max_sync_ms: u64,
    /// Time in milliseconds until which no sync ends.
    pub disk_hangs_until: u64,
}

impl Host {
    /// Host with an empty data folder that does not run yet.
    pub fn new(addr: String) -> Self {
        Self {
            addr,
            generation: 0,
            folder: DataFolder::default(),
            process: None,
            is_gone: false,
            max_sync_ms: USUAL_SYNC_MS,
            disk_hangs_until: 0,
        }
    }

    /// Identity in the data folder.
    pub fn id(&self) -> ControlId {
        ControlId::from(format!("{}.{:016x}", self.addr, self.generation))
    }

    /// Last entry of the log of the process that runs.
    pub fn last_entry(&self) -> Option<LogId> {
        self.process.as_ref().map(|it| it.node.last())
    }

    /// Ends long syncs.
    pub fn restore_disk_speed(&mut self) {
        self.max_sync_ms = USUAL_SYNC_MS;
    }

    /// Process, if it runs and is not frozen.
    pub fn active(&self, now_ms: u64) -> Option<&Process> {
        self.process.as_ref().filter(|it| now_ms >= it.frozen_until)
    }
}

/// Process of a control host.
pub struct Process {
    pub number: u64,
    pub node: Node,
    pub deferred: DeferredMessages,
    pub clock: LocalClock,
    pub state: AppliedState,
    /// Time in milliseconds until which the process does not run.
    pub frozen_until: u64,
    /// Number of voters that the history last mentions.
    pub logged_voters: usize,
    /// Whether the history mentions that the host was removed.
    pub is_removal_noted: bool,
}

/// Monotonic clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct LocalClock {
    pub started_ms: u64,
    /// Reading at the start of the process, in milliseconds.
    pub offset_ms: u64,
    pub rate: f64,
}

impl LocalClock {
    /// Reading at the simulation's time.
    pub fn at(&self, now_ms: u64) -> Millis {
        let elapsed = (now_ms - self.started_ms) as f64 * self.rate;
        Millis(self.offset_ms + elapsed as u64)
    }
}
