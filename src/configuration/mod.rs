//! Operators' files: parsing, checks and differences.

pub mod finding;
