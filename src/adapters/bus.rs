//! Message bus between control hosts and between entry and control hosts.
//!
//! A process has one pull listener and one push dialer per destination. Messages
//! may be lost: a message that cannot be sent at once is dropped, and its sender
//! repeats the exchange. The messages that arrive from one sender are in order
//! and authenticated, and each arrives at most once.

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

/// Largest message including its envelope, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Messages that wait for one destination. Covers a burst and the time of the
/// first connect; a larger buffer would deliver outdated messages after a pause.
const SEND_BUFFER_MESSAGES: i32 = 8;

/// Received messages that wait inside the socket.
const RECEIVE_BUFFER_MESSAGES: i32 = 64;

/// Received messages that wait for the process before further ones are dropped.
const INBOUND_MESSAGES: usize = 8192;

const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(500);

/// Time without a message after which a dialer is closed. Without this limit the
/// addresses of replaced hosts would be dialed forever.
const IDLE_DIALER: Duration = Duration::from_secs(60);

/// First byte of an envelope, so that its code is valid for no other protocol
/// under the same key.
const ENVELOPE_KIND: u8 = 1;

/// Settings of a [`Bus`].
#[derive(Debug, Clone)]
pub struct BusSettings {
    /// IP address and port of the listener.
    pub listen: String,
    /// Name of this process.
    pub name: String,
    /// Larger than the incarnation of every earlier process of this name.
    pub incarnation: Incarnation,
    pub key: HostKey,
}

/// Authenticated message.
#[derive(Debug, Clone)]
pub struct InboundMessage {
    /// Name of the sender.
    pub from: String,
    pub incarnation: Incarnation,
    pub body: Bytes,
}

/// Numbers of messages by what happened to them.
#[derive(Debug, Default)]
pub struct BusCounters {
    pub sent: AtomicU64,
    /// Not sent because the destination did not take the message at once.
    pub unsent: AtomicU64,
    pub received: AtomicU64,
    /// Dropped because of a wrong code or form.
    pub forged: AtomicU64,
    /// Dropped because the sequence was not larger than the last one.
    pub repeated: AtomicU64,
    /// Dropped because the sender has restarted since.
    pub outdated: AtomicU64,
    /// Not sent because of their size.
    pub oversized: AtomicU64,
    /// Dropped because the process fell behind.
    pub overflow: AtomicU64,
}

/// Sender side of the bus; clones share dialers and listener.
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
    /// Held from the choice of a sequence until the message is queued, so that
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
    /// Opens the listener and starts the thread that receives messages.
    pub fn bind(settings: BusSettings) -> Result<(Bus, mpsc::Receiver<InboundMessage>)> {
        let listen = &settings.listen;
        let (listener, local_addr) =
            open_listener(listen).wrap_err_with(|| format!("the bus cannot listen on {listen}"))?;
        let counters = Arc::new(BusCounters::default());
        let (tx, rx) = mpsc::channel(INBOUND_MESSAGES);
        let mut receiver = Receiver {
            key: settings.key.clone(),
            last: HashMap::new(),
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

    /// Address of the listener, with the port that the system chose.
    pub fn local_addr(&self) -> &str {
        &self.shared.local_addr
    }

    /// Numbers of messages so far.
    pub fn counters(&self) -> &BusCounters {
        &self.shared.counters
    }

    /// Sends `body` to the listener at `addr`, or drops it.
    pub fn send(&self, addr: &str, body: &[u8]) {
        let counters = self.counters();
        let outcome = match self.dialer(addr) {
            Ok(dialer) => self.send_on(&dialer, body),
            Err(error) => {
                spdlog::warn!("the bus cannot dial {addr}: {error}");
                Sent::Unsent
            }
        };
        let counter = match outcome {
            Sent::Queued => &counters.sent,
            Sent::Unsent => &counters.unsent,
            Sent::Oversized => &counters.oversized,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes the connection to `addr`; the next message dials again. Use it
    /// when a peer was silent for long: after a partition, TCP may wait many
    /// seconds before it sends again on an old connection.
    pub fn reset(&self, addr: &str) {
        self.shared.dialers.lock().remove(addr);
    }

    fn send_on(&self, dialer: &Dialer, body: &[u8]) -> Sent {
        let shared = &self.shared;
        let mut last_used = dialer.last_used.lock();
        let envelope = Envelope {
            kind: ENVELOPE_KIND,
            from: &shared.settings.name,
            incarnation: shared.settings.incarnation,
            sequence: shared.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            body,
        };
        let Ok(mut text) = postcard::to_stdvec(&envelope) else { return Sent::Oversized };
        text.extend_from_slice(&shared.settings.key.sign(&text));
        if text.len() > MAX_MESSAGE_BYTES {
            return Sent::Oversized;
        }
        *last_used = Instant::now();
        match dialer.socket.try_send(text.as_slice()) {
            Ok(()) => Sent::Queued,
            Err(_) => Sent::Unsent,
        }
    }

    fn dialer(&self, addr: &str) -> Result<Arc<Dialer>> {
        let mut dialers = self.shared.dialers.lock();
        if let Some(dialer) = dialers.get(addr) {
            return Ok(dialer.clone());
        }
        dialers.retain(|_, dialer| {
            dialer.last_used.try_lock().is_none_or(|used| used.elapsed() < IDLE_DIALER)
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

enum Sent {
    Queued,
    Unsent,
    Oversized,
}

fn open_listener(listen: &str) -> Result<(Socket, String)> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
    socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER_MESSAGES)?;
    let listener = Listener::new(&socket, &format!("tcp://{listen}"))?;
    // The nng crate leaves the port in network byte order.
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

/// Receiving thread: checks each message and passes it on.
struct Receiver {
    key: HostKey,
    /// Incarnation and sequence of the last message of each sender.
    last: HashMap<String, (Incarnation, u64)>,
    counters: Arc<BusCounters>,
    tx: mpsc::Sender<InboundMessage>,
}

impl Receiver {
    fn run(&mut self, socket: &Socket) {
        loop {
            match socket.recv() {
                Ok(message) => self.receive(&message),
                Err(nng::Error::Closed) => return,
                Err(error) => spdlog::warn!("the bus cannot receive a message: {error}"),
            }
        }
    }

    fn receive(&mut self, text: &[u8]) {
        let counter = match self.check(text) {
            Ok(inbound) => match self.tx.try_send(inbound) {
                Ok(()) => &self.counters.received,
                Err(_) => &self.counters.overflow,
            },
            Err(Rejected::Forged) => &self.counters.forged,
            Err(Rejected::Repeated) => &self.counters.repeated,
            Err(Rejected::Outdated) => &self.counters.outdated,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn check(&mut self, text: &[u8]) -> Result<InboundMessage, Rejected> {
        let split = text.len().checked_sub(SIGNATURE_BYTES).ok_or(Rejected::Forged)?;
        let (envelope, mac) = text.split_at(split);
        if !self.key.verify(envelope, mac) {
            return Err(Rejected::Forged);
        }
        let envelope: Envelope<'_> =
            postcard::from_bytes(envelope).map_err(|_| Rejected::Forged)?;
        if envelope.kind != ENVELOPE_KIND {
            return Err(Rejected::Forged);
        }
        self.check_order(&envelope)?;
        Ok(InboundMessage {
            from: envelope.from.to_owned(),
            incarnation: envelope.incarnation,
            body: Bytes::copy_from_slice(envelope.body),
        })
    }

    fn check_order(&mut self, envelope: &Envelope<'_>) -> Result<(), Rejected> {
        let now = (envelope.incarnation, envelope.sequence);
        match self.last.get_mut(envelope.from) {
            Some((incarnation, _)) if *incarnation > envelope.incarnation => {
                Err(Rejected::Outdated)
            }
            Some(last) if *last >= now => Err(Rejected::Repeated),
            Some(last) => {
                *last = now;
                Ok(())
            }
            None => {
                self.last.insert(envelope.from.to_owned(), now);
                Ok(())
            }
        }
    }
}

enum Rejected {
    Forged,
    Repeated,
    Outdated,
}
