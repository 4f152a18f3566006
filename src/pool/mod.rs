//! Connections to an instance and the fair queue for its slots.

pub mod connections;
pub mod scheduler;
