//! Connection pools of the targets.
//!
//! A connection belongs to one workspace, because the workspace is sent to the target
//! when the connection is opened. A job gets an idle connection of its workspace, or a
//! new one while the host is below its connection limit, or a new one in place of an
//! idle one of another workspace. Connections that are idle in a transaction do not
//! count against the limit, up to as many as the limit.

use std::{cell::RefCell, rc::Rc};

use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::{
    clock::Millis,
    fleet::messages::Announcement,
    gateway::{
        prepare::ConnectionState,
        wait_queue::{WaitQueue, Waiter},
    },
    ids::{InstanceId, Workspace},
};

/// Time for which no connection is opened after the target refused one.
const FULL_BACKOFF: Millis = Millis(40);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Millis = Millis(20_000);

/// Connection with its workspace and session state.
#[derive(Debug)]
pub struct PooledConnection<C> {
    pub connection: C,
    pub workspace: Option<Workspace>,
    pub state: ConnectionState,
}

/// What a job is granted.
#[derive(Debug)]
pub enum Grant<C> {
    Connection(PooledConnection<C>),
    /// Permission to open a connection.
    Permit,
}

/// Decision on a request for a connection.
#[derive(Debug)]
pub enum PoolDecision<C> {
    Granted(Grant<C>),
    Queued(oneshot::Receiver<Grant<C>>),
    /// Queue is full.
    Rejected,
}

/// Connections to one target.
#[derive(Debug)]
pub struct Pool<C> {
    idle: Vec<(PooledConnection<C>, Millis)>,
    /// Number of open connections and permits.
    open: u32,
    /// Number of connections that are idle in a transaction.
    idle_in_transaction: u32,
    queue: WaitQueue<oneshot::Sender<Grant<C>>>,
    open_after: Millis,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self {
            idle: Vec::new(),
            open: 0,
            idle_in_transaction: 0,
            queue: WaitQueue::default(),
            open_after: Millis(0),
        }
    }
}

/// Request for a connection.
#[derive(Debug, Clone, Copy)]
pub struct PoolRequest<'a> {
    pub now: Millis,
    pub variables: &'a IndexMap<String, String>,
    pub workspace: Option<&'a Workspace>,
    pub priority: u32,
    /// Number of connections that this host may hold.
    pub limit: u32,
    /// Number of jobs that may wait.
    pub max_waiters: usize,
}

impl<C> Pool<C> {
    /// Limit of open connections, raised by those that are idle in a transaction.
    fn open_limit(&self, limit: u32) -> u32 {
        limit + self.idle_in_transaction.min(limit)
    }

    /// Grants, queues or rejects a request for a connection.
    pub fn request(&mut self, request: PoolRequest<'_>) -> PoolDecision<C> {
        let now = request.now;
        self.idle.retain(|(_, since)| {
            let keep = now.since(*since) < IDLE_TIMEOUT;
            self.open -= u32::from(!keep);
            keep
        });
        let same = self
            .idle
            .iter()
            .enumerate()
            .filter(|(_, (it, _))| it.workspace.as_ref() == request.workspace);
        let nearest = same.min_by_key(|(_, (it, _))| it.state.changes_needed(request.variables));
        if let Some((index, _)) = nearest {
            return PoolDecision::Granted(Grant::Connection(self.idle.swap_remove(index).0));
        }
        if self.open < self.open_limit(request.limit) && now >= self.open_after {
            self.open += 1;
            return PoolDecision::Granted(Grant::Permit);
        }
        let oldest = self.idle.iter().enumerate().min_by_key(|(_, (_, since))| *since);
        if let Some((index, _)) = oldest {
            self.idle.swap_remove(index);
            return PoolDecision::Granted(Grant::Permit);
        }
        self.queue.retain(|notify| !notify.is_closed());
        if self.queue.len() >= request.max_waiters {
            return PoolDecision::Rejected;
        }
        let (notify, granted) = oneshot::channel();
        let workspace = request.workspace.cloned();
        self.queue.push(Waiter { workspace, priority: request.priority, since: now, notify });
        PoolDecision::Queued(granted)
    }

    /// Returns a connection to the pool, or `None` for one that was closed.
    pub fn release(&mut self, now: Millis, limit: u32, returned: Option<PooledConnection<C>>) {
        let workspace = returned.as_ref().and_then(|it| it.workspace.clone());
        self.queue.retain(|notify| !notify.is_closed());
        let over_limit = self.open > self.open_limit(limit);
        if over_limit && returned.is_none() || self.queue.is_empty() {
            self.keep_or_close(now, over_limit, returned);
            return;
        }
        let Some(waiter) = self.queue.pop(now, workspace.as_ref()) else {
            self.keep_or_close(now, over_limit, returned);
            return;
        };
        let grant = match returned {
            Some(pooled) if pooled.workspace == waiter.workspace => Grant::Connection(pooled),
            _ => Grant::Permit,
        };
        if let Err(unused) = waiter.notify.send(grant) {
            let returned = match unused {
                Grant::Connection(pooled) => Some(pooled),
                Grant::Permit => None,
            };
            self.keep_or_close(now, over_limit, returned);
        }
    }

    fn keep_or_close(
        &mut self,
        now: Millis,
        over_limit: bool,
        returned: Option<PooledConnection<C>>,
    ) {
        match returned {
            Some(pooled) if !over_limit => self.idle.push((pooled, now)),
            _ => self.open = self.open.saturating_sub(1),
        }
    }

    /// Pauses opening connections because the target refused one for having too many.
    pub fn pause_opening(&mut self, now: Millis) {
        self.open_after = now + FULL_BACKOFF;
    }

    /// Closes idle connections above `limit`.
    pub fn trim(&mut self, limit: u32) {
        while self.open > limit && !self.idle.is_empty() {
            self.idle.remove(0);
            self.open -= 1;
        }
    }

    /// Counts a connection that becomes idle in a transaction, or no longer is.
    pub fn count_idle_in_transaction(&mut self, idle: bool) {
        self.idle_in_transaction = if idle {
            self.idle_in_transaction + 1
        } else {
            self.idle_in_transaction.saturating_sub(1)
        };
    }

    /// Number of open connections and of waiting jobs.
    pub fn usage(&self) -> (u32, usize) {
        (self.open, self.queue.len())
    }
}

/// Pools of all targets.
#[derive(Debug)]
pub struct Pools<C>(RefCell<IndexMap<InstanceId, Pool<C>>>);

impl<C> Default for Pools<C> {
    fn default() -> Self {
        Self(RefCell::new(IndexMap::new()))
    }
}

impl<C> Pools<C> {
    /// Calls `f` with the pool of a target, which is created if missing.
    pub fn with<T>(&self, target: &InstanceId, f: impl FnOnce(&mut Pool<C>) -> T) -> T {
        let mut pools = self.0.borrow_mut();
        f(pools.entry(target.clone()).or_default())
    }

    /// Targets that have a pool.
    pub fn targets(&self) -> Vec<InstanceId> {
        self.0.borrow().keys().cloned().collect()
    }

    /// Removes the pools of targets for which `exists` is false.
    pub fn retain(&self, exists: impl Fn(&InstanceId) -> bool) {
        self.0.borrow_mut().retain(|id, _| exists(id));
    }

    /// Number of open connections and of waiting jobs of all targets.
    pub fn usage(&self) -> (u32, usize) {
        let pools = self.0.borrow();
        pools.values().map(Pool::usage).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }
}

/// Checked-out connection. [`Checkout::release`] returns it to its pool; dropping it
/// closes the connection.
pub struct Checkout<C: 'static> {
    pooled: Option<PooledConnection<C>>,
    pub target: Rc<Announcement>,
    pools: Rc<Pools<C>>,
    /// Number of connections that this host may hold; `None` after the release.
    limit: Option<u32>,
    idle_in_transaction: bool,
}

impl<C> Checkout<C> {
    /// Checkout of a connection to `target`, or of a permit to open one.
    pub fn new(
        pooled: Option<PooledConnection<C>>,
        target: Rc<Announcement>,
        pools: Rc<Pools<C>>,
        limit: u32,
    ) -> Self {
        Self { pooled, target, pools, limit: Some(limit), idle_in_transaction: false }
    }

    /// Adds the connection opened with a permit.
    pub fn set_connection(&mut self, pooled: PooledConnection<C>) {
        self.pooled = Some(pooled);
    }

    /// Whether the state of the connection is too large for an idle one.
    pub fn is_large(&self) -> bool {
        self.pooled.as_ref().is_some_and(|pooled| pooled.state.is_large())
    }

    pub fn pooled(&mut self) -> Option<&mut PooledConnection<C>> {
        self.pooled.as_mut()
    }

    /// Sets whether the connection is idle in a transaction.
    pub fn set_idle_in_transaction(&mut self, idle: bool) {
        if self.idle_in_transaction != idle {
            self.idle_in_transaction = idle;
            self.pools.with(&self.target.id, |pool| pool.count_idle_in_transaction(idle));
        }
    }

    /// Returns the connection to its pool.
    pub fn release(mut self, now: Millis) {
        self.set_idle_in_transaction(false);
        let pooled = self.pooled.take();
        if let Some(limit) = self.limit.take() {
            self.pools.with(&self.target.id, |pool| pool.release(now, limit, pooled));
        }
    }
}

impl<C> Drop for Checkout<C> {
    fn drop(&mut self) {
        self.set_idle_in_transaction(false);
        let Some(limit) = self.limit else { return };
        self.pooled = None;
        // No connection is left to reuse, so no workspace is preferred: with the latest
        // time the queue serves its first waiter.
        self.pools.with(&self.target.id, |pool| pool.release(Millis(u64::MAX), limit, None));
    }
}
