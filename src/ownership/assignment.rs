//! Assignment of instances to owners, and transfer of their connection budgets.
//!
//! An instance has an owner and at most one previous owner that still holds
//! connections. The owner may use the connections that the previous owner has
//! released, so both together never exceed the instance's connection limit. The
//! instance does not move again until the previous assignment has ended.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::{
    ids::{Epoch, HostId, Incarnation},
    ownership::rendezvous,
    state::model::{Assignment, Drain, Host, Instance, InstanceSpec},
};

/// Hosts that are eligible to own instances.
#[derive(Debug, Clone)]
pub struct Candidates<'a> {
    hosts: &'a IndexMap<HostId, Host>,
    drained: BTreeSet<&'a HostId>,
}

impl<'a> Candidates<'a> {
    /// Candidates among the live `hosts`, without those that are being drained.
    pub fn new(hosts: &'a IndexMap<HostId, Host>, drains: &'a [Drain]) -> Self {
        let drained = drains.iter().filter_map(|drain| match drain {
            Drain::Host(host) => Some(host),
            Drain::Instance(_) => None,
        });
        Self { hosts, drained: drained.collect() }
    }

    /// Eligible host with the largest score for an instance; hosts in the failure domain
    /// of the instance are preferred.
    pub fn best(&self, spec: &InstanceSpec) -> Option<&'a Host> {
        let hosts = self.hosts.values().filter(|host| !self.drained.contains(&host.id));
        rendezvous::owner(&spec.id, hosts, Some(&spec.failure_domain))
    }

    /// Whether `host` may become an owner.
    pub fn is_eligible(&self, host: &Host) -> bool {
        !host.leaving && !self.drained.contains(&host.id)
    }

    /// Whether `instance` may move to `host`, which has become eligible.
    ///
    /// Compares only the scores of the owner and of `host`. Scoring all hosts for each
    /// instance takes seconds at 3,200 hosts and 15,300 instances.
    pub fn may_take_over(&self, host: &Host, instance: &Instance) -> bool {
        if !self.is_eligible(host) {
            return false;
        }
        let owner = instance.owner.as_ref().and_then(|owner| self.holder(owner));
        let Some(owner) = owner.filter(|owner| self.is_eligible(owner)) else { return true };
        let contenders = [owner, host].into_iter();
        let spec = &instance.spec;
        let best = rendezvous::owner(&spec.id, contenders, Some(&spec.failure_domain));
        best.is_some_and(|best| best.id == host.id)
    }

    /// Live host that holds `assignment`; `None` if it has restarted since.
    fn holder(&self, assignment: &Assignment) -> Option<&'a Host> {
        self.hosts.get(&assignment.host).filter(|host| assignment.is_held_by(host))
    }
}

impl Assignment {
    /// Whether the current incarnation of `host` holds this assignment.
    pub fn is_held_by(&self, host: &Host) -> bool {
        self.is_held_by_incarnation(&host.id, host.incarnation)
    }

    /// Whether the given incarnation of a host holds this assignment.
    pub fn is_held_by_incarnation(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.host == *host && self.incarnation == incarnation
    }
}

impl Instance {
    /// Creates an instance that has no owner yet.
    pub fn new(spec: InstanceSpec) -> Self {
        Self { spec, owner: None, previous: None }
    }

    /// Assigns the instance to its best host and sets the owner's connection budget. An
    /// instance that has an owner moves only if no previous assignment has yet to end.
    /// `epoch` is the largest epoch so far.
    ///
    /// If no host is eligible, the current owner stays. It continues to serve, and its
    /// assignment ends when it has left.
    pub fn place(&mut self, candidates: &Candidates<'_>, epoch: &mut Epoch) {
        if let Some(best) = candidates.best(&self.spec) {
            match &self.owner {
                None => self.assign(best, epoch),
                Some(owner) if self.previous.is_none() && !owner.is_held_by(best) => {
                    // An owner that never had a budget has no connections to release.
                    self.previous = self.owner.take().filter(|owner| owner.connections > 0);
                    self.assign(best, epoch);
                }
                Some(_) => {}
            }
        }
        self.set_budget();
    }

    /// Assigns the instance to `host` under a new epoch.
    fn assign(&mut self, host: &Host, epoch: &mut Epoch) {
        *epoch = epoch.next();
        // Connections that the host has kept count under its new assignment.
        self.previous = self.previous.take().filter(|previous| !previous.is_held_by(host));
        self.owner = Some(Assignment {
            host: host.id.clone(),
            incarnation: host.incarnation,
            epoch: *epoch,
            connections: 0,
        });
    }

    /// Sets the owner's budget to the limit minus what the previous owner still holds.
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

    /// Records that the previous owner, under `epoch`, still holds at most `kept`
    /// connections. Reports for other epochs are ignored.
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

    /// Ends the assignments of a host that no longer holds any connections.
    pub fn end_assignments(&mut self, host: &HostId, incarnation: Incarnation) {
        let remains =
            |assignment: &Assignment| !assignment.is_held_by_incarnation(host, incarnation);
        self.owner = self.owner.take().filter(remains);
        self.previous = self.previous.take().filter(remains);
    }

    /// Whether the given incarnation of `host` is the owner or the previous owner.
    pub fn is_assigned_to(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let mut assignments = self.owner.iter().chain(&self.previous);
        assignments.any(|assignment| assignment.is_held_by_incarnation(host, incarnation))
    }
}
