//! Single statements: choice of a target, checkout of a connection, the exchange and
//! what is done after a failure.

use std::rc::Rc;

use tokio::time::timeout;

use crate::{
    clock::{Clock, Millis},
    fleet::messages::{Announcement, TargetRole},
    gateway::{
        cx::Cx,
        placement::ReadChoice,
        pool::{Checkout, Decision, Grant, Pooled, Wanted},
        ports::{TargetConnection, TargetFailure, TargetRequest, Targets},
        prepare::{ConnectionState, Prepared},
        session::{Access, Session},
        statement::{Answer, ErrorCode, Statement, TransactionState},
    },
    ids::{InstanceId, Mark},
};

/// Pause before another look for a target, when none can be used.
const LOOK_AGAIN: Millis = Millis(15);

/// Callers that may wait for each connection of this host.
const QUEUE_PER_CONNECTION: usize = 12;

/// Advice to callers that find no primary: about the time of a promotion.
const RETRY_WITHOUT_PRIMARY: Millis = Millis(500);

/// Advice to callers that find all connections in use.
const RETRY_WHEN_FULL: Millis = Millis(100);

/// Percentage of a statement's timeout after which a read that got no answer is sent
/// to another target.
const REPEAT_READ_PERCENT: u64 = 45;

/// Statement with everything that its execution depends on.
pub struct Operation<'a, T: Targets> {
    pub cx: &'a Cx<T>,
    pub session: &'a Session,
    pub access: &'a Access,
    /// When the statement arrived.
    pub arrived: Millis,
}

/// Why no answer of a target is available.
pub enum Obstacle {
    /// Nothing ran.
    NotRun(Millis, &'static str),
    /// Target refused or lacks something; another one may do. Nothing ran.
    Elsewhere,
    /// Statement was sent and no answer came.
    Lost,
}

/// Which target an operation needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Primary, for statements that only a primary accepts.
    Writable,
    /// Any target whose data is fresh enough.
    Readable,
}

/// Target with a connection to it.
pub struct Placed<C: 'static> {
    pub checkout: Checkout<C>,
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

    /// Position that makes a read fresh enough on any target.
    fn required(&self) -> Option<Mark> {
        let service = &self.access.route.service;
        let age = self.access.route.consistency.max_age()?;
        let shared = self.cx.freshness.borrow().required(service, self.arrived, age)?;
        Some(self.session.mark(service).map_or(shared, |own| own.max(shared)))
    }

    fn primary(&self) -> Option<Rc<Announcement>> {
        self.cx.knowledge.borrow().primary(self.cx.now(), &self.access.route.service)
    }

    fn choose(&self, need: Need, tried: &[InstanceId]) -> Option<(Rc<Announcement>, Option<Mark>)> {
        let primary = self.primary();
        if need == Need::Writable {
            let usable =
                |it: &Rc<Announcement>| self.cx.health.borrow().is_usable(self.cx.now(), &it.id);
            return primary.filter(usable).map(|it| (it, None));
        }
        let required = self.required();
        let knowledge = self.cx.knowledge.borrow();
        let service = knowledge.service(&self.access.route.service)?;
        let choice = ReadChoice {
            now: self.cx.now(),
            domain: &self.cx.settings.domain,
            health: &self.cx.health.borrow(),
            primary: primary.as_ref().map(|it| &it.id),
            required,
            tried,
        };
        choice.choose(&service.targets).map(|it| (it.clone(), required))
    }

    /// Finds a target and a connection to it. Targets in `tried` are left out.
    pub async fn place(
        &self,
        need: Need,
        tried: &mut Vec<InstanceId>,
    ) -> Result<Placed<T::Connection>, Obstacle> {
        loop {
            let Some((target, after)) = self.choose(need, tried) else {
                if self.cx.now() >= self.wait_until() {
                    return Err(Obstacle::NotRun(RETRY_WITHOUT_PRIMARY, "no target can be used"));
                }
                tokio::time::sleep(LOOK_AGAIN.duration()).await;
                tried.clear();
                continue;
            };
            let mut checkout = match self.checkout(&target).await {
                Ok(checkout) => checkout,
                Err(Obstacle::Elsewhere) if self.cx.now() < self.wait_until() => {
                    tried.push(target.id.clone());
                    if need == Need::Writable {
                        tokio::time::sleep(LOOK_AGAIN.duration()).await;
                    }
                    continue;
                }
                Err(Obstacle::Elsewhere) => {
                    return Err(Obstacle::NotRun(RETRY_WITHOUT_PRIMARY, "target is unreachable"));
                }
                Err(obstacle) => return Err(obstacle),
            };
            let is_primary = self.primary().is_some_and(|it| it.id == target.id);
            if need == Need::Writable {
                return Ok(Placed { checkout, after: None, leads_since: None });
            }
            let trusted_at = self.cx.now();
            if is_primary && self.cx.trusts_primary(&target.service) {
                return Ok(Placed { checkout, after: None, leads_since: Some(trusted_at) });
            }
            if after.is_some() {
                return Ok(Placed { checkout, after, leads_since: None });
            }
            match self.confirm_primary(&mut checkout).await {
                Ok(Some(asked)) => {
                    return Ok(Placed { checkout, after: None, leads_since: Some(asked) });
                }
                Ok(None) => {
                    self.cx.knowledge.borrow_mut().disprove(
                        self.cx.now(),
                        &target.service,
                        &target.id,
                    );
                    checkout.release(self.cx.now());
                    tried.push(target.id.clone());
                }
                Err(_) => tried.push(target.id.clone()),
            }
        }
    }

    /// Asks the target whether it leads; returns when it was asked.
    async fn confirm_primary(
        &self,
        checkout: &mut Checkout<T::Connection>,
    ) -> Result<Option<Millis>, Obstacle> {
        let asked = self.cx.now();
        let mut answers =
            self.exchange(checkout, &[TargetRequest::Status], self.wait_until()).await?;
        let status = answers.pop().as_ref().and_then(T::Connection::status);
        Ok(status.filter(|it| it.role == TargetRole::Primary).map(|_| asked))
    }

    /// Checks out a connection to `target`.
    async fn checkout(
        &self,
        target: &Rc<Announcement>,
    ) -> Result<Checkout<T::Connection>, Obstacle> {
        let limit = self.cx.connection_limit(target);
        let wanted = Wanted {
            now: self.cx.now(),
            session: self.session,
            workspace: self.access.workspace.as_ref(),
            priority: self.access.route.priority,
            limit,
            longest_queue: limit as usize * QUEUE_PER_CONNECTION,
        };
        let decision = self.cx.pools.with(&target.id, |pool| pool.request(wanted));
        let grant = match decision {
            Decision::Granted(grant) => grant,
            Decision::Refused => return Err(Obstacle::NotRun(RETRY_WHEN_FULL, "queue is full")),
            Decision::Wait(granted) => {
                let span = self.wait_until().since(self.cx.now());
                match timeout(span.duration(), granted).await {
                    Ok(Ok(grant)) => grant,
                    Ok(Err(_)) => return Err(Obstacle::Elsewhere),
                    Err(_) => {
                        return Err(Obstacle::NotRun(
                            RETRY_WHEN_FULL,
                            "all connections are in use",
                        ));
                    }
                }
            }
        };
        let (cx, target) = (self.cx, target.clone());
        let new = |pooled| Checkout::new(pooled, target.clone(), cx.pools.clone(), limit);
        match grant {
            Grant::Connection(pooled) => Ok(new(Some(pooled))),
            Grant::Permit => {
                let mut checkout = new(None);
                checkout.fill(self.open(&target).await?);
                Ok(checkout)
            }
        }
    }

    async fn open(&self, target: &Announcement) -> Result<Pooled<T::Connection>, Obstacle> {
        let cx = self.cx;
        let workspace = self.access.workspace.clone();
        match cx.targets.open(target, workspace.as_ref()).await {
            Ok((connection, _)) => {
                Ok(Pooled { connection, workspace, state: ConnectionState::default() })
            }
            Err(TargetFailure::Refused(error)) if error.code == ErrorCode::TooMany => {
                let now = cx.now();
                cx.pools.with(&target.id, |pool| pool.refused(now));
                tokio::time::sleep(LOOK_AGAIN.duration()).await;
                Err(Obstacle::Elsewhere)
            }
            Err(failure) => {
                cx.health.borrow_mut().unreachable(cx.now(), &target.id);
                spdlog::info!("cannot connect to a target", kv: {target = target.id.as_str(), failure = format!("{failure:?}").as_str()});
                Err(Obstacle::Elsewhere)
            }
        }
    }

    /// Sends requests and collects their answers.
    pub async fn exchange(
        &self,
        checkout: &mut Checkout<T::Connection>,
        requests: &[TargetRequest<'_>],
        deadline: Millis,
    ) -> Result<Vec<Answer>, Obstacle> {
        exchange(self.cx, checkout, requests, deadline).await
    }

    /// Runs a statement on a checked-out connection.
    pub async fn forward(
        &self,
        checkout: &mut Checkout<T::Connection>,
        prepared: Prepared<'_>,
        after: Option<Mark>,
        deadline: Millis,
    ) -> Result<Answer, Obstacle> {
        let mut requests = Vec::new();
        let Some(pooled) = checkout.pooled() else { return Err(Obstacle::Elsewhere) };
        pooled.state.set_values(self.session, &mut requests);
        let request = prepared.request;
        match (prepared.shape, &request.statement) {
            (Some(shape), Statement::Execute { arguments, .. }) => {
                let name = pooled.state.name_of(shape, &mut requests);
                requests.push(TargetRequest::Execute { request, name, arguments, after });
            }
            _ => requests.push(TargetRequest::Forward { request, after }),
        }
        let mut answers = self.exchange(checkout, &requests, deadline).await?;
        let answer = answers.pop().ok_or(Obstacle::Lost)?;
        // A connection whose state could not be set is not used again.
        let is_set = answers.iter().all(|answer| answer.result.is_ok());
        if is_set { Ok(answer) } else { Err(Obstacle::Lost) }
    }

    /// Runs a single read.
    pub async fn read(&self, prepared: Prepared<'_>) -> Answer {
        let mut tried = Vec::new();
        let mut last = None;
        while self.cx.now() < self.deadline() {
            let mut placed = match self.place(Need::Readable, &mut tried).await {
                Ok(placed) => placed,
                Err(obstacle) => return last.unwrap_or_else(|| self.refusal(&obstacle)),
            };
            let sent = self.cx.now();
            let id = placed.checkout.target.id.clone();
            let answer = self
                .forward(&mut placed.checkout, prepared, placed.after, self.repeat_at(sent))
                .await;
            match answer {
                Ok(answer) => {
                    self.observe(&placed, &answer);
                    placed.checkout.release(self.cx.now());
                    match answer.code() {
                        Some(ErrorCode::Lagging | ErrorCode::Busy | ErrorCode::NoStatement) => {
                            tried.push(id);
                            last = Some(answer);
                        }
                        _ => return answer,
                    }
                }
                Err(_) => {
                    tried.push(id);
                    last = Some(self.lost());
                }
            }
        }
        last.unwrap_or_else(|| self.lost())
    }

    fn repeat_at(&self, sent: Millis) -> Millis {
        let span = self.access.route.statement_timeout.0 * REPEAT_READ_PERCENT / 100;
        self.deadline().min(sent + Millis(span))
    }

    /// Runs a single write.
    pub async fn write(&self, prepared: Prepared<'_>) -> Answer {
        let mut tried = Vec::new();
        loop {
            let mut placed = match self.place(Need::Writable, &mut tried).await {
                Ok(placed) => placed,
                Err(obstacle) => return self.refusal(&obstacle),
            };
            let sent = self.cx.now();
            let target = placed.checkout.target.clone();
            let deadline = self.deadline();
            let answer = self.forward(&mut placed.checkout, prepared, None, deadline).await;
            let Ok(answer) = answer else { return self.lost() };
            placed.checkout.release(self.cx.now());
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
                        self.cx.knowledge.borrow_mut().disprove(now, &target.service, &target.id);
                    }
                    if self.cx.now() >= self.wait_until() {
                        return self.refusal(&Obstacle::NotRun(RETRY_WHEN_FULL, "target is busy"));
                    }
                    tokio::time::sleep(LOOK_AGAIN.duration()).await;
                }
                Some(_) => return answer,
            }
        }
    }

    /// Notes the position in an answer of a primary.
    pub fn observe(&self, placed: &Placed<T::Connection>, answer: &Answer) {
        if let (Some(since), Some(position)) = (placed.leads_since, answer.position) {
            let service = &placed.checkout.target.service;
            self.cx.freshness.borrow_mut().observe(service, since, position);
        }
    }

    /// Answer to a statement that was not run.
    pub fn refusal(&self, obstacle: &Obstacle) -> Answer {
        let (retry, why) = match obstacle {
            Obstacle::NotRun(retry, why) => (*retry, *why),
            Obstacle::Elsewhere => (RETRY_WITHOUT_PRIMARY, "no target can be used"),
            Obstacle::Lost => return self.lost(),
        };
        let text = format!("{why}; retry after {retry}");
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

/// Sends requests on a checked-out connection and collects their answers.
pub async fn exchange<T: Targets>(
    cx: &Cx<T>,
    checkout: &mut Checkout<T::Connection>,
    requests: &[TargetRequest<'_>],
    deadline: Millis,
) -> Result<Vec<Answer>, Obstacle> {
    let id = checkout.target.id.clone();
    let Some(pooled) = checkout.pooled() else { return Err(Obstacle::Elsewhere) };
    let attempt = cx.health.borrow_mut().sent(cx.now(), &id);
    let span = deadline.since(cx.now());
    let exchange = async {
        pooled.connection.send(requests).await?;
        let mut answers = Vec::with_capacity(requests.len());
        for _ in requests {
            answers.push(pooled.connection.receive().await?);
        }
        Ok::<_, TargetFailure>(answers)
    };
    let result = timeout(span.duration(), exchange).await;
    let now = cx.clock.now();
    match result {
        Ok(Ok(answers)) => {
            let position = answers.last().and_then(|answer| answer.position);
            cx.health.borrow_mut().answered(now, &id, attempt, position);
            Ok(answers)
        }
        Ok(Err(failure)) => {
            spdlog::info!("connection to a target failed", kv: {target = id.as_str(), failure = format!("{failure:?}").as_str()});
            cx.health.borrow_mut().ended(now, &id, attempt, true);
            Err(Obstacle::Lost)
        }
        Err(_) => {
            spdlog::info!("no answer from a target", kv: {target = id.as_str(), waited_ms = span.0});
            cx.health.borrow_mut().ended(now, &id, attempt, true);
            Err(Obstacle::Lost)
        }
    }
}
