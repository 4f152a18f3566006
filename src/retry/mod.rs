//! Retries, budgets and unknown outcomes.

pub mod budget;
pub mod deadline;
pub mod policy;
pub mod wait_queue;
