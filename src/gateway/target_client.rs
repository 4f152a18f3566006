//! Client for one target. Jobs are sent to the target's owner, or run on this host's own
//! connections if this host is the owner or no other host is usable.

use std::{borrow::Cow, rc::Rc};

use crate::{
    clock::Millis,
    fleet::messages::{Announcement, EntryHost},
    gateway::{
        cancellation::Cancellation,
        cx::Cx,
        executor::{execute, execute_with_next},
        job::{Execution, Job, JobError, JobKind},
        ownership::{OwnerSelection, Shard},
        peer_server::rollback_job,
        pool::Checkout,
        ports::Targets,
    },
    ids::HostId,
};

/// Transports that are tried for one job; each may take as long as a connection attempt.
const MAX_ATTEMPTS: usize = 3;

/// Client for one target; it holds the connection or stream of an open transaction.
pub struct TargetClient<T: Targets> {
    pub target: Rc<Announcement>,
    /// Part of the target's work whose owner executes the jobs.
    shard: Shard,
    transactional: bool,
    transport: Transport<T::Connection>,
}

enum Transport<C: 'static> {
    /// This host's own connections.
    Local(Option<Checkout<C>>),
    /// Connections of another host: the owner, or a fallback for it.
    Remote { host: EntryHost, stream: u64 },
}

impl<T: Targets> TargetClient<T> {
    /// Client for `target`; `transactional` if it is to hold an open transaction.
    pub fn new(cx: &Cx<T>, target: Rc<Announcement>, shard: Shard, transactional: bool) -> Self {
        let transport = select_transport(cx, &target, shard, transactional, &[]);
        Self { target, shard, transactional, transport }
    }

    /// Executes a job. A job that has not reached the target is tried over another
    /// transport.
    pub async fn run(&mut self, cx: &Cx<T>, job: &Job) -> Execution {
        let started = cx.now();
        let mut tried: Vec<HostId> = Vec::new();
        let timeout = job.timeout;
        let mut job = Cow::Borrowed(job);
        loop {
            let execution = match &mut self.transport {
                Transport::Local(held) => {
                    execute_with_next(cx, held, &job, &Cancellation::default()).await
                }
                Transport::Remote { host, stream } => {
                    cx.peers.call(&host.addr, *stream, &job).await
                }
            };
            let is_initial = matches!(job.kind, JobKind::Begin { .. } | JobKind::Status);
            let may_switch = is_initial || !self.transactional;
            if execution.result != Err(JobError::Unreachable) || !may_switch {
                return execution;
            }
            tried.push(self.record_failure(cx));
            let remaining = timeout.since(cx.now().since(started));
            if tried.len() == MAX_ATTEMPTS || remaining == Millis(0) {
                return execution;
            }
            job.to_mut().timeout = remaining;
            self.transport =
                select_transport(cx, &self.target, self.shard, self.transactional, &tried);
            if matches!(self.transport, Transport::Local(_)) && tried.contains(&cx.settings.host) {
                return execution;
            }
        }
    }

    /// Records that the target is unreachable over the current transport; returns the
    /// host of that transport.
    fn record_failure(&self, cx: &Cx<T>) -> HostId {
        match &self.transport {
            Transport::Local(_) => cx.settings.host.clone(),
            Transport::Remote { host, .. } => {
                cx.owners.borrow_mut().block(cx.now(), &self.target.id, &host.id);
                host.id.clone()
            }
        }
    }

    /// Rolls back an open transaction and returns the connection.
    pub async fn close(self, cx: &Cx<T>) {
        match self.transport {
            Transport::Local(mut held @ Some(_)) => {
                // On an error the connection is dropped, which closes it.
                let _ = execute(cx, &mut held, &rollback_job(self.target.id.clone())).await;
            }
            Transport::Local(None) => {}
            Transport::Remote { host, stream } => {
                if stream != 0 {
                    cx.peers.end(&host.addr, stream);
                }
            }
        }
    }
}

/// Selects the transport to use next, skipping the hosts in `tried`.
fn select_transport<T: Targets>(
    cx: &Cx<T>,
    target: &Announcement,
    shard: Shard,
    transactional: bool,
    tried: &[HostId],
) -> Transport<T::Connection> {
    let now = cx.now();
    let ranked = cx.topology.borrow_mut().ranked_owners(target, shard);
    let reachable = cx.direct_health.borrow().is_usable(now, &target.id);
    let owners = cx.owners.borrow();
    let (own, target) = (&cx.settings.host, &target.id);
    let selection = OwnerSelection { now, target, own, reachable, owners: &owners, tried };
    match selection.select(&ranked, |host| cx.peers.is_usable(&host.addr)) {
        Some(host) => {
            let stream = if transactional { cx.peers.next_id() } else { 0 };
            Transport::Remote { host: host.clone(), stream }
        }
        None => Transport::Local(None),
    }
}
