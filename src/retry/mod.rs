//! Retries, budgets and unknown outcomes.

pub mod budget;
pub mod deadline;
pub mod settle;
pub mod waiting;
