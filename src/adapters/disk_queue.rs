//! Thread that writes to the data folder.
//!
//! A sync may take seconds on a busy disk. The event loop goes on meanwhile, so
//! that a leader keeps its lease.

use std::{
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use eyre::{Result, eyre};
use tokio::sync::mpsc;

use crate::{
    adapters::disk::{Disk, WriteError},
    control::storage::Write,
};

/// Pause before a write is tried again on a full disk. The group goes on without this
/// host meanwhile.
const FULL_PAUSE: Duration = Duration::from_millis(200);

/// Writes that wait for the disk. The thread ends when the queue is dropped.
#[derive(Debug)]
pub struct DiskQueue {
    jobs: Sender<Vec<Write>>,
}

/// Numbers of writes that were synced, in order, or the error that ended the thread.
pub type Confirmations = mpsc::UnboundedReceiver<Result<usize>>;

impl DiskQueue {
    /// Starts the thread.
    pub fn start(disk: Disk) -> Result<(Self, Confirmations)> {
        let (jobs, queue) = channel();
        let (confirm, confirmations) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(disk, &queue, &confirm))?;
        Ok((Self { jobs }, confirmations))
    }

    /// Adds writes; they are synced after all earlier ones.
    pub fn push(&self, writes: Vec<Write>) -> Result<()> {
        self.jobs.send(writes).map_err(|_| eyre!("the disk thread has ended"))
    }
}

/// Syncs all waiting writes together.
fn run(
    mut disk: Disk,
    queue: &Receiver<Vec<Write>>,
    confirm: &mpsc::UnboundedSender<Result<usize>>,
) {
    while let Ok(mut writes) = queue.recv() {
        while let Ok(more) = queue.try_recv() {
            writes.extend(more);
        }
        let result = write_when_possible(&mut disk, &writes).map(|()| writes.len());
        let failed = result.is_err();
        if confirm.send(result).is_err() || failed {
            return;
        }
    }
}

/// Writes as soon as the disk takes the bytes. A process that ended instead would be
/// started again and again while the disk is full.
fn write_when_possible(disk: &mut Disk, mut writes: &[Write]) -> Result<()> {
    let mut attempts = 0_u32;
    loop {
        match disk.write(writes) {
            Ok(()) if attempts == 0 => return Ok(()),
            Ok(()) => {
                spdlog::info!("the disk takes writes again", kv: {attempts});
                return Ok(());
            }
            Err(WriteError::Fatal(error)) => return Err(error),
            Err(WriteError::Full { stored, error }) => {
                writes = &writes[stored..];
                if attempts == 0 {
                    spdlog::error!("a write waits: {error:#}");
                }
                attempts += 1;
                thread::sleep(FULL_PAUSE);
                disk.recover()?;
            }
        }
    }
}
