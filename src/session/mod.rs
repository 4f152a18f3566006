//! Session marks for read-your-writes consistency.
