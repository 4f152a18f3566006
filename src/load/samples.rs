//! Record of operations.

use std::collections::BTreeMap;

/// Kind of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Read,
    /// Insert of a row under an id of its own.
    Insert,
    /// Increment of the caller's counter.
    Increment,
}

impl Kind {
    /// Whether the operation changes data.
    pub fn is_write(self) -> bool {
        self != Kind::Read
    }
}

/// How an operation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// Refused because the workspace is over its rate.
    RateLimited,
    /// Refused for another reason; it did not run.
    Refused,
    /// Ran and failed, or a read without an answer.
    Failed,
    /// Write that may have run and was not settled.
    Unknown,
}

/// One operation; times are microseconds since the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// Index of the workspace.
    pub workspace: usize,
    /// Index of the service.
    pub service: usize,
    pub kind: Kind,
    pub scheduled: u64,
    /// Time at which the last attempt was sent.
    pub sent: u64,
    pub done: u64,
    pub outcome: Outcome,
}

/// Violations that a caller or the audit can see.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::AddAssign)]
pub struct Violations {
    /// Acknowledged writes that are gone.
    pub lost: u64,
    /// Writes that ran more than once.
    pub doubled: u64,
    /// Reads that did not show the caller's own writes.
    pub stale_reads: u64,
    /// Answers that belong to another request.
    pub mixed: u64,
    /// Refused writes that ran.
    pub refused_but_ran: u64,
}

/// What one or more callers have recorded.
#[derive(Debug, Default)]
pub struct Record {
    pub samples: Vec<Sample>,
    /// Time and workspace of every statement sent, with repetitions.
    pub attempts: Vec<(usize, u64)>,
    /// Scheduled operations that a late caller did not send, by workspace.
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

    /// FenwickTree an error.
    pub fn count_error(&mut self, code: &str) {
        match self.errors.get_mut(code) {
            Some(count) => *count += 1,
            None => {
                self.errors.insert(code.to_owned(), 1);
            }
        }
    }
}
