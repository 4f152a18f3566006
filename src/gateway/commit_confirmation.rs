//! Confirmation that a commit may be acknowledged, by the positions of other targets.
//!
//! While one commit of a service could not be confirmed, further ones are refused before they
//! run, as long as the targets in question have not received it.

use std::rc::Rc;

use futures::future::join_all;
use indexmap::IndexSet;

use crate::{
    clock::Millis,
    fleet::messages::Announcement,
    gateway::{
        commit_rule::{Holding, holding, required_holders},
        operation::Operation,
        ports::Targets,
        statement::{Answer, ErrorCode, TransactionState},
    },
    ids::{InstanceId, Mark},
};

/// Longest time for which one round of questions waits for answers.
const ROUND_TIMEOUT: Millis = Millis(150);

/// Pause between two rounds: replicas usually receive a commit within some milliseconds.
const ROUND_PAUSE: Millis = Millis(10);

/// Answers of one round.
struct Round {
    /// Targets that hold the commit.
    holders: Vec<InstanceId>,
    /// A target leads or follows a later term, so no further answer can help.
    may_have_diverged: bool,
}

impl<T: Targets> Operation<'_, T> {
    /// Waits until the commit at `position`, which `committed_by` has run, may be acknowledged;
    /// returns whether it may.
    pub async fn confirm_commit(&self, committed_by: &InstanceId, position: Option<Mark>) -> bool {
        let mut holders: IndexSet<InstanceId> = IndexSet::new();
        let mut rounds = 0;
        loop {
            let required = self.required_holders(committed_by);
            let missing = required.map(|ids| without(ids, &holders));
            if missing.as_ref().is_some_and(Vec::is_empty) {
                self.record_confirmation(rounds, true);
                return true;
            }
            let (Some(missing), Some(position)) = (missing, position) else {
                break self.record_unconfirmed(committed_by, position, &[]);
            };
            if self.cx.now() >= self.deadline() {
                break self.record_unconfirmed(committed_by, Some(position), &missing);
            }
            let round = self.ask_holders(&missing, position).await;
            rounds += 1;
            if round.may_have_diverged {
                break self.record_unconfirmed(committed_by, Some(position), &missing);
            }
            if round.holders.len() < missing.len() {
                tokio::time::sleep(ROUND_PAUSE.duration()).await;
            }
            holders.extend(round.holders);
        }
        self.record_confirmation(rounds, false);
        false
    }

    /// Whether a commit at `target` can be expected to be confirmed: an earlier one that could
    /// not be is held by the targets that must hold it.
    pub async fn may_commit(&self, target: &InstanceId) -> bool {
        let service = &self.auth.route.service;
        let unconfirmed = self.cx.unconfirmed.borrow().get(service).cloned();
        let Some((_, position)) = unconfirmed.filter(|(committed_by, _)| committed_by == target)
        else {
            return true;
        };
        let Some(required) = self.required_holders(target) else { return false };
        let round = self.ask_holders(&required, position).await;
        let is_held = round.may_have_diverged || round.holders.len() == required.len();
        if is_held {
            self.cx.unconfirmed.borrow_mut().shift_remove(service);
        }
        is_held
    }

    /// Answer to a commit that the target has run and that may be lost.
    pub fn unconfirmed(&self) -> Answer {
        let late = self.cx.now() >= self.deadline();
        let code = if late { ErrorCode::Timeout } else { ErrorCode::Unknown };
        let text = "not all targets that may become the primary are known to hold the commit";
        Answer::error(code, text, TransactionState::Idle)
    }

    fn required_holders(&self, committed_by: &InstanceId) -> Option<Vec<InstanceId>> {
        let (topology, lease) = (self.cx.topology.borrow(), self.cx.lease.borrow());
        required_holders(&topology, &lease, self.cx.now(), &self.auth.route.service, committed_by)
    }

    /// Asks the targets in `ids` whether they hold the commit at `position`.
    async fn ask_holders(&self, ids: &[InstanceId], position: Mark) -> Round {
        let known: Vec<Rc<Announcement>> = {
            let topology = self.cx.topology.borrow();
            ids.iter().filter_map(|id| topology.target(id)).collect()
        };
        let ask = known.iter().map(|target| self.query_status(target, ROUND_TIMEOUT));
        let answers = join_all(ask).await;
        let mut round = Round { holders: Vec::new(), may_have_diverged: false };
        for (target, answer) in known.iter().zip(answers) {
            match answer.map(|status| holding(&status, position)) {
                Ok(Holding::Holds) => round.holders.push(target.id.clone()),
                Ok(Holding::Diverged) => round.may_have_diverged = true,
                Ok(Holding::Lacks) | Err(_) => {}
            }
        }
        round
    }

    fn record_confirmation(&self, rounds: usize, confirmed: bool) {
        if rounds > 0 || !confirmed {
            self.cx.metrics.record_commit_confirmation(confirmed);
        }
    }

    fn record_unconfirmed(
        &self,
        committed_by: &InstanceId,
        position: Option<Mark>,
        missing: &[InstanceId],
    ) {
        let service = &self.auth.route.service;
        if let Some(position) = position {
            let unconfirmed = (committed_by.clone(), position);
            self.cx.unconfirmed.borrow_mut().insert(service.clone(), unconfirmed);
        }
        self.cx.log_unconfirmed(service, committed_by, position.unwrap_or_default(), missing);
    }
}

fn without(ids: Vec<InstanceId>, except: &IndexSet<InstanceId>) -> Vec<InstanceId> {
    ids.into_iter().filter(|id| !except.contains(id)).collect()
}
