//! Starts, updates, drains and releases instances as their assignments change.

use std::sync::{Arc, atomic::Ordering};

use crate::{
    ids::{InstanceId, Term},
    owner::{Owner, Shared, instance::Instance, liveness::probe},
    state::model::{Assignment, ClusterView, Drain, Instance as InstanceView, InstanceSpec},
};

/// State of an owned instance according to a cluster view.
pub(crate) struct Placement {
    pub(crate) spec: InstanceSpec,
    pub(crate) assignment: Assignment,
    /// Whether this host is the current owner, not the previous one.
    pub(crate) is_current: bool,
    pub(crate) drained: bool,
    pub(crate) is_primary: bool,
    /// Largest term of the group, including a promotion that has started.
    pub(crate) fencing_term: Term,
}

impl Owner {
    /// Applies the assignments of a view.
    pub fn update_view(&self, view: &ClusterView) {
        for instance in view.instances.values() {
            self.shared.update(view, instance);
        }
        let mut instances = self.shared.instances.lock();
        let removed: Vec<_> =
            instances.keys().filter(|id| !view.instances.contains_key(*id)).cloned().collect();
        let removed: Vec<_> = removed.iter().filter_map(|id| instances.remove(id)).collect();
        drop(instances);
        for instance in removed {
            instance.close_connections();
        }
        self.shared.ended_epochs.lock().retain(|id, _| view.instances.contains_key(id));
    }
}

impl Shared {
    fn update(&self, view: &ClusterView, instance: &InstanceView) {
        let id = &instance.spec.id;
        let is_own = |assignment: &&Assignment| {
            assignment.host == self.host && assignment.incarnation == self.incarnation
        };
        let owner = instance.owner.as_ref().filter(is_own);
        let previous = instance.previous.as_ref().filter(is_own);
        let running = self.instances.lock().get(id).cloned();
        self.record_ended_epoch(id, previous, owner.is_some() || running.is_some());
        match (owner, previous, running) {
            (Some(owner), _, Some(running)) => {
                running.apply_placement(placement(view, instance, owner, true));
            }
            (Some(owner), _, None) => self.start(placement(view, instance, owner, true)),
            (None, Some(previous), Some(running)) => {
                running.apply_placement(placement(view, instance, previous, false));
                self.urgent_reports.notify_one();
            }
            (None, Some(_), None) | (None, None, None) => {}
            (None, None, Some(running)) => {
                self.instances.lock().remove(id);
                running.close_connections();
            }
        }
    }

    fn start(&self, placement: Placement) {
        let leased = self.leased.load(Ordering::SeqCst);
        let instance = Instance::new(&self.settings, self.clock, placement, leased);
        tokio::spawn(probe(Arc::downgrade(&instance), self.urgent_reports.clone()));
        self.instances.lock().insert(instance.id.clone(), instance);
    }

    /// Records a previous assignment of this host that has no connections left, so that
    /// its release is reported.
    fn record_ended_epoch(&self, id: &InstanceId, previous: Option<&Assignment>, running: bool) {
        let mut ended = self.ended_epochs.lock();
        match previous {
            Some(previous) if !running => {
                ended.insert(id.clone(), previous.epoch);
                self.urgent_reports.notify_one();
            }
            _ => {
                ended.remove(id);
            }
        }
    }
}

fn placement(
    view: &ClusterView,
    instance: &InstanceView,
    assignment: &Assignment,
    is_current: bool,
) -> Placement {
    let spec = instance.spec.clone();
    let group = view.groups.get(&spec.service);
    let fencing_term = group.map_or(Term(0), |group| {
        group.promotion.as_ref().map_or(group.term, |promotion| promotion.term.max(group.term))
    });
    let drain = Drain::Instance(spec.id.clone());
    Placement {
        drained: spec.leaving || view.desired.drains.contains(&drain),
        is_primary: group.is_some_and(|group| group.primary.as_ref() == Some(&spec.id)),
        fencing_term,
        assignment: assignment.clone(),
        is_current,
        spec,
    }
}
