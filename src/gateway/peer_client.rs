//! Calls to the owners of targets at other entry hosts.
//!
//! One connection leads to each owner. While answers are outstanding, silence is
//! probed; an owner that does not answer the probe is not used, and what was outstanding
//! counts as lost. A connection is opened anew in the background, so that no work waits
//! for an attempt that fails.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use eyre::{Result, bail};
use futures::{SinkExt, StreamExt};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval},
};

use crate::{
    fleet::{
        link::{FrameReader, FrameWriter, connect, decode, encode, split_framed},
        messages::Frame,
    },
    gateway::{
        job::{Job, JobError},
        statement::Answer,
    },
};

/// Interval between looks at the silence of an owner.
const LOOK: Duration = Duration::from_millis(100);

/// Silence after which an owner is probed.
const PROBE_AFTER: Duration = Duration::from_millis(100);

/// Silence after which an owner counts as lost: a lost packet is sent again within
/// it.
const LOST_AFTER: Duration = Duration::from_millis(350);

/// Pause before the next attempt to reach a lost owner.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Time without work for a lost owner after which no more attempts are made.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// Frames that wait for a connection.
const QUEUED_FRAMES: usize = 256;

type Reply = oneshot::Sender<Result<Answer, JobError>>;

/// Connections to other entry hosts.
#[derive(Debug, Default)]
pub struct PeerClients {
    links: RefCell<HashMap<String, Rc<Peer>>>,
    next: Cell<u64>,
}

/// Connection to one owner.
#[derive(Debug)]
struct Peer {
    queue: mpsc::Sender<Message>,
    /// Whether the owner should be used.
    usable: Cell<bool>,
    /// When somebody last wanted to use the owner.
    wanted: Cell<Instant>,
}

#[derive(Debug)]
enum Message {
    Call { number: u64, frame: Bytes, reply: Reply },
    Notice(Bytes),
}

impl PeerClients {
    /// Number that no other call or stream of this host has.
    pub fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Whether the owner at `addr` should be used.
    pub fn is_usable(&self, addr: &str) -> bool {
        self.links.borrow().get(addr).is_none_or(|peer| {
            peer.wanted.set(Instant::now());
            peer.usable.get() || peer.queue.is_closed()
        })
    }

    /// Has the owner at `addr` execute `job`.
    pub async fn call(&self, addr: &str, stream: u64, job: &Job) -> Result<Answer, JobError> {
        let number = self.number();
        let frame = encode(&Frame::Request { request_id: number, stream, job: job.clone() });
        let (reply, outcome) = oneshot::channel();
        let peer = self.peer(addr);
        if !peer.usable.get() {
            return Err(JobError::Unreachable);
        }
        if peer.queue.try_send(Message::Call { number, frame, reply }).is_err() {
            self.links.borrow_mut().remove(addr);
            return Err(JobError::Unreachable);
        }
        // The owner counts the same time; the rest is for the way there and back.
        let limit = job.limit.duration() + LOOK;
        match tokio::time::timeout(limit, outcome).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(JobError::Lost),
        }
    }

    /// Tells the owner that nothing more comes on `stream`.
    pub fn end(&self, addr: &str, stream: u64) {
        let peer = self.peer(addr);
        if peer.queue.try_send(Message::Notice(encode(&Frame::EndStream { stream }))).is_err() {
            // The owner rolls back when the connection ends.
            self.links.borrow_mut().remove(addr);
        }
    }

    fn peer(&self, addr: &str) -> Rc<Peer> {
        let mut links = self.links.borrow_mut();
        if let Some(peer) = links.get(addr).filter(|peer| !peer.queue.is_closed()) {
            return peer.clone();
        }
        let (queue, messages) = mpsc::channel(QUEUED_FRAMES);
        let (usable, wanted) = (Cell::new(true), Cell::new(Instant::now()));
        let peer = Rc::new(Peer { queue, usable, wanted });
        tokio::task::spawn_local(run(addr.to_owned(), peer.clone(), messages));
        links.insert(addr.to_owned(), peer.clone());
        peer
    }
}

/// Keeps a connection, and opens it anew after a failure as long as it is wanted.
async fn run(addr: String, peer: Rc<Peer>, mut messages: mpsc::Receiver<Message>) {
    let mut outstanding = HashMap::new();
    loop {
        let result = match connect(&addr).await {
            Ok(stream) => {
                if !peer.usable.replace(true) {
                    spdlog::info!("owner is reachable again", kv: {addr = addr.as_str()});
                }
                let (reader, writer) = split_framed(stream);
                exchange(reader, writer, &mut messages, &mut outstanding).await
            }
            Err(error) => Err(error),
        };
        let was_usable = peer.usable.replace(false);
        if let Err(error) = &result
            && was_usable
        {
            spdlog::info!("owner is not reachable", kv: {addr = addr.as_str(), outstanding = outstanding.len(), error = format!("{error:#}").as_str()});
        }
        fail_all(&mut messages, &mut outstanding);
        tokio::time::sleep(RETRY_PAUSE).await;
        if result.is_ok() || peer.wanted.get().elapsed() >= FORGET_AFTER {
            messages.close();
            fail_all(&mut messages, &mut outstanding);
            return;
        }
    }
}

/// Answers all work of a connection that has failed.
fn fail_all(messages: &mut mpsc::Receiver<Message>, outstanding: &mut HashMap<u64, Reply>) {
    for (_, reply) in outstanding.drain() {
        // The caller may have given up.
        let _ = reply.send(Err(JobError::Lost));
    }
    // What is still queued was never sent.
    while let Ok(message) = messages.try_recv() {
        if let Message::Call { reply, .. } = message {
            let _ = reply.send(Err(JobError::Unreachable));
        }
    }
}

async fn exchange(
    mut reader: FrameReader,
    mut writer: FrameWriter,
    messages: &mut mpsc::Receiver<Message>,
    outstanding: &mut HashMap<u64, Reply>,
) -> Result<()> {
    let mut looks = interval(LOOK);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(Message::Call { number, frame, reply }) => {
                    if outstanding.is_empty() {
                        heard = Instant::now();
                    }
                    outstanding.insert(number, reply);
                    writer.send(frame).await?;
                }
                Some(Message::Notice(frame)) => writer.send(frame).await?,
                None => return Ok(()),
            },
            read = reader.next() => {
                let Some(bytes) = read else { bail!("the connection has ended") };
                heard = Instant::now();
                if let Frame::Response { request_id: number, result } = decode(&bytes?)?
                    && let Some(reply) = outstanding.remove(&number)
                {
                    // The caller may have given up.
                    let _ = reply.send(result);
                }
            }
            _ = looks.tick(), if !outstanding.is_empty() => {
                outstanding.retain(|_, reply| !reply.is_closed());
                let silence = heard.elapsed();
                if silence >= LOST_AFTER {
                    bail!("no answer for {} ms", silence.as_millis());
                }
                if silence >= PROBE_AFTER {
                    writer.send(encode(&Frame::Ping)).await?;
                }
            }
        }
    }
}
