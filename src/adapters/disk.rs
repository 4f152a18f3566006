//! Persistent storage of a control host in one data folder.
//!
//! The folder holds the files `identity`, `snapshot` and `log`. Identity and snapshot
//! are replaced atomically. The log is a sequence of checksummed records. What a loss of
//! power left of the last write, which was never confirmed, is truncated; any other
//! corruption may affect confirmed data and is an error.

use std::{
    io::{self, ErrorKind},
    path::Path,
};

use derive_more::Display;
use eyre::{Result, WrapErr, bail, eyre};

use crate::{
    adapters::{
        disk_record::{Decoded, Record, decode_record, encode_marker, encode_record, scan_log},
        folder::{Folder, FolderFile, OsFolder},
    },
    control::storage::{Snapshot, SnapshotWrite, StoredState, Vote, Write},
    ids::ControlId,
    wire::group::{LogEntry, LogId},
};

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

/// Open data folder.
#[derive(Debug)]
pub struct Disk<F: Folder = OsFolder> {
    folder: F,
    log: F::File,
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
    /// The disk refused a write or a sync for another reason. It can be retried in the same
    /// way, because [`Disk::recover`] discards everything after the last confirmed write.
    Refused { stored: usize, error: eyre::Report },
    /// The stored state is unknown; the process must stop.
    Fatal(eyre::Report),
}

impl WriteError {
    fn new(stored: usize, error: eyre::Report) -> Self {
        match error.downcast_ref() {
            Some(DiskError::Full(_)) => Self::Full { stored, error },
            Some(DiskError::Refused(_)) => Self::Refused { stored, error },
            None => Self::Fatal(error),
        }
    }
}

/// Result of opening a data folder.
#[derive(Debug)]
pub struct Opened<F: Folder = OsFolder> {
    pub disk: Disk<F>,
    /// ID of the host; newly generated for a new folder.
    pub id: ControlId,
    pub stored: StoredState,
    /// Length of the incomplete write truncated from the log.
    pub removed_bytes: u64,
}

impl Disk {
    /// Opens the data folder of the host `name`, creating it if it is missing.
    pub fn open(folder: &Path, name: &str) -> Result<Opened> {
        Disk::open_in(OsFolder::open(folder)?, name)
    }
}

impl<F: Folder> Disk<F> {
    /// Opens an existing data folder of the host `name`.
    pub fn open_in(folder: F, name: &str) -> Result<Opened<F>> {
        let OpenedLog { file, records, len, removed_bytes } = open_log(&folder)?;
        let id = load_or_create_id(&folder, name, records.is_empty())?;
        let snapshot = read_snapshot(&folder)?;
        let mut stored = replay(snapshot, records)?;
        let mut disk = Self { folder, log: file, confirmed_len: len, failed: false };
        if stored.reconcile_with_snapshot() {
            // Later entries continue the snapshot, not the outdated log.
            disk.replace_log(stored.base, &stored.vote, &stored.entries)?;
        }
        Ok(Opened { disk, id, stored, removed_bytes })
    }

    /// Stores and syncs `writes`. After an error, further writes fail until
    /// [`Disk::recover`] succeeds.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), WriteError> {
        if self.failed {
            let folder = self.folder.path().display();
            return Err(WriteError::Fatal(eyre!("an earlier write to {folder} failed")));
        }
        self.failed = true;
        let mut stored = 0;
        for batch in writes.chunk_by(|a, b| !is_snapshot(a) && !is_snapshot(b)) {
            self.store(batch).map_err(|error| WriteError::new(stored, error))?;
            stored += batch.len();
        }
        self.failed = false;
        Ok(())
    }

    /// Truncates what a failed write left in the log, so that it can be retried.
    pub fn recover(&mut self) -> Result<(), WriteError> {
        self.truncate_to_confirmed().map_err(|error| WriteError::new(0, error))
    }

    fn truncate_to_confirmed(&mut self) -> Result<()> {
        let Self { folder, log, .. } = self;
        // A snapshot may have replaced the log before the failure; the open file is then
        // no longer the log.
        if !folder.refers_to(LOG, log).map_err(|error| write_error(folder, LOG, &error))? {
            bail!("{} was replaced by a failed write", folder.path().join(LOG).display());
        }
        log.set_len(self.confirmed_len).map_err(|error| write_error(folder, LOG, &error))?;
        log.sync_data().map_err(|error| write_error(folder, LOG, &error))?;
        self.failed = false;
        Ok(())
    }

    /// Stores one snapshot, or a batch of other writes with a single sync.
    fn store(&mut self, writes: &[Write]) -> Result<()> {
        if let [Write::Snapshot(write)] = writes {
            return self.store_snapshot(write);
        }
        let mut buf = Vec::new();
        encode_marker(&mut buf)?;
        for write in writes {
            encode_record(&mut buf, &Record::Write(write.clone()))?;
        }
        self.append(&buf)
    }

    fn append(&mut self, buf: &[u8]) -> Result<()> {
        let Self { folder, log, .. } = self;
        log.append(buf).map_err(|error| write_error(folder, LOG, &error))?;
        log.sync_data().map_err(|error| write_error(folder, LOG, &error))?;
        self.confirmed_len += buf.len() as u64;
        Ok(())
    }

    /// Stores the snapshot, then a log without the entries it covers. A crash in between
    /// leaves the old log, which the next start reconciles with the snapshot.
    fn store_snapshot(&mut self, write: &SnapshotWrite) -> Result<()> {
        let mut buf = Vec::new();
        encode_record(&mut buf, &write.snapshot)?;
        replace_file(&self.folder, SNAPSHOT, &buf)?;
        self.replace_log(write.base, &write.vote, &write.entries)
    }

    fn replace_log(&mut self, base: LogId, vote: &Vote, entries: &[LogEntry]) -> Result<()> {
        let mut buf = Vec::new();
        encode_record(&mut buf, &Record::Base(base))?;
        encode_marker(&mut buf)?;
        encode_record(&mut buf, &Record::Write(Write::Vote(vote.clone())))?;
        for entries in entries.chunks(1) {
            encode_record(&mut buf, &Record::Write(Write::Entries(entries.to_vec())))?;
        }
        replace_file(&self.folder, LOG, &buf)?;
        self.log = open_for_append(&self.folder)?;
        self.confirmed_len = buf.len() as u64;
        Ok(())
    }
}

fn is_snapshot(write: &Write) -> bool {
    matches!(write, Write::Snapshot(_))
}

/// Reads the ID of the host, or creates a new random one if the log is empty.
fn load_or_create_id(folder: &impl Folder, name: &str, is_log_empty: bool) -> Result<ControlId> {
    let path = folder.path().join(IDENTITY);
    match folder.read(IDENTITY).map(|id| String::from_utf8_lossy(&id).trim().to_owned()) {
        Ok(id) if id.rsplit_once('.').is_some_and(|(owner, _)| owner == name) => {
            Ok(ControlId::from(id))
        }
        Ok(id) => bail!(
            "{} holds the id {id:?}, which does not belong to the host {name}",
            path.display()
        ),
        Err(error) if error.kind() == ErrorKind::NotFound && is_log_empty => {
            let id = format!("{name}.{:016x}", rand::random::<u64>());
            replace_file(folder, IDENTITY, id.as_bytes())?;
            Ok(ControlId::from(id))
        }
        Err(error) => Err(eyre!(error)).wrap_err_with(|| format!("cannot read {}", path.display())),
    }
}

/// Log after the remains of an unconfirmed write were removed.
struct OpenedLog<T> {
    file: T,
    records: Vec<Record>,
    len: u64,
    removed_bytes: u64,
}

fn open_log<F: Folder>(folder: &F) -> Result<OpenedLog<F::File>> {
    let path = folder.path().join(LOG);
    let path_display = path.display();
    let mut content = match folder.read(LOG) {
        Err(error) if error.kind() == ErrorKind::NotFound => Vec::new(),
        content => content.wrap_err_with(|| format!("cannot read {path_display}"))?,
    };
    let scan = scan_log(&content).wrap_err_with(|| format!("{path_display} is damaged"))?;
    let removed_bytes = (content.len() - scan.len) as u64;
    content.truncate(scan.len);
    if !scan.has_markers {
        encode_marker(&mut content)?;
        replace_file(folder, LOG, &content)?;
    }
    let file = open_for_append(folder)?;
    let len = content.len() as u64;
    if removed_bytes > 0 {
        file.set_len(len).map_err(|error| write_error(folder, LOG, &error))?;
    }
    // An earlier process may have ended between a write or a rename and its sync.
    file.sync_all().map_err(|error| write_error(folder, LOG, &error))?;
    folder.sync().map_err(|error| write_error(folder, LOG, &error))?;
    Ok(OpenedLog { file, records: scan.records, len, removed_bytes })
}

fn open_for_append<F: Folder>(folder: &F) -> Result<F::File> {
    folder.open_append(LOG).map_err(|error| write_error(folder, LOG, &error))
}

fn read_snapshot(folder: &impl Folder) -> Result<Option<Snapshot>> {
    let content = match folder.read(SNAPSHOT) {
        Ok(content) => content,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(eyre!(error)),
    };
    let path = folder.path().join(SNAPSHOT);
    let path_display = path.display();
    match decode_record::<Snapshot>(&content, 0)
        .wrap_err_with(|| format!("{path_display} is damaged"))?
    {
        Decoded::Record(snapshot, _) => Ok(Some(snapshot)),
        Decoded::End | Decoded::Torn => bail!("{path_display} is damaged: it is incomplete"),
        Decoded::Damaged(what) => bail!("{path_display} is damaged: {what}"),
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
    Ok(stored)
}

/// Replaces a file atomically: a crash leaves either the old or the new content.
fn replace_file(folder: &impl Folder, name: &str, content: &[u8]) -> Result<()> {
    let temp_name = format!("{name}.new");
    let write = || {
        let mut file = folder.create(&temp_name)?;
        file.append(content)?;
        file.sync_all()?;
        folder.rename(&temp_name, name)?;
        folder.sync()
    };
    write().map_err(|error| write_error(folder, name, &error))
}

/// Error of a file operation that changes the data folder.
#[derive(Debug, Display)]
enum DiskError {
    /// The disk is full or a quota is exhausted.
    #[display("the disk is full: {_0}")]
    Full(String),
    Refused(String),
}

impl std::error::Error for DiskError {}

fn write_error(folder: &impl Folder, name: &str, error: &io::Error) -> eyre::Report {
    let path = folder.path().join(name);
    let message = format!("cannot write {}: {error}", path.display());
    let error = match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => DiskError::Full(message),
        _ => DiskError::Refused(message),
    };
    error.into()
}
