//! Storage of a control host under one data folder.
//!
//! The folder holds `identity`, `snapshot` and `log`. Identity and snapshot are
//! replaced atomically. The log is a sequence of records with checksums. An
//! incomplete record at its end is the remainder of a write that was never
//! confirmed, and is removed; any other damage may concern confirmed data and is
//! an error.

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

/// Length of a record's header: length, checksum of the length, checksum of the
/// payload.
const HEADER_BYTES: usize = 12;

/// Largest payload of a record in bytes.
const MAX_RECORD_BYTES: usize = 1024 * 1024 * 1024;

const LOCK: &str = "lock";
const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

/// Content of a log record.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// First record: the entry before the first one of the log.
    Base(LogId),
    Write(Write),
}

/// Open data folder.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    /// Keeps other processes from using the folder.
    _lock: File,
    /// Length of the log up to the last confirmed write.
    confirmed_len: u64,
    /// A write failed, so what the log holds is not known.
    failed: bool,
}

/// Why a write failed.
#[derive(Debug)]
pub enum WriteError {
    /// Disk takes no more bytes; [`Disk::recover`] makes another attempt possible, with
    /// all but the first `stored` writes.
    Full { stored: usize, error: eyre::Report },
    /// What is stored is not known; the process must stop.
    Fatal(eyre::Report),
}

/// What an open data folder held.
#[derive(Debug)]
pub struct Opened {
    pub disk: Disk,
    /// Id of the host; new if the folder was blank.
    pub id: ControlId,
    pub stored: StoredState,
    /// Bytes of an unconfirmed write that were removed.
    pub removed_bytes: u64,
}

impl Disk {
    /// Opens the folder of the host `name` and creates it if it is missing.
    pub fn open(folder: &Path, name: &str) -> Result<Opened> {
        let shown = folder.display();
        fs::create_dir_all(folder)
            .wrap_err_with(|| format!("cannot create the data folder {shown}"))?;
        let lock = lock(folder)?;
        let (log, records, removed_bytes) = open_log(&folder.join(LOG))?;
        let id = identity(folder, name, records.is_empty())?;
        let snapshot = read_snapshot(&folder.join(SNAPSHOT))?;
        let stored = replay(snapshot, records)?;
        let confirmed_len = log.metadata()?.len();
        let folder = folder.to_owned();
        let disk = Disk { folder, log, _lock: lock, confirmed_len, failed: false };
        Ok(Opened { disk, id, stored, removed_bytes })
    }

    /// Stores `writes` and syncs them. After a failure nothing more is written before
    /// [`Disk::recover`].
    pub fn write(&mut self, writes: &[Write]) -> Result<(), WriteError> {
        if self.failed {
            let folder = self.folder.display();
            return Err(WriteError::Fatal(eyre!("an earlier write to {folder} failed")));
        }
        self.failed = true;
        let mut stored = 0;
        for part in writes.chunk_by(|a, b| !is_snapshot(a) && !is_snapshot(b)) {
            if let Err(error) = self.store(part) {
                let is_full = error.downcast_ref::<DiskFull>().is_some();
                return Err(if is_full {
                    WriteError::Full { stored, error }
                } else {
                    WriteError::Fatal(error)
                });
            }
            stored += part.len();
        }
        self.failed = false;
        Ok(())
    }

    /// Removes what a failed write has left in the log, so that it can be tried again.
    pub fn recover(&mut self) -> Result<()> {
        let path = self.folder.join(LOG);
        // A snapshot may have replaced the log before the failure; the open file is then
        // no longer the log.
        let stored = fs::metadata(&path).map_err(|error| write_error(&path, &error))?;
        if stored.ino() != self.log.metadata()?.ino() {
            bail!("{} was replaced by a write that failed", path.display());
        }
        self.log.set_len(self.confirmed_len).map_err(|error| write_error(&path, &error))?;
        self.log.sync_data().map_err(|error| write_error(&path, &error))?;
        self.failed = false;
        Ok(())
    }

    /// Stores one snapshot, or other writes with one sync.
    fn store(&mut self, writes: &[Write]) -> Result<()> {
        if let [Write::Snapshot(write)] = writes {
            return self.replace(write);
        }
        let mut buf = Vec::new();
        for write in writes {
            frame(&mut buf, &Record::Write(write.clone()))?;
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

    /// Stores the snapshot, then a log without the entries that it covers. A crash
    /// in between leaves the old log, which [`StoredState::reconcile_with_snapshot`] makes fit.
    fn replace(&mut self, write: &SnapshotWrite) -> Result<()> {
        let mut buf = Vec::new();
        frame(&mut buf, &write.snapshot)?;
        replace_file(&self.folder, SNAPSHOT, &buf)?;
        buf.clear();
        frame(&mut buf, &Record::Base(write.base))?;
        frame(&mut buf, &Record::Write(Write::Vote(write.vote.clone())))?;
        for entries in write.entries.chunks(1) {
            frame(&mut buf, &Record::Write(Write::Entries(entries.to_vec())))?;
        }
        replace_file(&self.folder, LOG, &buf)?;
        self.log = append_to(&self.folder.join(LOG))?;
        self.confirmed_len = buf.len() as u64;
        Ok(())
    }
}

fn is_snapshot(write: &Write) -> bool {
    matches!(write, Write::Snapshot(_))
}

fn lock(folder: &Path) -> Result<File> {
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

/// Id in the folder, or a new one that no host has used before.
fn identity(folder: &Path, name: &str, is_blank: bool) -> Result<ControlId> {
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
        Err(error) if error.kind() == ErrorKind::NotFound && is_blank => {
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
    let shown = path.display();
    let content = fs::read(path).wrap_err_with(|| format!("cannot read {shown}"))?;
    let scan = scan(&content).wrap_err_with(|| format!("{shown} is damaged"))?;
    let file = append_to(path)?;
    let removed = content.len() - scan.len;
    if removed > 0 {
        file.set_len(scan.len as u64).map_err(|error| write_error(path, &error))?;
        file.sync_all().map_err(|error| write_error(path, &error))?;
    }
    Ok((file, scan.records, removed as u64))
}

fn append_to(path: &Path) -> Result<File> {
    let file = OpenOptions::new().append(true).open(path);
    file.map_err(|error| write_error(path, &error))
}

fn read_snapshot(path: &Path) -> Result<Option<Snapshot>> {
    let content = match fs::read(path) {
        Ok(content) => content,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(eyre!(error)),
    };
    let shown = path.display();
    match unframe::<Snapshot>(&content, 0).wrap_err_with(|| format!("{shown} is damaged"))? {
        Found::Record(snapshot, _) => Ok(Some(snapshot)),
        Found::End | Found::Torn => bail!("{shown} is damaged: it is incomplete"),
    }
}

fn replay(snapshot: Option<Snapshot>, records: Vec<Record>) -> Result<StoredState> {
    let mut stored = StoredState { snapshot, vote: Vote::default(), ..StoredState::default() };
    for (number, record) in records.into_iter().enumerate() {
        match record {
            Record::Base(base) if number == 0 => stored.base = base,
            Record::Base(_) => bail!("the log has a second base in record {number}"),
            Record::Write(write) => stored.apply(&write),
        }
    }
    let covered = stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.last.index);
    if stored.base.index > covered {
        bail!("the snapshot ends at {covered}, but the log begins after {}", stored.base.index);
    }
    stored.reconcile_with_snapshot();
    Ok(stored)
}

struct Scan {
    records: Vec<Record>,
    /// Length of the complete records.
    len: usize,
}

fn scan(content: &[u8]) -> Result<Scan> {
    let mut records = Vec::new();
    let mut at = 0;
    loop {
        match unframe(content, at)? {
            Found::Record(record, end) => {
                records.push(record);
                at = end;
            }
            Found::End | Found::Torn => return Ok(Scan { records, len: at }),
        }
    }
}

enum Found<T> {
    /// Record and the position after it.
    Record(T, usize),
    End,
    /// Remainder of an unconfirmed write.
    Torn,
}

fn frame<T: Serialize>(buf: &mut Vec<u8>, record: &T) -> Result<()> {
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

/// Reads the record at `at`. The header has its own checksum, so that a damaged
/// length is not taken for an incomplete record. A file system may extend a file
/// with zeros before it writes the data, so zeros up to the end are incomplete.
fn unframe<T: DeserializeOwned>(content: &[u8], at: usize) -> Result<Found<T>> {
    let rest = &content[at..];
    if rest.is_empty() {
        return Ok(Found::End);
    }
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Ok(Found::Torn);
    }
    let (len, crc) = header(rest).ok_or_else(|| eyre!("wrong header checksum at byte {at}"))?;
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + len) else {
        return Ok(Found::Torn);
    };
    if crc32fast::hash(payload) != crc {
        bail!("wrong checksum in the record at byte {at}");
    }
    let record = postcard::from_bytes(payload)
        .wrap_err_with(|| format!("unreadable record at byte {at}"))?;
    Ok(Found::Record(record, at + HEADER_BYTES + len))
}

/// Length and checksum of the payload.
fn header(text: &[u8]) -> Option<(usize, u32)> {
    let (len, rest) = text.split_first_chunk::<4>()?;
    let (len_crc, rest) = rest.split_first_chunk::<4>()?;
    let (crc, _) = rest.split_first_chunk::<4>()?;
    let is_valid = crc32fast::hash(len) == u32::from_le_bytes(*len_crc);
    is_valid.then_some((u32::from_le_bytes(*len) as usize, u32::from_le_bytes(*crc)))
}

/// Replaces a file so that a crash leaves either the old or the new one.
fn replace_file(folder: &Path, name: &str, content: &[u8]) -> Result<()> {
    let (path, draft) = (folder.join(name), folder.join(format!("{name}.new")));
    let write = || {
        let mut file = File::create(&draft)?;
        file.write_all(content)?;
        file.sync_all()?;
        fs::rename(&draft, &path)?;
        File::open(folder)?.sync_all()
    };
    write().map_err(|error| write_error(&path, &error))
}

/// Error of a disk that takes no more bytes.
#[derive(Debug, Display)]
struct DiskFull(String);

impl std::error::Error for DiskFull {}

fn write_error(path: &Path, error: &std::io::Error) -> eyre::Report {
    let shown = path.display();
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => {
            DiskFull(format!("the disk is full: cannot write {shown}: {error}")).into()
        }
        _ => eyre!("cannot write {shown}: {error}"),
    }
}
