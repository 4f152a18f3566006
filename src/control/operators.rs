//! Operator requests, including those that wait for a commit or for entry hosts.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use crate::{
    clock::Millis,
    control::leases::LeaseTable,
    ids::Revision,
    state::model::{ApplyAnswer, ApplyCommand},
    wire::{
        group::GroupTerm,
        operator::{
            ApplyResponse, AuditResponse, FileResponse, NotLeader, StatusResponse, Unavailable,
        },
    },
};

/// Request of an operator.
#[derive(Debug)]
pub enum Request {
    Apply { command: Box<ApplyCommand>, wait: Millis },
    Status,
    Audit { from: Revision },
    File,
}

/// Answer to a [`Request`].
#[derive(Debug)]
pub enum Answer {
    Apply(ApplyResponse),
    Status(Box<StatusResponse>),
    Audit(AuditResponse),
    File(FileResponse),
    NotLeader(NotLeader),
    Unavailable(Unavailable),
}

impl Answer {
    /// Answer of a leader that cannot decide.
    pub fn unavailable(reason: &str) -> Self {
        Self::Unavailable(Unavailable { reason: reason.to_owned() })
    }
}

/// Channel for the answer to a request.
pub type Reply = oneshot::Sender<Answer>;

/// Apply request whose entry is not committed yet.
#[derive(Debug)]
struct PendingApply {
    wait: Millis,
    reply: Reply,
}

/// Accepted apply request that waits for acknowledgements of entry hosts.
#[derive(Debug)]
struct WaitingApply {
    revision: Revision,
    answer: ApplyAnswer,
    deadline: Millis,
    reply: Reply,
}

/// Apply requests in progress on a leader.
#[derive(Debug, Default)]
pub struct ApplyRequests {
    proposed: BTreeMap<u64, PendingApply>,
    appended: BTreeMap<u64, (GroupTerm, PendingApply)>,
    waiting: Vec<WaitingApply>,
}

impl ApplyRequests {
    /// Adds a request that is being proposed with `proposal_id`.
    pub fn propose(&mut self, proposal_id: u64, wait: Millis, reply: Reply) {
        self.proposed.insert(proposal_id, PendingApply { wait, reply });
    }

    /// Records where a proposal was appended to the log.
    pub fn appended(&mut self, proposal_id: u64, index: u64, term: GroupTerm) {
        if let Some(pending) = self.proposed.remove(&proposal_id) {
            self.appended.insert(index, (term, pending));
        }
    }

    /// Refuses a request whose proposal was not appended to the log.
    pub fn rejected(&mut self, proposal_id: u64) {
        if let Some(pending) = self.proposed.remove(&proposal_id) {
            refuse(pending.reply, "this host does not lead with a majority");
        }
    }

    /// Answers the request whose entry was committed at `index`.
    pub fn committed(
        &mut self,
        now: Millis,
        index: u64,
        term: GroupTerm,
        answer: Option<ApplyAnswer>,
    ) {
        let Some((appended_term, pending)) = self.appended.remove(&index) else { return };
        match answer {
            Some(answer) if appended_term == term => {
                self.answer(now, answer, pending.wait, pending.reply);
            }
            _ => refuse(pending.reply, "another leader replaced the request; send it again"),
        }
    }

    /// Answers a decided request. If it was accepted and `wait` is not zero, waits
    /// for the entry hosts first.
    pub fn answer(&mut self, now: Millis, answer: ApplyAnswer, wait: Millis, reply: Reply) {
        match answer {
            ApplyAnswer::Accepted { revision, .. } if wait > Millis(0) => {
                self.waiting.push(WaitingApply { revision, answer, deadline: now + wait, reply });
            }
            answer => respond(reply, answer, Vec::new()),
        }
    }

    /// Answers the waiting requests whose revision all live hosts have acknowledged, or
    /// whose deadline has passed.
    pub fn answer_waiting(&mut self, now: Millis, leases: &LeaseTable) {
        for waiting in std::mem::take(&mut self.waiting) {
            let pending = leases.unacknowledged_hosts(now, waiting.revision);
            if pending.is_empty() || now >= waiting.deadline {
                respond(waiting.reply, waiting.answer, pending);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    /// Refuses all requests after the loss of leadership. A request may still be
    /// committed; the operator sends it again and gets the stored answer.
    pub fn fail_all(&mut self) {
        let reason = "this host lost the leadership; send the request again";
        let requests = std::mem::take(self);
        for pending in requests.proposed.into_values() {
            refuse(pending.reply, reason);
        }
        for (_, pending) in requests.appended.into_values() {
            refuse(pending.reply, reason);
        }
        for waiting in requests.waiting {
            refuse(waiting.reply, reason);
        }
    }
}

fn respond(reply: Reply, answer: ApplyAnswer, pending_hosts: Vec<crate::ids::HostId>) {
    // The operator may have disconnected; if it sends the request again, it gets the
    // stored answer.
    let _ = reply.send(Answer::Apply(ApplyResponse { answer, pending_hosts }));
}

fn refuse(reply: Reply, reason: &str) {
    let _ = reply.send(Answer::unavailable(reason));
}
