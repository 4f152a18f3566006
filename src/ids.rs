//! Identifiers and log positions shared by all modules.

use std::{str::FromStr, sync::Arc};

use derive_more::{AsRef, Deref, Display, From};
use serde::{Deserialize, Serialize};

macro_rules! names {
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
            /// Name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    )*};
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            Display, From,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Successor of this number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

names! {
    /// Name of an entry host.
    HostId;
    /// Name of a control host; a host that lost its disk gets a new one.
    ControlId;
    /// Name of a failure domain.
    FailureDomain;
    /// Name of a workspace.
    Workspace;
    /// Name of a service, the database name that callers use.
    Service;
    /// Name of a target instance.
    InstanceId;
    /// Name of a caller's session.
    SessionId;
    /// Idempotency key of a statement or transaction.
    RequestKey;
    /// Name of a key; not secret.
    KeyId;
    /// Identifier of an operator's apply request.
    ApplyId;
}

numbers! {
    /// Term of a target group.
    Term;
    /// Position in a target group's log.
    LogPosition;
    /// Number of changes applied to the cluster state.
    Revision;
    /// Number of an ownership assignment; larger numbers are newer.
    Epoch;
    /// Number that distinguishes the restarts of one process.
    Incarnation;
}

/// Position of a write in the history of a target group.
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
    /// Term under which the position was reached.
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
    /// The term must be compared too: an instance of a replaced history can have
    /// a larger position without holding the write.
    pub fn has_reached(self, other: Mark) -> bool {
        self.term >= other.term && self.position >= other.position
    }
}

/// Text that is not of the form `term/position`.
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
