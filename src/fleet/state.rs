//! Replicated state machine of a fleet: the configuration in force, unfinished promotions
//! and the inventory.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    fleet::{
        inventory::{Inventory, InventoryDelta},
        messages::ConfigDocument,
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
    /// Targets of unfinished promotions.
    pub promotions: IndexMap<Service, InstanceId>,
    pub inventory: Inventory,
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
    /// Applies a committed command.
    pub fn apply(&mut self, command: &FleetCommand) -> Applied {
        match command {
            FleetCommand::Configure(document) if document.version > self.config.version => {
                self.config = document.clone();
                Applied::Configuration
            }
            FleetCommand::Configure(_) => Applied::Nothing,
            FleetCommand::PromotionBegan { service, target } => {
                self.promotions.insert(service.clone(), target.clone());
                Applied::PromotionBegan
            }
            FleetCommand::PromotionEnded { service } => {
                let Some(target) = self.promotions.shift_remove(service) else {
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
