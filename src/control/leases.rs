//! Leases of entry hosts, as tracked by the control leader.
//!
//! The leader counts a lease from the receipt of the renewal and adds the clock drift
//! and a margin, so that a host has stopped its work before the leader removes it. An
//! earlier leader may have granted leases that a new leader does not know of; every
//! host therefore starts with a full lease.

use std::collections::BTreeMap;

use crate::{
    clock::Millis,
    ids::{HostId, Incarnation, Revision},
    settings::timing::LeaseTiming,
    state::model::{ClusterView, Command, Host},
    wire::control::RenewRequest,
};

/// Lease table of a leader.
#[derive(Debug)]
pub struct LeaseTable {
    timing: LeaseTiming,
    /// Leases of the hosts in the replicated view.
    hosts: BTreeMap<HostId, Lease>,
    /// Hosts that ask to join.
    joining: BTreeMap<HostId, JoiningHost>,
    /// Last removed incarnation of each host.
    removed: BTreeMap<HostId, Incarnation>,
}

/// Lease of a host in the view.
#[derive(Debug, Clone)]
pub struct Lease {
    pub host: Host,
    /// When the lease expires on the leader's clock.
    pub expires_at: Millis,
    /// Revision that the host has acknowledged.
    pub acked_revision: Revision,
    /// Latest revision that was sent to the host.
    pub sent_revision: Revision,
    /// Sending time of the last renewal on the host's clock; `None` until this leader
    /// receives a renewal.
    pub echo: Option<Millis>,
    /// When the removal was last proposed; no lease is granted after that.
    removal_proposed_at: Option<Millis>,
    /// When another change of the host was last proposed.
    change_proposed_at: Option<Millis>,
}

#[derive(Debug)]
struct JoiningHost {
    host: Host,
    echo: Millis,
    revision: Revision,
    last_renewal: Millis,
    join_proposed_at: Option<Millis>,
}

/// Decision about a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The host gets a lease.
    Granted,
    /// The host gets no lease at this time.
    Waiting,
    /// The host's incarnation was removed.
    Removed,
}

impl LeaseTable {
    /// Table of a host that became the leader at `now`.
    pub fn new(now: Millis, view: &ClusterView, timing: LeaseTiming) -> Self {
        let mut table = Self {
            timing,
            hosts: BTreeMap::new(),
            joining: BTreeMap::new(),
            removed: BTreeMap::new(),
        };
        for host in view.hosts.values() {
            table.set_host(now, &host.id, Some(host));
        }
        table
    }

    /// Processes a renewal; returns the decision and commands to propose.
    pub fn renew(&mut self, now: Millis, renew: &RenewRequest) -> (Decision, Vec<Command>) {
        let Some(lease) = self.hosts.get_mut(&renew.host.id) else {
            return self.renew_unknown(now, renew);
        };
        let known = lease.host.incarnation;
        if renew.host.incarnation < known {
            return (Decision::Removed, Vec::new());
        }
        if renew.host.incarnation > known {
            self.record_joining_host(now, renew);
            return (Decision::Waiting, Vec::new());
        }
        if lease.removal_proposed_at.is_some() {
            return (Decision::Waiting, Vec::new());
        }
        lease.acked_revision = renew.revision;
        lease.sent_revision = renew.revision;
        if renew.stopped {
            lease.expires_at = now;
            return (Decision::Waiting, lease.propose_removal(now));
        }
        lease.echo = Some(renew.sent_at);
        lease.expires_at = lease.expires_at.max(now + self.timing.expires_after());
        (Decision::Granted, lease.propose_changes(now, &renew.host, self.timing.proposal_retry))
    }

    fn renew_unknown(&mut self, now: Millis, renew: &RenewRequest) -> (Decision, Vec<Command>) {
        let host = &renew.host;
        if self.removed.get(&host.id).is_some_and(|removed| *removed >= host.incarnation) {
            return (Decision::Removed, Vec::new());
        }
        if renew.stopped || host.leaving {
            return (Decision::Waiting, Vec::new());
        }
        self.record_joining_host(now, renew);
        (Decision::Waiting, self.propose_joins(now))
    }

    fn record_joining_host(&mut self, now: Millis, renew: &RenewRequest) {
        let id = &renew.host.id;
        let previous = self.joining.get(id);
        if previous.is_some_and(|it| it.host.incarnation > renew.host.incarnation) {
            return;
        }
        let join_proposed_at = previous.and_then(|it| it.join_proposed_at);
        let joining_host = JoiningHost {
            host: renew.host.clone(),
            echo: renew.sent_at,
            revision: renew.revision,
            last_renewal: now,
            join_proposed_at,
        };
        self.joining.insert(id.clone(), joining_host);
    }

    /// Proposes the removal of hosts whose lease has expired, and pending joins.
    pub fn tick(&mut self, now: Millis) -> Vec<Command> {
        let repeat = self.timing.proposal_retry;
        let expired = self.hosts.values_mut().filter(|lease| {
            lease.expires_at <= now
                && lease.removal_proposed_at.is_none_or(|at| now.since(at) >= repeat)
        });
        let mut commands: Vec<_> = expired.flat_map(|lease| lease.propose_removal(now)).collect();
        commands.extend(self.propose_joins(now));
        commands
    }

    /// Proposes hosts for which no earlier incarnation holds a lease. A host that
    /// restarts after a crash waits until the earlier lease has expired, because its
    /// earlier connections may still be open.
    fn propose_joins(&mut self, now: Millis) -> Vec<Command> {
        let (repeat, forget) = (self.timing.proposal_retry, self.timing.forget_after);
        self.joining.retain(|_, joining_host| now.since(joining_host.last_renewal) < forget);
        let hosts = &self.hosts;
        let due = self.joining.iter_mut().filter(|(id, joining_host)| {
            !hosts.contains_key(*id)
                && joining_host.join_proposed_at.is_none_or(|at| now.since(at) >= repeat)
        });
        due.map(|(_, joining_host)| {
            joining_host.join_proposed_at = Some(now);
            Command::HostJoined(joining_host.host.clone())
        })
        .collect()
    }

    /// Applies a committed change of a host.
    pub fn set_host(&mut self, now: Millis, id: &HostId, host: Option<&Host>) {
        let known = self.hosts.get_mut(id);
        match (host, known) {
            (Some(host), Some(lease)) if lease.host.incarnation == host.incarnation => {
                lease.host = host.clone();
                lease.change_proposed_at = None;
            }
            (Some(host), _) => {
                let lease = self.new_lease(now, host);
                self.hosts.insert(id.clone(), lease);
            }
            (None, _) => {
                if let Some(lease) = self.hosts.remove(id) {
                    self.removed.insert(id.clone(), lease.host.incarnation);
                }
            }
        }
    }

    fn new_lease(&mut self, now: Millis, host: &Host) -> Lease {
        let joined = |joining_host: &JoiningHost| joining_host.host.incarnation == host.incarnation;
        let joining_host = self.joining.remove(&host.id).filter(joined);
        let revision =
            joining_host.as_ref().map_or(Revision(0), |joining_host| joining_host.revision);
        Lease {
            host: host.clone(),
            expires_at: now + self.timing.expires_after(),
            acked_revision: revision,
            sent_revision: revision,
            echo: joining_host.map(|joining_host| joining_host.echo),
            removal_proposed_at: None,
            change_proposed_at: None,
        }
    }

    /// Extends every lease to its full duration, because renewals may have arrived
    /// while the process did not run.
    pub fn extend_all(&mut self, now: Millis) {
        for lease in self.hosts.values_mut() {
            lease.expires_at = lease.expires_at.max(now + self.timing.expires_after());
        }
    }

    /// Records that the host was sent all changes up to `revision`.
    pub fn mark_sent(&mut self, id: &HostId, revision: Revision) {
        if let Some(lease) = self.hosts.get_mut(id) {
            lease.sent_revision = revision;
        }
    }

    /// Duration that a renewal grants, on the host's clock.
    pub fn lease_duration(&self) -> Millis {
        self.timing.lease
    }

    /// Leases in the order of host names.
    pub fn iter(&self) -> impl Iterator<Item = &Lease> {
        self.hosts.values()
    }

    pub fn get(&self, id: &HostId) -> Option<&Lease> {
        self.hosts.get(id)
    }

    /// Leases of hosts that have not been sent `revision` and accept pushed updates.
    pub fn leases_to_update(&mut self, revision: Revision) -> impl Iterator<Item = &mut Lease> {
        let hosts = self.hosts.values_mut();
        hosts.filter(move |lease| {
            lease.sent_revision < revision
                && lease.removal_proposed_at.is_none()
                && lease.echo.is_some()
        })
    }

    /// Whether the incarnation has acknowledged `revision` or holds no lease.
    pub fn is_acknowledged_or_expired(
        &self,
        now: Millis,
        id: &HostId,
        incarnation: Incarnation,
        revision: Revision,
    ) -> bool {
        let lease = self.hosts.get(id).filter(|lease| lease.host.incarnation == incarnation);
        lease.is_none_or(|lease| lease.expires_at <= now || lease.acked_revision >= revision)
    }

    /// Live hosts that have not acknowledged `revision`.
    pub fn unacknowledged_hosts(&self, now: Millis, revision: Revision) -> Vec<HostId> {
        let pending =
            self.hosts.values().filter(|it| it.expires_at > now && it.acked_revision < revision);
        pending.map(|lease| lease.host.id.clone()).collect()
    }
}

impl Lease {
    fn propose_removal(&mut self, now: Millis) -> Vec<Command> {
        self.removal_proposed_at = Some(now);
        let Host { id, incarnation, .. } = &self.host;
        vec![Command::HostLeft { host: id.clone(), incarnation: *incarnation }]
    }

    /// Proposes the changes of the host that a renewal reports.
    fn propose_changes(&mut self, now: Millis, host: &Host, repeat: Millis) -> Vec<Command> {
        let leaving = Host { leaving: true, ..self.host.clone() };
        let known = *host == self.host || (self.host.leaving && *host == leaving);
        if known || self.change_proposed_at.is_some_and(|at| now.since(at) < repeat) {
            return Vec::new();
        }
        self.change_proposed_at = Some(now);
        if host.leaving && !self.host.leaving {
            let Host { id, incarnation, .. } = host;
            return vec![Command::HostLeaving { host: id.clone(), incarnation: *incarnation }];
        }
        vec![Command::HostJoined(host.clone())]
    }
}
