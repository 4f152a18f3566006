//! Restores the inventory and the processes of the hosts from the log when a control host becomes the
//! leader, and stores changes for the next leader.

use crate::{
    clock::{Clock, Millis},
    fleet::{
        control::ControlLoop,
        host_processes::HostProcessesDelta,
        inventory::{InventoryDelta, Observed},
        leader_state::LeaderState,
        runtime::Ports,
        state::{FleetCommand, FleetState, processes_entry},
    },
    ids::InstanceId,
};

/// Minimum interval between two inventory entries in the log, so that targets that start
/// together share one entry.
const STORE_INTERVAL: Millis = Millis(500);

impl<P: Ports> ControlLoop<P> {
    /// Restores the inventory once, as soon as all entries of earlier leaders are applied.
    /// It runs before any report or announcement is handled, because a host may have an
    /// older view.
    pub(super) fn restore_inventory(&mut self) {
        let now = self.clock.now();
        if !self.group.node.is_serving(now) {
            return;
        }
        if let Some(leader) = &mut self.leader_state
            && !leader.inventory_restored
        {
            leader.inventory_restored = true;
            leader.restore(now, &self.state);
        }
    }

    /// Proposes the differences between the observed state and the one in the log.
    pub(super) fn store_inventory(&mut self, now: Millis) {
        let Some(leader) = &mut self.leader_state else { return };
        if now.since(leader.inventory_compared_at) < STORE_INTERVAL {
            return;
        }
        leader.inventory_compared_at = now;
        let inventory = leader.inventory_delta(&self.state);
        match (leader.processes_delta(&self.state), inventory) {
            (Some(processes), inventory) => {
                self.group.propose(&processes_entry(inventory.unwrap_or_default(), &processes));
            }
            (None, Some(inventory)) => {
                self.propose(&FleetCommand::Inventory(inventory));
            }
            (None, None) => {}
        }
    }
}

impl LeaderState {
    fn restore(&mut self, now: Millis, state: &FleetState) {
        let inventory = &state.inventory;
        for target in inventory.targets.values() {
            self.registry.record_if_unknown(now, target);
        }
        for (service, primary) in &inventory.primaries {
            if self.registry.get(primary).is_some() {
                self.failover.record_primary_claim(service, primary);
            }
        }
        self.failover.restore_targets(inventory.targets.values());
        self.hosts.expect_hosts(now, inventory.hosts.values());
        self.hosts.expect_processes(now, &state.host_processes);
        self.view_push_urgent = true;
        spdlog::info!("inventory restored from the log", kv: {targets = inventory.targets.len(), primaries = inventory.primaries.len(), hosts = inventory.hosts.len(), lost_hosts = state.host_processes.lost.len()});
    }

    /// Difference to store of the processes of the hosts.
    fn processes_delta(&mut self, state: &FleetState) -> Option<HostProcessesDelta> {
        let settled_until = self.failover.losses_settled_until();
        self.hosts.forget_settled_losses(settled_until);
        state.host_processes.delta_to(&self.hosts.processes(settled_until))
    }

    /// Difference to store. Primaries with a change in progress are left out until the
    /// change has ended.
    fn inventory_delta(&self, state: &FleetState) -> Option<InventoryDelta> {
        let services = self.failover.services().map(|(service, _)| service);
        let settled = services.filter_map(|service| {
            let (primary, changing) = self.failover.primary(service, &state.promotions)?;
            primary.filter(|_| !changing).map(|primary| (service, primary))
        });
        let hosts = self.hosts.eligible_owners();
        let remembered: Vec<&InstanceId> = self.failover.targets_to_remember().collect();
        let observed = Observed {
            registry: &self.registry,
            remembered: &remembered,
            primaries: settled,
            hosts: &hosts,
        };
        state.inventory.delta_to(observed)
    }
}
