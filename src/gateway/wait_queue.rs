//! Queue of jobs that wait for a connection to one target.

use std::collections::VecDeque;

use crate::{clock::Millis, ids::Workspace};

/// Wait after which the first waiter is served next, even if a connection of another
/// workspace must be closed for it.
const MAX_SKIPPED_WAIT: Millis = Millis(30);

/// Waiting job; `T` is the channel on which it is notified.
#[derive(Debug)]
pub struct Waiter<T> {
    pub workspace: Option<Workspace>,
    /// Priority of the route; 0 is served first.
    pub priority: u32,
    pub since: Millis,
    pub notify: T,
}

/// Waiters by priority, in order of arrival within a priority.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiters: VecDeque<Waiter<T>>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiters: VecDeque::new() }
    }
}

impl<T> WaitQueue<T> {
    pub fn push(&mut self, waiter: Waiter<T>) {
        let goes_before = |it: &Waiter<T>| it.priority <= waiter.priority;
        let position = self.waiters.iter().rposition(goes_before).map_or(0, |last| last + 1);
        self.waiters.insert(position, waiter);
    }

    /// Next waiter for a connection of `workspace`. One of the same workspace needs no new
    /// connection, so it is preferred until the first waiter has waited too long.
    pub fn pop(&mut self, now: Millis, workspace: Option<&Workspace>) -> Option<Waiter<T>> {
        let first = self.waiters.front()?;
        let may_skip = now.since(first.since) < MAX_SKIPPED_WAIT;
        let same = |it: &Waiter<T>| it.workspace.as_ref() == workspace;
        let position = match self.waiters.iter().position(same) {
            Some(position) if may_skip => position,
            _ => 0,
        };
        self.waiters.remove(position)
    }

    /// Removes waiters for which `is_waiting` is false.
    pub fn retain(&mut self, is_waiting: impl Fn(&T) -> bool) {
        self.waiters.retain(|waiter| is_waiting(&waiter.notify));
    }

    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
