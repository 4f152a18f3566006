//! Replicated cluster state: types, state machine, and deltas for entry hosts.

pub mod change;
pub mod delta;
pub mod difference;
mod groups;
pub mod model;
pub mod state_machine;
pub mod status;
