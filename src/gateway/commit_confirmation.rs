//! Confirmation that a commit may be acknowledged, by the positions of other targets and by another
//! host that knows of it.
//!
//! While one commit of a service could not be confirmed, further ones are refused before they
//! run, as long as the targets in question have not received it.

use std::rc::Rc;

use futures::future::join_all;
use tokio::time::timeout;

use crate::{
    clock::Millis,
    fleet::messages::Announcement,
    gateway::{
        commit_rule::{CommitCx, CommitProgress, CommitStep, Holding, Witness, holding, next_step},
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
        let mut progress = CommitProgress::default();
        let mut rounds = 0;
        loop {
            let step = self.next_step(committed_by, &progress);
            if step == CommitStep::Acknowledge {
                self.record_confirmation(rounds, true);
                return true;
            }
            let missing = match &step {
                CommitStep::Ask(missing) => missing.as_slice(),
                _ => &[],
            };
            let Some(position) = position.filter(|_| step != CommitStep::Withhold) else {
                break self.record_unconfirmed(committed_by, position, missing);
            };
            if self.cx.now() >= self.deadline() {
                break self.record_unconfirmed(committed_by, Some(position), missing);
            }
            if step == CommitStep::Tell {
                progress.witness = self.tell_witness(committed_by, position).await;
                continue;
            }
            let round = self.ask_holders(missing, position).await;
            rounds += 1;
            if round.may_have_diverged {
                break self.record_unconfirmed(committed_by, Some(position), missing);
            }
            if round.holders.len() < missing.len() {
                tokio::time::sleep(ROUND_PAUSE.duration()).await;
                if progress.witness == Witness::Unreachable {
                    progress.witness = Witness::NotAsked;
                }
            }
            progress.holders.extend(round.holders);
        }
        self.record_confirmation(rounds, false);
        false
    }

    fn next_step(&self, committed_by: &InstanceId, progress: &CommitProgress) -> CommitStep {
        let (topology, lease) = (self.cx.topology.borrow(), self.cx.lease.borrow());
        let cx = CommitCx {
            topology: &topology,
            lease: &lease,
            now: self.cx.now(),
            own: &self.cx.settings.host,
            service: &self.auth.route.service,
            committed_by,
        };
        next_step(&cx, progress)
    }

    /// Tells another host of the commit at `position`; commits of a service that wait together share
    /// a message.
    async fn tell_witness(&self, committed_by: &InstanceId, position: Mark) -> Witness {
        let tell = async {
            for witness in self.cx.usable_witnesses(committed_by) {
                if self.cx.tell_commit(&witness, &self.auth.route.service, position).await {
                    return true;
                }
            }
            false
        };
        let left = self.deadline().since(self.cx.now());
        let is_told = timeout(left.duration(), tell).await.unwrap_or(false);
        self.cx.metrics.record_commit_notice(is_told);
        if is_told { Witness::Told } else { Witness::Unreachable }
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
        let Some(required) = self.expected_holders(target) else { return false };
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

    /// Targets that will have to hold a commit at `committed_by`, as far as can be told now.
    fn expected_holders(&self, committed_by: &InstanceId) -> Option<Vec<InstanceId>> {
        let can_tell = !self.cx.usable_witnesses(committed_by).is_empty();
        let witness = if can_tell { Witness::Told } else { Witness::Unreachable };
        let progress = CommitProgress { witness, ..CommitProgress::default() };
        match self.next_step(committed_by, &progress) {
            CommitStep::Ask(holders) => Some(holders),
            CommitStep::Acknowledge | CommitStep::Tell => Some(Vec::new()),
            CommitStep::Withhold => None,
        }
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
