//! Runtime of an entry host.
//!
//! [`runtime`] starts the listeners; [`caller`] receives statements, which pass
//! [`admission`] and go to [`read`], [`write`] or [`transaction`]; [`dispatch`]
//! sends them to the owner of an instance. [`control`] renews the lease.

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
