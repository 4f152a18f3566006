//! Operations of a session: target selection, execution and retries.

use std::rc::Rc;

use crate::{
    clock::Millis,
    fleet::messages::Announcement,
    gateway::{
        attempt::AttemptGuard,
        cx::Cx,
        job::{Execution, Job, JobError, JobKind, RejectReason},
        ports::Targets,
        prepare::ResolvedRequest,
        primary_search::PrimarySearch,
        rate_admission,
        read_selection::ReadSelection,
        readmission::ReadRestrictions,
        retry_budget::is_costly,
        session::{Authorization, Session},
        statement::{Answer, ErrorCode, TransactionState},
        target_client::TargetClient,
        target_use::Refusal,
        urgency::Urgency,
    },
    ids::{InstanceId, Mark},
};

/// Delay before the selection is repeated when no target is usable.
const RESELECT_DELAY: Millis = Millis(15);

/// Retry delay reported to callers when no target is usable: about the duration of a
/// promotion.
const RETRY_AFTER_NO_TARGET: Millis = Millis(500);

/// Retry delay reported to callers when the target had no free slot.
const RETRY_AFTER_BUSY: Millis = Millis(100);

/// Share of a statement's timeout after which an unanswered read is sent to another
/// target, in percent.
const READ_ATTEMPT_PERCENT: u64 = 45;

/// Operation of a session with everything that its execution depends on.
pub struct Operation<'a, T: Targets> {
    pub cx: &'a Cx<T>,
    pub session: &'a Session,
    pub auth: &'a Authorization,
    /// When the statement arrived.
    pub arrived: Millis,
}

/// Kind of target that an operation needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessMode {
    /// Primary of the service.
    Write,
    /// Any target whose data is fresh enough.
    Read,
}

/// Choice of a target.
struct Selection {
    target: Rc<Announcement>,
    after: Option<Mark>,
    confirmed_at: Option<Millis>,
}

/// Selected target.
pub struct SelectedTarget<T: Targets> {
    pub client: TargetClient<T>,
    /// Position that the target's log must have reached.
    pub after: Option<Mark>,
    /// Time at which the target was known to be the primary; `None` if it is not known.
    pub confirmed_at: Option<Millis>,
}

/// Answer to an operation, and whether a target may have run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    pub answer: Answer,
    pub may_have_run: bool,
}

impl Outcome {
    fn not_run(answer: Answer) -> Self {
        Self { answer, may_have_run: false }
    }
}

impl<T: Targets> Operation<'_, T> {
    pub(super) fn deadline(&self) -> Millis {
        self.arrived + self.auth.route.statement_timeout
    }

    /// Until when the operation may wait for a target and a connection.
    fn wait_deadline(&self) -> Millis {
        let span = self.auth.route.statement_timeout.0 * self.cx.settings.max_wait_percent / 100;
        self.arrived + Millis(span)
    }

    /// Job for `target` with the session's state, to be answered by `deadline`.
    pub fn job(&self, target: &InstanceId, kind: JobKind, deadline: Millis) -> Job {
        let now = self.cx.now();
        let timeout = deadline.since(now);
        // Other statements share the answer to a status query.
        let is_shared = matches!(kind, JobKind::Status);
        let latency_left = (self.arrived + self.auth.route.target_latency).since(now);
        let urgency = Urgency { latency_left, time_left: timeout };
        Job {
            target: target.clone(),
            workspace: self.auth.workspace.clone(),
            variables: self.session.variables.clone(),
            priority: self.auth.route.priority,
            // Below the time from which an unanswered statement counts against a target: work that
            // only waits for a slot must not make a busy primary look lost.
            max_wait: self.wait_deadline().since(now),
            timeout,
            kind,
            urgency: (!is_shared).then_some(urgency),
            then: None,
        }
    }

    /// Job kind of a caller's statement outside of transactions.
    pub fn statement(resolved: ResolvedRequest<'_>, after: Option<Mark>) -> JobKind {
        let (request, prepared) = (resolved.request.clone(), resolved.prepared.cloned());
        JobKind::Statement { request, prepared, after, in_transaction: false }
    }

    /// Log position from which any target is fresh enough for the read.
    fn required_position(&self) -> Option<Mark> {
        let service = &self.auth.route.service;
        let max_staleness = self.auth.route.consistency.max_staleness()?;
        let shared =
            self.cx.freshness.borrow().required_position(service, self.arrived, max_staleness)?;
        Some(self.session.mark(service).map_or(shared, |own| own.max(shared)))
    }

    fn primary(&self) -> Option<Rc<Announcement>> {
        self.cx.topology.borrow().primary(self.cx.now(), &self.auth.route.service)
    }

    fn usable_target(
        &self,
        mode: AccessMode,
        tried: &[InstanceId],
    ) -> Option<(Rc<Announcement>, Option<Mark>)> {
        let primary = self.primary();
        if mode == AccessMode::Write {
            let usable =
                |it: &Rc<Announcement>| self.cx.health.borrow().is_usable(self.cx.now(), &it.id);
            return primary.filter(usable).map(|it| (it, None));
        }
        let required = self.required_position();
        let topology = self.cx.topology.borrow();
        let service = topology.service(&self.auth.route.service)?;
        let selection = ReadSelection {
            now: self.cx.now(),
            domain: &self.cx.settings.domain,
            health: &self.cx.health.borrow(),
            primary: primary.as_ref().map(|it| &it.id),
            required,
            tried,
            restrictions: ReadRestrictions {
                domains: &topology.evacuated,
                cold: &self.cx.cold.borrow(),
                session: self.session.hash,
            },
        };
        selection.select(&service.targets).map(|it| (it.clone(), required))
    }

    /// Whether a statement for `target` tests whether it answers again; the number of tests is
    /// bounded by itself.
    pub(super) fn is_probe(&self, target: &InstanceId) -> bool {
        self.cx.health.borrow().is_failing(self.cx.now(), target)
    }

    /// Takes a token for a further attempt; returns whether there was one.
    pub(super) fn may_retry(&self) -> bool {
        self.cx.retry_budgets.borrow_mut().take(&self.auth.route.service)
    }

    /// Selects a target, and waits for one if none is usable. Targets in `tried` are
    /// skipped as long as there are others.
    pub async fn select_target(
        &self,
        mode: AccessMode,
        transactional: bool,
        tried: &mut Vec<InstanceId>,
    ) -> Result<SelectedTarget<T>, JobError> {
        loop {
            if !self.cx.has_contact() {
                return Err(Refusal::NoContact.error());
            }
            let selected = match self.target_without_search(mode, tried) {
                Some(selected) => Some(selected),
                None if self.cx.trusts_primary(&self.auth.route.service) => {
                    self.check_primary_in_use(mode)?;
                    None
                }
                None => self.searched_primary(tried).await?,
            };
            if let Some(Selection { target, after, confirmed_at }) = selected {
                let shard = self.cx.shard(&target, self.auth.workspace.as_ref());
                let client = TargetClient::new(self.cx, target, shard, transactional);
                return Ok(SelectedTarget { client, after, confirmed_at });
            }
            if self.cx.now() >= self.wait_deadline() {
                return Err(JobError::Rejected(RETRY_AFTER_NO_TARGET, RejectReason::NoTarget));
            }
            tokio::time::sleep(RESELECT_DELAY.duration()).await;
            tried.clear();
        }
    }

    /// Target that may be used without a proof that it is the primary: control vouches for
    /// it, or the read needs only a log position.
    fn target_without_search(&self, mode: AccessMode, tried: &[InstanceId]) -> Option<Selection> {
        let trusted = self.cx.trusts_primary(&self.auth.route.service);
        let now = self.cx.now();
        let (target, required) = self.usable_target(mode, tried)?;
        if trusted && self.primary().is_some_and(|it| it.id == target.id) {
            let confirmed_at = (mode == AccessMode::Read).then_some(now);
            return Some(Selection { target, after: None, confirmed_at });
        }
        required.map(|after| Selection { target, after: Some(after), confirmed_at: None })
    }

    /// Refuses what only the primary can run while its failure domain is out of use.
    fn check_primary_in_use(&self, mode: AccessMode) -> Result<(), JobError> {
        if mode == AccessMode::Read && self.required_position().is_some() {
            return Ok(());
        }
        let topology = self.cx.topology.borrow();
        match topology.primary_out_of_use(self.cx.now(), &self.auth.route.service) {
            Some(primary) => Err(self.cx.refuse(&primary, Refusal::OutOfUse)),
            None => Ok(()),
        }
    }

    /// Primary that a search among the targets proves.
    async fn searched_primary(&self, tried: &[InstanceId]) -> Result<Option<Selection>, JobError> {
        match self.search_primary().await {
            PrimarySearch::Proven { target, asked_at, view } => {
                let mut topology = self.cx.topology.borrow_mut();
                topology.set_discovered_primary(&self.auth.route.service, &target, view);
                let target = topology.target(&target);
                if let Some(primary) = &target
                    && topology.is_out_of_use(self.cx.now(), primary)
                {
                    return Err(self.cx.refuse(primary, Refusal::OutOfUse));
                }
                let usable = target.filter(|it| !tried.contains(&it.id));
                let confirmed_at = Some(asked_at);
                Ok(usable.map(|target| Selection { target, after: None, confirmed_at }))
            }
            found @ PrimarySearch::Unproven { .. } if found.keeps_failing(self.cx.now()) => {
                Err(JobError::Rejected(RETRY_AFTER_NO_TARGET, RejectReason::NoTarget))
            }
            PrimarySearch::Unproven { .. } => Ok(None),
            PrimarySearch::Rejected(retry, reason) => Err(JobError::Rejected(retry, reason)),
        }
    }

    /// Executes a job and records the outcome in the target's health.
    pub async fn run(&self, client: &mut TargetClient<T>, job: &Job) -> Result<Answer, JobError> {
        self.run_with_next(client, job).await.result
    }

    /// Executes a job, and the statement that it carries, as [`Self::run`] does.
    pub async fn run_with_next(&self, client: &mut TargetClient<T>, job: &Job) -> Execution {
        let target = client.target.clone();
        if let Some(refusal) = self.cx.job_refusal(&target, &job.kind) {
            return Err(self.cx.refuse(&target, refusal)).into();
        }
        let (service, workspace) = (&self.auth.route.service, self.auth.workspace.as_ref());
        self.cx.record_evacuated_use(&target, job, service, workspace);
        let attempt = AttemptGuard::new(&self.cx.health, self.cx.clock, &job.target);
        let execution = client.run(self.cx, job).await;
        attempt.end(execution.then.as_ref().unwrap_or(&execution.result));
        if let Err(JobError::Rejected(retry_after, _)) = &execution.result {
            self.cx.record_rejected(&target, *retry_after);
        }
        execution
    }

    /// Runs a read outside of transactions. Each attempt after one that may have run takes
    /// another token of the workspace.
    pub async fn read(&self, resolved: ResolvedRequest<'_>) -> Outcome {
        let mut tried = Vec::new();
        let mut last: Option<Result<Answer, JobError>> = None;
        let mut may_have_run = false;
        let mut is_charged = true;
        self.cx.retry_budgets.borrow_mut().record_first_attempt(&self.auth.route.service);
        while self.cx.now() < self.deadline() {
            let mut selected = match self.select_target(AccessMode::Read, false, &mut tried).await {
                Ok(selected) => selected,
                Err(error) => {
                    let answer = self.outcome(last.unwrap_or(Err(error)));
                    return Outcome { answer, may_have_run };
                }
            };
            if !is_charged && !self.charge_again().await {
                break;
            }
            is_charged = true;
            let id = selected.client.target.id.clone();
            let kind = Self::statement(resolved, selected.after);
            let job = self.job(&id, kind, self.read_attempt_deadline());
            let is_probe = self.is_probe(&id);
            let result = self.run(&mut selected.client, &job).await;
            let takes_token = !is_probe && is_costly(&result);
            match result {
                Ok(answer) => {
                    self.observe(&selected, &answer);
                    match answer.code() {
                        Some(ErrorCode::Lagging | ErrorCode::Busy | ErrorCode::NoStatement) => {
                            last = Some(Ok(Answer { state: TransactionState::Idle, ..answer }));
                        }
                        _ => return Outcome { answer, may_have_run: true },
                    }
                }
                // After an attempt that may have run, a refusal would not be true.
                Err(JobError::Rejected(..)) if may_have_run => break,
                Err(error @ JobError::Rejected(..)) if !tried.is_empty() => {
                    return Outcome { answer: self.error_answer(&error), may_have_run };
                }
                Err(error) => {
                    is_charged = error != JobError::Lost;
                    may_have_run |= error == JobError::Lost;
                    last = Some(match error {
                        JobError::Lost => Ok(self.unanswered()),
                        error => Err(error),
                    });
                }
            }
            if takes_token && !self.may_retry() {
                break;
            }
            tried.push(id);
        }
        let answer = last.map_or_else(|| self.unanswered(), |last| self.outcome(last));
        Outcome { answer, may_have_run }
    }

    fn outcome(&self, result: Result<Answer, JobError>) -> Answer {
        result.unwrap_or_else(|error| self.error_answer(&error))
    }

    /// Takes a token for a further attempt; returns whether there was one.
    async fn charge_again(&self) -> bool {
        match &self.auth.workspace {
            Some(workspace) => rate_admission::charge(self.cx, workspace).await,
            None => true,
        }
    }

    fn read_attempt_deadline(&self) -> Millis {
        let span = self.auth.route.statement_timeout.0 * READ_ATTEMPT_PERCENT / 100;
        self.deadline().min(self.cx.now() + Millis(span))
    }

    /// Runs a write outside of transactions.
    pub async fn write(&self, resolved: ResolvedRequest<'_>) -> Outcome {
        let mut tried = Vec::new();
        loop {
            let mut selected = match self.select_target(AccessMode::Write, false, &mut tried).await
            {
                Ok(selected) => selected,
                Err(error) => return Outcome::not_run(self.error_answer(&error)),
            };
            let sent = self.cx.now();
            let target = selected.client.target.clone();
            if !self.may_commit(&target.id).await {
                let reason = RejectReason::Unconfirmed;
                let rejected = JobError::Rejected(RETRY_AFTER_NO_TARGET, reason);
                return Outcome::not_run(self.error_answer(&rejected));
            }
            let job = self.job(&target.id, Self::statement(resolved, None), self.deadline());
            let answer = match self.run(&mut selected.client, &job).await {
                Ok(answer) => answer,
                Err(JobError::Unreachable) if self.cx.now() < self.wait_deadline() => {
                    tokio::time::sleep(RESELECT_DELAY.duration()).await;
                    continue;
                }
                Err(error) => {
                    let answer = self.error_answer(&error);
                    return Outcome { answer, may_have_run: error == JobError::Lost };
                }
            };
            match answer.code() {
                None if !self.confirm_commit(&target.id, answer.position).await => {
                    return Outcome { answer: self.unconfirmed(), may_have_run: true };
                }
                None => {
                    if let Some(position) = answer.position {
                        self.cx.freshness.borrow_mut().observe(&target.service, sent, position);
                    }
                    return Outcome { answer, may_have_run: true };
                }
                Some(code @ (ErrorCode::ReadOnly | ErrorCode::Busy | ErrorCode::NoStatement)) => {
                    if code == ErrorCode::ReadOnly {
                        let now = self.cx.now();
                        self.cx.topology.borrow_mut().mark_not_primary(
                            now,
                            &target.service,
                            &target.id,
                        );
                    }
                    if self.cx.now() >= self.wait_deadline() {
                        let busy = JobError::Rejected(RETRY_AFTER_BUSY, RejectReason::Busy);
                        return Outcome::not_run(self.error_answer(&busy));
                    }
                    tokio::time::sleep(RESELECT_DELAY.duration()).await;
                }
                Some(_) => return Outcome { answer, may_have_run: true },
            }
        }
    }

    /// Records the position in an answer of a primary.
    pub fn observe(&self, selected: &SelectedTarget<T>, answer: &Answer) {
        if let (Some(confirmed_at), Some(position)) = (selected.confirmed_at, answer.position) {
            let service = &selected.client.target.service;
            self.cx.freshness.borrow_mut().observe(service, confirmed_at, position);
        }
    }

    /// Answer to a statement whose job failed.
    pub fn error_answer(&self, error: &JobError) -> Answer {
        let (retry, reason) = match error {
            JobError::Rejected(retry, reason) => (*retry, *reason),
            JobError::Unreachable => (RETRY_AFTER_NO_TARGET, RejectReason::NoTarget),
            JobError::Lost => return self.unanswered(),
        };
        let retry = match reason {
            RejectReason::NoTarget => self.book_return(retry),
            _ => retry,
        };
        let text = format!("{}; retry after {retry}", reason.text());
        Answer::error(ErrorCode::Busy, text, TransactionState::Idle)
    }

    /// Delay for a caller that is refused because no target is usable before `usable_after`.
    fn book_return(&self, usable_after: Millis) -> Millis {
        let hosts = self.cx.topology.borrow().view.hosts.len();
        let (now, route) = (self.cx.now(), &self.auth.route);
        let mut unavailable = self.cx.unavailable.borrow_mut();
        unavailable.book(now, &route.service, route.priority, usable_after, hosts)
    }

    /// Answer to a statement that may or may not have run.
    pub fn unanswered(&self) -> Answer {
        let late = self.cx.now() >= self.deadline();
        let (code, text) = if late {
            (ErrorCode::Timeout, "no answer within the route's limit")
        } else {
            (ErrorCode::Unknown, "connection to the target was lost")
        };
        Answer::error(code, text, TransactionState::Idle)
    }
}
