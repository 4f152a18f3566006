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
//! Beside that, a host with a lease tells another host of the commit
//! ([`commit_witness`](crate::gateway::commit_witness)), so that control learns of it although one
//! of the two is lost. If no host answers, it proceeds as a host without a lease does: what all
//! targets in its view hold needs no report.
//!
//! The rule counts at the moment of the acknowledgement, whatever held when the statement was
//! sent. Only answers to questions that were asked after the commit count.

use indexmap::IndexSet;

use crate::{
    clock::Millis,
    fleet::{failover::TargetStatus, messages::TargetRole},
    gateway::{
        lease::ControlLease,
        primary_proof::MAX_VIEW_AGE,
        topology::{ServiceView, Topology},
    },
    ids::{HostId, InstanceId, Mark, Service},
};

/// What a host acts on when it decides on a commit.
pub struct CommitCx<'a> {
    pub topology: &'a Topology,
    pub lease: &'a ControlLease,
    pub now: Millis,
    /// This host.
    pub own: &'a HostId,
    pub service: &'a Service,
    /// Target that has run the commit.
    pub committed_by: &'a InstanceId,
}

/// What a host knows of a commit that it has not acknowledged yet.
#[derive(Debug, Clone, Default)]
pub struct CommitProgress {
    /// Targets that hold the commit, beside the one that has run it.
    pub holders: IndexSet<InstanceId>,
    pub witness: Witness,
}

/// Whether another host knows of a commit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Witness {
    #[default]
    NotAsked,
    Told,
    /// No host has answered.
    Unreachable,
}

/// What a host does next about a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitStep {
    Acknowledge,
    /// Ask these targets whether they hold it.
    Ask(Vec<InstanceId>),
    /// Tell another host of it.
    Tell,
    /// It may not be acknowledged, whatever targets and hosts answer.
    Withhold,
}

/// Next step of a host on the way to the acknowledgement of a commit. A witness is told last, since
/// it reports the commit as one that was acknowledged.
pub fn next_step(cx: &CommitCx<'_>, progress: &CommitProgress) -> CommitStep {
    let CommitCx { topology, lease, now, own, service, committed_by } = *cx;
    let Some(required) = required_holders(topology, lease, now, service, committed_by) else {
        return CommitStep::Withhold;
    };
    let mut missing = without(required, &progress.holders);
    let may_be_unreported =
        lease.is_valid(now) && topology.view.hosts.iter().any(|it| it.id != *own);
    if missing.is_empty() && may_be_unreported {
        match progress.witness {
            Witness::NotAsked => return CommitStep::Tell,
            Witness::Told => {}
            Witness::Unreachable => {
                let all = all_in_view(topology, service, committed_by);
                missing = without(all, &progress.holders);
            }
        }
    }
    if missing.is_empty() { CommitStep::Acknowledge } else { CommitStep::Ask(missing) }
}

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
    Some(all_in_view(topology, service, committed_by))
}

/// All targets of the view that control may promote, except for the one that has run the commit.
fn all_in_view(
    topology: &Topology,
    service: &Service,
    committed_by: &InstanceId,
) -> Vec<InstanceId> {
    let Some(view) = topology.service(service) else { return Vec::new() };
    let targets = view.targets.iter().map(|target| &target.id);
    let mut holders = others(targets, committed_by);
    holders.extend(others(view.successors.iter(), committed_by));
    holders
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

fn without(ids: Vec<InstanceId>, except: &IndexSet<InstanceId>) -> Vec<InstanceId> {
    ids.into_iter().filter(|id| !except.contains(id)).collect()
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
