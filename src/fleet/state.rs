//! Replicated state machine of a fleet: the configuration in force, unfinished promotions,
//! the inventory, the allocations of the rate limits, evacuated failure domains and the processes of
//! the entry hosts.
//!
//! Allocations follow the older parts of a snapshot, and a batch of them follows an empty
//! command in its log entry. Superseded promotions follow the allocations of a snapshot, and
//! evacuations follow these, then the processes of the hosts. An order to evacuate follows an empty
//! command and an empty batch; a change of the processes also follows an order without a domain, which
//! has no effect. Builds that do not know a part read those before it.

use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

use crate::{
    fleet::{
        allocation::{AllocationBatch, Allocations, BatchId},
        evacuation::{EvacuationOrder, Evacuations},
        host_processes::{HostProcesses, HostProcessesDelta},
        inventory::{Inventory, InventoryDelta},
        messages::ConfigDocument,
        unfinished::{Superseded, UnfinishedPromotions},
    },
    ids::{InstanceId, Service},
};

/// Command in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Puts a configuration in force if its version is higher than the current one.
    Configure(ConfigDocument),
    /// Requests to promote `target` may be sent from now on.
    PromotionBegan { service: Service, target: InstanceId },
    /// No promotion request that is still in flight can have an effect.
    PromotionEnded { service: Service },
    /// Stores what the leader has learned of targets, primaries and hosts.
    Inventory(InventoryDelta),
}

/// State that every control host derives from the committed commands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    pub config: ConfigDocument,
    pub promotions: UnfinishedPromotions,
    pub inventory: Inventory,
    #[serde(skip)]
    pub allocations: Allocations,
    #[serde(skip)]
    pub evacuations: Evacuations,
    #[serde(skip)]
    pub host_processes: HostProcesses,
}

/// Log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    pub command: FleetCommand,
    pub allocations: Option<AllocationBatch>,
    pub evacuation: Option<EvacuationOrder>,
    pub host_processes: Option<HostProcessesDelta>,
}

impl LogEntry {
    /// Decodes an entry of this build or of an older one, which knows fewer parts.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (command, rest) = postcard::take_from_bytes(bytes)?;
        let entry = Self { command, allocations: None, evacuation: None, host_processes: None };
        if rest.is_empty() {
            return Ok(entry);
        }
        let (allocations, rest) = postcard::take_from_bytes(rest)?;
        if rest.is_empty() {
            return Ok(Self { allocations: Some(allocations), ..entry });
        }
        let (order, rest) = postcard::take_from_bytes(rest)?;
        if rest.is_empty() {
            return Ok(Self { evacuation: Some(order), ..entry });
        }
        Ok(Self { host_processes: Some(postcard::from_bytes(rest)?), ..entry })
    }
}

/// Log entry that holds only a batch of allocations, in encodable form.
pub fn allocation_entry(batch: &AllocationBatch) -> (FleetCommand, &AllocationBatch) {
    (FleetCommand::Inventory(InventoryDelta::default()), batch)
}

/// Log entry that holds only an order to evacuate, in encodable form.
pub fn evacuation_entry(
    order: &EvacuationOrder,
) -> (FleetCommand, AllocationBatch, &EvacuationOrder) {
    (FleetCommand::Inventory(InventoryDelta::default()), empty_batch(), order)
}

/// Log entry that holds a change of the processes of the hosts, with one of the inventory, in encodable
/// form.
pub fn processes_entry(
    inventory: InventoryDelta,
    processes: &HostProcessesDelta,
) -> (FleetCommand, AllocationBatch, EvacuationOrder, &HostProcessesDelta) {
    let no_order = EvacuationOrder { domain: "".into(), evacuated: false };
    (FleetCommand::Inventory(inventory), empty_batch(), no_order, processes)
}

fn empty_batch() -> AllocationBatch {
    AllocationBatch { proposer: BatchId::default(), changes: Vec::new() }
}

/// Effect of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// No change that the leader must act on.
    Nothing,
    Configuration,
    PromotionBegan,
    /// Hosts may rely on the service's primary again.
    PromotionEnded,
}

impl FleetState {
    /// State in encodable form, for a snapshot.
    pub fn snapshot(&self) -> (&Self, &Allocations, &Superseded, &Evacuations, &HostProcesses) {
        let Self { allocations, promotions, evacuations, host_processes, .. } = self;
        (self, allocations, &promotions.superseded, evacuations, host_processes)
    }

    /// Decodes a snapshot of this build or of an older one.
    pub fn decode(data: &[u8]) -> Result<Self> {
        let (mut state, rest): (Self, _) =
            postcard::take_from_bytes(data).wrap_err("cannot decode the state in the snapshot")?;
        if rest.is_empty() {
            return Ok(state);
        }
        let (allocations, rest) =
            postcard::take_from_bytes(rest).wrap_err("cannot decode the allocations")?;
        state.allocations = allocations;
        if rest.is_empty() {
            return Ok(state);
        }
        let (superseded, rest) =
            postcard::take_from_bytes(rest).wrap_err("cannot decode the superseded promotions")?;
        state.promotions.superseded = superseded;
        if rest.is_empty() {
            return Ok(state);
        }
        let (evacuations, rest) =
            postcard::take_from_bytes(rest).wrap_err("cannot decode the evacuations")?;
        state.evacuations = evacuations;
        if !rest.is_empty() {
            state.host_processes =
                postcard::from_bytes(rest).wrap_err("cannot decode the processes of the hosts")?;
        }
        Ok(state)
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &FleetCommand) -> Applied {
        match command {
            FleetCommand::Configure(document) if document.version > self.config.version => {
                self.config = document.clone();
                Applied::Configuration
            }
            FleetCommand::Configure(_) => Applied::Nothing,
            FleetCommand::PromotionBegan { service, target } => {
                self.promotions.begin(service.clone(), target.clone());
                Applied::PromotionBegan
            }
            FleetCommand::PromotionEnded { service } => {
                let Some(target) = self.promotions.end(service) else {
                    return Applied::Nothing;
                };
                self.inventory.primaries.insert(service.clone(), target);
                Applied::PromotionEnded
            }
            FleetCommand::Inventory(delta) => {
                self.inventory.apply(delta);
                Applied::Nothing
            }
        }
    }
}
