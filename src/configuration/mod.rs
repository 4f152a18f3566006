//! Operators' files: parsing, checks and differences.
