//! Decisions about one request after each outcome.
//!
//! A write that must not run twice is repeated only if nothing was sent to the
//! target, or if its request record is absent and the earlier attempt can no
//! longer commit: the record was read under a newer term, or the connection of the
//! earlier attempt is known to be closed. While the earlier attempt is not fenced,
//! an absent record proves nothing and is read again.

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

/// Reroutes of a read that cost no budget: to another replica and the primary.
const FREE_REROUTES: u32 = 2;

/// What a request does, as far as repeating it is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Read,
    /// Write on a route that is declared idempotent.
    IdempotentWrite,
    /// Write with a request record.
    RecordedWrite,
    /// Commit of a transaction with a request record; its statements are gone.
    Commit,
    /// Statement inside a transaction.
    Within,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the outcome to the caller.
    Answer,
    /// Route and send the request again.
    RetryAfter(Millis),
    /// Send the request again when the service has a primary.
    WaitForPrimary,
    /// Read the request record after a wait, under the then current term.
    Settle {
        after: Millis,
    },
    GiveUp(GiveUp),
}

/// Why a request ends without an answer of the target.
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

/// Result of reading a request record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// Request has run; the record holds its answer.
    Present,
    /// Key belongs to another request.
    OtherDigest,
    /// No record under `term`; `closed` if the connection of the earlier attempt is
    /// known to be closed and rolled back.
    Absent { term: Term, closed: bool },
    /// Record could not be read.
    Unreadable,
    /// Service has no primary that could read the record.
    NoPrimary,
}

/// State of one request over its attempts.
#[derive(Debug)]
pub struct Attempt {
    kind: Kind,
    deadline: Deadline,
    /// Term of the attempt whose outcome is open.
    sent_term: Term,
    repeats: u32,
    reroutes: u32,
    /// An earlier attempt may have run.
    uncertain: bool,
}

/// Context of a decision.
pub struct Cx<'a, R: Rng> {
    pub now: Millis,
    pub budget: &'a mut Budget,
    pub settings: &'a RetrySettings,
    pub rng: &'a mut R,
}

impl Attempt {
    /// First attempt of a request, sent under `term`.
    pub fn new(kind: Kind, deadline: Deadline, term: Term) -> Self {
        Self { kind, deadline, sent_term: term, repeats: 0, reroutes: 0, uncertain: false }
    }

    /// Records that the request is sent again under `term`.
    pub fn sent(&mut self, term: Term) {
        self.sent_term = term;
    }

    /// Decides after the outcome of an attempt.
    pub fn on_outcome<R: Rng>(&mut self, outcome: &Outcome, cx: &mut Cx<'_, R>) -> Decision {
        match outcome {
            Outcome::Done(_) | Outcome::Failed(_) => Decision::Answer,
            Outcome::Refused(refusal) => self.on_refusal(refusal, cx),
            Outcome::Unknown { .. } => self.on_unknown(cx),
        }
    }

    /// Decides after the request record was read.
    pub fn on_settled<R: Rng>(&mut self, settled: &Settled, cx: &mut Cx<'_, R>) -> Decision {
        match *settled {
            Settled::Present => Decision::Answer,
            Settled::OtherDigest => Decision::GiveUp(GiveUp::KeyReused),
            Settled::Absent { term, closed } if term > self.sent_term || closed => {
                self.uncertain = false;
                match self.kind {
                    Kind::Commit => Decision::GiveUp(GiveUp::RolledBack),
                    _ => self.repeat(cx, GiveUp::RolledBack),
                }
            }
            Settled::Absent { .. } | Settled::Unreadable => self.settle(cx),
            Settled::NoPrimary => self.wait_for_primary(cx.now),
        }
    }

    /// Error when the deadline passes while the request waits.
    pub fn give_up(&self) -> GiveUp {
        if self.uncertain { GiveUp::Unknown } else { GiveUp::Deadline }
    }

    /// Whether the record must be read before the request may be sent again.
    pub fn must_settle(&self) -> bool {
        self.uncertain && matches!(self.kind, Kind::RecordedWrite | Kind::Commit)
    }

    /// Nothing was sent in this attempt.
    fn on_refusal<R: Rng>(&mut self, refusal: &Refusal, cx: &mut Cx<'_, R>) -> Decision {
        if matches!(self.kind, Kind::Within | Kind::Commit) {
            // The connection that holds the transaction is out of reach.
            return Decision::GiveUp(match refusal {
                Refusal::Deadline => GiveUp::Deadline,
                _ => GiveUp::RolledBack,
            });
        }
        match refusal {
            Refusal::Deadline => Decision::GiveUp(self.give_up()),
            Refusal::UnknownTransaction => Decision::GiveUp(GiveUp::RolledBack),
            Refusal::NotPrimary => self.wait_for_primary(cx.now),
            Refusal::Unreachable if self.kind != Kind::Read => self.wait_for_primary(cx.now),
            _ if self.kind == Kind::Read && self.reroutes < FREE_REROUTES => {
                self.reroutes += 1;
                self.after(cx.now, Millis(0))
            }
            _ => self.repeat(cx, GiveUp::Unavailable),
        }
    }

    fn on_unknown<R: Rng>(&mut self, cx: &mut Cx<'_, R>) -> Decision {
        match self.kind {
            Kind::Read => self.repeat(cx, GiveUp::Unavailable),
            Kind::IdempotentWrite => {
                self.uncertain = true;
                self.repeat(cx, GiveUp::Unknown)
            }
            Kind::RecordedWrite | Kind::Commit => {
                self.uncertain = true;
                self.settle(cx)
            }
            Kind::Within => Decision::GiveUp(GiveUp::RolledBack),
        }
    }

    /// Repeats within the budget and the deadline.
    fn repeat<R: Rng>(&mut self, cx: &mut Cx<'_, R>, without_budget: GiveUp) -> Decision {
        if !cx.budget.try_withdraw(cx.now, cx.settings) {
            let unknown = self.uncertain.then_some(GiveUp::Unknown);
            return Decision::GiveUp(unknown.unwrap_or(without_budget));
        }
        self.repeats += 1;
        let wait = backoff(self.repeats, cx.settings, cx.rng);
        self.after(cx.now, wait)
    }

    fn after(&self, now: Millis, wait: Millis) -> Decision {
        if self.deadline.is_within(now, wait) {
            Decision::GiveUp(self.give_up())
        } else {
            Decision::RetryAfter(wait)
        }
    }

    /// Reading a record is cheap and cannot run anything twice, so it is bounded by
    /// the backoff and the deadline and costs no budget.
    fn settle<R: Rng>(&mut self, cx: &mut Cx<'_, R>) -> Decision {
        self.repeats += 1;
        let after = backoff(self.repeats, cx.settings, cx.rng);
        if self.deadline.is_within(cx.now, after) {
            return Decision::GiveUp(GiveUp::Unknown);
        }
        Decision::Settle { after }
    }

    fn wait_for_primary(&self, now: Millis) -> Decision {
        if self.deadline.is_within(now, Millis(0)) {
            Decision::GiveUp(self.give_up())
        } else {
            Decision::WaitForPrimary
        }
    }
}
