//! Messages between the project's processes.
//!
//! All messages are encoded with postcard. Messages between entry hosts travel in
//! framed TCP streams, messages to and from control hosts over the message bus.

pub mod announcement;
pub mod control;
pub mod group;
pub mod operator;
pub mod peer;
