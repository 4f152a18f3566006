//! Entry hosts out of contact, whose last acknowledged commits may be in no report of theirs.
//!
//! A host tells another one of each commit before it acknowledges it by its lease
//! ([`commit_witness`](crate::gateway::commit_witness)), and both report it. So if one host is lost,
//! the reports of all others tell of its commits. Of the two hosts one at least is outside of the
//! failure domain of the primary, so the same holds if all lost hosts are in that domain. If others
//! are lost together, both may have been, and the reports do not suffice.
//!
//! The reports count that hosts have sent since the lost hosts' leases had ended: those that confirm
//! a view which was made later. What a host acknowledges without a lease is not meant here, as all
//! targets in its view hold it.
//!
//! The lost hosts that a leader counts are those it has lost itself, and those that the log names
//! ([`host_processes`](crate::fleet::host_processes)): processes that were lost before its time, and
//! those in contact with the previous leader that it does not hear, or whose host reports by another
//! process. A process that began to report in the last half second before the leader was lost is not
//! in the log. A leader also takes it that hosts of the previous leader named each other in their
//! views, although one may have joined just after another was lost.

use crate::{
    clock::Millis,
    fleet::{
        host_processes::HostProcess,
        messages::{HostReport, ViewRevision},
    },
    ids::{FailureDomain, HostId, Incarnation},
};

/// Entry host that may have acknowledged commits which it has not reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostHost {
    pub process: HostProcess,
    /// Newest view of this leader that the host has confirmed; the default if there is none.
    pub view_revision: ViewRevision,
    /// Until when the host may have acknowledged commits by a lease.
    pub until: Millis,
    /// First view without the host, in which no other host finds it any more. `None` until there
    /// is one.
    pub left_out_from: Option<ViewRevision>,
}

/// Host whose reports are up to date.
#[derive(Debug, Clone, Copy)]
pub struct ReportingHost<'a> {
    pub host: &'a HostId,
    pub domain: &'a FailureDomain,
    /// First view of this leader that names the host.
    pub listed_from: ViewRevision,
}

/// What the reports of all hosts are asked for before a promotion.
#[derive(Debug, Clone, Copy)]
pub struct ReportQuestion<'a> {
    pub now: Millis,
    /// View that hosts in contact must have confirmed.
    pub confirmed: ViewRevision,
    /// Time before which all acknowledged commits are known in another way.
    pub known_until: Millis,
    /// Failure domain of the primary, if it is known.
    pub primary_domain: Option<&'a FailureDomain>,
}

/// What the reports of all hosts tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportCoverage {
    /// All commits that were acknowledged before all hosts had the view.
    All,
    /// Hosts are out of contact. The reports of the others tell of their commits, if the view was
    /// made after `until`, when the leases of those hosts had ended.
    AllIfSentAfter { until: Millis },
    /// Not all hosts in contact have confirmed the view.
    Pending,
    /// Hosts are out of contact that may have told only each other.
    Unknown,
}

impl LostHost {
    /// Process that the previous leader knew, and that may have acknowledged commits under its views.
    pub fn of_previous_leader(process: HostProcess, until: Millis) -> Self {
        Self { process, view_revision: ViewRevision::default(), until, left_out_from: None }
    }

    /// Whether the process that sent `report` is another one.
    pub fn was_replaced_by(&self, report: &HostReport) -> bool {
        match self.process.incarnation {
            Some(incarnation) => incarnation != report.incarnation,
            // One that holds no view has started since the previous leader heard the host.
            None => report.view_revision == ViewRevision::default(),
        }
    }

    fn is_of(&self, host: &HostId) -> bool {
        self.process.host == *host
    }
}

/// Processes that are no longer in the leader's table. Several of a host may be lost.
#[derive(Debug, Default)]
pub struct LostHosts(Vec<LostHost>);

impl LostHosts {
    /// Adds a process.
    pub fn insert(&mut self, lost: LostHost) {
        self.0.retain(|host| host.process != lost.process);
        self.0.push(lost);
    }

    /// Until when the newest of them may have acknowledged commits.
    pub fn until(&self) -> Millis {
        self.0.iter().map(|host| host.until).max().unwrap_or_default()
    }

    /// Processes whose losses are not settled at `settled_until`.
    pub fn unsettled(&self, settled_until: Millis) -> impl Iterator<Item = &HostProcess> {
        self.0.iter().filter(move |host| host.until > settled_until).map(|host| &host.process)
    }

    /// Forgets the settled losses of hosts of which a newer process is lost as well.
    pub fn forget_settled(&mut self, settled_until: Millis) {
        let hosts: Vec<HostId> = self.0.iter().map(|host| host.process.host.clone()).collect();
        let mut later = hosts.iter();
        self.0.retain(|host| {
            later.next();
            host.until > settled_until || !later.clone().any(|id| host.is_of(id))
        });
    }

    /// Removes a process that reports again: its reports tell all that it knows.
    pub fn remove_returned(&mut self, id: &HostId, incarnation: Incarnation) {
        self.0.retain(|host| !(host.is_of(id) && host.process.incarnation == Some(incarnation)));
    }

    /// Notes a view that names none of the hosts.
    pub fn record_view(&mut self, revision: ViewRevision) {
        for host in &mut self.0 {
            host.left_out_from.get_or_insert(revision);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &LostHost> {
        self.0.iter()
    }
}

/// Keeps the hosts that may have acknowledged commits after `known_until`, and those that one of
/// them may have told of its commits.
pub fn retain_relevant(lost: &mut Vec<LostHost>, known_until: Millis) {
    let unknown = lost.iter().filter(|host| host.until > known_until);
    let Some(oldest_view) = unknown.map(|host| host.view_revision).min() else {
        return lost.clear();
    };
    lost.retain(|host| {
        let may_be_named = host.left_out_from.is_none_or(|left_out| oldest_view < left_out);
        host.until > known_until || may_be_named
    });
}

/// Whether the reports of `reporting` tell of all commits that the hosts in `lost` have acknowledged
/// by a lease at a primary in the failure domain `primary`, if that is known.
pub fn reports_tell_of(
    lost: &[LostHost],
    reporting: &[ReportingHost<'_>],
    primary: Option<&FailureDomain>,
) -> bool {
    let is_one =
        lost.first().is_some_and(|first| lost.iter().all(|host| host.is_of(&first.process.host)));
    let is_in_domain = |host: &LostHost| primary == Some(&host.process.domain);
    if !is_one && !lost.iter().all(is_in_domain) {
        return false;
    }
    // A host that knows of no other one tells nobody.
    lost.iter().all(|host| {
        reporting.iter().any(|other| {
            let is_usable = is_one || primary != Some(other.domain);
            is_usable && !host.is_of(other.host) && other.listed_from <= host.view_revision
        })
    })
}
