//! Client side of the peer link: one connection per address, opened on demand.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::timeout,
};
use tokio_util::codec::Framed;

use super::{
    frame::{Frame, Reassembler, codec, split_message},
    handshake,
};
use crate::{
    ids::HostId,
    keys::host::HostKey,
    wire::peer::{PeerRequest, PeerResponse},
};

/// Time to open a connection, without the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests that wait for the writer of one connection.
const QUEUE_REQUESTS: usize = 4096;

/// Time after a failed connect during which further calls fail at once.
///
/// Without it each request to a dead host would wait for the connect timeout.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CallError {
    /// Nothing left this host.
    #[display("the host cannot be reached")]
    NotSent,
    /// Request may have arrived.
    #[display("the connection was lost before the answer arrived")]
    Lost,
    /// Request may have arrived and may still run.
    #[display("the answer did not arrive in time")]
    Timeout,
}

impl std::error::Error for CallError {}

/// Connections to other entry hosts.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

struct Shared {
    key: HostKey,
    host: HostId,
    links: Mutex<IndexMap<String, Slot>>,
}

/// Per-address state; the async lock lets one caller connect while others wait.
type Slot = Arc<tokio::sync::Mutex<LinkState>>;

#[derive(Default)]
struct LinkState {
    link: Option<Arc<Link>>,
    failed_at: Option<tokio::time::Instant>,
}

struct Link {
    tx: mpsc::Sender<Outgoing>,
    pending: Arc<Pending>,
}

struct Outgoing {
    id: u64,
    body: Bytes,
}

#[derive(Default)]
struct Pending {
    table: Mutex<PendingTable>,
}

#[derive(Default)]
struct PendingTable {
    next: u64,
    closed: bool,
    waiting: IndexMap<u64, oneshot::Sender<PeerResponse>>,
}

impl Pending {
    fn register(&self) -> Option<(u64, oneshot::Receiver<PeerResponse>)> {
        let mut table = self.table.lock();
        if table.closed {
            return None;
        }
        table.next += 1;
        let id = table.next;
        let (tx, rx) = oneshot::channel();
        table.waiting.insert(id, tx);
        Some((id, rx))
    }

    fn complete(&self, id: u64, answer: PeerResponse) {
        // Answers without a waiting request are late; their callers have gone.
        if let Some(tx) = self.forget(id) {
            let _ = tx.send(answer);
        }
    }

    fn forget(&self, id: u64) -> Option<oneshot::Sender<PeerResponse>> {
        self.table.lock().waiting.swap_remove(&id)
    }

    fn close(&self) {
        let mut table = self.table.lock();
        table.closed = true;
        table.waiting.clear();
    }

    fn is_closed(&self) -> bool {
        self.table.lock().closed
    }
}

/// Removes a request whose caller stopped waiting.
struct Registration<'a> {
    pending: &'a Pending,
    id: u64,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.pending.forget(self.id);
    }
}

impl PeerClient {
    /// Client that identifies itself as `host`.
    pub fn new(host: HostId, key: HostKey) -> Self {
        Self { shared: Arc::new(Shared { key, host, links: Mutex::default() }) }
    }

    /// Sends `req` to the host at `addr` and waits for its answer.
    pub async fn call(
        &self,
        addr: &str,
        req: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, CallError> {
        let body = postcard::to_stdvec(req).map_err(|_| CallError::NotSent)?;
        let link = self.link(addr).await?;
        let (id, rx) = link.pending.register().ok_or(CallError::NotSent)?;
        let _registration = Registration { pending: &link.pending, id };
        let outgoing = Outgoing { id, body: body.into() };
        link.tx.try_send(outgoing).map_err(|_| CallError::NotSent)?;
        match timeout(limit, rx).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(CallError::Lost),
            Err(_) => Err(CallError::Timeout),
        }
    }

    async fn link(&self, addr: &str) -> Result<Arc<Link>, CallError> {
        let slot = self.slot(addr);
        let mut state = slot.lock().await;
        if let Some(link) = &state.link
            && !link.pending.is_closed()
        {
            return Ok(link.clone());
        }
        if state.failed_at.is_some_and(|at| at.elapsed() < RECONNECT_PAUSE) {
            return Err(CallError::NotSent);
        }
        match self.connect(addr).await {
            Ok(link) => {
                *state = LinkState { link: Some(link.clone()), failed_at: None };
                Ok(link)
            }
            Err(error) => {
                spdlog::debug!("cannot connect to host at {addr}: {error}");
                let failed_at = Some(tokio::time::Instant::now());
                *state = LinkState { link: None, failed_at };
                Err(CallError::NotSent)
            }
        }
    }

    fn slot(&self, addr: &str) -> Slot {
        let mut links = self.shared.links.lock();
        if let Some(slot) = links.get(addr) {
            return slot.clone();
        }
        links.entry(addr.to_owned()).or_default().clone()
    }

    async fn connect(&self, addr: &str) -> eyre::Result<Arc<Link>> {
        let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        handshake::connect(&mut stream, &self.shared.key, &self.shared.host).await?;
        let (tx, rx) = mpsc::channel(QUEUE_REQUESTS);
        let pending = Arc::new(Pending::default());
        tokio::spawn(run(stream, rx, pending.clone()));
        Ok(Arc::new(Link { tx, pending }))
    }
}

/// Moves frames until the connection breaks, then fails all open requests.
async fn run(stream: TcpStream, rx: mpsc::Receiver<Outgoing>, pending: Arc<Pending>) {
    let (sink, source) = Framed::new(stream, codec()).split();
    tokio::select! {
        () = write(sink, rx) => {}
        () = read(source, &pending) => {}
    }
    pending.close();
}

type Sink =
    futures::stream::SplitSink<Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>, Bytes>;
type Source =
    futures::stream::SplitStream<Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>>;

async fn write(mut sink: Sink, mut rx: mpsc::Receiver<Outgoing>) {
    while let Some(outgoing) = rx.recv().await {
        if feed(&mut sink, outgoing).await.is_err() {
            return;
        }
        while let Ok(outgoing) = rx.try_recv() {
            if feed(&mut sink, outgoing).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

async fn feed(sink: &mut Sink, outgoing: Outgoing) -> std::io::Result<()> {
    for frame in split_message(outgoing.id, outgoing.body) {
        sink.feed(frame.encode()).await?;
    }
    Ok(())
}

async fn read(mut source: Source, pending: &Pending) {
    let mut reassembler = Reassembler::default();
    while let Some(Ok(buf)) = source.next().await {
        let message = Frame::decode(buf.freeze()).and_then(|frame| reassembler.push(frame));
        match message {
            Ok(Some((id, body))) => match postcard::from_bytes(&body) {
                Ok(answer) => pending.complete(id, answer),
                Err(error) => {
                    spdlog::warn!("closing a peer connection: invalid answer: {error}");
                    return;
                }
            },
            Ok(None) => {}
            Err(error) => {
                spdlog::warn!("closing a peer connection: {error}");
                return;
            }
        }
    }
}
