//! Which targets must hold a commit before an entry host acknowledges it.
//!
//! An acknowledged commit must be in the log of every target that may lead later.
//! [`failover`](crate::fleet::failover) has the argument; this is the part of the entry hosts:
//!
//! - A host with a lease knows these targets: its view names them, and control promotes no
//!   other one before the host has confirmed a view that does.
//! - A host without a lease may not know them. It acknowledges what all targets in its view hold.
//!   Control promotes a target only if every view that a host may still use has it.
//!
//! The rule counts at the moment of the acknowledgement, whatever held when the statement was
//! sent. Only answers to questions that were asked after the commit count.

use crate::{
    clock::Millis,
    fleet::{failover::TargetStatus, messages::TargetRole},
    gateway::{
        lease::ControlLease,
        primary_proof::MAX_VIEW_AGE,
        topology::{ServiceView, Topology},
    },
    ids::{InstanceId, Mark, Service},
};

/// Targets that must hold a commit which `committed_by` has run, beside that target itself.
/// `None` if the commit may not be acknowledged, whatever targets answer.
pub fn required_holders(
    topology: &Topology,
    lease: &ControlLease,
    now: Millis,
    service: &Service,
    committed_by: &InstanceId,
) -> Option<Vec<InstanceId>> {
    let view = topology.service(service)?;
    if lease.is_valid(now) {
        return holders_in_view(view, committed_by);
    }
    if now.since(lease.contact_at()) >= MAX_VIEW_AGE {
        return None;
    }
    let targets = view.targets.iter().map(|target| &target.id);
    let mut holders = others(targets, committed_by);
    holders.extend(others(view.successors.iter(), committed_by));
    Some(holders)
}

/// Targets that may lead later, according to a view that the lease keeps valid. A primary that the
/// view has replaced may commit no more, unless its successor holds the commit.
fn holders_in_view(view: &ServiceView, committed_by: &InstanceId) -> Option<Vec<InstanceId>> {
    let primary = view.primary.as_ref().map(|target| &target.id);
    let mut holders = others(view.successors.iter(), committed_by);
    if primary == Some(committed_by) || view.successors.contains(committed_by) {
        return Some(holders);
    }
    holders.extend(primary.cloned());
    (!holders.is_empty()).then_some(holders)
}

fn others<'a>(
    targets: impl Iterator<Item = &'a InstanceId>,
    except: &InstanceId,
) -> Vec<InstanceId> {
    targets.filter(|id| *id != except).cloned().collect()
}

/// What an answer of a target says about a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    /// The target's log has the commit.
    Holds,
    /// The target has not received the commit yet.
    Lacks,
    /// The target leads or follows a later term, whose log may lack the commit.
    Diverged,
}

/// What `status` says about the commit at `position`.
pub fn holding(status: &TargetStatus, position: Mark) -> Holding {
    if status.role == TargetRole::Primary || status.received.term > position.term {
        Holding::Diverged
    } else if status.received >= position {
        Holding::Holds
    } else {
        Holding::Lacks
    }
}
