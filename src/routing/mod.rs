//! Selection of the instance that serves a statement.

pub mod cache;
pub mod classify;
pub mod hints;
pub mod instances;
pub mod replica_selection;
pub mod route;
pub mod variables;
