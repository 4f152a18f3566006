//! Choice of the instance that serves a statement.

pub mod cache;
pub mod choice;
pub mod classify;
pub mod hints;
pub mod placement;
pub mod route;
pub mod variables;
