//! Connections to the targets, divided between the entry hosts.
//!
//! A connection belongs to one workspace, because the target is told the workspace
//! when it is opened. A caller gets an idle connection of its workspace, a new one
//! while the host's part of the target's connections lasts, or the place of an idle
//! one of another workspace. Connections that rest inside transactions do not count
//! against the part up to its size.

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
const FULL_PAUSE: Millis = Millis(40);

/// Time after which an idle connection is closed.
const IDLE_LIFETIME: Millis = Millis(20_000);

/// Connection with its workspace and state.
#[derive(Debug)]
pub struct PooledConnection<C> {
    pub connection: C,
    pub workspace: Option<Workspace>,
    pub state: ConnectionState,
}

/// What a caller gets.
#[derive(Debug)]
pub enum Grant<C> {
    Connection(PooledConnection<C>),
    /// The caller may open a connection.
    Permit,
}

/// Decision on a caller's request.
#[derive(Debug)]
pub enum Decision<C> {
    Granted(Grant<C>),
    Wait(oneshot::Receiver<Grant<C>>),
    /// The queue is too long.
    Refused,
}

/// Connections to one target.
#[derive(Debug)]
pub struct Pool<C> {
    idle: Vec<(PooledConnection<C>, Millis)>,
    /// Open connections and permits.
    open: u32,
    resting: u32,
    queue: WaitQueue<oneshot::Sender<Grant<C>>>,
    full_until: Millis,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self {
            idle: Vec::new(),
            open: 0,
            resting: 0,
            queue: WaitQueue::default(),
            full_until: Millis(0),
        }
    }
}

/// What a caller asks for.
#[derive(Debug, Clone, Copy)]
pub struct PoolRequest<'a> {
    pub now: Millis,
    pub variables: &'a IndexMap<String, String>,
    pub workspace: Option<&'a Workspace>,
    pub priority: u32,
    /// Connections that this host may have.
    pub limit: u32,
    /// Callers that may wait.
    pub longest_queue: usize,
}

impl<C> Pool<C> {
    fn limit(&self, limit: u32) -> u32 {
        limit + self.resting.min(limit)
    }

    /// Decides on a caller's request.
    pub fn request(&mut self, wanted: PoolRequest<'_>) -> Decision<C> {
        let now = wanted.now;
        self.idle.retain(|(_, since)| {
            let keep = now.since(*since) < IDLE_LIFETIME;
            self.open -= u32::from(!keep);
            keep
        });
        let same = self
            .idle
            .iter()
            .enumerate()
            .filter(|(_, (it, _))| it.workspace.as_ref() == wanted.workspace);
        let nearest = same.min_by_key(|(_, (it, _))| it.state.distance(wanted.variables));
        if let Some((index, _)) = nearest {
            return Decision::Granted(Grant::Connection(self.idle.swap_remove(index).0));
        }
        if self.open < self.limit(wanted.limit) && now >= self.full_until {
            self.open += 1;
            return Decision::Granted(Grant::Permit);
        }
        let oldest = self.idle.iter().enumerate().min_by_key(|(_, (_, since))| *since);
        if let Some((index, _)) = oldest {
            self.idle.swap_remove(index);
            return Decision::Granted(Grant::Permit);
        }
        self.queue.retain(|notify| !notify.is_closed());
        if self.queue.len() >= wanted.longest_queue {
            return Decision::Refused;
        }
        let (notify, granted) = oneshot::channel();
        let workspace = wanted.workspace.cloned();
        self.queue.push(Waiter { workspace, priority: wanted.priority, since: now, notify });
        Decision::Wait(granted)
    }

    /// Takes back a connection, or `None` for one that was closed.
    pub fn release(&mut self, now: Millis, limit: u32, returned: Option<PooledConnection<C>>) {
        let workspace = returned.as_ref().and_then(|it| it.workspace.clone());
        self.queue.retain(|notify| !notify.is_closed());
        let over = self.open > self.limit(limit);
        if over && returned.is_none() || self.queue.is_empty() {
            self.put(now, over, returned);
            return;
        }
        let Some(waiter) = self.queue.pop(now, workspace.as_ref()) else {
            self.put(now, over, returned);
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
            self.put(now, over, returned);
        }
    }

    fn put(&mut self, now: Millis, over: bool, returned: Option<PooledConnection<C>>) {
        match returned {
            Some(pooled) if !over => self.idle.push((pooled, now)),
            _ => self.open = self.open.saturating_sub(1),
        }
    }

    /// Notes that the target refused a connection because it has too many; none is opened
    /// for a short time.
    pub fn refused(&mut self, now: Millis) {
        self.full_until = now + FULL_PAUSE;
    }

    /// Closes idle connections beyond `limit`.
    pub fn trim(&mut self, limit: u32) {
        while self.open > limit && !self.idle.is_empty() {
            self.idle.remove(0);
            self.open -= 1;
        }
    }

    /// Counts connections that rest inside transactions.
    pub fn rest(&mut self, begins: bool) {
        self.resting = if begins { self.resting + 1 } else { self.resting.saturating_sub(1) };
    }

    /// Number of connections and of waiting callers.
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
    /// Applies `change` to the pool of a target.
    pub fn with<T>(&self, target: &InstanceId, change: impl FnOnce(&mut Pool<C>) -> T) -> T {
        let mut pools = self.0.borrow_mut();
        change(pools.entry(target.clone()).or_default())
    }

    /// Targets with a pool.
    pub fn targets(&self) -> Vec<InstanceId> {
        self.0.borrow().keys().cloned().collect()
    }

    /// Drops the pools of targets that are gone.
    pub fn retain(&self, exists: impl Fn(&InstanceId) -> bool) {
        self.0.borrow_mut().retain(|id, _| exists(id));
    }

    /// Open connections and waiting callers of all targets.
    pub fn usage(&self) -> (u32, usize) {
        let pools = self.0.borrow();
        pools.values().map(Pool::usage).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }
}

/// Checked-out connection; it goes back to its pool, or is closed when it is dropped.
pub struct Checkout<C: 'static> {
    pooled: Option<PooledConnection<C>>,
    pub target: Rc<Announcement>,
    pools: Rc<Pools<C>>,
    /// Connections that this host may have; `None` once the checkout was released.
    limit: Option<u32>,
    resting: bool,
}

impl<C> Checkout<C> {
    /// Checkout of a connection of `target`.
    pub fn new(
        pooled: Option<PooledConnection<C>>,
        target: Rc<Announcement>,
        pools: Rc<Pools<C>>,
        limit: u32,
    ) -> Self {
        Self { pooled, target, pools, limit: Some(limit), resting: false }
    }

    /// Adds the connection that a permit was for.
    pub fn fill(&mut self, pooled: PooledConnection<C>) {
        self.pooled = Some(pooled);
    }

    /// Connection and its state.
    pub fn pooled(&mut self) -> Option<&mut PooledConnection<C>> {
        self.pooled.as_mut()
    }

    /// Marks the connection as resting inside a transaction.
    pub fn rest(&mut self, resting: bool) {
        if self.resting != resting {
            self.resting = resting;
            self.pools.with(&self.target.id, |pool| pool.rest(resting));
        }
    }

    /// Returns the connection for others.
    pub fn release(mut self, now: Millis) {
        self.rest(false);
        let pooled = self.pooled.take();
        if let Some(limit) = self.limit.take() {
            self.pools.with(&self.target.id, |pool| pool.release(now, limit, pooled));
        }
    }
}

impl<C> Drop for Checkout<C> {
    fn drop(&mut self) {
        self.rest(false);
        let Some(limit) = self.limit else { return };
        self.pooled = None;
        // Without a connection to hand on, no caller is preferred: the latest time makes
        // the queue serve the oldest one.
        self.pools.with(&self.target.id, |pool| pool.release(Millis(u64::MAX), limit, None));
    }
}
