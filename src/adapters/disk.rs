//! Persistent storage of a control host in one data folder.
//!
//! The folder holds the files `identity`, `snapshot` and `log`. Identity and snapshot
//! are replaced atomically. The log is a sequence of checksummed records. An incomplete
//! record at its end belongs to a write that was never confirmed, and is truncated; any
//! other corruption may affect confirmed data and is an error.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{ErrorKind, Write as _},
    os::unix::fs::MetadataExt,
    path::{Path, PathBuf},
};

use derive_more::Display;
use eyre::{Result, WrapErr, bail, eyre};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    control::storage::{Snapshot, SnapshotWrite, StoredState, Vote, Write},
    ids::ControlId,
    wire::group::LogId,
};

/// Length of a record header: payload length, checksum of that length, checksum of the
/// payload.
const HEADER_BYTES: usize = 12;

/// Largest payload of a record, in bytes.
const MAX_RECORD_BYTES: usize = 1024 * 1024 * 1024;

const LOCK: &str = "lock";
const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

/// Content of a log record.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// First record: ID of the entry that precedes the log.
    Base(LogId),
    Write(Write),
}

/// Open data folder, locked for this process.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    /// Advisory lock that keeps other processes from using the folder.
    _lock: File,
    /// Length of the log after the last confirmed write, in bytes.
    confirmed_len: u64,
    /// A write failed, so the content of the log is unknown.
    failed: bool,
}

/// Why a write failed.
#[derive(Debug)]
pub enum WriteError {
    /// The disk is full. After [`Disk::recover`], all but the first `stored` writes can be
    /// retried.
    Full { stored: usize, error: eyre::Report },
    /// The stored state is unknown; the process must stop.
    Fatal(eyre::Report),
}

/// Result of opening a data folder.
#[derive(Debug)]
pub struct Opened {
    pub disk: Disk,
    /// ID of the host; newly generated for a new folder.
    pub id: ControlId,
    pub stored: StoredState,
    /// Length of the incomplete record truncated from the log.
    pub removed_bytes: u64,
}

impl Disk {
    /// Opens the data folder of the host `name`, creating it if it is missing.
    pub fn open(folder: &Path, name: &str) -> Result<Opened> {
        let folder_display = folder.display();
        fs::create_dir_all(folder)
            .wrap_err_with(|| format!("cannot create the data folder {folder_display}"))?;
        let lock = lock_folder(folder)?;
        let (log, records, removed_bytes) = open_log(&folder.join(LOG))?;
        let id = load_or_create_id(folder, name, records.is_empty())?;
        let snapshot = read_snapshot(&folder.join(SNAPSHOT))?;
        let stored = replay(snapshot, records)?;
        let confirmed_len = log.metadata()?.len();
        let folder = folder.to_owned();
        let disk = Disk { folder, log, _lock: lock, confirmed_len, failed: false };
        Ok(Opened { disk, id, stored, removed_bytes })
    }

    /// Stores and syncs `writes`. After an error, further writes fail until
    /// [`Disk::recover`] succeeds.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), WriteError> {
        if self.failed {
            let folder = self.folder.display();
            return Err(WriteError::Fatal(eyre!("an earlier write to {folder} failed")));
        }
        self.failed = true;
        let mut stored = 0;
        for batch in writes.chunk_by(|a, b| !is_snapshot(a) && !is_snapshot(b)) {
            if let Err(error) = self.store(batch) {
                let is_full = error.downcast_ref::<DiskFull>().is_some();
                return Err(if is_full {
                    WriteError::Full { stored, error }
                } else {
                    WriteError::Fatal(error)
                });
            }
            stored += batch.len();
        }
        self.failed = false;
        Ok(())
    }

    /// Truncates what a failed write left in the log, so that it can be retried.
    pub fn recover(&mut self) -> Result<()> {
        let path = self.folder.join(LOG);
        // A snapshot may have replaced the log before the failure; the open file is then
        // no longer the log.
        let current = fs::metadata(&path).map_err(|error| write_error(&path, &error))?;
        if current.ino() != self.log.metadata()?.ino() {
            bail!("{} was replaced by a failed write", path.display());
        }
        self.log.set_len(self.confirmed_len).map_err(|error| write_error(&path, &error))?;
        self.log.sync_data().map_err(|error| write_error(&path, &error))?;
        self.failed = false;
        Ok(())
    }

    /// Stores one snapshot, or a batch of other writes with a single sync.
    fn store(&mut self, writes: &[Write]) -> Result<()> {
        if let [Write::Snapshot(write)] = writes {
            return self.store_snapshot(write);
        }
        let mut buf = Vec::new();
        for write in writes {
            encode_record(&mut buf, &Record::Write(write.clone()))?;
        }
        self.append(&buf)
    }

    fn append(&mut self, buf: &[u8]) -> Result<()> {
        if buf.is_empty() {
            return Ok(());
        }
        let path = self.folder.join(LOG);
        self.log.write_all(buf).map_err(|error| write_error(&path, &error))?;
        self.log.sync_data().map_err(|error| write_error(&path, &error))?;
        self.confirmed_len += buf.len() as u64;
        Ok(())
    }

    /// Stores the snapshot, then a log without the entries it covers. A crash in between
    /// leaves the old log, which [`StoredState::reconcile_with_snapshot`] handles.
    fn store_snapshot(&mut self, write: &SnapshotWrite) -> Result<()> {
        let mut buf = Vec::new();
        encode_record(&mut buf, &write.snapshot)?;
        replace_file(&self.folder, SNAPSHOT, &buf)?;
        buf.clear();
        encode_record(&mut buf, &Record::Base(write.base))?;
        encode_record(&mut buf, &Record::Write(Write::Vote(write.vote.clone())))?;
        for entries in write.entries.chunks(1) {
            encode_record(&mut buf, &Record::Write(Write::Entries(entries.to_vec())))?;
        }
        replace_file(&self.folder, LOG, &buf)?;
        self.log = open_for_append(&self.folder.join(LOG))?;
        self.confirmed_len = buf.len() as u64;
        Ok(())
    }
}

fn is_snapshot(write: &Write) -> bool {
    matches!(write, Write::Snapshot(_))
}

fn lock_folder(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK);
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = file.map_err(|error| write_error(&path, &error))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            bail!("another process uses the data folder {}", folder.display())
        }
        Err(TryLockError::Error(error)) => Err(write_error(&path, &error)),
    }
}

/// Reads the ID of the host, or creates a new random one if the log is empty.
fn load_or_create_id(folder: &Path, name: &str, is_log_empty: bool) -> Result<ControlId> {
    let path = folder.join(IDENTITY);
    match fs::read_to_string(&path) {
        Ok(id) if id.trim().rsplit_once('.').is_some_and(|(owner, _)| owner == name) => {
            Ok(ControlId::from(id.trim()))
        }
        Ok(id) => bail!(
            "{} holds the id {:?}, which does not belong to the host {name}",
            path.display(),
            id.trim()
        ),
        Err(error) if error.kind() == ErrorKind::NotFound && is_log_empty => {
            let id = format!("{name}.{:016x}", rand::random::<u64>());
            replace_file(folder, IDENTITY, id.as_bytes())?;
            Ok(ControlId::from(id))
        }
        Err(error) => Err(eyre!(error)).wrap_err_with(|| format!("cannot read {}", path.display())),
    }
}

fn open_log(path: &Path) -> Result<(File, Vec<Record>, u64)> {
    if !path.exists() {
        let folder = path.parent().unwrap_or(Path::new("."));
        replace_file(folder, LOG, &[])?;
    }
    let path_display = path.display();
    let content = fs::read(path).wrap_err_with(|| format!("cannot read {path_display}"))?;
    let scan = scan_log(&content).wrap_err_with(|| format!("{path_display} is damaged"))?;
    let file = open_for_append(path)?;
    let removed_bytes = content.len() - scan.len;
    if removed_bytes > 0 {
        file.set_len(scan.len as u64).map_err(|error| write_error(path, &error))?;
        file.sync_all().map_err(|error| write_error(path, &error))?;
    }
    Ok((file, scan.records, removed_bytes as u64))
}

fn open_for_append(path: &Path) -> Result<File> {
    let file = OpenOptions::new().append(true).open(path);
    file.map_err(|error| write_error(path, &error))
}

fn read_snapshot(path: &Path) -> Result<Option<Snapshot>> {
    let content = match fs::read(path) {
        Ok(content) => content,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(eyre!(error)),
    };
    let path_display = path.display();
    match decode_record::<Snapshot>(&content, 0)
        .wrap_err_with(|| format!("{path_display} is damaged"))?
    {
        Decoded::Record(snapshot, _) => Ok(Some(snapshot)),
        Decoded::End | Decoded::Torn => bail!("{path_display} is damaged: it is incomplete"),
    }
}

fn replay(snapshot: Option<Snapshot>, records: Vec<Record>) -> Result<StoredState> {
    let mut stored = StoredState { snapshot, vote: Vote::default(), ..StoredState::default() };
    for (index, record) in records.into_iter().enumerate() {
        match record {
            Record::Base(base) if index == 0 => stored.base = base,
            Record::Base(_) => bail!("the log has a second base in record {index}"),
            Record::Write(write) => stored.apply(&write),
        }
    }
    let snapshot_end = stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.last.index);
    if stored.base.index > snapshot_end {
        bail!(
            "the snapshot ends at {snapshot_end}, but the log begins after {}",
            stored.base.index
        );
    }
    stored.reconcile_with_snapshot();
    Ok(stored)
}

struct LogScan {
    records: Vec<Record>,
    /// Total length of the complete records, in bytes.
    len: usize,
}

fn scan_log(content: &[u8]) -> Result<LogScan> {
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

enum Decoded<T> {
    /// Record and the offset after it.
    Record(T, usize),
    End,
    /// Incomplete record of an unconfirmed write.
    Torn,
}

fn encode_record<T: Serialize>(buf: &mut Vec<u8>, record: &T) -> Result<()> {
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

/// Decodes the record at `offset`. The length has its own checksum, so that a corrupted
/// length is not mistaken for an incomplete record. A file system may extend a file with
/// zeros before it writes the data, so zeros up to the end count as incomplete.
fn decode_record<T: DeserializeOwned>(content: &[u8], offset: usize) -> Result<Decoded<T>> {
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

/// Replaces a file atomically: a crash leaves either the old or the new content.
fn replace_file(folder: &Path, name: &str, content: &[u8]) -> Result<()> {
    let (path, temp_path) = (folder.join(name), folder.join(format!("{name}.new")));
    let write = || {
        let mut file = File::create(&temp_path)?;
        file.write_all(content)?;
        file.sync_all()?;
        fs::rename(&temp_path, &path)?;
        File::open(folder)?.sync_all()
    };
    write().map_err(|error| write_error(&path, &error))
}

/// Error of a full disk or an exhausted quota.
#[derive(Debug, Display)]
struct DiskFull(String);

impl std::error::Error for DiskFull {}

fn write_error(path: &Path, error: &std::io::Error) -> eyre::Report {
    let path_display = path.display();
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => {
            DiskFull(format!("the disk is full: cannot write {path_display}: {error}")).into()
        }
        _ => eyre!("cannot write {path_display}: {error}"),
    }
}
