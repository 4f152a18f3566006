//! Recorded operations and violations of a run.

use std::collections::BTreeMap;

/// Kind of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Read,
    /// Insert of a booking with a unique id.
    Insert,
    /// Increment of the caller's counter.
    Increment,
}

impl Kind {
    pub fn is_write(self) -> bool {
        self != Kind::Read
    }
}

/// Outcome of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// Refused by the workspace's rate limit.
    RateLimited,
    /// Refused for another reason and not executed.
    Refused,
    /// Executed and failed, or a read that got no answer.
    Failed,
    /// Write that may have been executed and whose outcome could not be determined.
    Unknown,
}

/// One operation; times are in microseconds since the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Index of the workspace.
    pub workspace: usize,
    /// Index of the service.
    pub service: usize,
    pub kind: Kind,
    pub scheduled: u64,
    /// Send time of the last attempt.
    pub sent: u64,
    pub done: u64,
    pub outcome: Outcome,
}

/// Consistency violations detected by a caller or the audit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::AddAssign)]
pub struct Violations {
    /// Acknowledged writes that are missing from the stored rows.
    pub lost: u64,
    /// Writes executed more than once.
    pub doubled: u64,
    /// Reads that did not show the caller's own writes.
    pub stale_reads: u64,
    /// Rows that belong to another request.
    pub mixed: u64,
    /// Refused or failed writes whose rows exist.
    pub refused_but_ran: u64,
}

/// Operations, errors and violations recorded by one or more callers.
#[derive(Debug, Default)]
pub struct Record {
    pub samples: Vec<Sample>,
    /// Workspace and send time of every statement, including retries.
    pub attempts: Vec<(usize, u64)>,
    /// Scheduled operations that callers could not send before the end of the run, by workspace.
    pub unsent: BTreeMap<usize, u64>,
    /// Number of errors by SQLSTATE or cause.
    pub errors: BTreeMap<String, u64>,
    pub violations: Violations,
}

impl Record {
    /// Adds the record of another caller.
    pub fn merge(&mut self, other: Record) {
        self.samples.extend(other.samples);
        self.attempts.extend(other.attempts);
        for (workspace, count) in other.unsent {
            *self.unsent.entry(workspace).or_default() += count;
        }
        for (code, count) in other.errors {
            *self.errors.entry(code).or_default() += count;
        }
        self.violations += other.violations;
    }

    pub fn count_error(&mut self, code: &str) {
        match self.errors.get_mut(code) {
            Some(count) => *count += 1,
            None => {
                self.errors.insert(code.to_owned(), 1);
            }
        }
    }
}
