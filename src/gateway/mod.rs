//! Entry host of a fleet: sessions of callers, connections to targets and the
//! decisions between them.
//!
//! One thread runs all sessions. Decisions are modules without I/O that take the
//! time as an argument; [`ports`] names what an adapter of a wire protocol provides.

pub mod control_link;
pub mod cx;
pub mod decisions;
pub mod executor;
pub mod freshness;
pub mod gate;
pub mod health;
pub mod knowledge;
pub mod lane;
pub mod lease;
pub mod metrics;
pub mod operation;
pub mod owner;
pub mod owners;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod ports;
pub mod prepare;
pub mod queue;
pub mod quota;
pub mod runtime;
pub mod session;
pub mod statement;
pub mod transaction;
pub mod work;
