//! Tests of the stand-in database instance over loopback sockets.

#![allow(clippy::unwrap_used)]

mod control;
mod group;
mod log;
mod replication;
mod sql;
