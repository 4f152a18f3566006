//! Server for other entry hosts: executes the jobs that they send to this host as the
//! owner of a target.

use std::{collections::HashMap, rc::Rc};

use bytes::Bytes;
use tokio::sync::{Mutex, mpsc};

use crate::{
    clock::Millis,
    fleet::{
        link::{ConnectionId, Inbound, encode},
        messages::Frame,
    },
    gateway::{
        cx::Cx,
        executor::execute,
        job::{Job, JobKind},
        pool::Checkout,
        ports::Targets,
    },
};

/// Time for a rollback, after which the connection is closed instead.
const ROLLBACK_TIMEOUT: Millis = Millis(300);

/// Connection to a target that is held by the open transaction of a stream.
type HeldConnection<C> = Rc<Mutex<Option<Checkout<C>>>>;

/// Connection from another entry host.
struct PeerConnection<C: 'static> {
    outgoing: mpsc::Sender<Bytes>,
    streams: HashMap<u64, HeldConnection<C>>,
}

/// Serves connections until `inbound` is closed.
pub async fn run<T: Targets>(cx: Rc<Cx<T>>, mut inbound: mpsc::Receiver<Inbound>) {
    let mut peers: HashMap<ConnectionId, PeerConnection<T::Connection>> = HashMap::new();
    while let Some(event) = inbound.recv().await {
        match event {
            Inbound::Opened { id, outgoing } => {
                peers.insert(id, PeerConnection { outgoing, streams: HashMap::new() });
            }
            // Dropping the held connections closes them, which rolls back.
            Inbound::Closed { id } => {
                peers.remove(&id);
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
            Frame::EndStream { stream } => {
                if let Some(held) = self.streams.remove(&stream) {
                    tokio::task::spawn_local(roll_back(cx.clone(), held));
                }
            }
            Frame::Ping { tokens: None } => {
                let load = cx.load.borrow_mut().busy_report(cx.now());
                send(&self.outgoing, &Frame::Pong { tokens: None, load });
            }
            Frame::Ping { tokens: Some(req) } => {
                let load = cx.load.borrow_mut().busy_report(cx.now());
                let grant = cx.rate_limiter.borrow_mut().lend(cx.now(), &req);
                send(&self.outgoing, &Frame::Pong { tokens: Some(grant), load });
            }
            _ => spdlog::debug!("ignoring unexpected frame from entry host"),
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
        tokio::task::spawn_local(async move {
            let mut held = held.lock().await;
            let result = execute(&cx, &mut held, &job).await;
            send(&outgoing, &Frame::Response { request_id, result });
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
    }
}
