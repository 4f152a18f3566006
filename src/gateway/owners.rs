//! Owner of a target: the entry host that holds the connections to it.
//!
//! Each target has an order of hosts, the same everywhere: first those in its failure
//! domain, then the others, each by rendezvous hashing. The first one that answers is
//! used. If two hosts use different owners for a time, the target's own bound on
//! connections still holds.

use std::cmp::Reverse;

use crate::{
    fleet::messages::{Announcement, EntryHost},
    ownership::rendezvous::score,
};

/// Hosts in the order in which they own `target`.
pub fn ranking<'a>(target: &Announcement, hosts: &'a [EntryHost]) -> Vec<&'a EntryHost> {
    let mut ranked: Vec<&EntryHost> = hosts.iter().collect();
    ranked.sort_by_key(|host| {
        let local = host.domain == target.domain;
        Reverse((local, score(&target.addr, &host.id), &host.id))
    });
    ranked
}
