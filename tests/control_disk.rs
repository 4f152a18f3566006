//! Data folder of a control host: confirmed writes are restored, or an error is reported.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

mod disk_model;

use std::{fs, io::ErrorKind, path::Path, time::Duration};

use bytes::Bytes;
use disk_model::{SimulatedFolder, Tearing};
use pomelopin::{
    adapters::{
        disk::{Disk, Opened, WriteError},
        disk_queue::DiskQueue,
    },
    control::storage::{Snapshot, SnapshotWrite, StoredState, Vote, Write},
    ids::ControlId,
    wire::group::{GroupTerm, LogEntry, LogId, Members, Payload},
};
use tempfile::TempDir;

const HEADER_BYTES: usize = 12;

/// Length of the record that begins each batch of writes.
const MARKER_BYTES: u64 = 15;

fn entry(number: u8) -> LogEntry {
    LogEntry { term: GroupTerm(1), payload: Payload::Command(Bytes::from(vec![number; 20])) }
}

fn vote(term: u64) -> Write {
    Write::Vote(Vote { term: GroupTerm(term), voted_for: Some(ControlId::from("c2.1")) })
}

fn snapshot(index: u64) -> Write {
    let last = LogId { term: GroupTerm(1), index };
    Write::Snapshot(Box::new(SnapshotWrite {
        snapshot: Snapshot {
            last,
            members: Members::default(),
            data: Bytes::from_static(b"state"),
        },
        vote: Vote { term: GroupTerm(4), voted_for: None },
        base: LogId { term: GroupTerm(1), index: index - 1 },
        entries: vec![entry(9)],
    }))
}

fn open(folder: &Path) -> Opened {
    Disk::open(folder, "c1").unwrap()
}

fn error(folder: &Path) -> String {
    format!("{:#}", Disk::open(folder, "c1").unwrap_err())
}

fn writes() -> Vec<Write> {
    vec![
        vote(1),
        Write::Entries(vec![entry(1), entry(2)]),
        Write::Truncate { from: 2 },
        Write::Entries(vec![entry(3)]),
        vote(2),
    ]
}

/// Guards against writes that are lost or applied twice after a restart.
#[test]
fn writes_are_restored_after_a_restart() {
    let folder = TempDir::new().unwrap();
    let mut expected = StoredState::default();
    let batches = [writes(), vec![snapshot(2)], vec![Write::Entries(vec![entry(4)]), vote(5)]];
    let id = open(folder.path()).id;
    for batch in batches {
        let mut opened = open(folder.path());
        opened.disk.write(&batch).unwrap();
        batch.iter().for_each(|write| expected.apply(write));
        drop(opened);
        let opened = open(folder.path());
        assert_eq!(opened.stored, expected);
        assert_eq!((opened.id, opened.removed_bytes), (id.clone(), 0));
    }
}

/// Guards against a start that fails, or loses more than the last write, after a crash
/// during that write.
#[test]
fn write_torn_at_any_byte_is_removed() {
    let folder = TempDir::new().unwrap();
    let log = folder.path().join("log");
    let mut states = vec![(0, StoredState::default()), (MARKER_BYTES, StoredState::default())];
    let mut opened = open(folder.path());
    for write in writes() {
        opened.disk.write(std::slice::from_ref(&write)).unwrap();
        let mut state = states.last().unwrap().1.clone();
        state.apply(&write);
        states.push((fs::metadata(&log).unwrap().len(), state));
    }
    drop(opened);
    let content = fs::read(&log).unwrap();
    for len in 0..=content.len() as u64 {
        let (end, expected) = states.iter().rfind(|(end, _)| *end <= len).unwrap();
        let written = &content[..usize::try_from(len).unwrap()];
        // Zeros simulate a file that was extended before its data was written.
        let zeros: &[usize] = if *end == len { &[0, 1, 64] } else { &[0] };
        for zeros in zeros {
            let torn = [written, &vec![0; *zeros]].concat();
            fs::write(&log, &torn).unwrap();
            let mut opened = open(folder.path());
            assert_eq!(opened.stored, *expected, "cut after {len} bytes");
            let has_marker = len >= end + MARKER_BYTES;
            let kept = if has_marker { end + MARKER_BYTES } else { *end };
            assert_eq!(opened.removed_bytes, torn.len() as u64 - kept);
            opened.disk.write(&[vote(7)]).unwrap();
            drop(opened);
            assert_eq!(open(folder.path()).stored.vote.term, GroupTerm(7), "write after {len}");
        }
    }
}

/// Data folder with a snapshot, and the content of its log before and after the last batch.
fn folder_with_last_batch() -> (TempDir, Vec<u8>, Vec<u8>) {
    let folder = TempDir::new().unwrap();
    let log = folder.path().join("log");
    let mut opened = open(folder.path());
    opened.disk.write(&writes()).unwrap();
    opened.disk.write(&[snapshot(2)]).unwrap();
    opened.disk.write(&writes()).unwrap();
    let before = fs::read(&log).unwrap();
    opened.disk.write(&[vote(8), Write::Entries(vec![entry(6)])]).unwrap();
    let content = fs::read(&log).unwrap();
    (folder, before, content)
}

/// Writes each content of a file that differs from `content` in one byte, and calls `check`
/// with the position of that byte.
fn change_each_byte(path: &Path, content: &[u8], mut check: impl FnMut(usize)) {
    for at in 0..content.len() {
        let mut changed = content.to_vec();
        changed[at] ^= 0x40;
        fs::write(path, &changed).unwrap();
        check(at);
    }
    fs::write(path, content).unwrap();
}

/// Guards against the loss of confirmed records: any changed byte of a record before the last
/// batch is an error, including in a length.
#[test]
fn any_changed_byte_of_confirmed_record_is_an_error() {
    let (folder, before, content) = folder_with_last_batch();
    let folder = folder.path();
    change_each_byte(&folder.join("log"), &content, |at| {
        if at < before.len() {
            let error = error(folder);
            assert!(error.contains("log is damaged"), "byte {at}: {error}");
        }
    });
    let path = folder.join("snapshot");
    change_each_byte(&path, &fs::read(&path).unwrap(), |at| {
        let error = error(folder);
        assert!(error.contains("snapshot is damaged"), "byte {at}: {error}");
    });
    open(folder);
}

/// Guards against a state that was never written: with a changed byte in the last batch, the
/// state is one from before a record of that batch.
#[test]
fn any_changed_byte_of_last_batch_restores_an_earlier_state() {
    let (folder, before, content) = folder_with_last_batch();
    let (folder, log) = (folder.path(), folder.path().join("log"));
    fs::write(&log, &before).unwrap();
    let first = open(folder).stored;
    let mut second = first.clone();
    second.apply(&vote(8));
    let second_end = before.len() + usize::try_from(MARKER_BYTES).unwrap() + record_len(&vote(8));
    change_each_byte(&log, &content, |at| {
        if at >= before.len() {
            let expected = if at < second_end { &first } else { &second };
            assert_eq!(open(folder).stored, *expected, "byte {at}");
        }
    });
    assert_ne!(open(folder).stored, second);
}

fn record_len(write: &Write) -> usize {
    // The payload begins with the kind of the record.
    HEADER_BYTES + 1 + postcard::to_stdvec(write).unwrap().len()
}

/// Log as versions without markers wrote it, with two records.
fn log_without_markers(folder: &Path) -> Vec<u8> {
    let mut opened = open(folder);
    opened.disk.write(&writes()[..2]).unwrap();
    let content = fs::read(folder.join("log")).unwrap();
    content[2 * usize::try_from(MARKER_BYTES).unwrap()..].to_vec()
}

/// Guards against the loss of confirmed records in a log of a version without markers, where
/// any changed byte is an error, and against a log that stays without markers.
#[test]
fn log_without_markers_is_read_strictly() {
    let folder = TempDir::new().unwrap();
    let (folder, log) = (folder.path(), folder.path().join("log"));
    let content = log_without_markers(folder);
    change_each_byte(&log, &content, |at| {
        let error = error(folder);
        assert!(error.contains("log is damaged"), "byte {at}: {error}");
    });
    let mut expected = StoredState::default();
    writes()[..2].iter().for_each(|write| expected.apply(write));
    assert_eq!(open(folder).stored, expected);
    let with_marker = fs::read(&log).unwrap();
    assert_eq!(with_marker.len(), content.len() + usize::try_from(MARKER_BYTES).unwrap());
    let mut changed = with_marker;
    changed.extend([0, 0, 0, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9]);
    fs::write(&log, changed).unwrap();
    assert_eq!(open(folder).stored, expected);
}

/// Guards against a start with missing or foreign files in the data folder.
#[test]
fn unusable_folders_are_refused() {
    type Case = (&'static str, fn(&Path), &'static str);
    let cases: [Case; 5] = [
        ("identity lost", |folder| fs::remove_file(folder.join("identity")).unwrap(), "identity"),
        (
            "identity of another host",
            |folder| fs::write(folder.join("identity"), "c2.77").unwrap(),
            "does not belong to the host c1",
        ),
        (
            "snapshot lost",
            |folder| fs::remove_file(folder.join("snapshot")).unwrap(),
            "the log begins after 1",
        ),
        (
            "snapshot cut",
            |folder| fs::write(folder.join("snapshot"), [0; HEADER_BYTES]).unwrap(),
            "incomplete",
        ),
        ("log unreadable", |folder| make_folder(&folder.join("log")), "log"),
    ];
    for (what, damage, expected) in cases {
        let folder = TempDir::new().unwrap();
        open(folder.path()).disk.write(&[snapshot(2)]).unwrap();
        damage(folder.path());
        let error = error(folder.path());
        assert!(error.contains(expected), "{what}: {error}");
    }
}

fn make_folder(path: &Path) {
    fs::remove_file(path).unwrap();
    fs::create_dir(path).unwrap();
}

/// Guards against two processes that vote under the same id.
#[test]
fn folder_is_locked_by_one_process() {
    let folder = TempDir::new().unwrap();
    let first = open(folder.path());
    assert!(error(folder.path()).contains("another process uses the data folder"));
    drop(first);
    open(folder.path());
}

/// Guards against a host that keeps its id after the loss of its disk.
#[test]
fn empty_folder_gets_new_id() {
    let (first, second) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    let (first, second) = (open(first.path()).id, open(second.path()).id);
    assert_ne!(first, second);
    assert!(first.starts_with("c1.") && second.starts_with("c1."));
}

/// Guards against later writes after a failed one. The new snapshot file is a link to a
/// device that is always full.
#[test]
fn write_to_full_disk_blocks_later_writes() {
    let folder = TempDir::new().unwrap();
    let mut disk = open(folder.path()).disk;
    let path = folder.path().join("snapshot.new");
    std::os::unix::fs::symlink("/dev/full", &path).unwrap();
    match disk.write(&[snapshot(2)]).unwrap_err() {
        WriteError::Full { error, .. } => assert!(error.to_string().contains("the disk is full")),
        error => panic!("{error:?}"),
    }
    match disk.write(&[vote(1)]).unwrap_err() {
        WriteError::Fatal(error) => assert!(error.to_string().contains("an earlier write")),
        error => panic!("{error:?}"),
    }
    fs::remove_file(&path).unwrap();
    drop(disk);
    assert_eq!(open(folder.path()).stored, StoredState::default());
}

/// Guards against a control host that stops when its disk is full, and against remains of
/// the failed write: the same writes are stored once the disk has free space.
#[test]
fn disk_queue_retries_writes_to_full_disk() {
    let folder = TempDir::new().unwrap();
    let mut disk = open(folder.path()).disk;
    disk.write(&[vote(1)]).unwrap();
    let draft = folder.path().join("log.new");
    std::os::unix::fs::symlink("/dev/full", &draft).unwrap();
    let (queue, mut confirmations) = DiskQueue::start(disk).unwrap();
    let batch = vec![vote(4), Write::Entries(vec![entry(1)]), snapshot(2), vote(5)];
    queue.push(batch.clone()).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert!(confirmations.try_recv().is_err(), "no write to a full disk is confirmed");
    // A process that is killed and restarted at this point restores each entry once.
    let copy = TempDir::new().unwrap();
    for file in ["identity", "log"] {
        fs::copy(folder.path().join(file), copy.path().join(file)).unwrap();
    }
    assert_eq!(open(copy.path()).stored.entries, vec![entry(1)]);
    fs::remove_file(&draft).unwrap();
    let confirmed = confirmations.blocking_recv().unwrap().unwrap();
    assert_eq!(confirmed, batch.len());
    drop(queue);
    while confirmations.blocking_recv().is_some() {}
    let stored = open(folder.path()).stored;
    assert_eq!(stored.vote.term, GroupTerm(5));
    assert_eq!(stored.entries, vec![entry(9)]);
}

/// Guards against a control host that stops because its disk refuses writes for a while: the
/// same writes are stored once the disk accepts them.
fn disk_queue_outlasts_fault(fault: ErrorKind) {
    let folder = SimulatedFolder::new(1, Tearing::Prefix);
    let disk = Disk::open_in(folder.clone(), "c1").unwrap().disk;
    let (queue, mut confirmations) = DiskQueue::start(disk).unwrap();
    folder.set_fault(Some(fault));
    queue.push(writes()).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    assert!(confirmations.try_recv().is_err(), "the disk thread confirmed a write or ended");
    folder.set_fault(None);
    queue.push(writes()).unwrap();
    let mut confirmed = 0;
    while confirmed < 2 * writes().len() {
        confirmed += confirmations.blocking_recv().unwrap().unwrap();
    }
    let mut expected = StoredState::default();
    writes().iter().chain(&writes()).for_each(|write| expected.apply(write));
    assert_eq!(Disk::open_in(folder, "c1").unwrap().stored, expected);
}

/// Guards against a control host that stops when even the truncation of its log is refused.
#[test]
fn disk_queue_outlasts_full_disk_that_refuses_truncation() {
    disk_queue_outlasts_fault(ErrorKind::StorageFull);
}

/// Guards against a control host that exits, and loses its lead, because its disk refuses
/// writes for a short time.
#[test]
fn disk_queue_outlasts_disk_that_refuses_writes() {
    disk_queue_outlasts_fault(ErrorKind::Other);
}

/// Guards against a voter that can never store anything again but is not replaced, because
/// its process still runs.
#[test]
fn disk_queue_ends_if_disk_keeps_refusing_writes() {
    let folder = SimulatedFolder::new(1, Tearing::Prefix);
    let disk = Disk::open_in(folder.clone(), "c1").unwrap().disk;
    let (queue, mut confirmations) = DiskQueue::start(disk).unwrap();
    folder.set_fault(Some(ErrorKind::Other));
    queue.push(writes()).unwrap();
    let error = confirmations.blocking_recv().unwrap().unwrap_err().to_string();
    assert!(error.contains("cannot write"), "{error}");
}

/// Guards against the loss of confirmed records that an earlier version without markers appended
/// to a log with markers, after a return to that version.
#[test]
fn changed_byte_of_records_of_an_earlier_version_behind_markers_is_an_error() {
    let folder = TempDir::new().unwrap();
    let (folder, log) = (folder.path(), folder.path().join("log"));
    let unmarked = log_without_markers(folder);
    let mut content = fs::read(&log).unwrap();
    let begin = content.len();
    // The earlier version confirms each record before it writes the next one.
    content.extend_from_slice(&unmarked);
    content.extend_from_slice(&unmarked);
    change_each_byte(&log, &content, |at| {
        if (begin..begin + unmarked.len()).contains(&at) {
            let opened = Disk::open(folder, "c1");
            assert!(opened.is_err(), "byte {at}: {} bytes removed", opened.unwrap().removed_bytes);
        }
    });
}
