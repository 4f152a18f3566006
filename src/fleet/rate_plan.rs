//! Division of a workspace's limit among the entry hosts.
//!
//! A host with enough demand gets a part of its own, with headroom, so that its callers
//! need no other host. The rest goes to the workspace's lenders, from which hosts with
//! little demand borrow single tokens: parts for all of them would be smaller than one
//! operation. If the demand exceeds the limit, the parts are scaled down in proportion.

use std::cmp::Reverse;

use crate::{
    fleet::{allocation::Fraction, config::FleetWorkspace, messages::EntryHost},
    ids::{HostId, Workspace},
    ownership::rendezvous::score,
};

/// Hosts that lend tokens of one workspace; the loss of one leaves the other.
pub const LENDERS: usize = 2;

/// Part of a host as a multiple of its demand. Within the bounds the part is kept, so that
/// random variations of the demand do not move parts.
const HEADROOM: f64 = 1.4;
const MIN_HEADROOM: f64 = 1.15;
const MAX_HEADROOM: f64 = 2.5;

/// Smallest part of a host that is no lender, in operations of burst.
const MIN_PART_TOKENS: f64 = 2.0;

/// Part that is left to the lenders.
const LENDERS_FRACTION: f64 = 0.1;

/// Smallest part that is left to each lender, in operations of burst.
const LENDER_TOKENS: f64 = 2.0;

/// Relative difference to the current allocation below which it is kept.
const TOLERANCE: f64 = 0.15;

/// Host among which a limit is divided.
#[derive(Debug, Clone, PartialEq)]
pub struct HostNeed<'a> {
    pub host: &'a HostId,
    /// Operations per second.
    pub demand: f64,
    /// Allocation in force.
    pub current: Fraction,
    /// Part in the last plan, without what the host gets as a lender.
    pub last_part: Option<Fraction>,
    pub is_lender: bool,
    /// The demand is not known yet: the host keeps what it has unless others need it.
    pub is_new: bool,
}

impl HostNeed<'_> {
    /// Whether the host has or gets anything of the limit.
    pub fn is_relevant(&self) -> bool {
        self.demand > 0.0
            || self.current > Fraction::NONE
            || self.last_part.is_some()
            || self.is_lender
    }
}

/// Planned allocation of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// Part for the host's own callers.
    pub part: Fraction,
    /// Part and what the host holds as a lender.
    pub total: Fraction,
}

/// Hosts that lend tokens of `workspace`, in the order in which they are asked.
pub fn lenders<'a>(
    workspace: &Workspace,
    hosts: impl IntoIterator<Item = &'a EntryHost>,
) -> Vec<&'a EntryHost> {
    let item = format!("limit\0{workspace}");
    let mut ranked: Vec<&EntryHost> = hosts.into_iter().collect();
    ranked.sort_by_cached_key(|host| Reverse((score(&item, &host.id), &host.id)));
    ranked.truncate(LENDERS);
    ranked
}

/// Divides `available` among `hosts`; the plans are in their order.
pub fn plan(limits: &FleetWorkspace, available: Fraction, hosts: &[HostNeed]) -> Vec<Planned> {
    let available = available.as_f64();
    let token = 1.0 / f64::from(limits.burst.max(1));
    let lender_count = hosts.iter().filter(|it| it.is_lender).count();
    let for_lenders = LENDERS_FRACTION.max(LENDER_TOKENS * token * lender_count as f64);
    let for_lenders = if lender_count == 0 { 0.0 } else { for_lenders.min(available) };
    let mut parts: Vec<f64> = hosts.iter().map(|it| needed_part(limits, it)).collect();
    scale_down(&mut parts, available - for_lenders);
    let mut kept: Vec<f64> = hosts.iter().map(kept_part).collect();
    scale_down(&mut kept, available - for_lenders - parts.iter().sum::<f64>());
    for ((part, kept), host) in parts.iter_mut().zip(kept).zip(hosts) {
        *part += kept;
        if *part < MIN_PART_TOKENS * token && !host.is_new {
            *part = 0.0;
        }
    }
    let rest = (available - parts.iter().sum::<f64>()).max(0.0) / lender_count.max(1) as f64;
    let planned = |(part, host): (f64, &HostNeed)| {
        let total = if host.is_lender { part + rest } else { part };
        Planned { part: Fraction::from_f64(part), total: tolerate(total, host, token) }
    };
    parts.into_iter().zip(hosts).map(planned).collect()
}

/// Part that a host would get if the limit sufficed for all.
fn needed_part(limits: &FleetWorkspace, host: &HostNeed) -> f64 {
    if host.is_new {
        return 0.0;
    }
    let need = host.demand / f64::from(limits.rate.max(1));
    let last = host.last_part.map(Fraction::as_f64);
    let keeps = |part: &f64| (MIN_HEADROOM * need..=MAX_HEADROOM * need).contains(part);
    last.filter(keeps).unwrap_or(HEADROOM * need)
}

/// Part that a host keeps until its demand is known.
fn kept_part(host: &HostNeed) -> f64 {
    if host.is_new && !host.is_lender { host.current.as_f64() } else { 0.0 }
}

/// Scales `parts` down so that their sum is at most `available`.
fn scale_down(parts: &mut [f64], available: f64) {
    let (sum, available) = (parts.iter().sum::<f64>(), available.max(0.0));
    if sum > available {
        parts.iter_mut().for_each(|part| *part *= available / sum);
    }
}

/// Allocation for a host that should get `total`: the current one if it differs little.
fn tolerate(total: f64, host: &HostNeed, token: f64) -> Fraction {
    let current = host.current.as_f64();
    let difference = (total - current).abs();
    let is_small = difference <= (TOLERANCE * current).max(token / 2.0);
    if total > 0.0 && current > 0.0 && is_small {
        return host.current;
    }
    Fraction::from_f64(total)
}
