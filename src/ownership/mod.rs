//! Placement of work on entry hosts.

pub mod assignment;
pub mod rendezvous;
