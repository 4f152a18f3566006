//! Framed TCP connections between the hosts of a fleet.
//!
//! A connection may stop delivering data without being closed. Senders therefore bound the
//! time for which data may stay unacknowledged, and a peer that expects answers opens a new
//! connection when none arrive.

use std::{
    collections::HashMap,
    io::{Read, Write as _},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use eyre::{Result, WrapErr, bail};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use futures::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::mpsc,
    time::timeout,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::{
    clock::Millis,
    fleet::messages::{ConfigStatus, FleetView, Frame, HostReport, HostUpdate, TokenGrant},
    gateway::{job::Job, load_signal::LoadReport},
};

/// Time to establish a connection; allows several round trips between distant failure
/// domains.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for which sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
const MAX_UNACKNOWLEDGED_MS: u32 = 1_500;

/// Maximum frame size; a part of a snapshot or a batch of log entries fits.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Capacity of a connection's send queue. Frames beyond it are dropped; the protocols send
/// again what is lost.
const SEND_QUEUE_LEN: usize = 256;

/// Read half of a connection.
pub type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Write half of a connection.
pub type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Minimum size of a frame to be compressed; on smaller ones the DEFLATE codes outweigh the
/// gain.
const COMPRESS_FROM_BYTES: usize = 256;

/// First byte of an uncompressed frame.
const PLAIN: u8 = 0;

/// First byte of a compressed frame.
const DEFLATED: u8 = 1;

/// Stands before the load in an answer to a ping without a request. No request has the id 0, so
/// that older builds ignore it.
const NO_GRANT: TokenGrant = TokenGrant { request_id: 0, tokens: 0, retry_after: Millis(0) };

/// Encodes a frame, compressed if that makes it smaller.
pub fn encode(frame: &Frame) -> Bytes {
    match try_encode(frame) {
        Ok(bytes) => bytes.into(),
        Err(error) => {
            spdlog::error!("cannot encode a frame: {error:#}");
            Bytes::new()
        }
    }
}

fn try_encode(frame: &Frame) -> Result<Vec<u8>> {
    let plain = append_extension(frame, postcard::to_extend(frame, vec![PLAIN])?)?;
    if plain.len() < COMPRESS_FROM_BYTES {
        return Ok(plain);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder.write_all(&plain[1..])?;
    let deflated = encoder.finish()?;
    Ok(if deflated.len() < plain.len() { deflated } else { plain })
}

/// Appends the fields of `frame` that older builds do not know and ignore.
fn append_extension(frame: &Frame, buf: Vec<u8>) -> postcard::Result<Vec<u8>> {
    match frame {
        Frame::Report(HostReport { limits: Some(limits), load, .. }) => {
            append_load(*load, postcard::to_extend(limits, buf)?)
        }
        Frame::Update(update @ HostUpdate { limits: Some(limits), .. }) => {
            append_update_extension(update, postcard::to_extend(limits, buf)?)
        }
        Frame::Ping { tokens: Some(req), commit } => {
            let buf = postcard::to_extend(req, buf)?;
            match commit {
                Some(commit) => postcard::to_extend(commit, buf),
                None => Ok(buf),
            }
        }
        Frame::Request { job: Job { urgency: Some(urgency), then, .. }, .. } => {
            let buf = postcard::to_extend(urgency, buf)?;
            match then {
                Some(then) => postcard::to_extend(&**then, buf),
                None => Ok(buf),
            }
        }
        Frame::Response { then: Some(then), .. } => postcard::to_extend(then, buf),
        Frame::EndStream { cancelled: Some(request_id), .. } => {
            postcard::to_extend(request_id, buf)
        }
        Frame::Pong { tokens: Some(grant), load } => {
            append_load(*load, postcard::to_extend(grant, buf)?)
        }
        Frame::Pong { tokens: None, load: load @ Some(_) } => {
            append_load(*load, postcard::to_extend(&NO_GRANT, buf)?)
        }
        _ => Ok(buf),
    }
}

/// Appends the sender's load, if there is one to tell.
fn append_load(load: Option<LoadReport>, buf: Vec<u8>) -> postcard::Result<Vec<u8>> {
    match load {
        Some(load) => postcard::to_extend(&load, buf),
        None => Ok(buf),
    }
}

fn decode_load(extension: &[u8]) -> postcard::Result<Option<LoadReport>> {
    if extension.is_empty() { Ok(None) } else { postcard::from_bytes(extension).map(Some) }
}

/// Appends what follows the limits of an update: the status of the configuration, then the
/// successors and the evacuated failure domains in the view. An update with a view extends no
/// lease, and the status counts only with one, so any status may stand before them.
fn append_update_extension(update: &HostUpdate, buf: Vec<u8>) -> postcard::Result<Vec<u8>> {
    let has_extension = |it: &&FleetView| !it.successors.is_empty() || !it.evacuated.is_empty();
    let view = update.view.as_ref().filter(has_extension);
    let status = update.config_status.or(view.map(|_| ConfigStatus::Outdated));
    let Some(status) = status else { return Ok(buf) };
    let buf = postcard::to_extend(&status, buf)?;
    let Some(view) = view else { return Ok(buf) };
    let buf = postcard::to_extend(&view.successors, buf)?;
    if view.evacuated.is_empty() {
        return Ok(buf);
    }
    postcard::to_extend(&view.evacuated, buf)
}

/// Decodes a frame.
pub fn decode(bytes: &[u8]) -> Result<Frame> {
    let frame = match bytes.split_first() {
        Some((&PLAIN, plain)) => decode_plain(plain),
        Some((&DEFLATED, deflated)) => {
            let mut plain = Vec::new();
            let limit = MAX_FRAME_BYTES as u64;
            DeflateDecoder::new(deflated).take(limit).read_to_end(&mut plain)?;
            decode_plain(&plain)
        }
        _ => bail!("unknown frame encoding"),
    };
    frame.wrap_err("cannot decode a frame")
}

fn decode_plain(plain: &[u8]) -> postcard::Result<Frame> {
    let (mut frame, extension) = postcard::take_from_bytes(plain)?;
    if extension.is_empty() {
        return Ok(frame);
    }
    match &mut frame {
        Frame::Report(report) => {
            let (limits, rest) = postcard::take_from_bytes(extension)?;
            report.limits = Some(limits);
            report.load = decode_load(rest)?;
        }
        Frame::Update(update) => {
            let (limits, rest) = postcard::take_from_bytes(extension)?;
            update.limits = Some(limits);
            if rest.is_empty() {
                return Ok(frame);
            }
            let (status, rest) = postcard::take_from_bytes(rest)?;
            update.config_status = Some(status);
            if let (Some(view), false) = (&mut update.view, rest.is_empty()) {
                let (successors, rest) = postcard::take_from_bytes(rest)?;
                view.successors = successors;
                if !rest.is_empty() {
                    view.evacuated = postcard::from_bytes(rest)?;
                }
            }
        }
        Frame::Ping { tokens, commit } => {
            let (req, rest) = postcard::take_from_bytes(extension)?;
            *tokens = Some(req);
            if !rest.is_empty() {
                *commit = Some(postcard::from_bytes(rest)?);
            }
        }
        Frame::Pong { tokens, load } => {
            let (grant, rest) = postcard::take_from_bytes(extension)?;
            *tokens = Some(grant).filter(|grant| *grant != NO_GRANT);
            *load = decode_load(rest)?;
        }
        Frame::Request { job, .. } => {
            let (urgency, rest) = postcard::take_from_bytes(extension)?;
            job.urgency = Some(urgency);
            if !rest.is_empty() {
                job.then = Some(Box::new(postcard::from_bytes(rest)?));
            }
        }
        Frame::Response { then, .. } => *then = Some(postcard::from_bytes(extension)?),
        Frame::EndStream { cancelled, .. } => *cancelled = Some(postcard::from_bytes(extension)?),
        _ => {}
    }
    Ok(frame)
}

/// Opens a connection to `addr`.
pub async fn connect(addr: &str) -> Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    set_socket_options(&stream);
    Ok(stream)
}

/// Disables Nagle's algorithm and bounds the time for which data may stay unacknowledged.
pub fn set_socket_options(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("cannot set TCP_NODELAY: {error}");
    }
    if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(stream, MAX_UNACKNOWLEDGED_MS) {
        spdlog::debug!("cannot set TCP_USER_TIMEOUT: {error}");
    }
}

/// Makes the close of a connection that is given up discard what was not delivered. Otherwise the
/// system goes on sending it, and a frame may arrive many seconds after its sender gave up.
pub fn discard_on_close(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    if let Err(error) = rustix::net::sockopt::set_socket_linger(stream, linger) {
        spdlog::debug!("cannot set SO_LINGER: {error}");
    }
}

/// Splits a connection into its framed halves.
pub fn split_framed(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let codec = || LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let (reader, writer) = stream.into_split();
    (FramedRead::new(reader, codec()), FramedWrite::new(writer, codec()))
}

/// Identifies an accepted connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Event of an accepted connection.
#[derive(Debug)]
pub enum Inbound {
    /// `outgoing` queues encoded frames to be sent on the connection.
    Opened {
        id: ConnectionId,
        outgoing: mpsc::Sender<Bytes>,
    },
    Received {
        id: ConnectionId,
        frame: Box<Frame>,
    },
    Closed {
        id: ConnectionId,
    },
}

/// Accepts connections and reports their events.
pub async fn listen(addr: SocketAddr, events: mpsc::Sender<Inbound>) -> Result<()> {
    let listener =
        TcpListener::bind(addr).await.wrap_err_with(|| format!("cannot listen on {addr}"))?;
    let mut last_id = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                last_id += 1;
                tokio::task::spawn_local(serve(ConnectionId(last_id), stream, events.clone()));
            }
            Err(error) => {
                spdlog::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(CONNECT_TIMEOUT).await;
            }
        }
    }
}

async fn serve(id: ConnectionId, stream: TcpStream, events: mpsc::Sender<Inbound>) {
    set_socket_options(&stream);
    let (mut reader, mut writer) = split_framed(stream);
    let (outgoing, mut queue) = mpsc::channel::<Bytes>(SEND_QUEUE_LEN);
    if events.send(Inbound::Opened { id, outgoing }).await.is_err() {
        return;
    }
    loop {
        tokio::select! {
            read = reader.next() => {
                let Some(Ok(bytes)) = read else { break };
                match decode(&bytes) {
                    Ok(frame) => {
                        if events.send(Inbound::Received { id, frame: Box::new(frame) }).await.is_err() {
                            return;
                        }
                    }
                    Err(error) => {
                        spdlog::warn!("closing a connection after an invalid frame: {error:#}");
                        break;
                    }
                }
            }
            bytes = queue.recv() => {
                let Some(bytes) = bytes else { break };
                if writer.send(bytes).await.is_err() {
                    break;
                }
            }
        }
    }
    // The event loop sees at once that answers cannot be sent any more.
    drop(queue);
    // The receiver is dropped when the process stops.
    let _ = events.send(Inbound::Closed { id }).await;
}

/// Outgoing connections by address; each is opened when first used, and reopened after a
/// failure.
#[derive(Debug, Default)]
pub struct Links {
    queues: HashMap<String, mpsc::Sender<Bytes>>,
}

impl Links {
    /// Queues a frame for `addr`; drops it if the queue is full or the connection has failed.
    pub fn send(&mut self, addr: &str, bytes: Bytes) {
        let queue = self.queues.entry(addr.to_owned()).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(SEND_QUEUE_LEN);
            tokio::task::spawn_local(run_link(addr.to_owned(), rx));
            tx
        });
        match queue.try_send(bytes) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                spdlog::debug!("dropping a frame: the queue to {addr} is full");
            }
            Err(mpsc::error::TrySendError::Closed(_)) => {
                self.queues.remove(addr);
            }
        }
    }

    /// Addresses with a connection, which may have failed.
    pub fn addrs(&self) -> impl Iterator<Item = &String> {
        self.queues.keys()
    }

    /// Forgets failed connections, so that the next frame opens a new one.
    pub fn remove_failed(&mut self) {
        self.queues.retain(|_, queue| !queue.is_closed());
    }

    /// Closes the connection to `addr`; the next frame opens a new one.
    pub fn reset(&mut self, addr: &str) {
        self.queues.remove(addr);
    }
}

/// Sends queued frames until the queue is dropped or the connection fails.
async fn run_link(addr: String, mut queue: mpsc::Receiver<Bytes>) {
    let stream = match connect(&addr).await {
        Ok(stream) => stream,
        Err(error) => {
            spdlog::debug!("cannot connect to {addr}: {error:#}");
            return;
        }
    };
    let (mut reader, mut writer) = split_framed(stream);
    loop {
        tokio::select! {
            bytes = queue.recv() => {
                let Some(bytes) = bytes else { return };
                if let Err(error) = writer.send(bytes).await {
                    spdlog::debug!("connection to {addr} failed: {error}");
                    return;
                }
            }
            // No frames are expected; the end of the stream means that the peer has closed it.
            read = reader.next() => {
                if !matches!(read, Some(Ok(_))) {
                    return;
                }
            }
        }
    }
}
