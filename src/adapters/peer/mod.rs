//! Connections between entry hosts: framed TCP streams with multiplexed requests.
//!
//! Both sides authenticate with the shared host key before the first request (see
//! [`handshake`]). A response carries the ID of its request, so responses may arrive in
//! any order. Responses are sent in chunks and are complete only with their last chunk;
//! a lost connection fails all pending requests.

pub mod client;
pub mod frame;
pub mod handshake;
pub mod server;
