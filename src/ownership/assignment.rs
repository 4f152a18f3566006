//! Assignment of instances to owners and transfer of the connection budget.
//!
//! An instance has an owner and at most one earlier owner that still holds
//! connections. The owner gets what the earlier owner has left, so both together
//! never exceed the instance's limit. A further move waits until the earlier
//! assignment has ended.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::{
    ids::{Epoch, HostId, Incarnation},
    ownership::rendezvous,
    state::model::{Assignment, Drain, Host, Instance, InstanceSpec},
};

/// Hosts that may get ownership.
#[derive(Debug, Clone)]
pub struct Candidates<'a> {
    hosts: &'a IndexMap<HostId, Host>,
    drained: BTreeSet<&'a HostId>,
}

impl<'a> Candidates<'a> {
    /// Live hosts without those that are in `drains`.
    pub fn new(hosts: &'a IndexMap<HostId, Host>, drains: &'a [Drain]) -> Self {
        let drained = drains.iter().filter_map(|drain| match drain {
            Drain::Host(host) => Some(host),
            Drain::Instance(_) => None,
        });
        Self { hosts, drained: drained.collect() }
    }

    /// Host that should own an instance.
    pub fn best(&self, spec: &InstanceSpec) -> Option<&'a Host> {
        let hosts = self.hosts.values().filter(|host| !self.drained.contains(&host.id));
        rendezvous::owner(&spec.id, hosts, Some(&spec.failure_domain))
    }

    /// Whether `host` may get ownership.
    pub fn is_eligible(&self, host: &Host) -> bool {
        !host.leaving && !self.drained.contains(&host.id)
    }

    /// Whether the arrival of `host` may change the owner of `instance`.
    ///
    /// Compares two scores in place of one for each host: at 3,200 hosts and
    /// 15,300 instances a full choice for each instance takes seconds.
    pub fn may_take_over(&self, host: &Host, instance: &Instance) -> bool {
        if !self.is_eligible(host) {
            return false;
        }
        let owner = instance.owner.as_ref().and_then(|owner| self.holder(owner));
        let Some(owner) = owner.filter(|owner| self.is_eligible(owner)) else { return true };
        let pair = [owner, host].into_iter();
        let spec = &instance.spec;
        let winner = rendezvous::owner(&spec.id, pair, Some(&spec.failure_domain));
        winner.is_some_and(|winner| winner.id == host.id)
    }

    /// Live host that holds `assignment`, if it has not restarted since.
    fn holder(&self, assignment: &Assignment) -> Option<&'a Host> {
        self.hosts.get(&assignment.host).filter(|host| assignment.is_held_by(host))
    }
}

impl Assignment {
    /// Whether this assignment is of the current incarnation of `host`.
    pub fn is_held_by(&self, host: &Host) -> bool {
        self.is_held_by_incarnation(&host.id, host.incarnation)
    }

    /// Whether this assignment is of the given incarnation of a host.
    pub fn is_held_by_incarnation(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.host == *host && self.incarnation == incarnation
    }
}

impl Instance {
    /// Instance without owners.
    pub fn new(spec: InstanceSpec) -> Self {
        Self { spec, owner: None, previous: None }
    }

    /// Moves the instance to its best host if it may move now, and sets the budget
    /// of the owner. `epoch` is the largest epoch so far.
    ///
    /// Without a host that may get ownership the present owner stays: it still
    /// serves, and its assignment ends when it leaves.
    pub fn place(&mut self, candidates: &Candidates<'_>, epoch: &mut Epoch) {
        if let Some(best) = candidates.best(&self.spec) {
            match &self.owner {
                None => self.assign(best, epoch),
                Some(owner) if self.previous.is_none() && !owner.is_held_by(best) => {
                    // An owner without a budget has opened no connections.
                    self.previous = self.owner.take().filter(|owner| owner.connections > 0);
                    self.assign(best, epoch);
                }
                Some(_) => {}
            }
        }
        self.set_budget();
    }

    /// Gives the instance to `host` under a new epoch.
    fn assign(&mut self, host: &Host, epoch: &mut Epoch) {
        *epoch = epoch.next();
        // The host counts the connections it kept under its new assignment.
        self.previous = self.previous.take().filter(|previous| !previous.is_held_by(host));
        self.owner = Some(Assignment {
            host: host.id.clone(),
            incarnation: host.incarnation,
            epoch: *epoch,
            connections: 0,
        });
    }

    /// Gives the owner what the earlier owner does not hold.
    fn set_budget(&mut self) {
        let limit = self.spec.connections;
        if let Some(previous) = &mut self.previous {
            previous.connections = previous.connections.min(limit);
        }
        let held = self.previous.as_ref().map_or(0, |previous| previous.connections);
        if let Some(owner) = &mut self.owner {
            owner.connections = limit - held;
        }
    }

    /// Records that the earlier owner under `epoch` holds at most `kept` connections.
    /// Reports of other epochs have no effect.
    pub fn release(&mut self, epoch: Epoch, kept: u32) {
        let Some(previous) = self.previous.as_mut().filter(|previous| previous.epoch == epoch)
        else {
            return;
        };
        previous.connections = previous.connections.min(kept);
        if previous.connections == 0 {
            self.previous = None;
        }
    }

    /// Ends the assignments of a host that holds no connections any more.
    pub fn end_assignments(&mut self, host: &HostId, incarnation: Incarnation) {
        let stays = |assignment: &Assignment| !assignment.is_held_by_incarnation(host, incarnation);
        self.owner = self.owner.take().filter(stays);
        self.previous = self.previous.take().filter(stays);
    }

    /// Whether the given incarnation of `host` is the owner or the earlier owner.
    pub fn is_assigned_to(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let mut assignments = self.owner.iter().chain(&self.previous);
        assignments.any(|assignment| assignment.is_held_by_incarnation(host, incarnation))
    }
}
