//! Server for other entry hosts: executes the jobs that they send to this host as the
//! owner of a target.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::sync::{Mutex, mpsc};

use crate::{
    clock::Millis,
    fleet::{
        link::{ConnectionId, Inbound, encode},
        messages::{Frame, TokenGrant},
    },
    gateway::{
        cancellation::CancellableJobs,
        cx::Cx,
        executor::{execute, execute_with_next},
        job::{Execution, Job, JobKind},
        pool::Checkout,
        ports::Targets,
    },
};

/// Time for a rollback, after which the connection is closed instead.
const ROLLBACK_TIMEOUT: Millis = Millis(300);

/// Interval between checks whether the targets of open transactions are still in use.
const TARGET_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Connection to a target that is held by the open transaction of a stream.
type HeldConnection<C> = Rc<Mutex<Option<Checkout<C>>>>;

/// Connection from another entry host.
struct PeerConnection<C: 'static> {
    outgoing: mpsc::Sender<Bytes>,
    streams: HashMap<u64, HeldConnection<C>>,
    jobs: Rc<CancellableJobs>,
}

/// Serves connections until `inbound` is closed.
pub async fn run<T: Targets>(cx: Rc<Cx<T>>, mut inbound: mpsc::Receiver<Inbound>) {
    let mut peers: HashMap<ConnectionId, PeerConnection<T::Connection>> = HashMap::new();
    let mut checks = tokio::time::interval(TARGET_CHECK_INTERVAL);
    loop {
        let event = tokio::select! {
            event = inbound.recv() => event,
            _ = checks.tick() => {
                peers.values().for_each(|peer| peer.close_refused(&cx));
                continue;
            }
        };
        let Some(event) = event else { return };
        match event {
            Inbound::Opened { id, outgoing } => {
                let (streams, jobs) = (HashMap::new(), Rc::default());
                peers.insert(id, PeerConnection { outgoing, streams, jobs });
            }
            // Dropping the held connections closes them, which rolls back.
            Inbound::Closed { id } => {
                if let Some(peer) = peers.remove(&id) {
                    peer.jobs.cancel_all();
                }
            }
            Inbound::Received { id, frame } => {
                if let Some(peer) = peers.get_mut(&id) {
                    peer.receive(&cx, *frame);
                }
            }
        }
    }
}

impl<C> PeerConnection<C> {
    fn receive<T: Targets<Connection = C>>(&mut self, cx: &Rc<Cx<T>>, frame: Frame) {
        match frame {
            Frame::Request { request_id, stream, job } => self.call(cx, request_id, stream, job),
            Frame::EndStream { cancelled: Some(request_id), .. } => self.jobs.cancel(request_id),
            Frame::EndStream { stream, .. } => {
                if let Some(held) = self.streams.remove(&stream) {
                    tokio::task::spawn_local(roll_back(cx.clone(), held));
                }
            }
            Frame::Ping { tokens: None, .. } => {
                let load = cx.load.borrow_mut().busy_report(cx.now());
                send(&self.outgoing, &Frame::Pong { tokens: None, load });
            }
            Frame::Ping { tokens: Some(req), commit: Some(notice) } => {
                cx.record_commit(&notice.service, notice.position);
                let grant = TokenGrant { request_id: req.request_id, ..TokenGrant::default() };
                send(&self.outgoing, &Frame::Pong { tokens: Some(grant), load: None });
            }
            Frame::Ping { tokens: Some(req), commit: None } => {
                let load = cx.load.borrow_mut().busy_report(cx.now());
                let grant = cx.rate_limiter.borrow_mut().lend(cx.now(), &req);
                send(&self.outgoing, &Frame::Pong { tokens: Some(grant), load });
            }
            _ => spdlog::debug!("ignoring unexpected frame from entry host"),
        }
    }

    /// Closes the connections of idle transactions at targets that get no more statements.
    fn close_refused<T: Targets<Connection = C>>(&self, cx: &Cx<T>) {
        for held in self.streams.values() {
            // A transaction that is not idle is checked before its statement is sent.
            let Ok(mut held) = held.try_lock() else { continue };
            let Some(target) = held.as_ref().map(|checkout| checkout.target.clone()) else {
                continue;
            };
            if let Some(refusal) = cx.refusal(&target) {
                cx.record_refusal(&target, refusal);
                *held = None;
            }
        }
    }

    fn call<T: Targets<Connection = C>>(
        &mut self,
        cx: &Rc<Cx<T>>,
        request_id: u64,
        stream: u64,
        job: Job,
    ) {
        let held = if stream == 0 {
            HeldConnection::default()
        } else {
            self.streams.entry(stream).or_default().clone()
        };
        cx.owners.borrow_mut().record_served(cx.now(), &job.target);
        let (cx, outgoing) = (cx.clone(), self.outgoing.clone());
        let (jobs, cancellation) = (self.jobs.clone(), self.jobs.add(request_id));
        tokio::task::spawn_local(async move {
            let mut held = held.lock().await;
            let Execution { result, then } =
                execute_with_next(&cx, &mut held, &job, &cancellation).await;
            jobs.remove(request_id);
            send(&outgoing, &Frame::Response { request_id, result, then });
        });
    }
}

fn send(outgoing: &mpsc::Sender<Bytes>, frame: &Frame) {
    if outgoing.try_send(encode(frame)).is_err() {
        spdlog::debug!("dropping answer to entry host: connection closed or queue full");
    }
}

/// Rolls back the open transaction of a stream.
pub async fn roll_back<T: Targets>(cx: Rc<Cx<T>>, held: HeldConnection<T::Connection>) {
    let mut held = held.lock().await;
    let Some(target) = held.as_ref().map(|checkout| checkout.target.id.clone()) else { return };
    let job = rollback_job(target);
    if execute(&cx, &mut held, &job).await.is_err() {
        *held = None;
    }
}

/// Job that rolls back a transaction at `target`.
pub fn rollback_job(target: crate::ids::InstanceId) -> Job {
    Job {
        target,
        workspace: None,
        variables: indexmap::IndexMap::new(),
        priority: 0,
        max_wait: Millis(0),
        timeout: ROLLBACK_TIMEOUT,
        kind: JobKind::Rollback,
        urgency: None,
        then: None,
    }
}
