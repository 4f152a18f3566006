//! Operations of a session: choice of a target, its execution, and what is done after
//! a failure.

use std::rc::Rc;

use futures::future::join_all;

use crate::{
    clock::Millis,
    fleet::messages::{Announcement, TargetRole},
    gateway::{
        cx::Cx,
        job::{Job, JobError, JobKind, Reason},
        ports::{TargetConnection, Targets},
        prepare::ResolvedRequest,
        read_selection::ReadSelection,
        session::{Authorization, Session},
        statement::{Answer, ErrorCode, TransactionState},
        target_client::TargetClient,
    },
    ids::{InstanceId, Mark},
};

/// Pause before another look for a target, when none can be used.
const LOOK_AGAIN: Millis = Millis(15);

/// Shortest interval between two searches for a service's primary.
const SEARCH_INTERVAL: Millis = Millis(150);

/// Advice to callers that find no primary: about the time of a promotion.
const RETRY_WITHOUT_TARGET: Millis = Millis(500);

/// Advice to callers whose target had no slot.
const RETRY_WHEN_BUSY: Millis = Millis(100);

/// Percentage of a statement's timeout after which a read that got no answer is sent
/// to another target.
const REPEAT_READ_PERCENT: u64 = 45;

/// Statement with everything that its execution depends on.
pub struct Operation<'a, T: Targets> {
    pub cx: &'a Cx<T>,
    pub session: &'a Session,
    pub access: &'a Authorization,
    /// When the statement arrived.
    pub arrived: Millis,
}

/// Which target an operation needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Primary, for statements that only a primary accepts.
    Writable,
    /// Any target whose data is fresh enough.
    Readable,
}

/// Way to a target that may be used.
pub struct Placement<T: Targets> {
    pub client: TargetClient<T>,
    /// Position that the target's log must hold.
    pub after: Option<Mark>,
    /// When the target was known to be the primary.
    pub leads_since: Option<Millis>,
}

impl<T: Targets> Operation<'_, T> {
    fn deadline(&self) -> Millis {
        self.arrived + self.access.route.statement_timeout
    }

    fn wait_until(&self) -> Millis {
        let span = self.access.route.statement_timeout.0 * self.cx.settings.wait_percent / 100;
        self.arrived + Millis(span)
    }

    /// Work with the session's variables.
    pub fn job(&self, target: &InstanceId, work: JobKind, until: Millis) -> Job {
        let now = self.cx.now();
        Job {
            target: target.clone(),
            workspace: self.access.workspace.clone(),
            variables: self.session.variables.clone(),
            priority: self.access.route.priority,
            wait: self.wait_until().since(now),
            limit: until.since(now),
            work,
        }
    }

    /// Work of a caller's statement.
    pub fn statement(prepared: ResolvedRequest<'_>, after: Option<Mark>) -> JobKind {
        let (request, shape) = (prepared.request.clone(), prepared.shape.cloned());
        JobKind::Statement { request, shape, after, in_transaction: false }
    }

    /// Position that makes a read fresh enough on any target.
    fn required(&self) -> Option<Mark> {
        let service = &self.access.route.service;
        let age = self.access.route.consistency.max_staleness()?;
        let shared = self.cx.freshness.borrow().required(service, self.arrived, age)?;
        Some(self.session.mark(service).map_or(shared, |own| own.max(shared)))
    }

    fn primary(&self) -> Option<Rc<Announcement>> {
        self.cx.topology.borrow().primary(self.cx.now(), &self.access.route.service)
    }

    fn choose(&self, need: Need, tried: &[InstanceId]) -> Option<(Rc<Announcement>, Option<Mark>)> {
        let primary = self.primary();
        if need == Need::Writable {
            let usable =
                |it: &Rc<Announcement>| self.cx.health.borrow().is_usable(self.cx.now(), &it.id);
            return primary.filter(usable).map(|it| (it, None));
        }
        let required = self.required();
        let topology = self.cx.topology.borrow();
        let service = topology.service(&self.access.route.service)?;
        let choice = ReadSelection {
            now: self.cx.now(),
            domain: &self.cx.settings.domain,
            health: &self.cx.health.borrow(),
            primary: primary.as_ref().map(|it| &it.id),
            required,
            tried,
        };
        choice.choose(&service.targets).map(|it| (it.clone(), required))
    }

    /// Finds a target and the way to it. Targets in `tried` are left out as long as
    /// there are others.
    pub async fn place(
        &self,
        need: Need,
        keeps: bool,
        tried: &mut Vec<InstanceId>,
    ) -> Result<Placement<T>, JobError> {
        loop {
            let Some((target, after)) = self.choose(need, tried) else {
                if self.cx.now() >= self.wait_until() {
                    return Err(JobError::Rejected(RETRY_WITHOUT_TARGET, Reason::NoTarget));
                }
                if !self.search_primary().await {
                    tokio::time::sleep(LOOK_AGAIN.duration()).await;
                }
                tried.clear();
                continue;
            };
            let is_primary = self.primary().is_some_and(|it| it.id == target.id);
            let mut client = TargetClient::new(self.cx, target.clone(), keeps);
            if need == Need::Writable {
                return Ok(Placement { client, after: None, leads_since: None });
            }
            if is_primary && self.cx.trusts_primary(&target.service) {
                let leads_since = Some(self.cx.now());
                return Ok(Placement { client, after: None, leads_since });
            }
            if after.is_some() {
                return Ok(Placement { client, after, leads_since: None });
            }
            let asked = self.cx.now();
            match self.confirms_primary(&mut client).await {
                Ok(true) => return Ok(Placement { client, after: None, leads_since: Some(asked) }),
                Ok(false) => {
                    let now = self.cx.now();
                    let mut topology = self.cx.topology.borrow_mut();
                    topology.disprove(now, &target.service, &target.id);
                }
                Err(JobError::Rejected(retry, reason)) => {
                    return Err(JobError::Rejected(retry, reason));
                }
                Err(_) => {}
            }
            tried.push(target.id.clone());
        }
    }

    /// Asks all targets of the service which one leads. A host without contact to
    /// control is not told of a new primary. Returns whether the targets were asked.
    async fn search_primary(&self) -> bool {
        let (cx, service) = (self.cx, &self.access.route.service);
        let now = cx.now();
        let last = cx.searched.borrow().get(service).copied();
        let is_recent = last.is_some_and(|at| now.since(at) < SEARCH_INTERVAL);
        if cx.lease.borrow().is_valid(now) || is_recent {
            return false;
        }
        cx.searched.borrow_mut().insert(service.clone(), now);
        let targets = cx.topology.borrow().service(service).map(|it| it.targets.clone());
        let ask = |target: Rc<Announcement>| async move {
            let mut client = TargetClient::new(cx, target.clone(), false);
            let until = self.wait_until().min(cx.now() + SEARCH_INTERVAL);
            let job = self.job(&target.id, JobKind::Status, until);
            let answer = self.run(&mut client, &job).await.ok()?;
            let status = T::Connection::status(&answer)?;
            (status.role == TargetRole::Primary).then_some((status.term, target))
        };
        let asked = targets.unwrap_or_default().into_iter().map(ask);
        let leading = join_all(asked).await.into_iter().flatten();
        if let Some((term, target)) = leading.max_by_key(|(term, _)| *term) {
            spdlog::info!("primary found by asking the targets", kv: {service = service.as_str(), primary = target.id.as_str(), term});
            cx.topology.borrow_mut().find(service, &target.id);
        }
        true
    }

    /// Asks the target whether it leads.
    async fn confirms_primary(&self, client: &mut TargetClient<T>) -> Result<bool, JobError> {
        let job = self.job(&client.target.id, JobKind::Status, self.wait_until());
        let answer = self.run(client, &job).await?;
        let status = T::Connection::status(&answer);
        Ok(status.is_some_and(|it| it.role == TargetRole::Primary))
    }

    /// Executes work and notes how the target answered.
    pub async fn run(&self, client: &mut TargetClient<T>, job: &Job) -> Result<Answer, JobError> {
        let cx = self.cx;
        let attempt = cx.health.borrow_mut().sent(cx.now(), &job.target);
        let result = client.run(cx, job).await;
        let now = cx.now();
        let mut health = cx.health.borrow_mut();
        match &result {
            Ok(answer) => health.answered(now, &job.target, attempt, answer.position),
            Err(JobError::Rejected(..)) => health.ended(now, &job.target, attempt, false),
            Err(JobError::Unreachable | JobError::Lost) => {
                health.ended(now, &job.target, attempt, true);
            }
        }
        result
    }

    /// Runs a single read.
    pub async fn read(&self, prepared: ResolvedRequest<'_>) -> Answer {
        let mut tried = Vec::new();
        let mut last = None;
        while self.cx.now() < self.deadline() {
            let mut placed = match self.place(Need::Readable, false, &mut tried).await {
                Ok(placed) => placed,
                Err(obstacle) => return last.unwrap_or_else(|| self.refusal(&obstacle)),
            };
            let id = placed.client.target.id.clone();
            let work = Self::statement(prepared, placed.after);
            let job = self.job(&id, work, self.repeat_at());
            match self.run(&mut placed.client, &job).await {
                Ok(answer) => {
                    self.observe(&placed, &answer);
                    match answer.code() {
                        Some(ErrorCode::Lagging | ErrorCode::Busy | ErrorCode::NoStatement) => {
                            last = Some(Answer { state: TransactionState::Idle, ..answer });
                        }
                        _ => return answer,
                    }
                }
                Err(obstacle @ JobError::Rejected(..)) if !tried.is_empty() => {
                    return self.refusal(&obstacle);
                }
                Err(obstacle) => last = Some(self.refusal(&obstacle)),
            }
            tried.push(id);
        }
        last.unwrap_or_else(|| self.lost())
    }

    fn repeat_at(&self) -> Millis {
        let span = self.access.route.statement_timeout.0 * REPEAT_READ_PERCENT / 100;
        self.deadline().min(self.cx.now() + Millis(span))
    }

    /// Runs a single write.
    pub async fn write(&self, prepared: ResolvedRequest<'_>) -> Answer {
        let mut tried = Vec::new();
        loop {
            let mut placed = match self.place(Need::Writable, false, &mut tried).await {
                Ok(placed) => placed,
                Err(obstacle) => return self.refusal(&obstacle),
            };
            let sent = self.cx.now();
            let target = placed.client.target.clone();
            let job = self.job(&target.id, Self::statement(prepared, None), self.deadline());
            let answer = match self.run(&mut placed.client, &job).await {
                Ok(answer) => answer,
                Err(JobError::Unreachable) if self.cx.now() < self.wait_until() => {
                    tokio::time::sleep(LOOK_AGAIN.duration()).await;
                    continue;
                }
                Err(obstacle) => return self.refusal(&obstacle),
            };
            match answer.code() {
                None => {
                    if let Some(position) = answer.position {
                        self.cx.freshness.borrow_mut().observe(&target.service, sent, position);
                    }
                    return answer;
                }
                Some(code @ (ErrorCode::ReadOnly | ErrorCode::Busy | ErrorCode::NoStatement)) => {
                    if code == ErrorCode::ReadOnly {
                        let now = self.cx.now();
                        self.cx.topology.borrow_mut().disprove(now, &target.service, &target.id);
                    }
                    if self.cx.now() >= self.wait_until() {
                        return self.refusal(&JobError::Rejected(RETRY_WHEN_BUSY, Reason::Busy));
                    }
                    tokio::time::sleep(LOOK_AGAIN.duration()).await;
                }
                Some(_) => return answer,
            }
        }
    }

    /// Notes the position in an answer of a primary.
    pub fn observe(&self, placed: &Placement<T>, answer: &Answer) {
        if let (Some(since), Some(position)) = (placed.leads_since, answer.position) {
            let service = &placed.client.target.service;
            self.cx.freshness.borrow_mut().observe(service, since, position);
        }
    }

    /// Answer to a statement that got none from a target.
    pub fn refusal(&self, obstacle: &JobError) -> Answer {
        let (retry, reason) = match obstacle {
            JobError::Rejected(retry, reason) => (*retry, *reason),
            JobError::Unreachable => (RETRY_WITHOUT_TARGET, Reason::NoTarget),
            JobError::Lost => return self.lost(),
        };
        let text = format!("{}; retry after {retry}", reason.text());
        Answer::error(ErrorCode::Busy, text, TransactionState::Idle)
    }

    /// Answer to a statement that may have run.
    pub fn lost(&self) -> Answer {
        let late = self.cx.now() >= self.deadline();
        let (code, text) = if late {
            (ErrorCode::Timeout, "no answer within the route's limit")
        } else {
            (ErrorCode::Unknown, "connection to the target was lost")
        };
        Answer::error(code, text, TransactionState::Idle)
    }
}
