//! Background thread that writes to the data folder.
//!
//! A sync may take seconds on a busy disk. The event loop keeps running meanwhile, so
//! that a leader does not lose its lease.

use std::{
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, eyre};
use tokio::sync::mpsc;

use crate::{
    adapters::{
        disk::{Disk, WriteError},
        folder::Folder,
    },
    control::storage::Write,
};

/// Pause between write attempts on a disk that is full or refuses writes. The group continues
/// without this host meanwhile.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which writes are retried on a disk that is not full but refuses them. After that,
/// the process ends, so that the group can replace this host by one with a working disk.
const MAX_REFUSAL: Duration = Duration::from_secs(10);

/// Queue of pending writes. The thread ends when the queue is dropped.
#[derive(Debug)]
pub struct DiskQueue {
    tx: Sender<Vec<Write>>,
}

/// Number of writes of each sync, in order, or the error that ended the thread.
pub type Confirmations = mpsc::UnboundedReceiver<Result<usize>>;

impl DiskQueue {
    /// Starts the disk thread.
    pub fn start<F>(disk: Disk<F>) -> Result<(Self, Confirmations)>
    where
        F: Folder<File: Send> + Send + 'static,
    {
        let (tx, rx) = channel();
        let (confirmations_tx, confirmations_rx) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(disk, &rx, &confirmations_tx))?;
        Ok((Self { tx }, confirmations_rx))
    }

    /// Queues writes; they are synced after all earlier ones.
    pub fn push(&self, writes: Vec<Write>) -> Result<()> {
        self.tx.send(writes).map_err(|_| eyre!("the disk thread has ended"))
    }
}

/// Writes batches until the queue is dropped; all pending writes share one sync.
fn run<F: Folder>(
    mut disk: Disk<F>,
    rx: &Receiver<Vec<Write>>,
    confirmations: &mpsc::UnboundedSender<Result<usize>>,
) {
    while let Ok(mut writes) = rx.recv() {
        while let Ok(more) = rx.try_recv() {
            writes.extend(more);
        }
        let result = write_with_retry(&mut disk, &writes).map(|()| writes.len());
        let failed = result.is_err();
        if confirmations.send(result).is_err() || failed {
            return;
        }
    }
}

/// Retries while the disk is full or refuses writes. A process that exited instead would be
/// restarted again and again.
fn write_with_retry<F: Folder>(disk: &mut Disk<F>, mut writes: &[Write]) -> Result<()> {
    let mut refused_at = None;
    let mut attempts = 0_u32;
    loop {
        // After a failed attempt, its remains are removed first.
        let recovered = if attempts > 0 { disk.recover() } else { Ok(()) };
        let (stored, error) = match recovered.and_then(|()| disk.write(writes)) {
            Ok(()) if attempts == 0 => return Ok(()),
            Ok(()) => {
                spdlog::info!("the disk accepts writes again", kv: {attempts});
                return Ok(());
            }
            Err(WriteError::Fatal(error)) => return Err(error),
            Err(WriteError::Full { stored, error }) => (stored, error),
            Err(WriteError::Refused { stored, error }) => {
                if refused_at.get_or_insert_with(Instant::now).elapsed() >= MAX_REFUSAL {
                    return Err(error);
                }
                (stored, error)
            }
        };
        writes = &writes[stored..];
        if attempts == 0 {
            spdlog::error!("retrying a write: {error:#}");
        }
        attempts += 1;
        thread::sleep(RETRY_DELAY);
    }
}
