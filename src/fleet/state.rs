//! Replicated state of a fleet: the configuration in force and the promotions that
//! have begun.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    fleet::messages::ConfigDocument,
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
}

/// State that every control host reaches by the same commands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    pub config: ConfigDocument,
    /// Targets that promotions under way name.
    pub promotions: IndexMap<Service, InstanceId>,
}

impl FleetState {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &FleetCommand) {
        match command {
            FleetCommand::Configure(document) if document.version > self.config.version => {
                self.config = document.clone();
            }
            FleetCommand::Configure(_) => {}
            FleetCommand::PromotionBegan { service, target } => {
                self.promotions.insert(service.clone(), target.clone());
            }
            FleetCommand::PromotionEnded { service } => {
                self.promotions.shift_remove(service);
            }
        }
    }
}
