//! Detection of failed primaries and promotion of replicas.

pub mod detector;
pub mod state_machine;
