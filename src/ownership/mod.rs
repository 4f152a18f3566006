//! Placement of work on entry hosts.

pub mod rendezvous;
