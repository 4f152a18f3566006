//! Connection pool of an instance and fair scheduling of its slots.

pub mod connections;
pub mod scheduler;
