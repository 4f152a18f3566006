//! Faults of a file with their place.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Fault at a place of a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{line}:{column}: {message}")]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    pub message: String,
}
