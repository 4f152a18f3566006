//! Errors in a configuration file, with their locations.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Error at a location in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{line}:{column}: {message}")]
pub struct Finding {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    pub message: String,
}

/// Collects the findings in one file.
#[derive(Debug)]
pub struct Findings<'a> {
    text: &'a str,
    list: Vec<Finding>,
}

impl<'a> Findings<'a> {
    /// Empty collection for `text`.
    pub fn new(text: &'a str) -> Self {
        Self { text, list: Vec::new() }
    }

    /// Adds a finding at a byte offset.
    ///
    /// The spans of the TOML parser start behind the opening quote of a string; the
    /// finding points to the quote.
    pub fn add(&mut self, offset: usize, message: impl Into<String>) {
        let before = self.text.get(..offset).unwrap_or_default();
        let quotes = usize::from(before.ends_with(['"', '\'']));
        let (line, column) = self.location(offset - quotes);
        self.list.push(Finding { line, column, message: message.into() });
    }

    /// Line and column of a byte offset.
    pub fn location(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |end| end + 1);
        (line, before[start..].chars().count() + 1)
    }

    /// Findings in the order of their locations, without duplicates.
    pub fn into_sorted(mut self) -> Vec<Finding> {
        self.list.sort();
        self.list.dedup();
        self.list
    }
}
