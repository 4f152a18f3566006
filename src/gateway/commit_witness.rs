//! Which other entry host is told of a commit before it is acknowledged.
//!
//! The targets that gave the receipts of a commit may be unknown to control, or lose their logs. If
//! the host that acknowledged it is lost before it reports, and the primary as well, nobody else
//! would know that a candidate lacks the commit. So another host knows of it too: a witness, which
//! reports it as its own. The loss of one host then loses no report. A failure domain may lose power
//! as a whole, with the primary in it; so one of the two hosts is outside of the domain of the
//! primary.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet::messages::EntryHost,
    ids::{FailureDomain, HostId},
    ownership::rendezvous::score,
};

/// Hosts of `hosts` that may witness commits which `own` acknowledges at a primary in the domain
/// `primary`, ordered by preference: those in the own domain first, which answer soonest. The order
/// is the same for all commits of a host, so that it needs few connections.
pub fn rank_witnesses<'a>(
    hosts: &'a [EntryHost],
    own: &HostId,
    own_domain: &FailureDomain,
    primary: Option<&FailureDomain>,
) -> Vec<&'a EntryHost> {
    let others = || hosts.iter().filter(|host| host.id != *own);
    let is_outside = |host: &&EntryHost| host.domain != *own_domain;
    let may_share_loss = primary.is_none_or(|primary| primary == own_domain);
    let must_be_outside = may_share_loss && others().any(|host| is_outside(&host));
    let mut ranked: Vec<&EntryHost> =
        others().filter(|host| !must_be_outside || is_outside(host)).collect();
    let seed = xxh3_64(own.as_str().as_bytes()).to_string();
    ranked.sort_by_cached_key(|host| {
        (is_outside(host), Reverse(score(&seed, &host.id)), host.id.clone())
    });
    ranked
}
