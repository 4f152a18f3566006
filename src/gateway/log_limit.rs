//! Log of the decisions on requests.
//!
//! Each request that is refused or fails gets a line with its id, what decided it and
//! the age of that knowledge. The number of lines per second is bounded; a line tells
//! how many were left out.

use crate::clock::Millis;

/// Lines per second of one entry host. At about 250 bytes a line this is 5 KB/s.
const LINES_PER_SECOND: u32 = 20;

const SECOND: Millis = Millis(1_000);

/// Bound on the lines of one kind.
#[derive(Debug, Default)]
pub struct LogLimiter {
    since: Millis,
    written: u32,
    left_out: u64,
}

/// Whether a line may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Line {
    /// Write it, with the number of lines left out before.
    Write {
        left_out: u64,
    },
    LeaveOut,
}

impl LogLimiter {
    /// Asks for a line.
    pub fn line(&mut self, now: Millis) -> Line {
        if now.since(self.since) >= SECOND {
            self.since = now;
            self.written = 0;
        }
        if self.written >= LINES_PER_SECOND {
            self.left_out += 1;
            return Line::LeaveOut;
        }
        self.written += 1;
        Line::Write { left_out: std::mem::take(&mut self.left_out) }
    }
}
