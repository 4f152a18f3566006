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
        search_backoff::SearchFailure,
        target_client::TargetClient,
    },
    ids::InstanceId,
};

/// Longest time for which a search waits for the targets' answers.
const SEARCH_TIMEOUT: Millis = Millis(250);

/// Time for which searches must have failed before statements no longer wait for the next one.
const MIN_FAILING_TIME: Millis = Millis(500);

/// Time from the end of the delay after a failed search to the next search from which the outage
/// of the first one counts as ended. It is longer than a search.
const MAX_SEARCH_GAP: Millis = Millis(450);

/// Priority of the status queries of a search: statements wait for them.
const SEARCH_PRIORITY: u32 = 0;

/// Outcome of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrimarySearch {
    /// `target` was the primary at `asked_at`, when the host had the view `view`.
    Proven { target: InstanceId, asked_at: Millis, view: ViewRevision },
    /// No target that may get new work was proven to be the primary by the search of `asked_at`,
    /// nor by those before it since `since`.
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
        let (cx, service) = (self.cx, &self.auth.route.service);
        let now = cx.now();
        let delay = cx.with_search_backoff(service, |backoff| backoff.delay());
        let failing_since = match searches.last() {
            Some(PrimarySearch::Unproven { since, asked_at })
                if now.since(asked_at) < MAX_SEARCH_GAP + delay =>
            {
                since
            }
            _ => now,
        };
        let revision = cx.topology.borrow().revision();
        match self.query_targets(now).await {
            Ok(found) => {
                cx.with_search_backoff(service, |backoff| backoff.reset());
                found
            }
            Err(failure) => {
                // A view that has arrived meanwhile allows the next search at once.
                if cx.topology.borrow().revision() == revision {
                    let delay =
                        cx.with_search_backoff(service, |backoff| backoff.record_failure(failure));
                    searches.delay_until(cx.now() + delay);
                }
                PrimarySearch::Unproven { since: failing_since, asked_at: now }
            }
        }
    }

    async fn query_targets(&self, asked_at: Millis) -> Result<PrimarySearch, SearchFailure> {
        let (cx, service) = (self.cx, &self.auth.route.service);
        let view_age = asked_at.since(cx.lease.borrow().contact_at());
        if view_age >= MAX_VIEW_AGE {
            return Err(self.log_search(SearchFailure::OldView, view_age, 0, 0));
        }
        let revision = cx.topology.borrow().revision();
        let view = cx.topology.borrow().service(service).cloned().unwrap_or_default();
        if view.primary.is_none() {
            return Err(self.log_search(SearchFailure::Withdrawn, view_age, 0, 0));
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
                    return Ok(PrimarySearch::Rejected(retry, reason));
                }
                Err(_) => {}
            }
        }
        match proof.primary() {
            Some(target) if cx.topology.borrow().has_drained(asked_at, target) => {
                Err(self.log_search(SearchFailure::Leaving, view_age, targets.len(), answered))
            }
            Some(target) => {
                Ok(PrimarySearch::Proven { target: target.clone(), asked_at, view: revision })
            }
            None => {
                Err(self.log_search(SearchFailure::Unproven, view_age, targets.len(), answered))
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

    fn log_search(
        &self,
        failure: SearchFailure,
        view_age: Millis,
        targets: usize,
        answered: usize,
    ) -> SearchFailure {
        self.cx.log_primary_search(
            &self.auth.route.service,
            failure.text(),
            &format!("view_age={view_age} targets={targets} answered={answered}"),
        );
        failure
    }
}
