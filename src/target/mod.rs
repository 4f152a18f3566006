//! Stand-in database instance for tests.
//!
//! It speaks the PostgreSQL protocol, keeps rows in memory and replicates its log
//! to the other instances of its group. Tests use it to exercise the proxy with
//! terms, log positions, replication lag, fencing and promotion.

pub mod announcer;
pub mod capture;
pub mod error;
pub mod execute;
pub mod faults;
pub mod http;
pub mod instance;
pub mod log;
pub mod plan;
pub mod planner;
pub mod protocol;
pub mod replication;
pub mod rows;
pub mod run;
pub mod server;
pub mod session;
pub mod state;
pub mod statements;
pub mod transaction;
pub mod value;
mod wire;
