//! Violations of what callers were promised, and when a lost commit was acknowledged with
//! respect to the promotion that lost it.

use derive_more::Display;

use crate::targets::{Acknowledged, Promotion};

/// Time after which the leader regards a call without an answer as void.
const CALL_EXPIRY_MS: u64 = 10_000;

/// Broken promise, in words.
#[derive(Debug, Clone, Display)]
#[display("{text}")]
pub struct Violation {
    pub kind: ViolationKind,
    pub text: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ViolationKind {
    /// A commit that was acknowledged is not in the log of the primary.
    #[display("lost, acknowledged {_0}")]
    Lost(Phase),
    #[display("stale read")]
    StaleRead,
    #[display("token order")]
    TokenOrder,
}

/// When a lost commit was acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Phase {
    #[display("before the leader's evaluation")]
    BeforeEvaluation,
    #[display("after the evaluation, under the same leader")]
    SameLeader,
    #[display("after the evaluation, under a later leader")]
    LaterLeader,
    #[display("after the call had expired")]
    Expired,
    #[display("after the promotion had taken effect")]
    AfterEffect,
}

impl Violation {
    pub fn new(kind: ViolationKind, text: impl Into<String>) -> Self {
        Self { kind, text: text.into() }
    }
}

impl Phase {
    /// Phase of a commit that `promotion`, which takes effect later, has lost.
    pub fn of(commit: &Acknowledged, promotion: &Promotion) -> Self {
        if commit.at < promotion.evaluated {
            Self::BeforeEvaluation
        } else if commit.at >= promotion.called + CALL_EXPIRY_MS {
            Self::Expired
        } else if commit.control_term == promotion.control_term() {
            Self::SameLeader
        } else {
            Self::LaterLeader
        }
    }
}
