//! Client side of peer connections: one connection per address, opened on demand.

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

/// Time limit for the TCP connect; the handshake has its own.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Capacity of the queue to the writer of one connection.
const QUEUED_REQUESTS: usize = 4096;

/// Time after a failed connect during which further calls fail at once.
///
/// Without it, each request to a dead host would wait for the connect timeout.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Reason why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CallError {
    /// The request was not sent.
    #[display("the host cannot be reached")]
    NotSent,
    /// The connection was lost; the request may have arrived.
    #[display("the connection was lost before the answer arrived")]
    Lost,
    /// The time limit has passed; the request may have arrived and may still be running.
    #[display("the answer did not arrive in time")]
    Timeout,
}

impl std::error::Error for CallError {}

/// Client for requests to other entry hosts; clones share the connections.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

struct Shared {
    key: HostKey,
    host: HostId,
    connections: Mutex<IndexMap<String, Slot>>,
}

/// State of one address; under the async lock one call connects while others wait.
type Slot = Arc<tokio::sync::Mutex<ConnectionState>>;

#[derive(Default)]
struct ConnectionState {
    connection: Option<Arc<Connection>>,
    failed_at: Option<tokio::time::Instant>,
}

struct Connection {
    tx: mpsc::Sender<QueuedRequest>,
    pending: Arc<Pending>,
}

struct QueuedRequest {
    id: u64,
    body: Bytes,
}

#[derive(Default)]
struct Pending {
    table: Mutex<PendingTable>,
}

#[derive(Default)]
struct PendingTable {
    last_id: u64,
    closed: bool,
    waiting: IndexMap<u64, oneshot::Sender<PeerResponse>>,
}

impl Pending {
    fn register(&self) -> Option<(u64, oneshot::Receiver<PeerResponse>)> {
        let mut table = self.table.lock();
        if table.closed {
            return None;
        }
        table.last_id += 1;
        let id = table.last_id;
        let (tx, rx) = oneshot::channel();
        table.waiting.insert(id, tx);
        Some((id, rx))
    }

    fn complete(&self, id: u64, response: PeerResponse) {
        // A response without a pending request is late: its call has ended.
        if let Some(tx) = self.remove(id) {
            let _ = tx.send(response);
        }
    }

    fn remove(&self, id: u64) -> Option<oneshot::Sender<PeerResponse>> {
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

/// Removes a pending request when its call ends.
struct PendingGuard<'a> {
    pending: &'a Pending,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.pending.remove(self.id);
    }
}

impl PeerClient {
    /// Creates a client that identifies itself as `host`.
    pub fn new(host: HostId, key: HostKey) -> Self {
        Self { shared: Arc::new(Shared { key, host, connections: Mutex::default() }) }
    }

    /// Sends `req` to the host at `addr` and waits up to `limit` for the response.
    pub async fn call(
        &self,
        addr: &str,
        req: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, CallError> {
        let body = postcard::to_stdvec(req).map_err(|_| CallError::NotSent)?;
        let connection = self.connection(addr).await?;
        let (id, rx) = connection.pending.register().ok_or(CallError::NotSent)?;
        let _guard = PendingGuard { pending: &connection.pending, id };
        let queued = QueuedRequest { id, body: body.into() };
        connection.tx.try_send(queued).map_err(|_| CallError::NotSent)?;
        match timeout(limit, rx).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(CallError::Lost),
            Err(_) => Err(CallError::Timeout),
        }
    }

    async fn connection(&self, addr: &str) -> Result<Arc<Connection>, CallError> {
        let slot = self.slot(addr);
        let mut state = slot.lock().await;
        if let Some(connection) = &state.connection
            && !connection.pending.is_closed()
        {
            return Ok(connection.clone());
        }
        if state.failed_at.is_some_and(|at| at.elapsed() < RECONNECT_BACKOFF) {
            return Err(CallError::NotSent);
        }
        match self.connect(addr).await {
            Ok(connection) => {
                *state = ConnectionState { connection: Some(connection.clone()), failed_at: None };
                Ok(connection)
            }
            Err(error) => {
                spdlog::debug!("cannot connect to the host at {addr}: {error}");
                let failed_at = Some(tokio::time::Instant::now());
                *state = ConnectionState { connection: None, failed_at };
                Err(CallError::NotSent)
            }
        }
    }

    fn slot(&self, addr: &str) -> Slot {
        let mut connections = self.shared.connections.lock();
        if let Some(slot) = connections.get(addr) {
            return slot.clone();
        }
        connections.entry(addr.to_owned()).or_default().clone()
    }

    async fn connect(&self, addr: &str) -> eyre::Result<Arc<Connection>> {
        let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        handshake::connect(&mut stream, &self.shared.key, &self.shared.host).await?;
        let (tx, rx) = mpsc::channel(QUEUED_REQUESTS);
        let pending = Arc::new(Pending::default());
        tokio::spawn(run_connection(stream, rx, pending.clone()));
        Ok(Arc::new(Connection { tx, pending }))
    }
}

/// Transfers frames until the connection fails, then fails all pending requests.
async fn run_connection(
    stream: TcpStream,
    rx: mpsc::Receiver<QueuedRequest>,
    pending: Arc<Pending>,
) {
    let (sink, source) = Framed::new(stream, codec()).split();
    tokio::select! {
        () = write_requests(sink, rx) => {}
        () = read_responses(source, &pending) => {}
    }
    pending.close();
}

type Sink =
    futures::stream::SplitSink<Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>, Bytes>;
type Source =
    futures::stream::SplitStream<Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>>;

async fn write_requests(mut sink: Sink, mut rx: mpsc::Receiver<QueuedRequest>) {
    while let Some(queued) = rx.recv().await {
        if feed_request(&mut sink, queued).await.is_err() {
            return;
        }
        while let Ok(queued) = rx.try_recv() {
            if feed_request(&mut sink, queued).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

async fn feed_request(sink: &mut Sink, queued: QueuedRequest) -> std::io::Result<()> {
    for frame in split_message(queued.id, queued.body) {
        sink.feed(frame.encode()).await?;
    }
    Ok(())
}

async fn read_responses(mut source: Source, pending: &Pending) {
    let mut reassembler = Reassembler::default();
    while let Some(Ok(buf)) = source.next().await {
        let message = Frame::decode(buf.freeze()).and_then(|frame| reassembler.push(frame));
        match message {
            Ok(Some((id, body))) => match postcard::from_bytes(&body) {
                Ok(response) => pending.complete(id, response),
                Err(error) => {
                    spdlog::warn!("closing a peer connection: invalid response: {error}");
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
