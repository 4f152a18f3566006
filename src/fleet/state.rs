//! Replicated state of a fleet: the configuration in force, the promotions that have
//! begun, and the known targets.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    fleet::{
        inventory::{Inventory, InventoryChange},
        messages::ConfigDocument,
    },
    ids::{InstanceId, Service},
};

/// Command in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Puts a configuration in force if its version is higher.
    Configure(ConfigDocument),
    /// Notes that calls that promote `target` may be under way.
    PromotionBegan { service: Service, target: InstanceId },
    /// No call is under way any more that could have an effect.
    PromotionEnded { service: Service },
    /// Notes what the leader has learned of targets and primaries.
    Inventory(InventoryChange),
}

/// State that every control host reaches by the same commands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    pub config: ConfigDocument,
    /// Targets that promotions under way name.
    pub promotions: IndexMap<Service, InstanceId>,
    /// What a new leader knows of targets and primaries.
    pub inventory: Inventory,
}

/// What a command has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    Nothing,
    Configuration,
    PromotionBegan,
    /// Hosts may trust the service's primary again.
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
            FleetCommand::Inventory(change) => {
                self.inventory.apply(change);
                Applied::Nothing
            }
        }
    }
}
