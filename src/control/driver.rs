//! Member of the control group together with its disk: what every kind of control host
//! does with the outputs of its [`Node`].

use eyre::{Result, WrapErr};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    adapters::disk_queue::DiskQueue,
    clock::{Clock, SystemClock},
    control::{
        deferred::DeferredMessages,
        node::{Input, Node, Output, Proposal},
    },
};

/// Node that writes to its disk and holds messages until the writes before them are
/// synced.
pub struct Driver {
    pub node: Node,
    clock: SystemClock,
    disk: DiskQueue,
    held: DeferredMessages,
    /// Commands to propose after the current batch, with one sync for all.
    proposals: Vec<Proposal>,
    last_proposal_id: u64,
}

impl Driver {
    /// Driver of `node`, which stores its writes on `disk`.
    pub fn new(node: Node, clock: SystemClock, disk: DiskQueue) -> Self {
        let held = DeferredMessages::default();
        Self { node, clock, disk, held, proposals: Vec::new(), last_proposal_id: 0 }
    }

    /// Processes an input; returns the outputs that are left to the host, in order.
    pub fn step(&mut self, input: Input) -> Result<Vec<Output>> {
        let mut writes = Vec::new();
        let mut left = Vec::new();
        for output in self.node.step(self.clock.now(), input) {
            match output {
                Output::Persist(write) => {
                    self.held.wrote();
                    writes.push(write);
                }
                Output::Send { addr, message } if self.held.must_wait(&message) => {
                    self.held.hold(addr, message);
                }
                output => left.push(output),
            }
        }
        if !writes.is_empty() {
            self.disk.push(writes)?;
        }
        Ok(left)
    }

    /// Follows a synced write; the messages that waited for it come last.
    pub fn confirm(&mut self) -> Result<Vec<Output>> {
        self.held.confirmed();
        let mut left = self.step(Input::Persisted)?;
        while let Some((addr, message)) = self.held.pop_ready() {
            left.push(Output::Send { addr, message });
        }
        Ok(left)
    }

    /// Adds a command to the next proposals; returns its ticket.
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

    /// Input with all commands since the last call; `None` if there are none.
    pub fn take_proposals(&mut self) -> Option<Input> {
        let proposals = std::mem::take(&mut self.proposals);
        (!proposals.is_empty()).then_some(Input::Propose(proposals))
    }

    /// Drops the commands that were not proposed yet.
    pub fn clear_proposals(&mut self) {
        self.proposals.clear();
    }

    /// Input that stores `state` and shortens the log, once it holds `entries` entries
    /// since the last snapshot.
    pub fn compaction<S: Serialize>(&self, entries: u64, state: &S) -> Result<Option<Input>> {
        if self.node.entries_since_snapshot() < entries {
            return Ok(None);
        }
        let data = postcard::to_stdvec(state).wrap_err("cannot encode the state")?;
        Ok(Some(Input::Compact { data: data.into() }))
    }
}

/// State from a snapshot.
pub fn decode_state<S: DeserializeOwned>(data: &[u8]) -> Result<S> {
    postcard::from_bytes(data).wrap_err("cannot decode the state in the snapshot")
}
