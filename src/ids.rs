//! Identifiers, counters and log positions shared by all modules.

use std::{str::FromStr, sync::Arc};

use derive_more::{AsRef, Deref, Display, From};
use serde::{Deserialize, Serialize};

macro_rules! string_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, From,
            Deref, AsRef,
        )]
        #[serde(transparent)]
        #[from(&str, String, Arc<str>)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// Identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    )*};
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            Display, From,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Next larger value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

string_ids! {
    /// Name of an entry host.
    HostId;
    /// Name of a control host; a host that lost its disk must get a new name.
    ControlId;
    /// Name of a failure domain.
    FailureDomain;
    /// Name of a workspace, the user name that callers use.
    Workspace;
    /// Name of a service, the database name that callers use.
    Service;
    /// Name of a target instance.
    InstanceId;
    /// Name of a caller's session.
    SessionId;
    /// Idempotency key of a statement or transaction.
    RequestKey;
    /// Id of a caller's key; not secret.
    KeyId;
    /// Id of an operator's apply request.
    ApplyId;
}

counters! {
    /// Term of a target group; each promotion raises it.
    Term;
    /// Position in the replicated log of a target group.
    LogPosition;
    /// Revision of the cluster view; each effective command raises it by one.
    Revision;
    /// Number of an ownership assignment; newer assignments have larger numbers.
    Epoch;
    /// Number of a process start; a restart has a larger number.
    Incarnation;
}

/// Log position in a target group, with the term in which it was reached.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
)]
#[display("{term}/{position}")]
pub struct Mark {
    /// Term in which the position was reached.
    pub term: Term,
    /// Position in the log.
    pub position: LogPosition,
}

impl Mark {
    /// Mark at `term` and `position`.
    pub fn new(term: u64, position: u64) -> Self {
        Self { term: Term(term), position: LogPosition(position) }
    }

    /// Whether an instance at this mark holds the acknowledged write at `other`.
    ///
    /// The term must be compared too: an instance that still has the log of an earlier
    /// term can be at a larger position without holding the write.
    pub fn has_reached(self, other: Mark) -> bool {
        self.term >= other.term && self.position >= other.position
    }
}

/// Error for text that is not of the form `term/position`.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("`{_0}` is not of the form term/position")]
pub struct ParseMarkError(pub String);

impl std::error::Error for ParseMarkError {}

impl FromStr for Mark {
    type Err = ParseMarkError;

    fn from_str(text: &str) -> Result<Self, ParseMarkError> {
        let error = || ParseMarkError(text.to_owned());
        let (term, position) = text.split_once('/').ok_or_else(error)?;
        let term = term.parse().map_err(|_| error())?;
        let position = position.parse().map_err(|_| error())?;
        Ok(Mark::new(term, position))
    }
}
