//! Limit on the connections of one listener.
//!
//! Load: many clients that connect and send nothing, or very slowly. Without a limit they use
//! up the descriptors of the process. When all slots are taken, the connection that has waited
//! longest for its client is closed for a new one, so that ordinary clients are still accepted.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::watch;

/// Slots of a listener.
#[derive(Debug, Clone)]
pub struct ConnectionSlots {
    max: usize,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Open connections in the order of their arrival.
    connections: IndexMap<u64, Connection>,
    next_id: u64,
}

#[derive(Debug)]
struct Connection {
    /// Whether the connection waits for its client, so that it may be closed for another.
    waits_for_client: bool,
    closed: watch::Sender<bool>,
}

/// Slot of one connection; free when this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    state: Arc<Mutex<State>>,
    id: u64,
}

/// Slot of a new connection.
#[derive(Debug)]
pub enum Admission {
    Free(ConnectionSlot),
    /// Another connection is being closed; it keeps its descriptor until its task has run.
    Replaced(ConnectionSlot),
    /// All connections are in use.
    Full,
}

impl ConnectionSlots {
    pub fn new(max: usize) -> Self {
        Self { max, state: Arc::default() }
    }

    /// Takes a slot for a new connection, which at first waits for its client.
    pub fn admit(&self) -> Admission {
        let mut state = self.state.lock();
        let open = state.connections.values().filter(|it| !*it.closed.borrow()).count();
        let is_full = open >= self.max;
        if is_full && !state.close_longest_waiting() {
            return Admission::Full;
        }
        let id = state.next_id;
        state.next_id += 1;
        let connection = Connection { waits_for_client: true, closed: watch::Sender::new(false) };
        state.connections.insert(id, connection);
        let slot = ConnectionSlot { state: self.state.clone(), id };
        if is_full { Admission::Replaced(slot) } else { Admission::Free(slot) }
    }
}

impl State {
    fn close_longest_waiting(&mut self) -> bool {
        let waiting =
            self.connections.values().find(|it| it.waits_for_client && !*it.closed.borrow());
        waiting.is_some_and(|connection| !connection.closed.send_replace(true))
    }
}

impl ConnectionSlot {
    /// Marks the connection as waiting for its client since now, or as in use.
    pub fn set_waits_for_client(&self, waits: bool) {
        let mut state = self.state.lock();
        let Some(mut connection) = state.connections.shift_remove(&self.id) else { return };
        connection.waits_for_client = waits;
        state.connections.insert(self.id, connection);
    }

    /// Waits until the connection must be closed for another.
    pub async fn closed(&self) {
        let closed = self.state.lock().connections.get(&self.id).map(|it| it.closed.subscribe());
        if let Some(mut closed) = closed {
            // The sender lives as long as the slot.
            let _ = closed.wait_for(|closed| *closed).await;
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.state.lock().connections.shift_remove(&self.id);
    }
}
