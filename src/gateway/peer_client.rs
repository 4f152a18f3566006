//! Calls to other entry hosts, which execute jobs on the targets that they own.
//!
//! There is one connection to each host. While calls are outstanding, a silent host is
//! pinged; if it does not answer, it is marked as unusable and the outstanding calls are
//! lost. Reconnecting happens in the background, so that no job waits for a connection
//! attempt that fails.

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
        link::{FrameReader, FrameWriter, connect, decode, discard_on_close, encode, split_framed},
        messages::{Frame, TokenGrant, TokenRequest},
    },
    gateway::{
        cancellation::AbandonGuard,
        job::{Job, JobError},
        statement::Answer,
    },
    ids::Workspace,
};

/// Interval between checks of a host's silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a host is pinged.
const PING_AFTER: Duration = Duration::from_millis(100);

/// Silence after which a connection counts as lost; long enough for the retransmission of
/// a lost packet.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);

/// Delay before the next attempt to reconnect.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Time without demand after which reconnecting to a lost host is given up.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Frames that may wait for a connection.
const MAX_QUEUED_FRAMES: usize = 256;

/// Channel for the answer to a call.
#[derive(Debug)]
enum Reply {
    Job(oneshot::Sender<Result<Answer, JobError>>),
    Tokens(oneshot::Sender<TokenGrant>),
}

impl Reply {
    fn is_closed(&self) -> bool {
        match self {
            Self::Job(reply) => reply.is_closed(),
            Self::Tokens(reply) => reply.is_closed(),
        }
    }

    /// Reports that the call has failed. The receiver is gone if the call timed out.
    fn fail(self, error: JobError) {
        if let Self::Job(reply) = self {
            let _ = reply.send(Err(error));
        }
    }
}

/// Connections to other entry hosts by address.
#[derive(Debug, Default)]
pub struct PeerClients {
    peers: RefCell<HashMap<String, Rc<PeerConnection>>>,
    last_id: Cell<u64>,
}

/// Connection to one host.
#[derive(Debug)]
struct PeerConnection {
    queue: mpsc::Sender<Message>,
    /// Whether the host should be used.
    usable: Cell<bool>,
    /// When the host was last considered for a job.
    last_wanted: Cell<Instant>,
}

#[derive(Debug)]
enum Message {
    Request { request_id: u64, frame: Bytes, reply: Reply },
    Notice(Bytes),
}

impl PeerClients {
    /// Id that is unique among the calls and streams of this host.
    pub fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Whether the host at `addr` should be used.
    pub fn is_usable(&self, addr: &str) -> bool {
        self.peers.borrow().get(addr).is_none_or(|peer| {
            peer.last_wanted.set(Instant::now());
            peer.usable.get() || peer.queue.is_closed()
        })
    }

    /// Executes `job` at the host at `addr`.
    pub async fn call(&self, addr: &str, stream: u64, job: &Job) -> Result<Answer, JobError> {
        let request_id = self.next_id();
        let frame = encode(&Frame::Request { request_id, stream, job: job.clone() });
        let (reply, outcome) = oneshot::channel();
        if !self.send(addr, Message::Request { request_id, frame, reply: Reply::Job(reply) }) {
            return Err(JobError::Unreachable);
        }
        // The other host applies the same timeout; the margin allows for the round trip.
        let timeout = job.timeout.duration() + CHECK_INTERVAL;
        let abandoned = AbandonGuard::new(|| self.cancel(addr, request_id));
        match tokio::time::timeout(timeout, outcome).await {
            Ok(outcome) => {
                abandoned.disarm();
                outcome.unwrap_or(Err(JobError::Lost))
            }
            Err(_) => Err(JobError::Lost),
        }
    }

    /// Tells the host at `addr` that nobody waits for the answer to a call.
    fn cancel(&self, addr: &str, request_id: u64) {
        let frame = encode(&Frame::EndStream { stream: 0, cancelled: Some(request_id) });
        if let Some(peer) = self.peers.borrow().get(addr) {
            // Without a connection the other host cancels all calls of this one.
            let _ = peer.queue.try_send(Message::Notice(frame));
        }
    }

    /// Borrows a token of `workspace` from the host at `addr`; `None` if it does not answer.
    /// The request is part of a ping, which all builds answer.
    pub async fn borrow_token(&self, addr: &str, workspace: &Workspace) -> Option<TokenGrant> {
        let request_id = self.next_id();
        let req = TokenRequest { request_id, workspace: workspace.clone(), wanted: 1 };
        let frame = encode(&Frame::Ping { tokens: Some(req) });
        let (reply, outcome) = oneshot::channel();
        if !self.send(addr, Message::Request { request_id, frame, reply: Reply::Tokens(reply) }) {
            return None;
        }
        outcome.await.ok()
    }

    /// Queues a call; returns whether the host may be reached.
    fn send(&self, addr: &str, message: Message) -> bool {
        let peer = self.peer(addr);
        if !peer.usable.get() {
            return false;
        }
        let is_queued = peer.queue.try_send(message).is_ok();
        if !is_queued {
            self.peers.borrow_mut().remove(addr);
        }
        is_queued
    }

    /// Ends `stream` at the host at `addr`, which rolls back its open transaction.
    pub fn end(&self, addr: &str, stream: u64) {
        let peer = self.peer(addr);
        if peer
            .queue
            .try_send(Message::Notice(encode(&Frame::EndStream { stream, cancelled: None })))
            .is_err()
        {
            // The other host rolls back when the connection closes.
            self.peers.borrow_mut().remove(addr);
        }
    }

    fn peer(&self, addr: &str) -> Rc<PeerConnection> {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(addr).filter(|peer| !peer.queue.is_closed()) {
            return peer.clone();
        }
        let (queue, messages) = mpsc::channel(MAX_QUEUED_FRAMES);
        let (usable, last_wanted) = (Cell::new(true), Cell::new(Instant::now()));
        let peer = Rc::new(PeerConnection { queue, usable, last_wanted });
        tokio::task::spawn_local(run(addr.to_owned(), peer.clone(), messages));
        peers.insert(addr.to_owned(), peer.clone());
        peer
    }
}

/// Maintains a connection and reopens it after a failure while the host is wanted.
async fn run(addr: String, peer: Rc<PeerConnection>, mut messages: mpsc::Receiver<Message>) {
    let mut outstanding = HashMap::new();
    loop {
        let result = match connect(&addr).await {
            Ok(stream) => {
                if !peer.usable.replace(true) {
                    spdlog::info!("entry host is reachable again", kv: {addr = addr.as_str()});
                }
                let (mut reader, mut writer) = split_framed(stream);
                let result =
                    exchange(&mut reader, &mut writer, &mut messages, &mut outstanding).await;
                if result.is_err() {
                    discard_on_close(reader.get_ref().as_ref());
                }
                result
            }
            Err(error) => Err(error),
        };
        let was_usable = peer.usable.replace(false);
        if let Err(error) = &result
            && was_usable
        {
            spdlog::info!("entry host is unreachable", kv: {addr = addr.as_str(), outstanding = outstanding.len(), error = format!("{error:#}").as_str()});
        }
        fail_all(&mut messages, &mut outstanding);
        tokio::time::sleep(RECONNECT_DELAY).await;
        if result.is_ok() || peer.last_wanted.get().elapsed() >= RECONNECT_TIMEOUT {
            messages.close();
            fail_all(&mut messages, &mut outstanding);
            return;
        }
    }
}

/// Fails all calls on a lost connection.
fn fail_all(messages: &mut mpsc::Receiver<Message>, outstanding: &mut HashMap<u64, Reply>) {
    for (_, reply) in outstanding.drain() {
        reply.fail(JobError::Lost);
    }
    // Queued calls were never sent.
    while let Ok(message) = messages.try_recv() {
        if let Message::Request { reply, .. } = message {
            reply.fail(JobError::Unreachable);
        }
    }
}

/// Passes an answer to the call that waits for it. The receiver is gone if the call timed
/// out.
fn deliver(frame: Frame, outstanding: &mut HashMap<u64, Reply>) {
    match frame {
        Frame::Response { request_id, result } => {
            if let Some(Reply::Job(reply)) = outstanding.remove(&request_id) {
                let _ = reply.send(result);
            }
        }
        Frame::Pong { tokens: Some(grant) } => {
            if let Some(Reply::Tokens(reply)) = outstanding.remove(&grant.request_id) {
                let _ = reply.send(grant);
            }
        }
        _ => {}
    }
}

async fn exchange(
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    messages: &mut mpsc::Receiver<Message>,
    outstanding: &mut HashMap<u64, Reply>,
) -> Result<()> {
    let mut checks = interval(CHECK_INTERVAL);
    let mut last_received = Instant::now();
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(Message::Request { request_id, frame, reply }) => {
                    if outstanding.is_empty() {
                        last_received = Instant::now();
                    }
                    outstanding.insert(request_id, reply);
                    writer.send(frame).await?;
                }
                Some(Message::Notice(frame)) => writer.send(frame).await?,
                None => return Ok(()),
            },
            read = reader.next() => {
                let Some(bytes) = read else { bail!("connection closed") };
                last_received = Instant::now();
                deliver(decode(&bytes?)?, outstanding);
            }
            _ = checks.tick(), if !outstanding.is_empty() => {
                outstanding.retain(|_, reply| !reply.is_closed());
                let silence = last_received.elapsed();
                if silence >= SILENCE_TIMEOUT {
                    bail!("no answer for {} ms", silence.as_millis());
                }
                if silence >= PING_AFTER {
                    writer.send(encode(&Frame::Ping { tokens: None })).await?;
                }
            }
        }
    }
}
