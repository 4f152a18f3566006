//! Retry policy: what to do with a request after each outcome.
//!
//! A write that must not run twice is retried only if nothing was sent to the
//! target, or if its request record is absent and the earlier attempt can no
//! longer commit: the record was read under a newer term, or the connection of the
//! earlier attempt is known to be closed. Until then an absent record proves nothing,
//! and the record is read again.

use derive_more::Display;
use rand::Rng;

use crate::{
    clock::Millis,
    ids::Term,
    retry::{
        budget::Budget,
        deadline::{Deadline, backoff},
    },
    settings::retry::RetrySettings,
    wire::peer::{Outcome, Refusal},
};

/// Reroutes of a read that cost no retry budget: one to another replica and one to the
/// primary.
const FREE_REROUTES: u32 = 2;

/// Kind of a request, which determines whether it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    Read,
    /// Write on a route that the configuration declares idempotent.
    IdempotentWrite,
    /// Write with a request record.
    RecordedWrite,
    /// Commit of a transaction with a request record. It cannot be retried, because the
    /// transaction's statements are not kept.
    Commit,
    /// Statement in an open transaction.
    InTransaction,
}

/// Next step for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Return the outcome to the caller.
    Respond,
    /// Route and send the request again.
    RetryAfter(Millis),
    /// Send the request again when the service has a primary.
    WaitForPrimary,
    /// Read the request record after a delay, under the term that is current then.
    ReadRecord {
        delay: Millis,
    },
    GiveUp(GiveUp),
}

/// Why a request ends without a result from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum GiveUp {
    #[display("the deadline has passed; nothing was changed")]
    Deadline,
    #[display("the service is not available; nothing was changed")]
    Unavailable,
    #[display("the outcome is unknown; repeat the request with the same request key")]
    Unknown,
    #[display("the transaction lost its connection and was rolled back")]
    RolledBack,
    #[display("the request key was used for another request")]
    KeyReused,
}

impl GiveUp {
    /// SQLSTATE of the error.
    pub fn code(self) -> &'static str {
        match self {
            GiveUp::Deadline => "57014",
            GiveUp::Unavailable => "57P03",
            GiveUp::Unknown => "08007",
            GiveUp::RolledBack => "40001",
            GiveUp::KeyReused => "22023",
        }
    }
}

/// Result of a read of the request record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordLookup {
    /// The request has run; the record contains its result.
    Present,
    /// The key was used for another request.
    OtherDigest,
    /// There is no record under `term`; `closed` if the connection of the earlier attempt
    /// is known to be closed and its transaction rolled back.
    Absent { term: Term, closed: bool },
    /// The record could not be read.
    Unreadable,
    /// The service has no primary on which the record could be read.
    NoPrimary,
}

/// State of one request across its attempts.
#[derive(Debug)]
pub struct RequestState {
    kind: RequestKind,
    deadline: Deadline,
    /// Term under which the latest attempt was sent.
    attempt_term: Term,
    retries: u32,
    reroutes: u32,
    /// Whether an earlier attempt may have run.
    in_doubt: bool,
}

/// Inputs of a decision besides the outcome.
pub struct Cx<'a, R: Rng> {
    pub now: Millis,
    pub budget: &'a mut Budget,
    pub settings: &'a RetrySettings,
    pub rng: &'a mut R,
}

impl RequestState {
    /// State of a request whose first attempt is sent under `term`.
    pub fn new(kind: RequestKind, deadline: Deadline, term: Term) -> Self {
        Self { kind, deadline, attempt_term: term, retries: 0, reroutes: 0, in_doubt: false }
    }

    /// Records that an attempt is sent under `term`.
    pub fn mark_sent(&mut self, term: Term) {
        self.attempt_term = term;
    }

    /// Decides what to do after an attempt.
    pub fn on_outcome<R: Rng>(&mut self, outcome: &Outcome, cx: &mut Cx<'_, R>) -> Decision {
        match outcome {
            Outcome::Done(_) | Outcome::Failed(_) => Decision::Respond,
            Outcome::Refused(refusal) => self.on_refusal(refusal, cx),
            Outcome::Unknown { .. } => self.on_unknown(cx),
        }
    }

    /// Decides what to do after a read of the request record.
    pub fn on_record<R: Rng>(&mut self, lookup: &RecordLookup, cx: &mut Cx<'_, R>) -> Decision {
        match *lookup {
            RecordLookup::Present => Decision::Respond,
            RecordLookup::OtherDigest => Decision::GiveUp(GiveUp::KeyReused),
            RecordLookup::Absent { term, closed } if term > self.attempt_term || closed => {
                self.in_doubt = false;
                match self.kind {
                    RequestKind::Commit => Decision::GiveUp(GiveUp::RolledBack),
                    _ => self.retry(cx, GiveUp::RolledBack),
                }
            }
            RecordLookup::Absent { .. } | RecordLookup::Unreadable => self.read_record(cx),
            RecordLookup::NoPrimary => self.wait_for_primary(cx.now),
        }
    }

    /// Error to return if the deadline passes now.
    pub fn deadline_error(&self) -> GiveUp {
        if self.in_doubt { GiveUp::Unknown } else { GiveUp::Deadline }
    }

    /// Whether the request record must be read before the next attempt.
    pub fn must_read_record(&self) -> bool {
        self.in_doubt && matches!(self.kind, RequestKind::RecordedWrite | RequestKind::Commit)
    }

    /// Decides after an attempt in which nothing was sent to the target.
    fn on_refusal<R: Rng>(&mut self, refusal: &Refusal, cx: &mut Cx<'_, R>) -> Decision {
        if matches!(self.kind, RequestKind::InTransaction | RequestKind::Commit) {
            // The connection with the open transaction cannot be reached.
            return Decision::GiveUp(match refusal {
                Refusal::Deadline => GiveUp::Deadline,
                _ => GiveUp::RolledBack,
            });
        }
        match refusal {
            Refusal::Deadline => Decision::GiveUp(self.deadline_error()),
            Refusal::UnknownTransaction => Decision::GiveUp(GiveUp::RolledBack),
            Refusal::NotPrimary => self.wait_for_primary(cx.now),
            Refusal::Unreachable if self.kind != RequestKind::Read => self.wait_for_primary(cx.now),
            _ if self.kind == RequestKind::Read && self.reroutes < FREE_REROUTES => {
                self.reroutes += 1;
                self.retry_after(cx.now, Millis(0))
            }
            _ => self.retry(cx, GiveUp::Unavailable),
        }
    }

    fn on_unknown<R: Rng>(&mut self, cx: &mut Cx<'_, R>) -> Decision {
        match self.kind {
            RequestKind::Read => self.retry(cx, GiveUp::Unavailable),
            RequestKind::IdempotentWrite => {
                self.in_doubt = true;
                self.retry(cx, GiveUp::Unknown)
            }
            RequestKind::RecordedWrite | RequestKind::Commit => {
                self.in_doubt = true;
                self.read_record(cx)
            }
            RequestKind::InTransaction => Decision::GiveUp(GiveUp::RolledBack),
        }
    }

    /// Retries after a backoff if the budget and the deadline permit it.
    fn retry<R: Rng>(&mut self, cx: &mut Cx<'_, R>, no_budget: GiveUp) -> Decision {
        if !cx.budget.try_withdraw(cx.now, cx.settings) {
            let in_doubt = self.in_doubt.then_some(GiveUp::Unknown);
            return Decision::GiveUp(in_doubt.unwrap_or(no_budget));
        }
        self.retries += 1;
        let delay = backoff(self.retries, cx.settings, cx.rng);
        self.retry_after(cx.now, delay)
    }

    fn retry_after(&self, now: Millis, delay: Millis) -> Decision {
        if self.deadline.expires_within(now, delay) {
            Decision::GiveUp(self.deadline_error())
        } else {
            Decision::RetryAfter(delay)
        }
    }

    /// Reads the request record after a backoff. A read is cheap and cannot run anything
    /// twice, so it is limited by the backoff and the deadline and costs no budget.
    fn read_record<R: Rng>(&mut self, cx: &mut Cx<'_, R>) -> Decision {
        self.retries += 1;
        let delay = backoff(self.retries, cx.settings, cx.rng);
        if self.deadline.expires_within(cx.now, delay) {
            return Decision::GiveUp(GiveUp::Unknown);
        }
        Decision::ReadRecord { delay }
    }

    fn wait_for_primary(&self, now: Millis) -> Decision {
        if self.deadline.expires_within(now, Millis(0)) {
            Decision::GiveUp(self.deadline_error())
        } else {
            Decision::WaitForPrimary
        }
    }
}
