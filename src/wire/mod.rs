//! Messages between processes.
//!
//! Messages between entry hosts are sent in frames over TCP, messages to and from
//! control hosts over the message bus; both are encoded with postcard, so the order,
//! number and types of fields and variants are the format. Announcements, requests to
//! targets and the operator API are JSON over HTTP.

pub mod announcement;
pub mod control;
pub mod group;
pub mod operator;
pub mod peer;
