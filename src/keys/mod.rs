//! Authentication of callers, of hosts and of target announcements.

pub mod announcement;
pub mod authentication;
pub mod host;
pub mod key;
