//! Cancellation of jobs that nobody waits for any more.
//!
//! The load: requests wait for longer than their callers' hosts do, or those hosts are lost. Their
//! jobs would take slots from requests that are still wanted. A job that has not been sent to its
//! target is dropped; one that was sent runs to its end, since its result is unknown otherwise.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use tokio::sync::Notify;

/// Cancellation of one job; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Cancellation(Rc<State>);

#[derive(Debug, Default)]
struct State {
    is_cancelled: Cell<bool>,
    cancelled: Notify,
}

impl Cancellation {
    pub fn cancel(&self) {
        self.0.is_cancelled.set(true);
        self.0.cancelled.notify_waiters();
    }

    pub fn is_cancelled(&self) -> bool {
        self.0.is_cancelled.get()
    }

    /// Result of `preparation`, or `None` if the job is cancelled before it completes.
    pub async fn unless_cancelled<R>(&self, preparation: impl Future<Output = R>) -> Option<R> {
        if self.is_cancelled() {
            return None;
        }
        tokio::select! {
            // A preparation that has completed may hold a connection, which is not to be closed.
            biased;
            result = preparation => Some(result),
            () = self.0.cancelled.notified() => None,
        }
    }
}

/// Calls its function when it is dropped, unless the answer has been received.
pub struct AbandonGuard<F: FnMut()>(Option<F>);

impl<F: FnMut()> AbandonGuard<F> {
    pub fn new(on_abandon: F) -> Self {
        Self(Some(on_abandon))
    }

    /// Records that an answer has been received.
    pub fn disarm(mut self) {
        self.0 = None;
    }
}

impl<F: FnMut()> Drop for AbandonGuard<F> {
    fn drop(&mut self) {
        if let Some(on_abandon) = &mut self.0 {
            on_abandon();
        }
    }
}

/// Jobs of one connection from another host that have not been answered, by the id of the request.
#[derive(Debug, Default)]
pub struct CancellableJobs(RefCell<HashMap<u64, Cancellation>>);

impl CancellableJobs {
    pub fn add(&self, request_id: u64) -> Cancellation {
        let cancellation = Cancellation::default();
        self.0.borrow_mut().insert(request_id, cancellation.clone());
        cancellation
    }

    /// Removes a job that was answered.
    pub fn remove(&self, request_id: u64) {
        self.0.borrow_mut().remove(&request_id);
    }

    pub fn cancel(&self, request_id: u64) {
        if let Some(cancellation) = self.0.borrow_mut().remove(&request_id) {
            cancellation.cancel();
        }
    }

    /// Cancels all jobs, because the host that sent them cannot get their answers.
    pub fn cancel_all(&self) {
        for (_, cancellation) in self.0.borrow_mut().drain() {
            cancellation.cancel();
        }
    }
}
