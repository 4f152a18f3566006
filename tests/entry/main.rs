//! Contract of the entry host, over loopback sockets inside the test process.

#![allow(clippy::unwrap_used)]

mod cluster;
mod desired;
mod failover;
mod host;
mod keys;
mod limits;
mod once;
mod protocol;
mod sessions;
mod stop;
mod transactions;
