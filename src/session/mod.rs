//! Session marks for read-your-writes consistency.

pub mod homes;
pub mod marks;
pub mod state;
