//! Replicated state: its types, the state machine and the deltas sent to hosts.

pub mod model;
