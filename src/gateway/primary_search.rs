//! Search for the primary of a service among its targets, for statements that need the
//! newest state while control does not vouch for the primary in the view.

use std::rc::Rc;

use futures::future::join_all;

use crate::{
    clock::Millis,
    fleet::{
        failover::TargetStatus,
        messages::{Announcement, ViewRevision},
    },
    gateway::{
        cx::Cx,
        job::{JobError, JobKind, RejectReason},
        operation::Operation,
        ownership::Shard,
        ports::{TargetConnection, Targets},
        primary_proof::{MAX_VIEW_AGE, PrimaryProof},
        target_client::TargetClient,
    },
    ids::InstanceId,
};

/// Longest time for which a search waits for the targets' answers.
const SEARCH_TIMEOUT: Millis = Millis(250);

/// Delay before the next search after one that found no primary. Searches of hundreds of hosts
/// would take the targets' slots from statements.
const FAILED_SEARCH_DELAY: Millis = Millis(150);

/// Time for which searches must have failed before statements no longer wait for the next one.
const MIN_FAILING_TIME: Millis = Millis(500);

/// Time from one failed search to the next from which the outage of the first one counts as
/// ended. It is longer than a search and the delay after it.
const MAX_SEARCH_GAP: Millis = Millis(600);

/// Priority of the status queries of a search: statements wait for them.
const SEARCH_PRIORITY: u32 = 0;

/// Outcome of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrimarySearch {
    /// `target` was the primary at `asked_at`, when the host had the view `view`.
    Proven { target: InstanceId, asked_at: Millis, view: ViewRevision },
    /// No target that may get new work was proven to be the primary by the search of `asked_at`, nor
    /// by those before it since `since`.
    Unproven { since: Millis, asked_at: Millis },
    /// The owner of the primary in the view rejected the query.
    Rejected(Millis, RejectReason),
}

impl PrimarySearch {
    /// Whether searches have failed for so long that a statement is rejected at once.
    pub fn keeps_failing(&self, now: Millis) -> bool {
        matches!(self, Self::Unproven { since, .. } if now.since(*since) >= MIN_FAILING_TIME)
    }
}

impl<T: Targets> Operation<'_, T> {
    /// Searches for the primary by querying the status of all targets, all after this call.
    pub async fn search_primary(&self) -> PrimarySearch {
        let cx = self.cx;
        let searches = cx.searches(&self.auth.route.service);
        let began = cx.now();
        let last = searches.last_while_delayed(began);
        let known = last.filter(|last| last.keeps_failing(began));
        let found = match known {
            Some(last) => last,
            None => searches.next(|| cx.now(), || self.run_search()).await,
        };
        cx.metrics.record_primary_search(&found, cx.now().since(began));
        found
    }

    /// Searches, and delays the next search if this one fails.
    async fn run_search(&self) -> PrimarySearch {
        let searches = self.cx.searches(&self.auth.route.service);
        let now = self.cx.now();
        let failing_since = match searches.last() {
            Some(PrimarySearch::Unproven { since, asked_at })
                if now.since(asked_at) < MAX_SEARCH_GAP =>
            {
                since
            }
            _ => now,
        };
        let found = self.query_targets(failing_since).await;
        if matches!(found, PrimarySearch::Unproven { .. }) {
            searches.delay_until(self.cx.now() + FAILED_SEARCH_DELAY);
        }
        found
    }

    async fn query_targets(&self, failing_since: Millis) -> PrimarySearch {
        let (cx, service) = (self.cx, &self.auth.route.service);
        let asked_at = cx.now();
        let view_age = asked_at.since(cx.lease.borrow().contact_at());
        if view_age >= MAX_VIEW_AGE {
            self.log_search("view is too old", view_age, 0, 0);
            return PrimarySearch::Unproven { since: failing_since, asked_at };
        }
        let revision = cx.topology.borrow().revision();
        let view = cx.topology.borrow().service(service).cloned().unwrap_or_default();
        if view.primary.is_none() {
            self.log_search("control has withdrawn the primary", view_age, 0, 0);
            return PrimarySearch::Unproven { since: failing_since, asked_at };
        }
        let targets = view.targets;
        let known_primary = cx.topology.borrow().primary(asked_at, service);
        let answers =
            join_all(targets.iter().map(|target| self.query_status(target, SEARCH_TIMEOUT))).await;
        let mut proof = PrimaryProof::new(targets.len());
        let mut answered = 0;
        for (target, answer) in targets.iter().zip(answers) {
            match answer {
                Ok(status) => {
                    answered += 1;
                    proof.record(target.id.clone(), status);
                }
                Err(JobError::Rejected(retry, reason))
                    if known_primary.as_ref().is_some_and(|it| it.id == target.id) =>
                {
                    return PrimarySearch::Rejected(retry, reason);
                }
                Err(_) => {}
            }
        }
        match proof.primary() {
            Some(target) if cx.topology.borrow().has_drained(asked_at, target) => {
                self.log_search("the primary is leaving", view_age, targets.len(), answered);
                PrimarySearch::Unproven { since: failing_since, asked_at }
            }
            Some(target) => {
                PrimarySearch::Proven { target: target.clone(), asked_at, view: revision }
            }
            None => {
                self.log_search("answers prove no primary", view_age, targets.len(), answered);
                PrimarySearch::Unproven { since: failing_since, asked_at }
            }
        }
    }

    /// Status of `target`, queried after this call.
    pub(super) async fn query_status(
        &self,
        target: &Rc<Announcement>,
        timeout: Millis,
    ) -> Result<TargetStatus, JobError> {
        let cx: &Cx<T> = self.cx;
        // Hosts that ask at the same time share a query of one owner.
        let mut client = TargetClient::new(cx, target.clone(), Shard::default(), false);
        let mut job = self.job(&target.id, JobKind::Status, cx.now() + timeout);
        job.priority = SEARCH_PRIORITY;
        // Other statements share the answer, so it does not depend on when this one arrived.
        job.max_wait = timeout;
        let answer = self.run(&mut client, &job).await?;
        T::Connection::status(&answer).ok_or(JobError::Lost)
    }

    fn log_search(&self, reason: &str, view_age: Millis, targets: usize, answered: usize) {
        self.cx.log_primary_search(
            &self.auth.route.service,
            reason,
            &format!("view_age={view_age} targets={targets} answered={answered}"),
        );
    }
}
