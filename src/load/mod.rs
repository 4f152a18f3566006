//! Load generator and consistency checker.
//!
//! Callers insert bookings, increment counters and read both through the entry hosts on
//! a fixed schedule. Each caller records the outcomes of its writes and checks later reads
//! against them. A final audit reads all rows back from the primaries.

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
