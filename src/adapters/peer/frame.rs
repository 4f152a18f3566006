//! Frames of peer connections and the reassembly of chunked messages.
//!
//! Messages are split into chunks, so that a small response can be sent between the
//! chunks of a large one on the same connection.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::Display;
use indexmap::IndexMap;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest payload of one frame, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// Largest reassembled message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Size of a frame header: request ID and last-chunk flag, in bytes.
const HEADER_BYTES: usize = 9;

/// Codec for the frames of a peer connection.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(CHUNK_BYTES + HEADER_BYTES).new_codec()
}

/// One chunk of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// ID of the request that the message belongs to.
    pub id: u64,
    /// Whether this is the last chunk.
    pub last: bool,
    pub payload: Bytes,
}

impl Frame {
    pub fn encode(&self) -> Bytes {
        let mut buf = BytesMut::with_capacity(HEADER_BYTES + self.payload.len());
        buf.put_u64(self.id);
        buf.put_u8(u8::from(self.last));
        buf.extend_from_slice(&self.payload);
        buf.freeze()
    }

    pub fn decode(mut buf: Bytes) -> Result<Self, FrameError> {
        if buf.len() < HEADER_BYTES {
            return Err(FrameError::TooShort(buf.len()));
        }
        let id = buf.get_u64();
        let last = buf.get_u8() != 0;
        Ok(Self { id, last, payload: buf })
    }
}

/// Splits the message `body` into frames.
pub fn split_message(id: u64, mut body: Bytes) -> impl Iterator<Item = Frame> {
    let mut done = false;
    std::iter::from_fn(move || {
        if done {
            return None;
        }
        let payload = body.split_to(body.len().min(CHUNK_BYTES));
        done = body.is_empty();
        Some(Frame { id, last: done, payload })
    })
}

/// Reassembles messages from their frames.
#[derive(Debug, Default)]
pub struct Reassembler {
    /// Messages whose last frame has not arrived, by request ID.
    partial: IndexMap<u64, BytesMut>,
}

impl Reassembler {
    /// Adds `frame`; returns the request ID and the message once it is complete.
    pub fn push(&mut self, frame: Frame) -> Result<Option<(u64, Bytes)>, FrameError> {
        if frame.last && !self.partial.contains_key(&frame.id) {
            return Ok(Some((frame.id, frame.payload)));
        }
        let partial = self.partial.entry(frame.id).or_default();
        if partial.len() + frame.payload.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong(frame.id));
        }
        partial.extend_from_slice(&frame.payload);
        if !frame.last {
            return Ok(None);
        }
        let body = self.partial.swap_remove(&frame.id).unwrap_or_default();
        Ok(Some((frame.id, body.freeze())))
    }
}

/// Protocol violation by a frame; the connection must be closed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum FrameError {
    #[display("frame of {_0} bytes is shorter than its header")]
    TooShort(usize),
    #[display("message {_0} is larger than {MAX_MESSAGE_BYTES} bytes")]
    TooLong(u64),
}

impl std::error::Error for FrameError {}
