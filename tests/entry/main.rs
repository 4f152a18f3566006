//! End-to-end tests of entry hosts inside the test process, over loopback sockets.

#![allow(clippy::unwrap_used)]

mod cluster;
mod config_file;
mod failover;
mod host;
mod idempotency;
mod keys;
mod limits;
mod protocol;
mod sessions;
mod shutdown;
mod transactions;
