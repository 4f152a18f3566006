//! Rendezvous hashing over live hosts.
//!
//! Every host has a score for each item, and the host with the largest score owns the
//! item. When a host leaves, only the items that it owned move.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    ids::{FailureDomain, HostId},
    state::model::Host,
};

/// Score of `host` for `item`.
pub fn score(item: &str, host: &HostId) -> u64 {
    seeded_score(xxh3_64(item.as_bytes()), host)
}

/// Score for the item whose hash is `seed`. Does not allocate.
fn seeded_score(seed: u64, host: &HostId) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), seed)
}

/// Host with the largest score for `item`. Hosts that are leaving are skipped, and hosts
/// in `domain` are preferred.
pub fn owner<'a>(
    item: &str,
    hosts: impl Iterator<Item = &'a Host>,
    domain: Option<&FailureDomain>,
) -> Option<&'a Host> {
    let seed = xxh3_64(item.as_bytes());
    hosts.filter(|host| !host.leaving).max_by_key(|host| {
        let local = domain.is_none_or(|domain| *domain == host.failure_domain);
        (local, seeded_score(seed, &host.id), &host.id)
    })
}

/// Owner of `item`, and the host with the largest score in another failure domain.
pub fn owner_and_second<'a>(
    item: &str,
    hosts: impl Iterator<Item = &'a Host> + Clone,
) -> (Option<&'a Host>, Option<&'a Host>) {
    let first = owner(item, hosts.clone(), None);
    let Some(owner_host) = first else { return (None, None) };
    let other_domain = hosts
        .clone()
        .filter(|host| host.failure_domain != owner_host.failure_domain && !host.leaving);
    let second = owner(item, other_domain, None);
    (first, second)
}
