//! Whether a candidate may be chosen, and whether it may be promoted.

use indexmap::IndexSet;

use crate::{
    clock::Millis,
    fleet::{
        candidate_proof::CandidateProof,
        commit_evidence::CommitEvidence,
        failover::Cx,
        hosts::VIEW_EXPIRY,
        lost_hosts::{ReportCoverage, ReportQuestion},
        messages::{Announcement, TargetRole, ViewRevision},
        primary_change::{PrimaryChange, SILENT_REPLICA_TIMEOUT, replicas_of},
    },
    ids::{InstanceId, Mark, Service},
};

/// Time within which every acknowledged commit reaches the leader in a host report: one
/// report interval plus the network delay.
const MAX_REPORT_DELAY: Millis = Millis(600);

/// Time within which a target that joins is in the views of all hosts in contact.
const MAX_VIEW_DELAY: Millis = Millis(3_000);

/// Why a candidate holds every commit that was or can still be acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Safety {
    /// The positions of the other targets and the host reports, or a position of the primary, show
    /// it.
    Covered,
    /// Replicas are silent or have left, but the host reports show no commit that the candidate
    /// lacks. Hosts must stop using the old primary before the promotion.
    Reported,
    /// The candidate lacks a commit that was acknowledged. A replica that has left may have
    /// held the only other copy; the old primary holds it as well and may come back.
    Incomplete,
    /// The positions of the other targets show it for all receipts of targets that control knows.
    /// But hosts are out of contact, and the reports do not tell yet what they have acknowledged.
    Unreported,
    Unproven,
}

/// View whose confirmation shows that a host's reports are up to date.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportRequest {
    pub(super) revision: ViewRevision,
    /// When it was asked for; the view is made later.
    pub(super) asked_at: Millis,
}

impl PrimaryChange {
    /// Whether every host that may still use its view knows the candidate. Otherwise a host
    /// without contact could commit at the old primary, or prove it, without asking its successor.
    fn is_known_to_hosts(&self, cx: &Cx<'_>, candidate: &InstanceId) -> bool {
        // A target that joins is in the hosts' views after one interval between views. Views of
        // an earlier leader may lack it, but expire.
        let is_in_all_views = match cx.registry.joined_at(candidate) {
            Some(joined_at) => cx.now.since(joined_at) >= VIEW_EXPIRY + MAX_VIEW_DELAY,
            None => cx.now.since(cx.leader_since) >= VIEW_EXPIRY,
        };
        let revision = self.successor_revision.or(self.view_revision);
        is_in_all_views || revision.is_some_and(|view| cx.hosts.all_views_include(cx.now, view))
    }

    /// Whether all hosts acknowledge only commits that the candidate holds.
    pub(super) fn all_hosts_require_candidate(&self, cx: &Cx<'_>) -> bool {
        let Some(candidate) = &self.candidate else { return false };
        self.is_known_to_hosts(cx, candidate)
            && self.successor_revision.is_some_and(|view| cx.hosts.all_have_view(cx.now, view))
    }

    /// Why a target may be chosen as the candidate. Whether it may be promoted is decided by
    /// [`Self::safety`] once all hosts acknowledge only what it holds.
    pub(super) fn safety_of_choice(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        candidate: &InstanceId,
        primary: Option<&InstanceId>,
        evidence: &CommitEvidence,
    ) -> Safety {
        if !self.covers_paused(candidate)
            || self.paused.contains_key(candidate)
            || !self.is_known_to_hosts(cx, candidate)
        {
            return Safety::Unproven;
        }
        let Some(own) = self.statuses.get(candidate) else { return Safety::Unproven };
        if lacks_acknowledged(cx, service, own.received, evidence) {
            return Safety::Incomplete;
        }
        let is_unpaused =
            |it: &Announcement| it.id != *candidate && !self.paused.contains_key(&it.id);
        let all_paused = !replicas_of(cx, service, primary).any(is_unpaused);
        if all_paused && evidence.covers_departed(own.received) {
            return Safety::Covered;
        }
        // A replica that does not answer or has left may hold more than the candidate. The host
        // reports tell which commits were acknowledged to callers, unless a host without
        // contact can still commit at the old primary, or one has ended with what it knew.
        let timed_out = cx.now.since(self.started_at) >= SILENT_REPLICA_TIMEOUT;
        let is_reported = timed_out
            && primary.is_none_or(|id| is_silent_to_hosts(cx, id))
            && reports_cover(cx, own.received, evidence);
        if is_reported { Safety::Reported } else { Safety::Unproven }
    }

    /// Why the candidate holds every acknowledged commit, now and from now on. `successors` are the
    /// targets of calls that may be carried out. `primary` counts also if it has left.
    pub(super) fn safety<'a>(
        &'a self,
        cx: &'a Cx<'_>,
        service: &'a Service,
        primary: Option<&'a InstanceId>,
        successors: impl Iterator<Item = &'a InstanceId>,
        evidence: &'a CommitEvidence,
    ) -> Safety {
        let own = self.proof.as_ref().and_then(CandidateProof::candidate);
        let (Some(proof), Some(candidate), Some(own)) = (&self.proof, &self.candidate, own) else {
            return Safety::Unproven;
        };
        // A paused candidate would receive nothing that the old primary still commits.
        if self.paused.contains_key(candidate) {
            return Safety::Unproven;
        }
        if lacks_acknowledged(cx, service, own, evidence) {
            return Safety::Incomplete;
        }
        let departed = evidence.departed().filter(|_| !evidence.covers_departed(own));
        let registered = cx.registry.of_service(service).map(|target| &target.id);
        let successors: Vec<&InstanceId> = successors.collect();
        let known = registered.chain(departed).chain(successors.iter().copied()).chain(primary);
        let others: IndexSet<&InstanceId> = known.filter(|id| *id != candidate).collect();
        let covers_known = proof.covers(others.into_iter(), primary.is_some());
        let others_may_lead =
            successors.iter().any(|id| Some(*id) != primary && self.may_have_led(cx, proof, id));
        let leads_for_sure = self.already_primary || !others_may_lead;
        let leader = primary.filter(|_| leads_for_sure);
        let known_until = evidence.covers_until(own).filter(|_| leads_for_sure);
        if covers_known && self.reports_tell_all(cx, leader, known_until.unwrap_or_default()) {
            Safety::Covered
        } else if reports_cover(cx, own, evidence) {
            Safety::Reported
        } else if covers_known {
            Safety::Unreported
        } else {
            Safety::Unproven
        }
    }

    /// Whether `successor`, for which an earlier call may have had its effect, may have led before
    /// the proof began. Commits at it would be missing at the primary.
    fn may_have_led(&self, cx: &Cx<'_>, proof: &CandidateProof, successor: &InstanceId) -> bool {
        let is_replica =
            self.statuses.get(successor).is_some_and(|status| status.role == TargetRole::Replica);
        let denies = is_replica && proof.has_answered(successor);
        !denies && cx.registry.get(successor).is_some()
    }

    /// Whether the host reports tell of all commits that were acknowledged before all hosts required
    /// the candidate. Those before `known_until` are known. `leader` is the target that led until
    /// then, if that is certain.
    fn reports_tell_all(
        &self,
        cx: &Cx<'_>,
        leader: Option<&InstanceId>,
        known_until: Millis,
    ) -> bool {
        let coverage = |confirmed: ViewRevision| {
            let leader = leader.and_then(|id| cx.registry.get(id));
            let primary_domain = leader.map(|it| &it.domain);
            cx.hosts.report_coverage(&ReportQuestion {
                now: cx.now,
                confirmed,
                known_until,
                primary_domain,
            })
        };
        let Some(confirmed) = self.successor_revision else { return false };
        if coverage(confirmed) == ReportCoverage::All {
            return true;
        }
        let Some(request) = self.report_request else { return false };
        match coverage(request.revision) {
            ReportCoverage::All => true,
            ReportCoverage::AllIfSentAfter { until } => until <= request.asked_at,
            ReportCoverage::Pending | ReportCoverage::Unknown => false,
        }
    }

    /// Asks the hosts for reports by a new view, unless they were asked since the last loss of a
    /// host; returns whether it does.
    pub(super) fn request_reports(&mut self, cx: &Cx<'_>, revision: ViewRevision) -> bool {
        let lost_until = cx.hosts.newest_loss(cx.now);
        if self.report_request.is_some_and(|request| request.asked_at >= lost_until) {
            return false;
        }
        self.report_request = Some(ReportRequest { revision, asked_at: cx.now });
        true
    }
}

/// Whether a host has reported an acknowledged commit after `received`.
fn lacks_acknowledged(
    cx: &Cx<'_>,
    service: &Service,
    received: Mark,
    evidence: &CommitEvidence,
) -> bool {
    let newest = cx.hosts.acknowledged(service);
    newest.is_some_and(|newest| received < evidence.not_rolled_back(newest))
}

/// Whether the host reports tell of all acknowledged commits up to now, but for those that a
/// position of the primary, which the candidate has reached, covers.
fn reports_cover(cx: &Cx<'_>, received: Mark, evidence: &CommitEvidence) -> bool {
    cx.hosts.reports_are_complete(cx.now)
        && evidence.covers_all_before(cx.hosts.unreported_until(), received)
}

/// Whether no host has got an answer from the target for at least the report delay, so that
/// the host reports include all that it has acknowledged.
fn is_silent_to_hosts(cx: &Cx<'_>, id: &InstanceId) -> bool {
    let summary = cx.hosts.health_summary(cx.now, id);
    summary.answering == 0 && summary.shortest_failure.is_none_or(|span| span >= MAX_REPORT_DELAY)
}
