//! Detection of failed primaries and promotion of replicas.

pub mod decision;
pub mod detector;
