//! Rounds of questions to the targets of a service. Statements that wait for a proof share a
//! round: each round serves all statements that arrived before it began.

use std::{cell::RefCell, future::Future};

use tokio::sync::Notify;

use crate::clock::Millis;

/// Rounds of one kind of question.
#[derive(Debug)]
pub struct Rounds<A> {
    /// Shortest time between the beginnings of two rounds.
    min_interval: Millis,
    state: RefCell<State<A>>,
    ended: Notify,
}

#[derive(Debug)]
struct State<A> {
    /// Number of rounds that have begun.
    begun: u64,
    /// When the next round may begin.
    next_at: Millis,
    is_running: bool,
    /// Newest completed round and its outcome.
    completed: Option<(u64, A)>,
}

/// Ends the running round, also if its future is dropped.
struct RunningRound<'a, A>(&'a Rounds<A>);

impl<A> Drop for RunningRound<'_, A> {
    fn drop(&mut self) {
        self.0.state.borrow_mut().is_running = false;
        self.0.ended.notify_waiters();
    }
}

impl<A: Clone> Rounds<A> {
    /// Rounds that begin at least `min_interval` after one another.
    pub fn new(min_interval: Millis) -> Self {
        let state = State { begun: 0, next_at: Millis(0), is_running: false, completed: None };
        Self { min_interval, state: RefCell::new(state), ended: Notify::new() }
    }

    /// Outcome of a round that begins after this call. `ask` runs the round if no other
    /// caller does.
    pub async fn next<F: Future<Output = A>>(
        &self,
        now: impl Fn() -> Millis,
        ask: impl FnOnce() -> F,
    ) -> A {
        let needed = self.state.borrow().begun + 1;
        loop {
            let ended = self.ended.notified();
            if let Some(outcome) = self.completed(needed) {
                return outcome;
            }
            if !self.state.borrow().is_running {
                break;
            }
            ended.await;
        }
        let pause = self.reserve(now());
        let running = RunningRound(self);
        tokio::time::sleep(pause.duration()).await;
        let number = self.begin(now());
        let outcome = ask().await;
        self.state.borrow_mut().completed = Some((number, outcome.clone()));
        drop(running);
        outcome
    }

    /// Delays the next round until `at`.
    pub fn delay_until(&self, at: Millis) {
        let mut state = self.state.borrow_mut();
        state.next_at = state.next_at.max(at);
    }

    /// Lets the next round begin at once.
    pub fn end_delay(&self) {
        self.state.borrow_mut().next_at = Millis(0);
    }

    /// Outcome of the last round.
    pub fn last(&self) -> Option<A> {
        self.state.borrow().completed.as_ref().map(|(_, outcome)| outcome.clone())
    }

    /// Outcome of the last round, while the next one is delayed.
    pub fn last_while_delayed(&self, now: Millis) -> Option<A> {
        let state = self.state.borrow();
        let (_, outcome) = state.completed.as_ref()?;
        (!state.is_running && now < state.next_at).then(|| outcome.clone())
    }

    fn completed(&self, needed: u64) -> Option<A> {
        let state = self.state.borrow();
        let (number, outcome) = state.completed.as_ref()?;
        (*number >= needed).then(|| outcome.clone())
    }

    /// Reserves the next round; returns how long to wait until it may begin.
    fn reserve(&self, now: Millis) -> Millis {
        let mut state = self.state.borrow_mut();
        state.is_running = true;
        state.next_at.since(now)
    }

    /// Begins the reserved round; returns its number. Callers that came during the wait
    /// share it.
    fn begin(&self, now: Millis) -> u64 {
        let mut state = self.state.borrow_mut();
        state.begun += 1;
        state.next_at = now + self.min_interval;
        state.begun
    }
}
