//! What a control host takes over when it becomes the leader, and what it stores for
//! the next one.

use crate::{
    clock::{Clock, Millis},
    fleet::{
        control::{Control, Leading},
        inventory::{Inventory, InventoryChange, Known},
        runtime::Ports,
        state::{FleetCommand, FleetState},
    },
};

/// Shortest interval between two changes of the inventory in the log; targets that
/// start together are stored together.
const STORE_INTERVAL: Millis = Millis(500);

impl<P: Ports> Control<P> {
    /// Takes over the inventory as soon as all entries of earlier leaders are applied, and
    /// before a report or an announcement counts: a host may have an older view.
    pub(super) fn take_over(&mut self) {
        let now = self.clock.now();
        if !self.group.node.is_serving(now) {
            return;
        }
        if let Some(leading) = &mut self.leading
            && !leading.informed
        {
            leading.informed = true;
            leading.start_from(now, &self.state.inventory);
        }
    }

    /// Stores what the leader has learned since the last time.
    pub(super) fn store_inventory(&mut self, now: Millis) {
        let Some(leading) = &mut self.leading else { return };
        if now.since(leading.stored_at) < STORE_INTERVAL {
            return;
        }
        leading.stored_at = now;
        if let Some(change) = leading.inventory_change(&self.state) {
            self.propose(&FleetCommand::Inventory(change));
        }
    }
}

impl Leading {
    fn start_from(&mut self, now: Millis, inventory: &Inventory) {
        for target in inventory.targets.values() {
            self.registry.suggest(now, target);
        }
        for (service, primary) in &inventory.primaries {
            if self.registry.get(primary).is_some() {
                self.failover.claimed(service, primary);
            }
        }
        self.hosts.expect(now, inventory.hosts.values());
        self.view_stale = true;
        spdlog::info!("took over the inventory of the log", kv: {targets = inventory.targets.len(), primaries = inventory.primaries.len(), hosts = inventory.hosts.len()});
    }

    /// Primaries that are about to change are stored when their change has ended.
    fn inventory_change(&self, state: &FleetState) -> Option<InventoryChange> {
        let services = self.failover.services().map(|(service, _)| service);
        let settled = services.filter_map(|service| {
            let (primary, changing) = self.failover.primary(service, &state.promotions)?;
            primary.filter(|_| !changing).map(|primary| (service, primary))
        });
        let hosts = self.hosts.owners();
        let known = Known { registry: &self.registry, primaries: settled, hosts: &hosts };
        state.inventory.change_to(known)
    }
}
