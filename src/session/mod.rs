//! Session marks for read-your-writes consistency.

pub mod history;
pub mod home_set;
pub mod marks;
pub mod state;
