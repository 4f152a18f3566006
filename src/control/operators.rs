//! Requests of operators that wait for the log or for hosts.

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

/// Receiver of an answer.
pub type Reply = oneshot::Sender<Answer>;

/// Apply request before its entry is committed.
#[derive(Debug)]
struct Pending {
    wait: Millis,
    reply: Reply,
}

/// Accepted apply request that waits for hosts.
#[derive(Debug)]
struct Waiting {
    revision: Revision,
    answer: ApplyAnswer,
    until: Millis,
    reply: Reply,
}

/// Apply requests in progress at a leader.
#[derive(Debug, Default)]
pub struct ApplyRequests {
    proposed: BTreeMap<u64, Pending>,
    logged: BTreeMap<u64, (GroupTerm, Pending)>,
    waiting: Vec<Waiting>,
}

impl ApplyRequests {
    /// Notes that the request with `proposal_id` is being proposed.
    pub fn propose(&mut self, proposal_id: u64, wait: Millis, reply: Reply) {
        self.proposed.insert(proposal_id, Pending { wait, reply });
    }

    /// Notes the place of a proposal in the log.
    pub fn logged(&mut self, proposal_id: u64, index: u64, term: GroupTerm) {
        if let Some(pending) = self.proposed.remove(&proposal_id) {
            self.logged.insert(index, (term, pending));
        }
    }

    /// Refuses a proposal that is not in the log.
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
        let Some((logged_term, pending)) = self.logged.remove(&index) else { return };
        match answer {
            Some(answer) if logged_term == term => {
                self.answer(now, answer, pending.wait, pending.reply);
            }
            _ => refuse(pending.reply, "another leader replaced the request; send it again"),
        }
    }

    /// Answers a decided request, after the hosts if it waits for them.
    pub fn answer(&mut self, now: Millis, answer: ApplyAnswer, wait: Millis, reply: Reply) {
        match answer {
            ApplyAnswer::Accepted { revision, .. } if wait > Millis(0) => {
                self.waiting.push(Waiting { revision, answer, until: now + wait, reply });
            }
            answer => respond(reply, answer, Vec::new()),
        }
    }

    /// Answers the requests whose revision is in force at all live hosts, or whose
    /// time is over.
    pub fn check(&mut self, now: Millis, leases: &LeaseTable) {
        for waiting in std::mem::take(&mut self.waiting) {
            let pending = leases.unacknowledged_hosts(now, waiting.revision);
            if pending.is_empty() || now >= waiting.until {
                respond(waiting.reply, waiting.answer, pending);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    /// Refuses everything after the loss of the leadership. A request may still be
    /// committed; the operator sends it again and gets its first answer.
    pub fn abandon(&mut self) {
        let reason = "this host lost the leadership; send the request again";
        let abandoned = std::mem::take(self);
        for pending in abandoned.proposed.into_values() {
            refuse(pending.reply, reason);
        }
        for (_, pending) in abandoned.logged.into_values() {
            refuse(pending.reply, reason);
        }
        for waiting in abandoned.waiting {
            refuse(waiting.reply, reason);
        }
    }
}

fn respond(reply: Reply, answer: ApplyAnswer, pending_hosts: Vec<crate::ids::HostId>) {
    // The operator may have given up; its next request gets the stored answer.
    let _ = reply.send(Answer::Apply(ApplyResponse { answer, pending_hosts }));
}

fn refuse(reply: Reply, reason: &str) {
    let _ = reply.send(Answer::unavailable(reason));
}
