//! Whether an entry host may send a job to a target: applies the decisions of
//! [`evacuation`](crate::gateway::evacuation) and [`readmission`](crate::gateway::readmission),
//! logs and counts them.

use crate::{
    clock::Millis,
    fleet::{evacuation::DEFAULT_MAX_EVACUATION_DELAY, messages::Announcement},
    gateway::{
        cx::Cx,
        evacuation::{DomainChange, ViewReceipt, has_contact},
        job::{Job, JobError, JobKind, RejectReason},
        log_limit::LogDecision,
        ownership::Shard,
        ports::Targets,
        readmission::{ColdLimit, ColdStatement, is_owner},
    },
    ids::{Service, Workspace},
};

/// Retry delay reported with a refusal: about the duration of a primary change.
const RETRY_AFTER_REFUSAL: Millis = Millis(500);

/// Why a host sends no statements to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The host does not know which failure domains are in use.
    NoContact,
    /// The failure domain of the target is out of use.
    OutOfUse,
}

impl Refusal {
    /// Error for this host's own sessions.
    pub fn error(self) -> JobError {
        let reason = match self {
            Self::NoContact => RejectReason::NoTarget,
            Self::OutOfUse => RejectReason::DomainOutOfUse,
        };
        JobError::Rejected(RETRY_AFTER_REFUSAL, reason)
    }

    /// Error for another host that asks this one as the owner. Without contact it is to ask
    /// another owner.
    pub fn owner_error(self) -> JobError {
        match self {
            Self::NoContact => JobError::Unreachable,
            Self::OutOfUse => JobError::Rejected(RETRY_AFTER_REFUSAL, RejectReason::NoTarget),
        }
    }

    /// Error message for the caller of a transaction that is rolled back.
    pub fn transaction_text(self) -> &'static str {
        match self {
            Self::NoContact => "control has not been heard lately; nothing is kept",
            Self::OutOfUse => "the failure domain of the target is out of use; nothing is kept",
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::NoContact => "no_contact",
            Self::OutOfUse => "out_of_use",
        }
    }
}

impl<T: Targets> Cx<T> {
    /// Whether the host has heard from control within the maximum age of its view, as far as the
    /// settings require it.
    pub fn has_contact(&self) -> bool {
        let last_contact = self.lease.borrow().contact_at();
        has_contact(self.now(), last_contact, self.settings.max_evacuation_delay)
    }

    /// Why statements to `target` are refused; `None` if they are not.
    pub fn refusal(&self, target: &Announcement) -> Option<Refusal> {
        if !self.has_contact() {
            return Some(Refusal::NoContact);
        }
        let is_out_of_use = self.topology.borrow().is_out_of_use(self.now(), target);
        is_out_of_use.then_some(Refusal::OutOfUse)
    }

    /// As [`Self::refusal`]; queries of a target's status are no statements.
    pub fn job_refusal(&self, target: &Announcement, kind: &JobKind) -> Option<Refusal> {
        let is_status = matches!(kind, JobKind::Status);
        self.refusal(target).filter(|it| !is_status || *it == Refusal::NoContact)
    }

    /// Applies what the newest view says of failure domains and owners. The lease must not yet
    /// be extended by the message that held the view.
    pub fn apply_domains(&self) {
        let now = self.now();
        let mut topology = self.topology.borrow_mut();
        let evacuated = topology.view.evacuated.clone();
        let max_delay = self.settings.max_evacuation_delay.unwrap_or(DEFAULT_MAX_EVACUATION_DELAY);
        let last_contact = self.lease.borrow().contact_at();
        let receipt = ViewReceipt { now, last_contact, max_delay };
        for change in topology.evacuated.apply(receipt, &evacuated) {
            match change {
                DomainChange::Evacuated { domain, grace } => {
                    spdlog::info!("failure domain evacuated", kv: {domain = domain.as_str(), primaries_used_for_ms = grace.0, view = topology.revision().number});
                }
                DomainChange::Restored { domain } => {
                    spdlog::info!("failure domain restored", kv: {domain = domain.as_str(), view = topology.revision().number});
                }
            }
        }
        let targets = topology.view.targets.clone();
        let config = topology.config.clone();
        let own = &self.settings.host;
        self.cold.borrow_mut().apply(now, topology.revision(), &targets, |target| {
            let service = config.services.get(&target.service);
            service.is_some_and(|it| it.max_cold_rate_millis.is_some())
                && is_owner(own, &topology.ranked_owners(target, Shard::default()))
        });
    }

    /// Limit on statements to `target`; `None` if it is not cold, or has no limit.
    pub(super) fn cold_limit(&self, target: &Announcement) -> Option<ColdLimit> {
        let now = self.now();
        let topology = self.topology.borrow();
        let service = topology.config.services.get(&target.service)?;
        let (overage, slack) = (self.settings.cold_overage, self.settings.cold_slack);
        let limit = ColdLimit::new(service, overage, slack)?;
        let restored_for = topology.evacuated.restored_for(now, &target.domain);
        let mut cold = self.cold.borrow_mut();
        if cold.is_cold(now, &target.id, service.cold_time, restored_for) {
            return Some(limit);
        }
        cold.end(&target.id);
        None
    }

    /// Takes the token for a job if `target` is cold. Statements of an open transaction wait for
    /// theirs up to `max_wait`, since a refusal would roll back what has run.
    pub async fn admit_cold(
        &self,
        target: &Announcement,
        job: &Job,
        max_wait: Millis,
    ) -> Result<(), JobError> {
        if matches!(job.kind, JobKind::Status | JobKind::Rollback) {
            return Ok(());
        }
        let began = self.now();
        loop {
            let Some(limit) = self.cold_limit(target) else { return Ok(()) };
            let now = self.now();
            let is_owner = self.lease.borrow().is_valid(now) && {
                let ranked = self.topology.borrow_mut().ranked_owners(target, Shard::default());
                is_owner(&self.settings.host, &ranked)
            };
            let statement = ColdStatement { now, target: &target.id, limit, is_owner };
            let taken = self.cold.borrow_mut().take(statement);
            let Err(retry_after) = taken else {
                self.metrics.record_cold(true);
                return Ok(());
            };
            let left = max_wait.since(now.since(began));
            if !job.kind.needs_transaction() || retry_after > left {
                self.metrics.record_cold(false);
                return Err(JobError::Rejected(retry_after, RejectReason::Busy));
            }
            tokio::time::sleep(retry_after.max(Millis(1)).duration()).await;
        }
    }

    /// Records a refusal of the owner of `target`: reads avoid a cold target for the given time.
    pub fn record_rejected(&self, target: &Announcement, retry_after: Millis) {
        if self.cold_limit(target).is_some() {
            self.cold.borrow_mut().hold_back(self.now(), &target.id, retry_after);
        }
    }

    /// Counts and logs a statement to a target in an evacuated domain, subject to the rate limit of
    /// the log.
    pub fn record_evacuated_use(
        &self,
        target: &Announcement,
        job: &Job,
        service: &Service,
        workspace: Option<&Workspace>,
    ) {
        let now = self.now();
        let evacuated_for = self.topology.borrow().evacuated.evacuated_for(now, &target.domain);
        let Some(evacuated_for) = evacuated_for else { return };
        let reason = match job.kind {
            JobKind::Status => return,
            _ if job.kind.needs_transaction() => "transaction",
            _ => "primary",
        };
        self.metrics.record_evacuated_use(&target.domain, reason);
        let LogDecision::Write { suppressed } = self.evacuation_log.borrow_mut().check(now) else {
            return;
        };
        spdlog::info!("statement sent to an evacuated domain", kv: {domain = target.domain.as_str(), target = target.id.as_str(), service = service.as_str(), workspace = workspace.map_or("none", |it| it.as_str()), reason, evacuated_ms = evacuated_for.0, left_out = suppressed});
    }

    /// Counts a refused statement of this host's session, and returns its error. It writes no log
    /// line, because the failed request is logged.
    pub fn refuse(&self, target: &Announcement, refusal: Refusal) -> JobError {
        self.metrics.record_refusal(&target.domain, refusal.label());
        refusal.error()
    }

    /// Counts a refused job of another host, or a transaction that ends because of a refusal, and
    /// logs it subject to the rate limit of the log.
    pub fn record_refusal(&self, target: &Announcement, refusal: Refusal) {
        self.metrics.record_refusal(&target.domain, refusal.label());
        let now = self.now();
        let LogDecision::Write { suppressed } = self.evacuation_log.borrow_mut().check(now) else {
            return;
        };
        let silent = now.since(self.lease.borrow().contact_at());
        spdlog::info!("target gets no statements", kv: {domain = target.domain.as_str(), target = target.id.as_str(), reason = refusal.label(), silent_ms = silent.0, left_out = suppressed});
    }
}
