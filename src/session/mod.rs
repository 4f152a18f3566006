//! Session marks for read-your-writes consistency.

pub mod history;
pub mod homes;
pub mod marks;
pub mod state;
