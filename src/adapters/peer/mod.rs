//! Link between entry hosts: framed TCP streams that carry many requests at once.
//!
//! Both sides prove that they know the shared host key before the first request
//! (see [`handshake`]). Each request has an id that its answer repeats, so answers
//! may arrive in any order. Answers are sent in chunks, and only an answer with
//! its last chunk is complete; a lost connection fails all open requests.

pub mod client;
pub mod frame;
pub mod handshake;
pub mod server;
