//! Replicated state machine of the control group.
//!
//! All control hosts apply the same commands in the same order and reach the same
//! state. A stale command has no effect. A command that changes the view raises its
//! revision by one.

use crate::{
    ids::{HostId, Incarnation, InstanceId},
    ownership::assignment::Candidates,
    state::{
        difference::{changes, differences},
        model::{
            ApplyAnswer, ApplyCommand, AuditEntry, Change, ClusterState, Command, Drain, Host,
            Instance, InstanceSpec,
        },
    },
};

/// Maximum number of remembered answers to apply requests; about one day of changes at
/// the target size.
pub const MAX_ANSWERS: usize = 10_000;

/// Maximum number of entries in the audit trail; bounds the size of a snapshot.
pub const MAX_AUDIT_ENTRIES: usize = 20_000;

/// Effect of a command.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Applied {
    /// Answer to an apply request; a repeated request gets the first answer.
    pub answer: Option<ApplyAnswer>,
    /// Changes of the view; all belong to its new revision.
    pub changes: Vec<Change>,
}

impl ClusterState {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> Applied {
        let mut changes = Vec::new();
        let mut answer = None;
        match command {
            Command::Noop | Command::Membership { .. } => {}
            Command::Apply(apply) => answer = Some(self.apply_file(apply, &mut changes)),
            Command::HostJoined(host) => self.join_host(host, &mut changes),
            Command::HostLeaving { host, incarnation } => {
                self.start_leaving(host, *incarnation, &mut changes);
            }
            Command::HostLeft { host, incarnation } => {
                self.remove_host(host, *incarnation, &mut changes);
            }
            Command::InstanceAnnounced(spec) => self.apply_announcement(spec, &mut changes),
            Command::OwnershipReleased { instance, epoch, kept } => {
                let release = |instance: &mut Instance| instance.release(*epoch, *kept);
                self.update_instance(instance, release, &mut changes);
            }
            Command::PromotionStarted { .. }
            | Command::PromotionFinished { .. }
            | Command::PrimaryObserved { .. } => self.apply_promotion(command, &mut changes),
        }
        if !changes.is_empty() {
            self.view.revision = self.view.revision.next();
        }
        Applied { answer, changes }
    }

    /// Applies `change` to the view and adds it to `changes`.
    pub(super) fn change(&mut self, change: Change, changes: &mut Vec<Change>) {
        self.change_all(vec![change], changes);
    }

    fn change_all(&mut self, all: Vec<Change>, changes: &mut Vec<Change>) {
        self.view.apply_changes(all.iter().cloned());
        changes.extend(all);
    }

    /// Adds entries to the audit trail and drops the oldest ones over the limit.
    pub(super) fn audit(&mut self, entries: impl IntoIterator<Item = AuditEntry>) {
        self.audit.extend(entries);
        let excess = self.audit.len().saturating_sub(MAX_AUDIT_ENTRIES);
        self.audit.drain(..excess);
    }

    fn apply_file(&mut self, apply: &ApplyCommand, changes: &mut Vec<Change>) -> ApplyAnswer {
        if let Some(answer) = self.answers.get(&apply.id) {
            return answer.clone();
        }
        let current = self.view.version;
        let answer = if apply.expected_version == current {
            self.accept_file(apply, changes)
        } else {
            ApplyAnswer::Conflict { expected: apply.expected_version, current }
        };
        self.answers.insert(apply.id.clone(), answer.clone());
        while self.answers.len() > MAX_ANSWERS {
            self.answers.shift_remove_index(0);
        }
        answer
    }

    fn accept_file(&mut self, apply: &ApplyCommand, changes: &mut Vec<Change>) -> ApplyAnswer {
        let version = apply.expected_version + 1;
        let revision = self.view.revision.next();
        let before = self.view.desired.clone();
        let entries =
            differences(&before, &apply.desired).into_iter().map(|difference| AuditEntry {
                revision,
                at_unix_ms: apply.at_unix_ms,
                actor: apply.operator.clone(),
                item: difference.item,
                before: difference.before,
                after: difference.after,
            });
        self.audit(entries);
        self.change(Change::Version(version), changes);
        self.change_all(self::changes(&before, &apply.desired), changes);
        self.place_after_drain_change(&before.drains, changes);
        self.file.clone_from(&apply.file);
        ApplyAnswer::Accepted { version, revision }
    }

    /// Moves ownership away from newly drained hosts, and to hosts that are no longer
    /// drained.
    fn place_after_drain_change(&mut self, before: &[Drain], changes: &mut Vec<Change>) {
        let after = self.view.desired.drains.clone();
        for drain in after.iter().filter(|drain| !before.contains(drain)) {
            if let Drain::Host(host) = drain
                && let Some(incarnation) = self.view.hosts.get(host).map(|host| host.incarnation)
            {
                self.place_owned(host, incarnation, changes);
            }
        }
        for drain in before.iter().filter(|drain| !after.contains(drain)) {
            if let Drain::Host(host) = drain
                && let Some(host) = self.view.hosts.get(host).cloned()
            {
                self.place_movable_to(&host, changes);
            }
        }
    }

    fn join_host(&mut self, host: &Host, changes: &mut Vec<Change>) {
        let mut host = host.clone();
        if let Some(known) = self.view.hosts.get(&host.id) {
            let has_restarted = known.incarnation < host.incarnation;
            host.leaving |= known.leaving && !has_restarted;
            if known.incarnation > host.incarnation || *known == host {
                return;
            }
        }
        self.change(Change::Host(host.id.clone(), Some(host.clone())), changes);
        if host.leaving {
            self.place_owned(&host.id, host.incarnation, changes);
        }
        self.place_movable_to(&host, changes);
    }

    fn start_leaving(&mut self, id: &HostId, incarnation: Incarnation, changes: &mut Vec<Change>) {
        let Some(host) = self.view.hosts.get(id) else { return };
        if host.incarnation != incarnation || host.leaving {
            return;
        }
        let host = Host { leaving: true, ..host.clone() };
        self.change(Change::Host(id.clone(), Some(host)), changes);
        self.place_owned(id, incarnation, changes);
    }

    /// Removes a host whose lease has ended, with its assignments. If the host has already
    /// restarted, this only ends the assignments of the earlier incarnation.
    fn remove_host(&mut self, id: &HostId, incarnation: Incarnation, changes: &mut Vec<Change>) {
        if self.view.hosts.get(id).is_some_and(|host| host.incarnation == incarnation) {
            self.change(Change::Host(id.clone(), None), changes);
        }
        let assigned = self.instances_where(|it| it.is_assigned_to(id, incarnation));
        for instance in assigned {
            self.update_instance(&instance, |it| it.end_assignments(id, incarnation), changes);
        }
    }

    fn apply_announcement(&mut self, spec: &InstanceSpec, changes: &mut Vec<Change>) {
        let mut instance = match self.view.instances.get(&spec.id) {
            Some(known) if known.spec.incarnation > spec.incarnation => return,
            Some(known) if known.spec == *spec => return,
            Some(known) => known.clone(),
            None => Instance::new(spec.clone()),
        };
        instance.spec = spec.clone();
        self.view.instances.insert(spec.id.clone(), instance);
        let candidates = Candidates::new(&self.view.hosts, &self.view.desired.drains);
        let Some(instance) = self.view.instances.get_mut(&spec.id) else { return };
        instance.place(&candidates, &mut self.epoch);
        changes.push(Change::Instance(spec.id.clone(), Some(instance.clone())));
    }

    /// Places the instances whose owner may change because `host` accepts ownership.
    fn place_movable_to(&mut self, host: &Host, changes: &mut Vec<Change>) {
        let candidates = Candidates::new(&self.view.hosts, &self.view.desired.drains);
        let movable = self.instances_where(|it| candidates.may_take_over(host, it));
        for instance in movable {
            self.update_instance(&instance, |_| {}, changes);
        }
    }

    /// Places the instances owned by the given incarnation of a host.
    fn place_owned(&mut self, host: &HostId, incarnation: Incarnation, changes: &mut Vec<Change>) {
        let owned = self.instances_where(|it| {
            it.owner.as_ref().is_some_and(|owner| owner.is_held_by_incarnation(host, incarnation))
        });
        for instance in owned {
            self.update_instance(&instance, |_| {}, changes);
        }
    }

    fn instances_where(&self, predicate: impl Fn(&Instance) -> bool) -> Vec<InstanceId> {
        let matching = self.view.instances.values().filter(|instance| predicate(instance));
        matching.map(|instance| instance.spec.id.clone()).collect()
    }

    /// Updates and places an instance, and adds the change to `changes` if there is one.
    fn update_instance(
        &mut self,
        id: &InstanceId,
        update: impl FnOnce(&mut Instance),
        changes: &mut Vec<Change>,
    ) {
        let candidates = Candidates::new(&self.view.hosts, &self.view.desired.drains);
        let Some(instance) = self.view.instances.get_mut(id) else { return };
        let before = instance.clone();
        update(instance);
        instance.place(&candidates, &mut self.epoch);
        if *instance != before {
            changes.push(Change::Instance(id.clone(), Some(instance.clone())));
        }
    }
}
