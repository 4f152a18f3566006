//! Evidence that a primary has failed.
//!
//! Handles the load at which everything is slow: entry hosts then report unanswered statements to
//! healthy primaries. If few services are affected, the hosts' reports decide alone. Otherwise the
//! reports of hosts that see most primaries fail, or that are busy, do not count, unless the
//! primary also leaves the leader's own queries unanswered while other targets answer them. Further
//! promotions of the same service need more of both.

use indexmap::{IndexMap, IndexSet};

use crate::{
    clock::Millis,
    fleet::{
        failover::{Action, Cx, TargetCommand},
        hosts::HealthSummary,
        primary_change::{FAILING_HOSTS_PERCENT, is_failing, is_silent},
        service_failover::ServiceState,
    },
    ids::{HostId, InstanceId, Service},
};

/// Percentage of the hosts that must see a primary fail for it to be doubted.
const DOUBT_PERCENT: usize = 10;

/// Interval between the leader's queries to a doubted primary: a command takes at most as long, so
/// that at most one is outstanding.
const QUERY_INTERVAL: Millis = Millis(400);

/// Percentage of the services up to which a failure is not a general one; one service always is.
const FEW_SERVICES_PERCENT: usize = 25;

/// Time for which a primary must leave queries unanswered. The queries begin with the first report,
/// which is at least this much older than the reports that suffice for a promotion.
const MIN_QUERY_SILENCE: Millis = Millis(100);

/// Multiple of the slowest answer of another target that the silence must exceed.
const QUERY_SILENCE_FACTOR: u64 = 3;

/// Time for which a promotion makes the next one of its service need more evidence.
const SUCCESSION_WINDOW: Millis = Millis(10_000);

/// Percentage by which each promotion within the window raises the share of hosts that must see
/// the primary fail.
const SUCCESSION_PERCENT: usize = 20;

/// Largest share of hosts that must see the primary fail; the others may be unable to report.
const MAX_FAILING_HOSTS_PERCENT: usize = 70;

/// Time between two checks from which the leader counts as stalled: answers may wait unread.
const STALL: Millis = Millis(300);

/// What the hosts report on all primaries.
#[derive(Debug, Default)]
pub(super) struct Overview {
    /// More than a few services have primaries that do not answer some host.
    pub(super) is_general: bool,
    /// Hosts whose reports are no evidence against one primary.
    doubtful: IndexSet<HostId>,
    /// The leader itself was stalled before this check.
    is_stalled: bool,
}

impl Overview {
    /// Overview at a check; the one before it was at `checked_at`.
    pub(super) fn new(
        cx: &Cx<'_>,
        services: &IndexMap<Service, ServiceState>,
        checked_at: Option<Millis>,
    ) -> Self {
        let primaries: IndexSet<&InstanceId> =
            services.values().filter_map(|state| state.primary.as_ref()).collect();
        let doubted =
            primaries.iter().filter(|id| is_doubted(&cx.hosts.health_summary(cx.now, id))).count();
        let few = (primaries.len() * FEW_SERVICES_PERCENT / 100).max(1);
        let is_general = doubted > few;
        let doubtful = if is_general {
            cx.hosts.doubtful(cx.now, |id| primaries.contains(id))
        } else {
            IndexSet::new()
        };
        let is_stalled = checked_at.is_some_and(|at| cx.now.since(at) >= STALL);
        Self { is_general, doubtful, is_stalled }
    }
}

/// Evidence against the primary of one service.
#[derive(Debug, Default)]
pub(super) struct FailureEvidence {
    /// Since when the primary is queried without an answer; `None` if it is not queried.
    asked_at: Option<Millis>,
    queried_at: Option<Millis>,
    /// Time that the other targets took for their first answers.
    answers: IndexMap<InstanceId, Millis>,
    /// Ends of the promotions after failures.
    promoted_at: Vec<Millis>,
    /// Whether a change is withheld that the hosts' reports alone would start.
    is_withheld: bool,
}

impl FailureEvidence {
    /// Records the answer of a target to a command that was sent at `sent_at`.
    pub(super) fn record_answer(
        &mut self,
        now: Millis,
        primary: Option<&InstanceId>,
        target: &InstanceId,
        sent_at: Millis,
    ) {
        if self.asked_at.is_none_or(|at| sent_at < at) {
            return;
        }
        if primary == Some(target) {
            self.restart();
        } else {
            self.answers.entry(target.clone()).or_insert(now.since(sent_at));
        }
    }

    /// Records a promotion after a failure.
    pub(super) fn record_promotion(&mut self, now: Millis) {
        self.promoted_at.push(now);
        self.restart();
    }

    fn restart(&mut self) {
        self.asked_at = None;
        self.answers.clear();
    }

    /// Number of promotions in close succession.
    fn recent_promotions(&self, now: Millis) -> usize {
        self.promoted_at.iter().filter(|at| now.since(**at) < SUCCESSION_WINDOW).count()
    }

    /// Whether the primary leaves the leader's queries unanswered while most other targets of
    /// the service answer.
    fn is_unanswered(&self, cx: &Cx<'_>, service: &Service, primary: &InstanceId) -> bool {
        let Some(asked_at) = self.asked_at else { return false };
        let others = cx.registry.of_service(service).filter(|it| it.id != *primary).count();
        let Some(slowest) = self.answers.values().max() else { return false };
        let doublings = self.recent_promotions(cx.now).min(2);
        let min_silence = Millis(MIN_QUERY_SILENCE.0 << doublings);
        let silence = cx.now.since(asked_at);
        self.answers.len() * 2 >= others
            && silence >= min_silence.max(Millis(slowest.0 * QUERY_SILENCE_FACTOR))
    }

    /// Whether there is enough evidence to replace the primary.
    pub(super) fn suffices(
        &self,
        cx: &Cx<'_>,
        service: &Service,
        primary: &InstanceId,
        overview: &Overview,
    ) -> bool {
        if !is_failing(cx, primary) {
            return false;
        }
        let summary = cx.hosts.health_summary(cx.now, primary);
        let total = summary.answering + summary.failing;
        let is_silent = || self.is_unanswered(cx, service, primary) || is_silent(cx, primary);
        match self.recent_promotions(cx.now) {
            // Without reports, missed announcements have decided.
            _ if total == 0 => true,
            0 if !overview.is_general => true,
            0 => {
                let failing = cx.hosts.count_failing(cx.now, primary, &overview.doubtful);
                failing * 100 >= total * FAILING_HOSTS_PERCENT || is_silent()
            }
            promotions => {
                let percent = FAILING_HOSTS_PERCENT + promotions * SUCCESSION_PERCENT;
                let percent = percent.min(MAX_FAILING_HOSTS_PERCENT);
                summary.failing * 100 >= total * percent && is_silent()
            }
        }
    }
}

/// Whether so many hosts see a primary fail that it may have to be replaced.
fn is_doubted(summary: &HealthSummary) -> bool {
    summary.failing > 0
        && summary.failing * 100 >= (summary.answering + summary.failing) * DOUBT_PERCENT
}

impl ServiceState {
    /// Queries the targets if the leader's own evidence against the primary may be needed.
    /// Returns whether a change begins to be withheld.
    pub(super) fn gather_evidence(
        &mut self,
        cx: &Cx<'_>,
        service: &Service,
        overview: &Overview,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(primary) = self.primary.clone() else { return false };
        let evidence = &mut self.failure;
        evidence.promoted_at.retain(|at| cx.now.since(*at) < SUCCESSION_WINDOW);
        let is_needed = overview.is_general || !evidence.promoted_at.is_empty();
        let is_doubted = is_needed
            && self.change.is_none()
            && is_doubted(&cx.hosts.health_summary(cx.now, &primary));
        if !is_doubted {
            evidence.restart();
            evidence.queried_at = None;
            evidence.is_withheld = false;
            return false;
        }
        if overview.is_stalled {
            evidence.restart();
            evidence.queried_at = None;
        }
        if evidence.queried_at.is_none_or(|at| cx.now.since(at) >= QUERY_INTERVAL) {
            evidence.asked_at.get_or_insert(cx.now);
            evidence.queried_at = Some(cx.now);
            out.extend(cx.registry.of_service(service).map(|target| Action::SendCommand {
                service: service.clone(),
                target: target.id.clone(),
                command: TargetCommand::Status,
            }));
        }
        let is_withheld =
            is_failing(cx, &primary) && !evidence.suffices(cx, service, &primary, overview);
        let begins = is_withheld && !evidence.is_withheld;
        evidence.is_withheld = is_withheld;
        if begins {
            let summary = cx.hosts.health_summary(cx.now, &primary);
            spdlog::warn!("primary change withheld, the evidence does not suffice", kv: {service = service.as_str(), primary = primary.as_str(), failing = summary.failing, answering = summary.answering, doubtful = overview.doubtful.len(), promotions = evidence.promoted_at.len()});
        }
        begins
    }
}
