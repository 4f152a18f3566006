//! State machine without I/O that changes the primary of a service.
//!
//! # No acknowledged commit is lost
//!
//! A call that promotes a target may take effect at any time after it was sent, and cannot be taken
//! back. Until then targets join, leave and restart, orders to them take effect late, and leaders
//! change. So the argument uses nothing that may end before the effect.
//!
//! A *successor* is a target for which a call may have been sent that can still have an effect.
//! Every successor holds every acknowledged commit:
//!
//! 1. *Every leader knows the successors.* The promotion is in the log before its first call, and
//!    stays there until no call for its target can have an effect
//!    ([`unfinished`](crate::fleet::unfinished),
//!    [`outstanding_calls`](crate::fleet::outstanding_calls)). Every view names them.
//! 2. *Hosts acknowledge only what the successors hold.* After a commit they ask the successors for
//!    their positions, and answer that the outcome is unknown if one lacks the commit. Hosts without
//!    a lease, which may not know the successors, ask all targets
//!    ([`commit_rule`](crate::gateway::commit_rule)).
//! 3. *A candidate is called for once it holds all earlier commits.* All hosts must have confirmed
//!    a view that names it, or be out of contact for longer than their leases. What they
//!    acknowledged before is known from their reports, and what lost hosts acknowledged from the
//!    reports of the hosts that they told of it ([`lost_hosts`](crate::fleet::lost_hosts)). The
//!    candidate must have reached all of that. If too many hosts are lost, it must have reached a
//!    position that the primary gave since.
//!
//! Step 3 does not count targets: control may not know all that receive, and one that has given a
//! receipt may have started again without its log. The positions of the other targets are compared
//! as well ([`candidate_proof`](crate::fleet::candidate_proof)). That bounds what a fault in the
//! reports could lose, and is no part of the argument.
//!
//! The next leader knows from the log which processes of hosts may have acknowledged commits
//! ([`host_processes`](crate::fleet::host_processes)), but for those that began to report within the
//! last half second and were lost with the leader.
//!
//! So it does not matter when a call takes effect, nor in which order calls do. A promotion rolls
//! other targets back to the log of a successor, which holds every acknowledged commit as well.
//!
//! Pausing the other replicas is not part of the argument. It makes the old primary wait for the
//! receipt of the candidate, so that hosts seldom leave a commit without confirmation.
//!
//! # Order of calls
//!
//! Each request carries a higher fencing token than all earlier ones, so that a request that is
//! carried out late has no effect after a newer one, where the platform compares tokens.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        change_reason::next_to_leave,
        evacuation::Evacuations,
        failure_evidence::Overview,
        hosts::Hosts,
        messages::{Announcement, Successor, TargetRole, ViewRevision},
        primary_change::PrimaryChange,
        registry::Registry,
        service_failover::{ServiceState, fencing_token},
        unfinished::UnfinishedPromotions,
    },
    ids::{InstanceId, Mark, Service},
};

/// Command to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetCommand {
    Status,
    /// Stop receiving from the primary, under a term above all known ones.
    Pause(u64),
    Resume,
    /// Stop leading, if the target leads a term below the given one.
    Demote(u64),
}

/// Answer of a target to a [`TargetCommand`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetStatus {
    pub role: TargetRole,
    /// Term in which the target leads, or of the newest entry in its log.
    pub term: u64,
    /// Term of the command that paused the replica, while it is paused.
    pub paused_under: Option<u64>,
    /// Position up to which it has received the primary's log.
    pub received: Mark,
}

/// Result of a promotion request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionOutcome {
    Accepted,
    /// A higher fencing token was used, or the target is not running.
    Refused,
    /// No clear answer; the request may still be carried out.
    Unknown,
}

/// Input for the state machine of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// `status` is `None` if the target did not answer.
    CommandCompleted {
        target: InstanceId,
        command: TargetCommand,
        sent_at: Millis,
        status: Option<TargetStatus>,
    },
    PromotionCompleted {
        token: u64,
        outcome: PromotionOutcome,
    },
    /// The intent to promote `target` is committed to the log.
    PromotionLogged {
        target: InstanceId,
    },
}

/// Output for the event loop to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    SendCommand {
        service: Service,
        target: InstanceId,
        command: TargetCommand,
    },
    /// Add the intent to promote to the log.
    LogPromotionBegan {
        service: Service,
        target: InstanceId,
    },
    Promote {
        service: Service,
        target: InstanceId,
        token: u64,
    },
    LogPromotionEnded {
        service: Service,
    },
    /// A primary changed, or a change started or ended; hosts need a new view.
    ViewChanged,
}

/// Reason for a primary change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    Draining,
    Failing,
    /// The failure domain of the primary is out of use.
    Evacuated,
    /// The primary is unknown, was removed, or no longer announces itself as the primary.
    Gone,
    /// The log holds a promotion whose end was not logged.
    Unfinished,
    /// Another target announced itself as the primary; the announcement may be outdated.
    Disputed,
}

/// Data on which the decisions are based.
pub struct Cx<'a> {
    pub now: Millis,
    /// Term of the leader, the high bits of its fencing tokens; a later leader's tokens are
    /// therefore higher.
    pub term: u64,
    /// When this host became the leader.
    pub leader_since: Millis,
    /// Whether the platform rejects promotions with a lower fencing token than an earlier
    /// one. Otherwise a request without an answer may still be carried out after newer ones.
    pub promotions_are_fenced: bool,
    pub registry: &'a Registry,
    pub hosts: &'a Hosts,
    pub view_revision: ViewRevision,
    pub evacuations: &'a Evacuations,
}

/// Primaries of all services and their changes.
#[derive(Debug, Default)]
pub struct Failover {
    services: IndexMap<Service, ServiceState>,
    promotions_sent: u64,
    /// When the primaries were last checked.
    checked_at: Option<Millis>,
    /// Primary changes that were withheld for lack of evidence.
    withheld: u64,
}

impl Failover {
    /// State of a leader that has lost what it knew and goes on in its term: its fencing tokens
    /// continue after those that it has used.
    pub fn reset(&self) -> Self {
        Self { promotions_sent: self.promotions_sent, ..Self::default() }
    }

    /// Primary of `service` that hosts may use, and whether it may change at any time: a
    /// change is in progress, or `unfinished` holds a promotion that may still be carried
    /// out.
    pub fn primary(
        &self,
        service: &Service,
        unfinished: &UnfinishedPromotions,
    ) -> Option<(Option<&InstanceId>, bool)> {
        let state = self.services.get(service)?;
        let mut successors = state.successors(service, unfinished);
        let may_be_replaced = successors.any(|id| Some(id) != state.primary.as_ref());
        let is_withdrawn =
            state.change.as_ref().is_some_and(|change| change.withdrawn_revision.is_some());
        let primary = state.primary.as_ref().filter(|_| !is_withdrawn);
        let is_unfinished = unfinished.newest(service).is_some_and(|id| !state.is_completed(id));
        Some((primary, state.change.is_some() || is_unfinished || may_be_replaced))
    }

    /// Targets of `service` that may be promoted at any time.
    pub fn successors(
        &self,
        service: &Service,
        unfinished: &UnfinishedPromotions,
    ) -> Vec<Successor> {
        let Some(state) = self.services.get(service) else { return Vec::new() };
        let successor = |id: &InstanceId| Successor { service: service.clone(), id: id.clone() };
        state.successors(service, unfinished).map(successor).collect()
    }

    /// Whether the primary of `service` is known.
    pub fn has_primary(&self, service: &Service) -> bool {
        self.services.get(service).is_some_and(|state| state.primary.is_some())
    }

    /// Targets that may hold commits that only the primary holds as well. The next leader has to
    /// know of them, whether they have left or not.
    pub fn targets_to_remember(&self) -> impl Iterator<Item = &InstanceId> {
        self.services.values().flat_map(|state| state.evidence.known())
    }

    /// Time before which the losses of hosts are settled for all services that have replicas, so that
    /// the next leader need not know of them.
    pub fn losses_settled_until(&self) -> Millis {
        let settled = self.services.values().filter_map(|state| state.evidence.settled_until());
        settled.min().unwrap_or(Millis(u64::MAX))
    }

    pub fn services(&self) -> impl Iterator<Item = (&Service, &ServiceState)> {
        self.services.iter()
    }

    /// Handles an announcement of `target` as the primary; returns whether the primary
    /// changed. An announcement may be delayed by seconds, so a claim that contradicts the
    /// known primary only causes the targets to be queried.
    pub fn record_primary_claim(&mut self, service: &Service, target: &InstanceId) -> bool {
        let state = self.services.entry(service.clone()).or_default();
        if state.primary.as_ref() == Some(target) {
            return false;
        }
        let is_candidate = state
            .change
            .as_ref()
            .is_some_and(|it| it.candidate.as_ref() == Some(target) && it.promotion_sent());
        if state.primary.is_none() || is_candidate {
            state.primary = Some(target.clone());
            return true;
        }
        // A deposed primary announces itself as the primary until it is demoted.
        state.disputed = state.change.is_none() && !state.deposed.contains(target);
        false
    }

    /// Takes over the targets that an earlier leader has stored, once the known primaries are
    /// recorded. One that is not in the registry has left, for example if another target uses its
    /// address by now.
    pub fn restore_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Announcement>) {
        for target in targets {
            let state = self.services.entry(target.service.clone()).or_default();
            if state.primary.as_ref() != Some(&target.id) {
                state.evidence.restore_replica(&target.id);
            }
        }
    }

    /// Starts primary changes and retries unanswered requests.
    pub fn tick(
        &mut self,
        cx: &Cx<'_>,
        services: impl Iterator<Item = Service>,
        unfinished: &UnfinishedPromotions,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        let overview = Overview::new(cx, &self.services, self.checked_at.replace(cx.now));
        let services: Vec<Service> = services.collect();
        let leaving = next_to_leave(cx, &services, &self.services, unfinished, &overview);
        for service in services {
            let state = self.services.entry(service.clone()).or_default();
            state.update_replicas(cx, &service);
            state.end_completed(cx, &service, &mut out);
            let withheld = state.gather_evidence(cx, &service, &overview, &mut out);
            self.withheld += u64::from(withheld);
            if state.change.is_none()
                && let Some(reason) = state.reason_to_change(cx, &service, unfinished, &overview)
                && (reason != Reason::Evacuated || leaving.contains(&service))
            {
                spdlog::warn!("primary change started", kv: {service = service.as_str(), reason = format!("{reason:?}").as_str(), primary = state.primary.as_ref().map_or("none", |id| id.as_str())});
                state.disputed = false;
                // Of its own calls the leader knows which are outstanding.
                let newest_token = fencing_token(cx.term, self.promotions_sent);
                for target in unfinished.targets(&service) {
                    state.assume_called(cx.now, target, newest_token);
                }
                let newest =
                    unfinished.newest(&service).filter(|id| !state.is_completed(id)).cloned();
                state.change = Some(PrimaryChange::new(cx.now, reason, newest));
                out.push(Action::ViewChanged);
            }
            state.advance(cx, &service, unfinished, &mut self.promotions_sent, &mut out);
            state.query_for_evidence(cx, &service, &mut out);
            state.deposed.demote(cx, &service, &mut out);
        }
        out
    }

    /// Takes the number of primary changes that were withheld for lack of evidence.
    pub fn take_withheld(&mut self) -> u64 {
        std::mem::take(&mut self.withheld)
    }

    /// Handles an event of `service`.
    pub fn handle(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        event: Event,
        unfinished: &UnfinishedPromotions,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(state) = self.services.get_mut(service) else { return out };
        state.update_replicas(cx, service);
        if let Event::CommandCompleted { target, sent_at, status: Some(status), .. } = &event {
            state.deposed.record(target, status);
            state.record_evidence(cx, target, *sent_at, status);
            state.failure.record_answer(cx.now, state.primary.as_ref(), target, *sent_at);
        }
        if let Event::PromotionCompleted { token, outcome } = event {
            state.calls.record_outcome(token, outcome, cx.promotions_are_fenced);
        }
        let Some(change) = &mut state.change else { return out };
        match event {
            Event::CommandCompleted { target, sent_at, status: Some(status), .. } => {
                change.record_status(cx.now, sent_at, target, status);
            }
            Event::CommandCompleted { status: None, .. } => {}
            Event::PromotionLogged { target } => change.handle_logged(&target),
            Event::PromotionCompleted { token, outcome } => {
                change.handle_promotion_outcome(cx.now, token, outcome)
            }
        }
        state.advance(cx, service, unfinished, &mut self.promotions_sent, &mut out);
        out
    }
}
