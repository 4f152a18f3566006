//! Delay between searches for the primary of one service while they fail.
//!
//! Handles the load at which hundreds of hosts search for primaries that nobody finds: the searches
//! take the targets' slots from statements.

use crate::clock::Millis;

/// Delay after a search that found no primary.
const FIRST_DELAY: Millis = Millis(150);

/// Longest delay after a search that found no primary.
const MAX_DELAY: Millis = Millis(600);

/// Reason for which a search has found no primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchFailure {
    /// The view is too old; no target was queried.
    OldView,
    /// Control has withdrawn the primary; no target was queried.
    Withdrawn,
    /// The primary is leaving.
    Leaving,
    /// The answers prove no primary.
    Unproven,
}

impl SearchFailure {
    /// Reason for the log.
    pub fn text(self) -> &'static str {
        match self {
            Self::OldView => "view is too old",
            Self::Withdrawn => "control has withdrawn the primary",
            Self::Leaving => "the primary is leaving",
            Self::Unproven => "answers prove no primary",
        }
    }

    fn queries_targets(self) -> bool {
        matches!(self, Self::Leaving | Self::Unproven)
    }
}

/// Delay of the searches of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct SearchBackoff {
    /// Reason of the last search, and the delay after it; `None` if it succeeded.
    last: Option<(SearchFailure, Millis)>,
}

impl SearchBackoff {
    /// Records a failed search; returns the delay before the next one. It doubles while targets
    /// are queried in vain for the same reason.
    pub fn record_failure(&mut self, failure: SearchFailure) -> Millis {
        let delay = match self.last {
            Some((last, delay)) if last == failure && failure.queries_targets() => {
                Millis(delay.0 * 2).min(MAX_DELAY)
            }
            _ => FIRST_DELAY,
        };
        self.last = Some((failure, delay));
        delay
    }

    /// Returns to the first delay: a search has succeeded, or there is a new view.
    pub fn reset(&mut self) {
        self.last = None;
    }

    /// Delay after the last search.
    pub fn delay(&self) -> Millis {
        self.last.map_or(FIRST_DELAY, |(_, delay)| delay)
    }
}
