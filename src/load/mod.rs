//! Load and experiment tool.
//!
//! Callers book, credit and read through the entry hosts by a fixed schedule. Each
//! caller keeps what it was told and compares later answers with it; a final audit
//! reads everything back.

pub mod audit;
pub mod bulk;
pub mod caller;
pub mod compare;
pub mod connection;
pub mod evaluation;
pub mod expectation;
pub mod faults;
pub mod limits;
pub mod process;
pub mod report;
pub mod run;
pub mod samples;
pub mod schedule;
pub mod scrape;
pub mod sender;
