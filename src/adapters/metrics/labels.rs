//! Label sets and label values of metrics.

use std::{
    fmt::{self, Write},
    sync::Arc,
};

use derive_more::From;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

/// Label value that holds a shared name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, From)]
pub struct LabelText(pub(super) Arc<str>);

impl EncodeLabelValue for LabelText {
    fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), fmt::Error> {
        encoder.write_str(&self.0)
    }
}

/// Defines enums that are encoded as the given label values.
macro_rules! label_values {
    ($($(#[$doc:meta])* $name:ident { $($variant:ident = $text:literal,)* })*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name {
            $($variant,)*
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), fmt::Error> {
                encoder.write_str(match self {
                    $(Self::$variant => $text,)*
                })
            }
        }
    )*};
}

label_values! {
    /// Outcome of a request.
    RequestOutcome {
        Done = "done",
        Failed = "failed",
        Refused = "refused",
        OverRate = "over_rate",
        Unknown = "unknown",
    }

    /// Kind of instance that served a read.
    ReadSource {
        Replica = "replica",
        Primary = "primary",
    }

    /// Queue in which a request waited.
    Queue {
        Limit = "limit",
        Slot = "slot",
        Primary = "primary",
        Replica = "replica",
    }

    /// State of a connection to a target.
    ConnectionState {
        Idle = "idle",
        Busy = "busy",
        Opening = "opening",
    }

    /// Result of an announcement.
    AnnouncementResult {
        Accepted = "accepted",
        Forged = "forged",
        Malformed = "malformed",
        Stale = "stale",
        Dropped = "dropped",
    }

    /// Result of a lookup of a session mark at its home hosts.
    MarkResult {
        Known = "known",
        Unknown = "unknown",
    }

    /// Result of a promotion.
    PromotionResult {
        Finished = "finished",
        Restarted = "restarted",
    }

    /// Role of a control host.
    ControlRole {
        Leader = "leader",
        Follower = "follower",
        Candidate = "candidate",
        Learner = "learner",
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RequestLabels {
    pub outcome: RequestOutcome,
    pub workspace: LabelText,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ConnectionLabels {
    pub instance: LabelText,
    pub state: ConnectionState,
}

/// Defines label sets of one label, which is named like the field.
macro_rules! single_label_sets {
    ($($name:ident { $field:ident: $ty:ty })*) => {$(
        #[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
        pub(super) struct $name {
            pub $field: $ty,
        }
    )*};
}

single_label_sets! {
    SourceLabel { source: ReadSource }
    QueueLabel { queue: Queue }
    WorkspaceLabel { workspace: LabelText }
    AnnouncementLabel { result: AnnouncementResult }
    MarkLabel { result: MarkResult }
    RoleLabel { role: ControlRole }
    ServiceLabel { service: LabelText }
    PromotionLabel { result: PromotionResult }
}
