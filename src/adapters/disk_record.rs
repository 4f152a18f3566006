//! Format of the records in the files of a control host.
//!
//! A record is a header and a payload. The length in the header has its own checksum, so
//! that a corrupted length is not mistaken for an incomplete record.
//!
//! A marker record begins each batch of writes that is synced as a whole. Because a batch is
//! written only after the one before is synced, a damaged record with a marker behind it
//! belongs to confirmed data. A damaged record in the last batch may be what a loss of power
//! left of an unconfirmed write. Logs of earlier versions hold no markers; in them, only an
//! incomplete last record counts as unconfirmed. Earlier versions replay a marker as a write
//! of no entries.

use eyre::{Result, WrapErr, bail};
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
    /// Records except markers.
    pub(super) records: Vec<Record>,
    /// Total length of the valid records, in bytes.
    pub(super) len: usize,
    pub(super) has_markers: bool,
}

/// Decodes a log up to its end or up to the remains of an unconfirmed write.
pub(super) fn scan_log(content: &[u8]) -> Result<LogScan> {
    let mut scan = LogScan { records: Vec::new(), len: 0, has_markers: false };
    loop {
        let offset = scan.len;
        match decode_record(content, offset)? {
            Decoded::Record(record, end) => {
                scan.len = end;
                if is_marker(&record) {
                    scan.has_markers = true;
                } else {
                    scan.records.push(record);
                }
            }
            Decoded::End => return Ok(scan),
            Decoded::Torn if !contains_marker(&content[offset..])? => return Ok(scan),
            Decoded::Damaged(_) if scan.has_markers && !contains_marker(&content[offset..])? => {
                return Ok(scan);
            }
            Decoded::Torn => bail!("incomplete record at byte {offset}, before later writes"),
            Decoded::Damaged(what) => bail!("{what} at byte {offset}"),
        }
    }
}

/// Appends a marker, which begins a batch of writes.
pub(super) fn encode_marker(buf: &mut Vec<u8>) -> Result<()> {
    encode_record(buf, &Record::Write(Write::Entries(Vec::new())))
}

fn is_marker(record: &Record) -> bool {
    matches!(record, Record::Write(Write::Entries(entries)) if entries.is_empty())
}

fn contains_marker(content: &[u8]) -> Result<bool> {
    let mut marker = Vec::new();
    encode_marker(&mut marker)?;
    Ok(content.windows(marker.len()).any(|window| window == marker))
}

/// Result of decoding the bytes at an offset.
pub(super) enum Decoded<T> {
    /// Record and the offset after it.
    Record(T, usize),
    End,
    /// Incomplete record.
    Torn,
    /// Record with a wrong checksum; holds which one.
    Damaged(&'static str),
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
    let Some((len, crc)) = parse_header(rest) else {
        return Ok(Decoded::Damaged("wrong header checksum"));
    };
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + len) else {
        return Ok(Decoded::Torn);
    };
    if crc32fast::hash(payload) != crc {
        return Ok(Decoded::Damaged("wrong checksum of the record"));
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
