//! Contract of the entry host, over loopback sockets inside the test process.

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
