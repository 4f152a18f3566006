//! Rate limit of log lines.
//!
//! Each request that is refused or fails is logged with its id, the reason and the
//! versions of the configuration and the view behind the decision. The number of lines
//! per second is bounded, and a line reports how many were suppressed before it.

use crate::clock::Millis;

/// Log lines per second of one limiter. At about 250 bytes a line this is 5 KB/s.
const LINES_PER_SECOND: u32 = 20;

const WINDOW: Millis = Millis(1_000);

/// Fixed-window rate limiter for one kind of log line.
#[derive(Debug, Default)]
pub struct LogLimiter {
    window_start: Millis,
    written: u32,
    suppressed: u64,
}

/// Whether to write a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogDecision {
    /// Write the line, with the number of lines suppressed since the last one.
    Write {
        suppressed: u64,
    },
    Suppress,
}

impl LogLimiter {
    /// Counts a line and decides whether to write it.
    pub fn check(&mut self, now: Millis) -> LogDecision {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.written = 0;
        }
        if self.written >= LINES_PER_SECOND {
            self.suppressed += 1;
            return LogDecision::Suppress;
        }
        self.written += 1;
        LogDecision::Write { suppressed: std::mem::take(&mut self.suppressed) }
    }
}
