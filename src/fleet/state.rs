//! Replicated state machine of a fleet: the configuration in force, unfinished promotions,
//! the inventory and the allocations of the rate limits.
//!
//! Allocations follow the older parts of a snapshot, and a batch of them follows an empty
//! command in its log entry. Superseded promotions follow the allocations of a snapshot. Builds
//! that do not know a part read those before it.

use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

use crate::{
    fleet::{
        allocation::{AllocationBatch, Allocations},
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
}

/// Log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    pub command: FleetCommand,
    pub allocations: Option<AllocationBatch>,
}

impl LogEntry {
    /// Decodes an entry of this build or of one that knows no allocations.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (command, rest) = postcard::take_from_bytes(bytes)?;
        let allocations = match rest {
            [] => None,
            rest => Some(postcard::from_bytes(rest)?),
        };
        Ok(Self { command, allocations })
    }
}

/// Log entry that holds only a batch of allocations, in encodable form.
pub fn allocation_entry(batch: &AllocationBatch) -> (FleetCommand, &AllocationBatch) {
    (FleetCommand::Inventory(InventoryDelta::default()), batch)
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
    pub fn snapshot(&self) -> (&Self, &Allocations, &Superseded) {
        (self, &self.allocations, &self.promotions.superseded)
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
        if !rest.is_empty() {
            state.promotions.superseded =
                postcard::from_bytes(rest).wrap_err("cannot decode the superseded promotions")?;
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
