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

/// Collects the faults of one text.
#[derive(Debug)]
pub struct Findings<'a> {
    text: &'a str,
    list: Vec<Finding>,
}

impl<'a> Findings<'a> {
    /// No faults in `text` yet.
    pub fn new(text: &'a str) -> Self {
        Self { text, list: Vec::new() }
    }

    /// Adds a fault at a byte offset.
    pub fn add(&mut self, offset: usize, message: impl Into<String>) {
        let (line, column) = self.place(offset);
        self.list.push(Finding { line, column, message: message.into() });
    }

    /// Line and column of a byte offset.
    pub fn place(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |end| end + 1);
        (line, before[start..].chars().count() + 1)
    }

    /// Faults in the order of their places.
    pub fn into_sorted(mut self) -> Vec<Finding> {
        self.list.sort();
        self.list.dedup();
        self.list
    }
}
