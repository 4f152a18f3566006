//! Application of commands that change the primary or the term of a target group.

use crate::{
    ids::{InstanceId, Service, Term},
    state::{
        difference::ABSENT,
        model::{AuditEntry, Change, ClusterState, Command, Group, Promotion},
    },
};

/// Actor of these changes in the audit trail.
const ACTOR: &str = "control";

impl ClusterState {
    /// Applies a promotion command; a stale command has no effect.
    pub(super) fn apply_promotion(&mut self, command: &Command, changes: &mut Vec<Change>) {
        match command {
            Command::PromotionStarted { service, term, preferred, reason } => {
                self.start_promotion(service, *term, preferred.as_ref(), reason, changes);
            }
            Command::PromotionFinished { service, term, primary } => {
                self.finish_promotion(service, *term, primary, changes);
            }
            Command::PrimaryObserved { service, term, primary } => {
                self.observe_primary(service, *term, primary, changes);
            }
            _ => {}
        }
    }

    /// Starts a promotion. The group keeps its term and primary until it has finished.
    fn start_promotion(
        &mut self,
        service: &Service,
        term: Term,
        preferred: Option<&InstanceId>,
        reason: &str,
        changes: &mut Vec<Change>,
    ) {
        let group = self.group(service);
        let running = group.promotion.as_ref().map_or(group.term, |running| running.term);
        if !self.is_known(service) || term <= group.term.max(running) {
            return;
        }
        let promotion = Promotion { term, preferred: preferred.cloned() };
        self.set_group(service, Group { promotion: Some(promotion), ..group }, reason, changes);
    }

    fn finish_promotion(
        &mut self,
        service: &Service,
        term: Term,
        primary: &InstanceId,
        changes: &mut Vec<Change>,
    ) {
        let group = self.group(service);
        let is_running = group.promotion.is_some_and(|running| running.term == term);
        if is_running && self.is_member(service, primary) {
            let group = Group { term, primary: Some(primary.clone()), promotion: None };
            self.set_group(service, group, "promoted", changes);
        }
    }

    /// Records the first primary of a group.
    fn observe_primary(
        &mut self,
        service: &Service,
        term: Term,
        primary: &InstanceId,
        changes: &mut Vec<Change>,
    ) {
        let group = self.group(service);
        let awaits_first_primary =
            group.primary.is_none() && group.promotion.is_none() && term >= group.term;
        if awaits_first_primary && self.is_member(service, primary) {
            let group = Group { term, primary: Some(primary.clone()), promotion: None };
            self.set_group(service, group, "first primary", changes);
        }
    }

    fn set_group(
        &mut self,
        service: &Service,
        group: Group,
        reason: &str,
        changes: &mut Vec<Change>,
    ) {
        let before = self.view.groups.get(service).map_or_else(|| ABSENT.to_owned(), group_text);
        self.audit([AuditEntry {
            revision: self.view.revision.next(),
            at_unix_ms: 0,
            actor: ACTOR.to_owned(),
            item: format!("group {service}"),
            before,
            after: format!("{} ({reason})", group_text(&group)),
        }]);
        self.change(Change::Group(service.clone(), group), changes);
    }

    fn group(&self, service: &Service) -> Group {
        self.view.groups.get(service).cloned().unwrap_or_default()
    }

    /// Whether the service is desired or already has a group.
    fn is_known(&self, service: &Service) -> bool {
        self.view.desired.services.contains_key(service) || self.view.groups.contains_key(service)
    }

    fn is_member(&self, service: &Service, instance: &InstanceId) -> bool {
        self.view.instances.get(instance).is_some_and(|known| known.spec.service == *service)
    }
}

fn group_text(group: &Group) -> String {
    let primary = group.primary.as_ref().map_or("none", |primary| primary.as_str());
    let text = format!("term {}, primary {primary}", group.term);
    match &group.promotion {
        Some(promotion) => format!("{text}, promotion at term {}", promotion.term),
        None => text,
    }
}
