//! Choice of the entry hosts that own instances and other items.

pub mod assignment;
pub mod rendezvous;
