//! Control host on a simulated data folder: after any end of the process and any loss of
//! power it starts, with a state between the last confirmed and the last written one.

#![allow(clippy::unwrap_used, reason = "helper functions of tests")]

mod disk_model;

use std::io::ErrorKind;

use bytes::Bytes;
use disk_model::{SimulatedFolder, Tearing};
use pomelopin::{
    adapters::disk::{Disk, Opened, WriteError},
    control::storage::{Snapshot, SnapshotWrite, StoredState, Vote, Write},
    ids::ControlId,
    wire::group::{GroupTerm, LogEntry, LogId, Members, Payload},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SEEDS: u64 = 500;

/// Number of events in the life of a host.
const EVENTS: usize = 12;

/// Largest number of file operations before the process ends.
const MAX_OPERATIONS: u32 = 16;

/// Largest number of file operations before the process ends during its start.
const MAX_START_OPERATIONS: u32 = 16;

type HostDisk = Disk<SimulatedFolder>;

/// What happens to the host of a test.
#[derive(Debug, Clone, Copy)]
struct Faults {
    tearing: Tearing,
    /// Whether the process may end without a loss of power.
    kills: bool,
    /// Whether the disk may be full.
    full: bool,
}

/// Writes of a host that follow from its state.
struct WriteSource {
    rng: SmallRng,
    term: GroupTerm,
}

impl WriteSource {
    fn batch(&mut self, state: &StoredState) -> Vec<Write> {
        let mut state = state.clone();
        let mut writes = Vec::new();
        for _ in 0..self.rng.random_range(1..=4) {
            for write in self.writes(&state) {
                state.apply(&write);
                writes.push(write);
            }
        }
        writes
    }

    fn writes(&mut self, state: &StoredState) -> Vec<Write> {
        let last = last_index(state);
        let first_free = snapshot_index(state) + 1;
        match self.rng.random_range(0..10) {
            0..2 => {
                self.term.0 += 1;
                let voted_for = self.rng.random_bool(0.5).then(|| ControlId::from("c2.1"));
                vec![Write::Vote(Vote { term: self.term, voted_for })]
            }
            2 if last >= first_free => {
                self.term.0 += 1;
                let from = self.rng.random_range(first_free..=last);
                vec![Write::Truncate { from }, self.entries()]
            }
            3 if last >= first_free => vec![self.compaction(state, first_free)],
            4 => vec![self.installation(state)],
            _ => vec![self.entries()],
        }
    }

    fn entries(&mut self) -> Write {
        let count = self.rng.random_range(1..=3);
        Write::Entries((0..count).map(|_| self.entry()).collect())
    }

    fn entry(&mut self) -> LogEntry {
        let len = [0, 20, 600, 5_000][self.rng.random_range(0..4)];
        let bytes: Vec<u8> = (0..len).map(|_| self.rng.random()).collect();
        LogEntry { term: self.term, payload: Payload::Command(Bytes::from(bytes)) }
    }

    /// Snapshot of entries of the log.
    fn compaction(&mut self, state: &StoredState, first: u64) -> Write {
        let index = self.rng.random_range(first..=last_index(state));
        let base = self.rng.random_range(state.base.index..=index);
        let position = usize::try_from(base - state.base.index).unwrap();
        let entries = state.entries[position..].to_vec();
        snapshot(state, id_at(state, index), id_at(state, base), entries)
    }

    /// Snapshot of a leader, which replaces the log.
    fn installation(&mut self, state: &StoredState) -> Write {
        let first = snapshot_index(state) + 1;
        let index = self.rng.random_range(first..=last_index(state) + 3);
        let last = LogId { term: self.term, index };
        snapshot(state, last, last, Vec::new())
    }
}

fn snapshot(state: &StoredState, last: LogId, base: LogId, entries: Vec<LogEntry>) -> Write {
    let data = Bytes::from(vec![7; 900]);
    let snapshot = Snapshot { last, members: Members::default(), data };
    let vote = state.vote.clone();
    Write::Snapshot(Box::new(SnapshotWrite { snapshot, vote, base, entries }))
}

fn last_index(state: &StoredState) -> u64 {
    state.base.index + state.entries.len() as u64
}

fn snapshot_index(state: &StoredState) -> u64 {
    state.snapshot.as_ref().map_or(0, |snapshot| snapshot.last.index)
}

fn id_at(state: &StoredState, index: u64) -> LogId {
    let position = index.checked_sub(state.base.index + 1);
    let entry = position.map(|it| &state.entries[usize::try_from(it).unwrap()]);
    entry.map_or(state.base, |entry| LogId { term: entry.term, index })
}

/// States after each of `writes`, beginning with `state`.
fn states(state: &StoredState, writes: &[Write]) -> Vec<StoredState> {
    let mut states = vec![state.clone()];
    for write in writes {
        let mut next = states[states.len() - 1].clone();
        if let Write::Snapshot(write) = write {
            // The snapshot replaces its file before the log is replaced.
            next.snapshot = Some(write.snapshot.clone());
            next.reconcile_with_snapshot();
            states.push(next.clone());
        }
        next.apply(write);
        states.push(next);
    }
    states
}

/// Host with a simulated data folder.
struct Host {
    faults: Faults,
    folder: SimulatedFolder,
    source: WriteSource,
    rng: SmallRng,
    /// State that the host may act on.
    confirmed: StoredState,
    /// ID of the first complete start.
    id: Option<ControlId>,
}

impl Host {
    fn new(seed: u64, faults: Faults) -> Self {
        let source = WriteSource { rng: SmallRng::seed_from_u64(seed + 1), term: GroupTerm(1) };
        Self {
            faults,
            folder: SimulatedFolder::new(seed, faults.tearing),
            source,
            rng: SmallRng::seed_from_u64(seed + 2),
            confirmed: StoredState::default(),
            id: None,
        }
    }

    /// Starts the host with one of the `allowed` states; during or after some starts, the
    /// process ends again. A state that was read once must be the same in later starts.
    fn start(&mut self, mut allowed: Vec<StoredState>) -> Result<HostDisk, String> {
        loop {
            let ends = self.rng.random_range(0..3) == 0;
            if ends {
                self.folder.end_process_after(self.rng.random_range(0..MAX_START_OPERATIONS));
            }
            match Disk::open_in(self.folder.clone(), "c1") {
                Ok(Opened { stored, .. }) if !allowed.contains(&stored) => {
                    return Err("restored: another state than those written".to_owned());
                }
                Ok(Opened { id, .. }) if *self.id.get_or_insert_with(|| id.clone()) != id => {
                    return Err("restored: another identity".to_owned());
                }
                Ok(Opened { disk, stored, .. }) => {
                    allowed = vec![stored.clone()];
                    self.confirmed = stored;
                    if !ends {
                        return Ok(disk);
                    }
                }
                Err(error) if !ends => return Err(format!("start: {error:#}")),
                Err(_) => {}
            }
            self.end();
        }
    }

    /// Ends the process, by a loss of power or otherwise.
    fn end(&mut self) {
        if self.faults.kills && self.rng.random_bool(0.5) {
            self.folder.restart_process();
        } else {
            self.folder.lose_power();
        }
    }

    /// Runs a host through random events.
    fn run(&mut self) -> Result<(), String> {
        let mut disk = self.start(vec![StoredState::default()])?;
        for _ in 0..EVENTS {
            let writes = self.source.batch(&self.confirmed);
            let mut states = states(&self.confirmed, &writes);
            let event = self.rng.random_range(0..10);
            if event < 3 {
                self.folder.end_process_after(self.rng.random_range(0..MAX_OPERATIONS));
            }
            let result = match event {
                3 if self.faults.full => write_to_full_disk(&self.folder, &mut disk, &writes),
                _ => disk.write(&writes).map_err(|error| format!("write: {error:?}")),
            };
            if result.is_ok() {
                states.drain(..states.len() - 1);
                self.confirmed = states[0].clone();
            } else if event >= 3 {
                return result;
            }
            if event < 5 {
                self.end();
                disk = self.start(states)?;
            }
        }
        Ok(())
    }
}

/// Writes while the disk is full, and then refuses a write for another reason, as the disk
/// thread does.
fn write_to_full_disk(
    folder: &SimulatedFolder,
    disk: &mut HostDisk,
    mut writes: &[Write],
) -> Result<(), String> {
    for fault in [Some(ErrorKind::StorageFull), Some(ErrorKind::Other), None] {
        folder.set_fault(fault);
        match disk.write(writes) {
            Ok(()) => return Ok(()),
            Err(WriteError::Full { stored, .. } | WriteError::Refused { stored, .. }) => {
                writes = &writes[stored..];
            }
            Err(WriteError::Fatal(error)) => return Err(format!("full: {error:#}")),
        }
        folder.set_fault(None);
        disk.recover().map_err(|error| format!("recover: {error:?}"))?;
    }
    Err("full: the writes fail without a fault".to_owned())
}

/// Runs hosts with many seeds and reports all failures.
fn run_hosts(faults: Faults) {
    let failures: Vec<_> =
        (0..SEEDS).filter_map(|seed| Some((seed, Host::new(seed, faults).run().err()?))).collect();
    let count = failures.len();
    let first = failures.iter().take(8);
    let lines: Vec<_> = first.map(|(seed, error)| format!("seed {seed}: {error}")).collect();
    assert!(failures.is_empty(), "{count} of {SEEDS} hosts failed:\n{}", lines.join("\n"));
}

/// Guards against hosts that never start again, and against the loss of confirmed writes,
/// after losses of power that keep a prefix of an unconfirmed write.
#[test]
fn host_starts_after_loss_of_power() {
    run_hosts(Faults { tearing: Tearing::Prefix, kills: false, full: false });
}

/// Guards against remains of writes to a full disk that are read after a loss of power.
#[test]
fn host_with_full_disk_starts_after_loss_of_power() {
    run_hosts(Faults { tearing: Tearing::Prefix, kills: false, full: true });
}

/// Guards against writes that a restarted process relies on although they were never
/// synced: a later loss of power takes them away.
#[test]
fn state_read_after_kill_survives_loss_of_power() {
    run_hosts(Faults { tearing: Tearing::Prefix, kills: true, full: true });
}

/// Guards against hosts that never start again after a loss of power that keeps only a
/// later part of an unconfirmed write.
#[test]
fn host_starts_with_holes_in_unconfirmed_write() {
    run_hosts(Faults { tearing: Tearing::Holes, kills: true, full: true });
}
