//! Format of the records in the files of a control host.
//!
//! A record is a header and a payload. The length in the header has its own checksum, so
//! that a corrupted length is not mistaken for an incomplete record.

use eyre::{Result, WrapErr, bail, eyre};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{control::storage::Write, wire::group::LogId};

/// Length of a record header: payload length, checksum of that length, checksum of the
/// payload.
const HEADER_BYTES: usize = 12;

/// Largest payload of a record, in bytes.
const MAX_RECORD_BYTES: usize = 1024 * 1024 * 1024;

/// Content of a log record.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// First record: ID of the entry that precedes the log.
    Base(LogId),
    Write(Write),
}

/// Valid records of a log.
pub(super) struct LogScan {
    pub(super) records: Vec<Record>,
    /// Total length of the complete records, in bytes.
    pub(super) len: usize,
}

/// Decodes a log up to its end or up to an incomplete record.
pub(super) fn scan_log(content: &[u8]) -> Result<LogScan> {
    let mut records = Vec::new();
    let mut offset = 0;
    loop {
        match decode_record(content, offset)? {
            Decoded::Record(record, end) => {
                records.push(record);
                offset = end;
            }
            Decoded::End | Decoded::Torn => return Ok(LogScan { records, len: offset }),
        }
    }
}

/// Result of decoding the bytes at an offset.
pub(super) enum Decoded<T> {
    /// Record and the offset after it.
    Record(T, usize),
    End,
    /// Incomplete record of an unconfirmed write.
    Torn,
}

/// Appends an encoded record to `buf`.
pub(super) fn encode_record<T: Serialize>(buf: &mut Vec<u8>, record: &T) -> Result<()> {
    let payload = postcard::to_stdvec(record)?;
    if payload.len() > MAX_RECORD_BYTES {
        bail!("a record of {} bytes is larger than {MAX_RECORD_BYTES} bytes", payload.len());
    }
    let len = u32::try_from(payload.len())?.to_le_bytes();
    buf.extend_from_slice(&len);
    buf.extend_from_slice(&crc32fast::hash(&len).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    Ok(())
}

/// Decodes the record at `offset`. A file system may extend a file with zeros before it
/// writes the data, so zeros up to the end count as incomplete.
pub(super) fn decode_record<T: DeserializeOwned>(
    content: &[u8],
    offset: usize,
) -> Result<Decoded<T>> {
    let rest = &content[offset..];
    if rest.is_empty() {
        return Ok(Decoded::End);
    }
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Ok(Decoded::Torn);
    }
    let (len, crc) =
        parse_header(rest).ok_or_else(|| eyre!("wrong header checksum at byte {offset}"))?;
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + len) else {
        return Ok(Decoded::Torn);
    };
    if crc32fast::hash(payload) != crc {
        bail!("wrong checksum in the record at byte {offset}");
    }
    let record = postcard::from_bytes(payload)
        .wrap_err_with(|| format!("unreadable record at byte {offset}"))?;
    Ok(Decoded::Record(record, offset + HEADER_BYTES + len))
}

/// Length and checksum of the payload; `None` if the length is corrupted.
fn parse_header(buf: &[u8]) -> Option<(usize, u32)> {
    let (len, rest) = buf.split_first_chunk::<4>()?;
    let (len_crc, rest) = rest.split_first_chunk::<4>()?;
    let (crc, _) = rest.split_first_chunk::<4>()?;
    let is_valid = crc32fast::hash(len) == u32::from_le_bytes(*len_crc);
    is_valid.then_some((u32::from_le_bytes(*len) as usize, u32::from_le_bytes(*crc)))
}
