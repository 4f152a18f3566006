//! Message bus between control hosts and between entry and control hosts.
//!
//! A process has one nng pull listener and one push dialer per destination.
//! Delivery is best effort: a message that cannot be queued at once is dropped, and
//! the sender is expected to retry. Messages from one sender are authenticated,
//! arrive in order and at most once.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use nng::{
    Listener, Protocol, Socket, SocketAddr,
    options::{
        LocalAddr, Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize, RecvMaxSize,
        SendBufferSize,
        transport::tcp::{KeepAlive, NoDelay},
    },
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{
    ids::Incarnation,
    keys::host::{HostKey, SIGNATURE_BYTES},
};

/// Largest message including its envelope and MAC, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Send buffer of one destination. Covers a burst and the time of the first connect;
/// a larger buffer would deliver outdated messages after a pause.
const SEND_BUFFER_MESSAGES: i32 = 8;

/// Receive buffer of the listener's socket.
const RECV_BUFFER_MESSAGES: i32 = 64;

/// Capacity of the queue to the process; further messages are dropped.
const INBOUND_QUEUE_MESSAGES: usize = 8192;

const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(500);

/// Idle time after which a dialer is closed. Without it the addresses of replaced hosts
/// would be dialed forever.
const DIALER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// First byte of an envelope, so that its MAC is not valid for another protocol that
/// uses the same key.
const ENVELOPE_KIND: u8 = 1;

/// Settings of a [`Bus`].
#[derive(Debug, Clone)]
pub struct BusSettings {
    /// IP address and port of the listener.
    pub listen: String,
    /// Name of this process.
    pub name: String,
    /// Must be larger than that of every earlier process with this name.
    pub incarnation: Incarnation,
    pub key: HostKey,
}

/// Authenticated message from another process.
#[derive(Debug, Clone)]
pub struct InboundMessage {
    /// Name of the sender.
    pub from: String,
    pub incarnation: Incarnation,
    pub body: Bytes,
}

/// Message counts by outcome.
#[derive(Debug, Default)]
pub struct BusCounters {
    pub sent: AtomicU64,
    /// Not sent because the dialer failed or its send buffer was full.
    pub unsent: AtomicU64,
    pub received: AtomicU64,
    /// Dropped because of an invalid MAC or a malformed envelope.
    pub forged: AtomicU64,
    /// Dropped because the sequence was not larger than the last one of the sender.
    pub repeated: AtomicU64,
    /// Dropped because a newer incarnation of the sender is known.
    pub outdated: AtomicU64,
    /// Not sent because they exceed [`MAX_MESSAGE_BYTES`] or cannot be encoded.
    pub oversized: AtomicU64,
    /// Dropped because the queue to the process was full.
    pub overflow: AtomicU64,
}

/// Handle of the bus; clones share the listener and the dialers.
#[derive(Clone)]
pub struct Bus {
    shared: Arc<Shared>,
}

struct Shared {
    settings: BusSettings,
    listener: Socket,
    local_addr: String,
    sequence: AtomicU64,
    dialers: Mutex<HashMap<String, Arc<Dialer>>>,
    counters: Arc<BusCounters>,
}

struct Dialer {
    socket: Socket,
    /// Locked from the choice of a sequence until the message is queued, so that
    /// sequences reach a destination in order.
    last_used: Mutex<Instant>,
}

#[derive(Serialize, Deserialize)]
struct Envelope<'a> {
    kind: u8,
    from: &'a str,
    incarnation: Incarnation,
    sequence: u64,
    #[serde(borrow)]
    body: &'a [u8],
}

impl Bus {
    /// Opens the listener and starts the receiving thread.
    pub fn bind(settings: BusSettings) -> Result<(Bus, mpsc::Receiver<InboundMessage>)> {
        let listen = &settings.listen;
        let (listener, local_addr) = open_listener(listen)
            .wrap_err_with(|| format!("cannot listen on {listen} for the bus"))?;
        let counters = Arc::new(BusCounters::default());
        let (tx, rx) = mpsc::channel(INBOUND_QUEUE_MESSAGES);
        let mut receiver = Receiver {
            key: settings.key.clone(),
            last_seen: HashMap::new(),
            counters: counters.clone(),
            tx,
        };
        let socket = listener.clone();
        thread::Builder::new().name("bus".to_owned()).spawn(move || receiver.run(&socket))?;
        let shared = Shared {
            settings,
            listener,
            local_addr,
            sequence: AtomicU64::new(0),
            dialers: Mutex::default(),
            counters,
        };
        Ok((Bus { shared: Arc::new(shared) }, rx))
    }

    /// Bound address of the listener, with the actual port.
    pub fn local_addr(&self) -> &str {
        &self.shared.local_addr
    }

    pub fn counters(&self) -> &BusCounters {
        &self.shared.counters
    }

    /// Queues `body` for the listener at `addr`, or drops it.
    pub fn send(&self, addr: &str, body: &[u8]) {
        let counters = self.counters();
        let outcome = match self.dialer(addr) {
            Ok(dialer) => self.try_send(&dialer, body),
            Err(error) => {
                spdlog::warn!("cannot open a bus dialer to {addr}: {error}");
                SendOutcome::Unsent
            }
        };
        let counter = match outcome {
            SendOutcome::Queued => &counters.sent,
            SendOutcome::Unsent => &counters.unsent,
            SendOutcome::Oversized => &counters.oversized,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes the connection to `addr`; the next message dials again. Meant for peers
    /// that have been silent for long: after a partition, TCP may wait many seconds
    /// before it retransmits on an existing connection.
    pub fn reset(&self, addr: &str) {
        self.shared.dialers.lock().remove(addr);
    }

    fn try_send(&self, dialer: &Dialer, body: &[u8]) -> SendOutcome {
        let shared = &self.shared;
        let mut last_used = dialer.last_used.lock();
        let envelope = Envelope {
            kind: ENVELOPE_KIND,
            from: &shared.settings.name,
            incarnation: shared.settings.incarnation,
            sequence: shared.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            body,
        };
        let Ok(mut buf) = postcard::to_stdvec(&envelope) else { return SendOutcome::Oversized };
        buf.extend_from_slice(&shared.settings.key.sign(&buf));
        if buf.len() > MAX_MESSAGE_BYTES {
            return SendOutcome::Oversized;
        }
        *last_used = Instant::now();
        match dialer.socket.try_send(buf.as_slice()) {
            Ok(()) => SendOutcome::Queued,
            Err(_) => SendOutcome::Unsent,
        }
    }

    fn dialer(&self, addr: &str) -> Result<Arc<Dialer>> {
        let mut dialers = self.shared.dialers.lock();
        if let Some(dialer) = dialers.get(addr) {
            return Ok(dialer.clone());
        }
        dialers.retain(|_, dialer| {
            dialer.last_used.try_lock().is_none_or(|used| used.elapsed() < DIALER_IDLE_TIMEOUT)
        });
        let dialer = Arc::new(open_dialer(addr)?);
        dialers.insert(addr.to_owned(), dialer.clone());
        Ok(dialer)
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.listener.close();
    }
}

enum SendOutcome {
    Queued,
    Unsent,
    Oversized,
}

fn open_listener(listen: &str) -> Result<(Socket, String)> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
    socket.set_opt::<RecvBufferSize>(RECV_BUFFER_MESSAGES)?;
    let listener = Listener::new(&socket, &format!("tcp://{listen}"))?;
    // The nng crate returns the port in network byte order.
    let local_addr = match listener.get_opt::<LocalAddr>()? {
        SocketAddr::Inet(addr) => format!("{}:{}", addr.ip(), u16::from_be(addr.port())),
        SocketAddr::Inet6(addr) => format!("[{}]:{}", addr.ip(), u16::from_be(addr.port())),
        other => return Err(eyre!("unexpected listener address {other:?}")),
    };
    Ok((socket, local_addr))
}

fn open_dialer(addr: &str) -> Result<Dialer> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.set_opt::<NoDelay>(true)?;
    socket.set_opt::<KeepAlive>(true)?;
    socket.dial_async(&format!("tcp://{addr}"))?;
    Ok(Dialer { socket, last_used: Mutex::new(Instant::now()) })
}

/// State of the receiving thread, which verifies each message and forwards it.
struct Receiver {
    key: HostKey,
    /// Incarnation and sequence of the last message of each sender.
    last_seen: HashMap<String, (Incarnation, u64)>,
    counters: Arc<BusCounters>,
    tx: mpsc::Sender<InboundMessage>,
}

impl Receiver {
    fn run(&mut self, socket: &Socket) {
        loop {
            match socket.recv() {
                Ok(message) => self.receive(&message),
                Err(nng::Error::Closed) => return,
                Err(error) => spdlog::warn!("cannot receive a bus message: {error}"),
            }
        }
    }

    fn receive(&mut self, buf: &[u8]) {
        let counter = match self.verify(buf) {
            Ok(inbound) => match self.tx.try_send(inbound) {
                Ok(()) => &self.counters.received,
                Err(_) => &self.counters.overflow,
            },
            Err(RejectReason::Forged) => &self.counters.forged,
            Err(RejectReason::Repeated) => &self.counters.repeated,
            Err(RejectReason::Outdated) => &self.counters.outdated,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn verify(&mut self, buf: &[u8]) -> Result<InboundMessage, RejectReason> {
        let mac_start = buf.len().checked_sub(SIGNATURE_BYTES).ok_or(RejectReason::Forged)?;
        let (envelope, mac) = buf.split_at(mac_start);
        if !self.key.verify(envelope, mac) {
            return Err(RejectReason::Forged);
        }
        let envelope: Envelope<'_> =
            postcard::from_bytes(envelope).map_err(|_| RejectReason::Forged)?;
        if envelope.kind != ENVELOPE_KIND {
            return Err(RejectReason::Forged);
        }
        self.check_sequence(&envelope)?;
        Ok(InboundMessage {
            from: envelope.from.to_owned(),
            incarnation: envelope.incarnation,
            body: Bytes::copy_from_slice(envelope.body),
        })
    }

    fn check_sequence(&mut self, envelope: &Envelope<'_>) -> Result<(), RejectReason> {
        let current = (envelope.incarnation, envelope.sequence);
        match self.last_seen.get_mut(envelope.from) {
            Some((incarnation, _)) if *incarnation > envelope.incarnation => {
                Err(RejectReason::Outdated)
            }
            Some(last) if *last >= current => Err(RejectReason::Repeated),
            Some(last) => {
                *last = current;
                Ok(())
            }
            None => {
                self.last_seen.insert(envelope.from.to_owned(), current);
                Ok(())
            }
        }
    }
}

enum RejectReason {
    Forged,
    Repeated,
    Outdated,
}
