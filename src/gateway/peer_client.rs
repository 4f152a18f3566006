//! Calls to other entry hosts, which execute jobs on the targets that they own.
//!
//! There is one connection to each host. While a host owes an answer, it is pinged if it is
//! silent, and [`suspicion`](crate::gateway::suspicion) judges whether it is late or lost. The
//! outstanding calls of a late host keep their connection; those of a lost one are lost.
//! Reconnecting happens in the background, so that no job waits for a connection attempt that
//! fails, and a lost host is used again once it has answered a ping.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use eyre::{Result, bail};
use futures::{SinkExt, StreamExt};
use tokio::{
    sync::{
        mpsc::{self, error::TrySendError},
        oneshot,
    },
    time::{Instant, MissedTickBehavior, interval, timeout},
};

use crate::{
    clock::{Clock, Millis, SystemClock},
    fleet::{
        link::{FrameReader, FrameWriter, connect, decode, discard_on_close, encode, split_framed},
        messages::{CommitNotice, Frame, TokenGrant, TokenRequest},
    },
    gateway::{
        cancellation::AbandonGuard,
        job::{Execution, Job, JobError},
        load_signal::LoadSignal,
        log_limit::{LogDecision, LogLimiter},
        metrics::{GatewayMetrics, PeerEvent},
        suspicion::{Suspicion, Verdict},
    },
    ids::Workspace,
};

/// Interval between checks of a host's silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a host is pinged.
const PING_AFTER: Millis = Millis(100);

/// Interval between pings to a silent host. The connection is reliable, so that further ones only
/// replace answers that the host has dropped.
const PING_INTERVAL: Millis = Millis(400);

/// Part of a reconnect delay that is chosen at random, in percent.
const JITTER_PERCENT: u64 = 25;

/// Time without demand after which reconnecting to a lost host is given up.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Frames that may wait for a connection.
const MAX_QUEUED_FRAMES: usize = 256;

/// Channel for the answer to a call.
#[derive(Debug)]
enum Reply {
    Job(oneshot::Sender<Execution>),
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
            let _ = reply.send(Err(error).into());
        }
    }
}

/// Connections to other entry hosts by address.
pub struct PeerClients {
    peers: RefCell<HashMap<String, Rc<PeerConnection>>>,
    last_id: Cell<u64>,
    shared: Rc<Shared>,
}

/// State of all connections to other hosts.
struct Shared {
    clock: SystemClock,
    suspicion: RefCell<Suspicion>,
    load: Rc<RefCell<LoadSignal>>,
    metrics: Arc<GatewayMetrics>,
    log: RefCell<LogLimiter>,
}

/// Connection to one host.
#[derive(Debug)]
struct PeerConnection {
    queue: mpsc::Sender<Message>,
    /// When the host was last considered for a job.
    last_wanted: Cell<Instant>,
}

#[derive(Debug)]
enum Message {
    Request { request_id: u64, frame: Bytes, reply: Reply },
    Notice(Bytes),
}

impl Shared {
    /// Counts an event of a host, and logs it subject to the rate limit of the log.
    fn record(&self, addr: &str, event: PeerEvent, outstanding: usize, detail: &str) {
        self.metrics.record_peer(event);
        let now = self.clock.now();
        let LogDecision::Write { suppressed } = self.log.borrow_mut().check(now) else { return };
        spdlog::info!("{}", event.text(), kv: {addr, outstanding, error = detail, left_out = suppressed});
    }

    /// Records an answer of a host; `is_busy` if it tells that the host is.
    fn record_answer(&self, addr: &str, is_busy: bool, owes_more: bool) {
        let now = self.clock.now();
        let mut suspicion = self.suspicion.borrow_mut();
        suspicion.record_answer(now, addr, owes_more);
        if is_busy {
            suspicion.record_busy(now, addr);
            self.metrics.record_peer(PeerEvent::Busy);
        }
    }
}

impl PeerClients {
    /// No connections yet; the delays of their timers are recorded in `load`.
    pub fn new(metrics: Arc<GatewayMetrics>, load: Rc<RefCell<LoadSignal>>) -> Self {
        let shared = Shared {
            clock: SystemClock::default(),
            suspicion: RefCell::default(),
            load,
            metrics,
            log: RefCell::default(),
        };
        Self { peers: RefCell::default(), last_id: Cell::default(), shared: Rc::new(shared) }
    }

    /// Id that is unique among the calls and streams of this host.
    pub fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Whether new work that has an alternative should go to the host at `addr`.
    pub fn is_usable(&self, addr: &str) -> bool {
        self.peers.borrow().get(addr).is_none_or(|peer| {
            peer.last_wanted.set(Instant::now());
            let now = self.shared.clock.now();
            peer.queue.is_closed() || self.shared.suspicion.borrow().may_use(now, addr)
        })
    }

    /// Executes `job` at the host at `addr`.
    pub async fn call(&self, addr: &str, stream: u64, job: &Job) -> Execution {
        let request_id = self.next_id();
        let frame = encode(&Frame::Request { request_id, stream, job: job.clone() });
        let (reply, outcome) = oneshot::channel();
        if !self.send(addr, Message::Request { request_id, frame, reply: Reply::Job(reply) }) {
            return Err(JobError::Unreachable).into();
        }
        // The other host applies the same timeout; the margin allows for the round trip.
        let timeout = job.timeout.duration() + CHECK_INTERVAL;
        let abandoned = AbandonGuard::new(|| self.cancel(addr, request_id));
        match tokio::time::timeout(timeout, outcome).await {
            Ok(outcome) => {
                abandoned.disarm();
                outcome.unwrap_or(Err(JobError::Lost).into())
            }
            Err(_) => Err(JobError::Lost).into(),
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
        let frame = encode(&Frame::Ping { tokens: Some(req), commit: None });
        let (reply, outcome) = oneshot::channel();
        if !self.send(addr, Message::Request { request_id, frame, reply: Reply::Tokens(reply) }) {
            return None;
        }
        outcome.await.ok()
    }

    /// Tells the host at `addr` of a commit; returns whether it has answered. The notice is part of a
    /// ping that asks for no tokens, which all builds answer.
    pub async fn tell_commit(&self, addr: &str, notice: CommitNotice) -> bool {
        let request_id = self.next_id();
        let req = TokenRequest { request_id, workspace: Workspace::from(""), wanted: 0 };
        let frame = encode(&Frame::Ping { tokens: Some(req), commit: Some(notice) });
        let (reply, outcome) = oneshot::channel();
        let message = Message::Request { request_id, frame, reply: Reply::Tokens(reply) };
        self.send(addr, message) && outcome.await.is_ok()
    }

    /// Queues a call; returns whether the host may be reached.
    fn send(&self, addr: &str, message: Message) -> bool {
        let peer = self.peer(addr);
        if self.shared.suspicion.borrow().is_lost(addr) {
            return false;
        }
        peer.queue.try_send(message).is_ok()
    }

    /// Ends `stream` at the host at `addr`, which rolls back its open transaction. The message
    /// waits for room in the queue: without it the transaction would stay open at the other host.
    pub fn end(&self, addr: &str, stream: u64) {
        let queue = self.peer(addr).queue.clone();
        let message = Message::Notice(encode(&Frame::EndStream { stream, cancelled: None }));
        if let Err(TrySendError::Full(message)) = queue.try_send(message) {
            // If the connection ends meanwhile, the other host rolls back as well.
            tokio::task::spawn_local(async move { queue.send(message).await });
        }
    }

    fn peer(&self, addr: &str) -> Rc<PeerConnection> {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(addr).filter(|peer| !peer.queue.is_closed()) {
            return peer.clone();
        }
        let (queue, messages) = mpsc::channel(MAX_QUEUED_FRAMES);
        let peer = Rc::new(PeerConnection { queue, last_wanted: Cell::new(Instant::now()) });
        let link = Link { addr: addr.to_owned(), shared: self.shared.clone() };
        tokio::task::spawn_local(link.run(peer.clone(), messages));
        peers.insert(addr.to_owned(), peer.clone());
        peer
    }
}

/// Maintains the connection to one host.
struct Link {
    addr: String,
    shared: Rc<Shared>,
}

impl Link {
    /// Maintains a connection and reopens it after a failure while the host is wanted.
    async fn run(self, peer: Rc<PeerConnection>, mut messages: mpsc::Receiver<Message>) {
        let (addr, shared) = (self.addr.as_str(), &*self.shared);
        let mut outstanding = HashMap::new();
        while let Err(error) = self.run_connection(&mut messages, &mut outstanding).await {
            let was_lost = shared.suspicion.borrow().is_lost(addr);
            let jitter = rand::random_range(0..=JITTER_PERCENT);
            let delay = shared.suspicion.borrow_mut().record_loss(shared.clock.now(), addr, jitter);
            if !was_lost {
                shared.record(addr, PeerEvent::Lost, outstanding.len(), &format!("{error:#}"));
            }
            fail_all(&mut messages, &mut outstanding);
            tokio::time::sleep(delay.duration()).await;
            if peer.last_wanted.get().elapsed() >= RECONNECT_TIMEOUT {
                break;
            }
        }
        messages.close();
        fail_all(&mut messages, &mut outstanding);
        shared.suspicion.borrow_mut().remove(addr);
    }

    async fn run_connection(
        &self,
        messages: &mut mpsc::Receiver<Message>,
        outstanding: &mut HashMap<u64, Reply>,
    ) -> Result<()> {
        let (mut reader, mut writer) = split_framed(connect(&self.addr).await?);
        if self.shared.suspicion.borrow().is_lost(&self.addr) {
            self.try_out(&mut reader, &mut writer).await?;
        }
        let result = self.exchange(&mut reader, &mut writer, messages, outstanding).await;
        if result.is_err() {
            discard_on_close(reader.get_ref().as_ref());
        }
        result
    }

    /// Waits until a host that was lost answers a ping.
    async fn try_out(&self, reader: &mut FrameReader, writer: &mut FrameWriter) -> Result<()> {
        let (addr, shared) = (self.addr.as_str(), &*self.shared);
        let began = shared.clock.now();
        let max_silence = shared.suspicion.borrow().loss_timeout(began, addr);
        writer.send(encode(&Frame::Ping { tokens: None, commit: None })).await?;
        let Ok(answer) = timeout(max_silence.duration(), reader.next()).await else {
            bail!("no answer to the first ping for {max_silence}");
        };
        let Some(bytes) = answer else { bail!("connection closed") };
        let frame = decode(&bytes?)?;
        shared.suspicion.borrow_mut().record_return(shared.clock.now(), addr);
        shared.record_answer(addr, tells_busy(&frame), false);
        shared.record(addr, PeerEvent::Returned, 0, "");
        Ok(())
    }

    async fn exchange(
        &self,
        reader: &mut FrameReader,
        writer: &mut FrameWriter,
        messages: &mut mpsc::Receiver<Message>,
        outstanding: &mut HashMap<u64, Reply>,
    ) -> Result<()> {
        let (addr, shared) = (self.addr.as_str(), &*self.shared);
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut owes_answer = false;
        let mut pinged_at = None;
        let mut is_late = false;
        loop {
            tokio::select! {
                // After a stall of this process, answers that have arrived are read before the
                // host's silence is judged.
                biased;
                read = reader.next() => {
                    let Some(bytes) = read else { bail!("connection closed") };
                    let frame = decode(&bytes?)?;
                    let is_busy = tells_busy(&frame);
                    deliver(frame, outstanding);
                    owes_answer = !outstanding.is_empty();
                    shared.record_answer(addr, is_busy, owes_answer);
                    pinged_at = None;
                    is_late = false;
                }
                message = messages.recv() => match message {
                    Some(Message::Request { request_id, frame, reply }) => {
                        if !owes_answer {
                            owes_answer = true;
                            shared.suspicion.borrow_mut().record_wait(shared.clock.now(), addr);
                            checks.reset();
                        }
                        outstanding.insert(request_id, reply);
                        writer.send(frame).await?;
                    }
                    Some(Message::Notice(frame)) => writer.send(frame).await?,
                    None => return Ok(()),
                },
                due = checks.tick(), if owes_answer => {
                    outstanding.retain(|_, reply| !reply.is_closed());
                    let now = shared.clock.now();
                    let delay = Millis(due.elapsed().as_millis() as u64);
                    shared.load.borrow_mut().record(now, delay);
                    let verdict = shared.suspicion.borrow_mut().check(now, addr, delay);
                    let silence =
                        shared.suspicion.borrow().silence(now, addr).unwrap_or_default();
                    match verdict {
                        Verdict::Lost => bail!("no answer for {silence}"),
                        Verdict::Late if !is_late => {
                            is_late = true;
                            let detail = format!("no answer for {silence}");
                            shared.record(addr, PeerEvent::Late, outstanding.len(), &detail);
                        }
                        Verdict::Late | Verdict::Usual => {}
                    }
                    let may_ping = pinged_at.is_none_or(|at| now.since(at) >= PING_INTERVAL);
                    if silence >= PING_AFTER && may_ping {
                        pinged_at = Some(now);
                        shared.suspicion.borrow_mut().record_ping(now, addr);
                        writer.send(encode(&Frame::Ping { tokens: None, commit: None })).await?;
                    }
                }
            }
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

/// Whether a host tells in `frame` that it is busy.
fn tells_busy(frame: &Frame) -> bool {
    matches!(frame, Frame::Pong { load: Some(load), .. } if load.is_busy())
}

/// Passes an answer to the call that waits for it. The receiver is gone if the call timed
/// out.
fn deliver(frame: Frame, outstanding: &mut HashMap<u64, Reply>) {
    match frame {
        Frame::Response { request_id, result, then } => {
            if let Some(Reply::Job(reply)) = outstanding.remove(&request_id) {
                let _ = reply.send(Execution { result, then });
            }
        }
        Frame::Pong { tokens: Some(grant), .. } => {
            if let Some(Reply::Tokens(reply)) = outstanding.remove(&grant.request_id) {
                let _ = reply.send(grant);
            }
        }
        _ => {}
    }
}
