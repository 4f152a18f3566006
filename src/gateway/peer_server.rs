//! Owner's side: executes the work that other entry hosts send.

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

/// Time to roll back before a connection is closed instead.
const ROLLBACK_LIMIT: Millis = Millis(300);

/// Connection with an open transaction of one stream.
type Held<C> = Rc<Mutex<Option<Checkout<C>>>>;

/// Connection of another entry host.
struct Guest<C: 'static> {
    answers: mpsc::Sender<Bytes>,
    streams: HashMap<u64, Held<C>>,
}

/// Executes what arrives until the senders are gone.
pub async fn run<T: Targets>(cx: Rc<Cx<T>>, mut inbound: mpsc::Receiver<Inbound>) {
    let mut guests: HashMap<ConnectionId, Guest<T::Connection>> = HashMap::new();
    while let Some(event) = inbound.recv().await {
        match event {
            Inbound::Opened { id, outgoing: answers } => {
                guests.insert(id, Guest { answers, streams: HashMap::new() });
            }
            // Connections in open transactions are closed, which rolls back.
            Inbound::Closed { id } => {
                guests.remove(&id);
            }
            Inbound::Received { id, frame } => {
                if let Some(guest) = guests.get_mut(&id) {
                    guest.receive(&cx, *frame);
                }
            }
        }
    }
}

impl<C> Guest<C> {
    fn receive<T: Targets<Connection = C>>(&mut self, cx: &Rc<Cx<T>>, frame: Frame) {
        match frame {
            Frame::Request { request_id: number, stream, job } => {
                self.call(cx, number, stream, job)
            }
            Frame::EndStream { stream } => {
                if let Some(held) = self.streams.remove(&stream) {
                    tokio::task::spawn_local(roll_back(cx.clone(), held));
                }
            }
            Frame::Ping => send(&self.answers, &Frame::Pong),
            _ => spdlog::debug!("ignoring an unexpected frame"),
        }
    }

    fn call<T: Targets<Connection = C>>(
        &mut self,
        cx: &Rc<Cx<T>>,
        number: u64,
        stream: u64,
        job: Job,
    ) {
        let held = if stream == 0 {
            Held::default()
        } else {
            self.streams.entry(stream).or_default().clone()
        };
        cx.owners.borrow_mut().serve(cx.now(), &job.target);
        let (cx, answers) = (cx.clone(), self.answers.clone());
        tokio::task::spawn_local(async move {
            let mut held = held.lock().await;
            let result = execute(&cx, &mut held, &job).await;
            send(&answers, &Frame::Response { request_id: number, result });
        });
    }
}

fn send(answers: &mpsc::Sender<Bytes>, frame: &Frame) {
    if answers.try_send(encode(frame)).is_err() {
        spdlog::debug!("an answer to another entry host is dropped");
    }
}

/// Rolls back what is open on a stream.
pub async fn roll_back<T: Targets>(cx: Rc<Cx<T>>, held: Held<T::Connection>) {
    let mut held = held.lock().await;
    let Some(target) = held.as_ref().map(|checkout| checkout.target.id.clone()) else { return };
    let job = rollback_job(target);
    if execute(&cx, &mut held, &job).await.is_err() {
        *held = None;
    }
}

/// Work that rolls back at `target`.
pub fn rollback_job(target: crate::ids::InstanceId) -> Job {
    Job {
        target,
        workspace: None,
        variables: indexmap::IndexMap::new(),
        priority: 0,
        wait: Millis(0),
        limit: ROLLBACK_LIMIT,
        work: JobKind::Rollback,
    }
}
