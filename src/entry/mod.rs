//! Runtime of an entry host, which accepts callers and routes their statements.
//!
//! [`runtime`] starts the listeners. [`caller`] receives statements, [`admission`]
//! authorizes and rate-limits them, and [`read`], [`write`] or [`transaction`] runs
//! them. [`dispatch`] sends a statement to the entry host that owns the connections
//! to an instance. [`control`] renews the lease and receives cluster view updates.

pub mod admission;
pub mod announcements;
pub mod caller;
pub mod control;
pub mod cx;
pub mod describe;
pub mod dispatch;
pub mod error;
pub mod http;
pub mod lease;
pub mod marks;
pub mod peers;
pub mod rate_limit;
pub mod read;
pub mod retries;
pub mod runtime;
pub mod shutdown;
pub mod tls;
pub mod transaction;
pub mod view;
pub mod write;
