//! Commits that an entry host acknowledges once the targets hold them that its rule requires.

use pomelopin::{
    clock::Millis,
    gateway::commit_rule::{Holding, holding, required_holders},
    ids::{InstanceId, Mark},
};
use rand::Rng;

use super::{Fleet, MAX_WAIT_MS, PendingCommit, host_id, service_name};

/// Longest time for which a question, and its answer, are on their way.
const MAX_QUESTION_MS: u64 = 60;

/// Commit whose acknowledgement waits for the positions of targets.
pub(super) struct Confirmation {
    pub(super) commit: PendingCommit,
    /// Targets that are known to hold the commit.
    holders: Vec<InstanceId>,
    questions: Vec<Question>,
}

/// Question to a target, which it answers at `due`; the host has the answer at `answered_at`.
struct Question {
    target: InstanceId,
    due: u64,
    answered_at: u64,
    answer: Option<Holding>,
}

/// What becomes of a commit in one step.
enum Next {
    Acknowledge,
    Wait,
    /// The caller gets an answer that promises nothing.
    GiveUp,
}

impl Fleet {
    /// Begins to confirm a commit that its target has acknowledged to the host.
    pub(super) fn confirm(&mut self, commit: PendingCommit) {
        self.confirmations.push(Confirmation {
            commit,
            holders: Vec::new(),
            questions: Vec::new(),
        });
    }

    pub(super) fn advance_confirmations(&mut self) {
        let mut confirmations = std::mem::take(&mut self.confirmations);
        confirmations.retain_mut(|confirmation| {
            self.answer_holders(confirmation);
            if self.now < self.hosts[confirmation.commit.host].frozen_until {
                return true;
            }
            match self.next_step(confirmation) {
                Next::Acknowledge => {
                    self.acknowledge(&confirmation.commit, !confirmation.holders.is_empty());
                    false
                }
                Next::Wait => true,
                Next::GiveUp => {
                    self.counts.unconfirmed += 1;
                    false
                }
            }
        });
        self.confirmations.append(&mut confirmations);
    }

    fn next_step(&mut self, confirmation: &mut Confirmation) -> Next {
        let now = self.now;
        if confirmation.take_answers(now) {
            return Next::GiveUp;
        }
        let commit = &confirmation.commit;
        let host = &self.hosts[commit.host];
        let (committed_at, service) = (commit.target.as_str().into(), service_name());
        let required =
            required_holders(&host.topology, &host.lease, Millis(now), &service, &committed_at);
        let Some(required) = required else { return Next::GiveUp };
        let is_missing = |id: &InstanceId| !confirmation.holders.contains(id);
        let missing: Vec<InstanceId> = required.into_iter().filter(is_missing).collect();
        if missing.is_empty() {
            return Next::Acknowledge;
        }
        if now >= commit.until + MAX_WAIT_MS {
            return Next::GiveUp;
        }
        for target in missing {
            let is_known = host.topology.target(&target).is_some();
            if is_known && confirmation.questions.iter().all(|it| it.target != target) {
                let due = now + self.rng.random_range(1..=MAX_QUESTION_MS);
                let answered_at = due + self.rng.random_range(1..=MAX_QUESTION_MS);
                confirmation.questions.push(Question { target, due, answered_at, answer: None });
            }
        }
        Next::Wait
    }

    /// Lets the targets answer the questions that have reached them.
    fn answer_holders(&self, confirmation: &mut Confirmation) {
        let host = host_id(confirmation.commit.host);
        let (term, number) = confirmation.commit.entry;
        for question in &mut confirmation.questions {
            if question.answer.is_some() || self.now < question.due {
                continue;
            }
            let target = question.target.as_str();
            let answer = self.service.index(target).and_then(|index| {
                let target = &self.service.targets[index];
                let is_reached = target.runs(self.now) && self.reaches(&target.id, &host);
                is_reached.then(|| holding(&target.status(), Mark::new(term, number)))
            });
            // A target that does not answer is asked again.
            question.answer = Some(answer.unwrap_or(Holding::Lacks));
        }
    }
}

impl Confirmation {
    /// Takes the answers that the host has got; returns whether one shows that the commit cannot
    /// be confirmed any more.
    fn take_answers(&mut self, now: u64) -> bool {
        let answered = self.questions.extract_if(.., |it| now >= it.answered_at);
        let mut may_have_diverged = false;
        for question in answered {
            match question.answer {
                Some(Holding::Holds) => self.holders.push(question.target),
                Some(Holding::Diverged) => may_have_diverged = true,
                Some(Holding::Lacks) | None => {}
            }
        }
        may_have_diverged
    }
}
