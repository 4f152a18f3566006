//! Callers that wait for a connection to one target.

use std::collections::VecDeque;

use crate::{clock::Millis, ids::Workspace};

/// Wait after which the oldest caller is served first, even if a connection of
/// another workspace must be closed for it.
const PATIENCE: Millis = Millis(30);

/// Waiting caller; `T` is how it is told.
#[derive(Debug)]
pub struct Waiter<T> {
    pub workspace: Option<Workspace>,
    /// Rank of the route; 0 is served first.
    pub priority: u32,
    pub since: Millis,
    pub notify: T,
}

/// Queue of one target.
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
    /// Adds a caller.
    pub fn push(&mut self, waiter: Waiter<T>) {
        let after = |it: &Waiter<T>| it.priority <= waiter.priority;
        let position = self.waiters.iter().rposition(after).map_or(0, |last| last + 1);
        self.waiters.insert(position, waiter);
    }

    /// Next caller for a connection of `workspace`. A caller of the same workspace
    /// needs no new connection, so it is preferred for a short time.
    pub fn pop(&mut self, now: Millis, workspace: Option<&Workspace>) -> Option<Waiter<T>> {
        let first = self.waiters.front()?;
        let may_skip = now.since(first.since) < PATIENCE;
        let same = |it: &Waiter<T>| it.workspace.as_ref() == workspace;
        let position = match self.waiters.iter().position(same) {
            Some(position) if may_skip => position,
            _ => 0,
        };
        self.waiters.remove(position)
    }

    /// Drops callers that have given up.
    pub fn retain(&mut self, waits: impl Fn(&T) -> bool) {
        self.waiters.retain(|waiter| waits(&waiter.notify));
    }

    /// Number of waiting callers.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
