//! Entry host of a fleet: accepts callers' sessions and runs their statements on
//! targets.
//!
//! All sessions run on one thread. Modules that make decisions do no I/O and take the
//! current time as an argument. [`ports`] defines the traits that an adapter of a wire
//! protocol implements.

pub mod admission;
pub mod attempt;
pub mod cancellation;
pub mod class_queue;
pub mod commit_confirmation;
pub mod commit_notices;
pub mod commit_rule;
pub mod commit_witness;
pub mod control_link;
pub mod cx;
pub mod evacuation;
pub mod executor;
pub mod freshness;
pub mod health;
pub mod job;
pub mod lease;
pub mod lenders;
pub mod limit_log;
pub mod load_signal;
pub mod log_limit;
pub mod metrics;
pub mod operation;
pub mod ownership;
pub mod peer_client;
pub mod peer_server;
pub mod pool;
pub mod ports;
pub mod prepare;
pub mod primary_proof;
pub mod primary_search;
pub mod proof_rounds;
pub mod rate_admission;
pub mod rate_limit;
pub mod read_selection;
pub mod readmission;
pub mod retry_budget;
pub mod return_time;
pub mod runtime;
pub mod search_backoff;
pub mod service_time;
pub mod session;
pub mod session_limits;
pub mod statement;
pub mod suspicion;
pub mod target_client;
pub mod target_use;
pub mod topology;
pub mod transaction;
pub mod urgency;
pub mod wait_queue;
pub mod workspace_limit;
