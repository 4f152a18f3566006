//! Database proxy with session consistency.
//!
//! Decision modules are state machines without I/O: they take the time in
//! milliseconds and an event and return results or actions. Sockets, disks and
//! clocks are adapters in [`adapters`]. The binaries join both.

pub mod adapters;
pub mod capacity;
pub mod cli;
pub mod clock;
pub mod configuration;
pub mod control;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod ids;
pub mod keys;
pub mod limits;
pub mod load;
pub mod owner;
pub mod ownership;
pub mod pool;
pub mod promotion;
pub mod retry;
pub mod routing;
pub mod session;
pub mod settings;
pub mod state;
pub mod target;
pub mod wire;
