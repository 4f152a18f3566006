//! Replicated state: its types, the state machine and the deltas sent to hosts.

pub mod change;
pub mod delta;
pub mod difference;
mod groups;
pub mod model;
pub mod state_machine;
pub mod status;
