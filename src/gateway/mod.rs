//! Entry host of a fleet: sessions of callers, connections to targets and the
//! decisions between them.
//!
//! One thread runs all sessions. Decisions are modules without I/O that take the
//! time as an argument; [`ports`] names what an adapter of a wire protocol provides.

pub mod admission;
pub mod control_link;
pub mod cx;
pub mod executor;
pub mod freshness;
pub mod health;
pub mod job;
pub mod lease;
pub mod log_limit;
pub mod metrics;
pub mod operation;
pub mod ownership;
pub mod peer_client;
pub mod peer_server;
pub mod pool;
pub mod ports;
pub mod prepare;
pub mod rate_limit;
pub mod read_selection;
pub mod runtime;
pub mod session;
pub mod statement;
pub mod target_client;
pub mod topology;
pub mod transaction;
pub mod wait_queue;
