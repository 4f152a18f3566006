//! Operations of a session: target selection, execution and retries.

use std::rc::Rc;

use futures::future::join_all;

use crate::{
    clock::Millis,
    fleet::messages::{Announcement, TargetRole},
    gateway::{
        cx::Cx,
        job::{Job, JobError, JobKind, RejectReason},
        ports::{TargetConnection, Targets},
        prepare::ResolvedRequest,
        rate_admission,
        read_selection::ReadSelection,
        session::{Authorization, Session},
        statement::{Answer, ErrorCode, TransactionState},
        target_client::TargetClient,
    },
    ids::{InstanceId, Mark},
};

/// Delay before the selection is repeated when no target is usable.
const RESELECT_DELAY: Millis = Millis(15);

/// Shortest interval between two searches for a service's primary.
const DISCOVERY_INTERVAL: Millis = Millis(150);

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
    fn deadline(&self) -> Millis {
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
        Job {
            target: target.clone(),
            workspace: self.auth.workspace.clone(),
            variables: self.session.variables.clone(),
            priority: self.auth.route.priority,
            max_wait: self.wait_deadline().since(now),
            timeout: deadline.since(now),
            kind,
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
        };
        selection.select(&service.targets).map(|it| (it.clone(), required))
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
            let Some((target, after)) = self.usable_target(mode, tried) else {
                if self.cx.now() >= self.wait_deadline() {
                    return Err(JobError::Rejected(RETRY_AFTER_NO_TARGET, RejectReason::NoTarget));
                }
                if !self.discover_primary().await {
                    tokio::time::sleep(RESELECT_DELAY.duration()).await;
                }
                tried.clear();
                continue;
            };
            let is_primary = self.primary().is_some_and(|it| it.id == target.id);
            let mut client = TargetClient::new(self.cx, target.clone(), transactional);
            if mode == AccessMode::Write {
                return Ok(SelectedTarget { client, after: None, confirmed_at: None });
            }
            if is_primary && self.cx.trusts_primary(&target.service) {
                let confirmed_at = Some(self.cx.now());
                return Ok(SelectedTarget { client, after: None, confirmed_at });
            }
            if after.is_some() {
                return Ok(SelectedTarget { client, after, confirmed_at: None });
            }
            let queried_at = self.cx.now();
            match self.confirm_primary(&mut client).await {
                Ok(true) => {
                    return Ok(SelectedTarget {
                        client,
                        after: None,
                        confirmed_at: Some(queried_at),
                    });
                }
                Ok(false) => {
                    let now = self.cx.now();
                    let mut topology = self.cx.topology.borrow_mut();
                    topology.mark_not_primary(now, &target.service, &target.id);
                }
                Err(JobError::Rejected(retry, reason)) => {
                    return Err(JobError::Rejected(retry, reason));
                }
                Err(_) => {}
            }
            tried.push(target.id.clone());
        }
    }

    /// Searches for the primary by querying the role of all targets of the service. This is
    /// for a host without a lease, to which control cannot announce a new primary. Returns
    /// whether the targets were queried.
    async fn discover_primary(&self) -> bool {
        let (cx, service) = (self.cx, &self.auth.route.service);
        let now = cx.now();
        let last = cx.last_discovery.borrow().get(service).copied();
        let is_recent = last.is_some_and(|at| now.since(at) < DISCOVERY_INTERVAL);
        if cx.lease.borrow().is_valid(now) || is_recent {
            return false;
        }
        cx.last_discovery.borrow_mut().insert(service.clone(), now);
        let targets = cx.topology.borrow().service(service).map(|it| it.targets.clone());
        let query = |target: Rc<Announcement>| async move {
            let mut client = TargetClient::new(cx, target.clone(), false);
            let deadline = self.wait_deadline().min(cx.now() + DISCOVERY_INTERVAL);
            let job = self.job(&target.id, JobKind::Status, deadline);
            let answer = self.run(&mut client, &job).await.ok()?;
            let status = T::Connection::status(&answer)?;
            (status.role == TargetRole::Primary).then_some((status.term, target))
        };
        let queries = targets.unwrap_or_default().into_iter().map(query);
        let primaries = join_all(queries).await.into_iter().flatten();
        if let Some((term, target)) = primaries.max_by_key(|(term, _)| *term) {
            spdlog::info!("primary discovered by querying the targets", kv: {service = service.as_str(), primary = target.id.as_str(), term});
            cx.topology.borrow_mut().set_discovered_primary(service, &target.id);
        }
        true
    }

    /// Queries the target's role; returns whether it is the primary.
    async fn confirm_primary(&self, client: &mut TargetClient<T>) -> Result<bool, JobError> {
        let job = self.job(&client.target.id, JobKind::Status, self.wait_deadline());
        let answer = self.run(client, &job).await?;
        let status = T::Connection::status(&answer);
        Ok(status.is_some_and(|it| it.role == TargetRole::Primary))
    }

    /// Executes a job and records the outcome in the target's health.
    pub async fn run(&self, client: &mut TargetClient<T>, job: &Job) -> Result<Answer, JobError> {
        let cx = self.cx;
        let attempt = cx.health.borrow_mut().record_sent(cx.now(), &job.target);
        let result = client.run(cx, job).await;
        let now = cx.now();
        let mut health = cx.health.borrow_mut();
        match &result {
            Ok(answer) => health.record_answer(now, &job.target, attempt, answer.position),
            Err(JobError::Rejected(..)) => {
                health.record_unanswered(now, &job.target, attempt, false)
            }
            Err(JobError::Unreachable | JobError::Lost) => {
                health.record_unanswered(now, &job.target, attempt, true);
            }
        }
        result
    }

    /// Runs a read outside of transactions. Each attempt after one that may have run takes
    /// another token of the workspace.
    pub async fn read(&self, resolved: ResolvedRequest<'_>) -> Outcome {
        let mut tried = Vec::new();
        let mut last: Option<Answer> = None;
        let mut may_have_run = false;
        let mut is_charged = true;
        while self.cx.now() < self.deadline() {
            let mut selected = match self.select_target(AccessMode::Read, false, &mut tried).await {
                Ok(selected) => selected,
                Err(error) => {
                    let answer = last.unwrap_or_else(|| self.error_answer(&error));
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
            match self.run(&mut selected.client, &job).await {
                Ok(answer) => {
                    self.observe(&selected, &answer);
                    match answer.code() {
                        Some(ErrorCode::Lagging | ErrorCode::Busy | ErrorCode::NoStatement) => {
                            last = Some(Answer { state: TransactionState::Idle, ..answer });
                        }
                        _ => return Outcome { answer, may_have_run: true },
                    }
                }
                Err(error @ JobError::Rejected(..)) if !tried.is_empty() => {
                    return Outcome { answer: self.error_answer(&error), may_have_run };
                }
                Err(error) => {
                    is_charged = error != JobError::Lost;
                    may_have_run |= error == JobError::Lost;
                    last = Some(self.error_answer(&error));
                }
            }
            tried.push(id);
        }
        Outcome { answer: last.unwrap_or_else(|| self.unanswered()), may_have_run }
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
        let text = format!("{}; retry after {retry}", reason.text());
        Answer::error(ErrorCode::Busy, text, TransactionState::Idle)
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
