//! Handling of [`Node`] outputs that is common to all kinds of control hosts: writes to
//! the disk, and messages that depend on them.

use std::collections::VecDeque;

use eyre::{Result, WrapErr};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    adapters::disk_queue::DiskQueue,
    clock::{Clock, Millis, SystemClock},
    control::{
        deferred::DeferredMessages,
        node::{Input, Node, Output, Proposal},
    },
};

/// [`Node`] together with its disk queue and the messages that depend on writes.
pub struct Driver {
    pub node: Node,
    clock: SystemClock,
    disk: DiskQueue,
    deferred: DeferredMessages,
    /// When each write that is not synced was queued.
    unsynced: VecDeque<Millis>,
    /// Commands to propose after the current batch, with one sync for all of them.
    proposals: Vec<Proposal>,
    last_proposal_id: u64,
}

impl Driver {
    pub fn new(node: Node, clock: SystemClock, disk: DiskQueue) -> Self {
        let deferred = DeferredMessages::default();
        Self {
            node,
            clock,
            disk,
            deferred,
            unsynced: VecDeque::new(),
            proposals: Vec::new(),
            last_proposal_id: 0,
        }
    }

    /// Processes an input and returns the outputs that the caller must execute, in order.
    pub fn step(&mut self, input: Input) -> Result<Vec<Output>> {
        let mut writes = Vec::new();
        let mut remaining = Vec::new();
        for output in self.node.step(self.clock.now(), input) {
            match output {
                Output::Persist(write) => {
                    self.deferred.record_write();
                    self.unsynced.push_back(self.clock.now());
                    writes.push(write);
                }
                Output::Send { addr, message } if self.deferred.must_defer(&message) => {
                    self.deferred.defer(addr, message);
                }
                output => remaining.push(output),
            }
        }
        if !writes.is_empty() {
            self.disk.push(writes)?;
        }
        Ok(remaining)
    }

    /// Confirms the oldest write. The deferred messages that depended on it are the last
    /// outputs.
    pub fn confirm(&mut self) -> Result<Vec<Output>> {
        self.deferred.record_sync();
        self.unsynced.pop_front();
        let mut remaining = self.step(Input::Persisted)?;
        while let Some((addr, message)) = self.deferred.pop_ready() {
            remaining.push(Output::Send { addr, message });
        }
        Ok(remaining)
    }

    /// When the oldest write that is not synced was queued.
    pub fn unsynced_since(&self) -> Option<Millis> {
        self.unsynced.front().copied()
    }

    /// Number of writes that are not synced.
    pub fn unsynced_writes(&self) -> usize {
        self.unsynced.len()
    }

    /// Queues a command for the next batch of proposals and returns its proposal id.
    pub fn propose<C: Serialize>(&mut self, command: &C) -> u64 {
        self.last_proposal_id += 1;
        match postcard::to_stdvec(command) {
            Ok(bytes) => {
                self.proposals.push(Proposal { id: self.last_proposal_id, bytes: bytes.into() });
            }
            Err(error) => spdlog::error!("cannot encode a command: {error}"),
        }
        self.last_proposal_id
    }

    /// Input that proposes the queued commands, if there are any.
    pub fn take_proposals(&mut self) -> Option<Input> {
        let proposals = std::mem::take(&mut self.proposals);
        (!proposals.is_empty()).then_some(Input::Propose(proposals))
    }

    /// Discards the queued commands.
    pub fn clear_proposals(&mut self) {
        self.proposals.clear();
    }

    /// Input that replaces log entries by a snapshot of `state`, if `entries` entries were
    /// committed since the last snapshot.
    pub fn compaction<S: Serialize>(&self, entries: u64, state: &S) -> Result<Option<Input>> {
        if self.node.entries_since_snapshot() < entries {
            return Ok(None);
        }
        let data = postcard::to_stdvec(state).wrap_err("cannot encode the state")?;
        Ok(Some(Input::Compact { data: data.into() }))
    }
}

/// Decodes the state machine's state in a snapshot.
pub fn decode_state<S: DeserializeOwned>(data: &[u8]) -> Result<S> {
    postcard::from_bytes(data).wrap_err("cannot decode the state in the snapshot")
}
