//! Leases of entry hosts, as the control leader counts them.
//!
//! The leader counts a lease from the receipt of the renewal and adds the drift
//! and a margin, so the host has ended its work before the leader removes it. An
//! earlier leader may have granted leases that a new leader does not know of;
//! every host therefore starts with one whole lease.

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
    /// Hosts of the replicated view.
    hosts: BTreeMap<HostId, Lease>,
    /// Hosts that want to join.
    candidates: BTreeMap<HostId, Candidate>,
    /// Last removed incarnations.
    removed: BTreeMap<HostId, Incarnation>,
}

/// Lease of a host in the view.
#[derive(Debug, Clone)]
pub struct Lease {
    pub host: Host,
    /// When the lease ends for the leader.
    pub until: Millis,
    /// Revision that the host has acknowledged.
    pub revision: Revision,
    /// Revision that was last sent to the host.
    pub pushed: Revision,
    /// Sending time of the last renewal on the host's clock; `None` before the
    /// first renewal that this leader received.
    pub echo: Option<Millis>,
    /// When the removal was last proposed; from then on no lease is granted.
    removing: Option<Millis>,
    /// When another change of the host was last proposed.
    proposed: Option<Millis>,
}

#[derive(Debug)]
struct Candidate {
    host: Host,
    echo: Millis,
    revision: Revision,
    heard: Millis,
    proposed: Option<Millis>,
}

/// Answer to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Host gets the lease.
    Granted,
    /// Host gets no lease yet.
    Waiting,
    /// Incarnation was removed.
    Removed,
}

impl LeaseTable {
    /// Table of a host that became the leader at `now`.
    pub fn new(now: Millis, view: &ClusterView, timing: LeaseTiming) -> Self {
        let mut table = Self {
            timing,
            hosts: BTreeMap::new(),
            candidates: BTreeMap::new(),
            removed: BTreeMap::new(),
        };
        for host in view.hosts.values() {
            table.set_host(now, &host.id, Some(host));
        }
        table
    }

    /// Takes a renewal; returns what to answer and what to propose.
    pub fn renew(&mut self, now: Millis, renew: &RenewRequest) -> (Decision, Vec<Command>) {
        let Some(lease) = self.hosts.get_mut(&renew.host.id) else {
            return self.renew_unknown(now, renew);
        };
        let known = lease.host.incarnation;
        if renew.host.incarnation < known {
            return (Decision::Removed, Vec::new());
        }
        if renew.host.incarnation > known {
            self.note_candidate(now, renew);
            return (Decision::Waiting, Vec::new());
        }
        if lease.removing.is_some() {
            return (Decision::Waiting, Vec::new());
        }
        lease.revision = renew.revision;
        lease.pushed = renew.revision;
        if renew.stopped {
            lease.until = now;
            return (Decision::Waiting, lease.remove(now));
        }
        lease.echo = Some(renew.sent_at);
        lease.until = lease.until.max(now + self.timing.span());
        (Decision::Granted, lease.update(now, &renew.host, self.timing.repeat))
    }

    fn renew_unknown(&mut self, now: Millis, renew: &RenewRequest) -> (Decision, Vec<Command>) {
        let host = &renew.host;
        if self.removed.get(&host.id).is_some_and(|removed| *removed >= host.incarnation) {
            return (Decision::Removed, Vec::new());
        }
        if renew.stopped || host.leaving {
            return (Decision::Waiting, Vec::new());
        }
        self.note_candidate(now, renew);
        (Decision::Waiting, self.propose_joins(now))
    }

    fn note_candidate(&mut self, now: Millis, renew: &RenewRequest) {
        let id = &renew.host.id;
        let earlier = self.candidates.get(id);
        if earlier.is_some_and(|it| it.host.incarnation > renew.host.incarnation) {
            return;
        }
        let proposed = earlier.and_then(|it| it.proposed);
        let candidate = Candidate {
            host: renew.host.clone(),
            echo: renew.sent_at,
            revision: renew.revision,
            heard: now,
            proposed,
        };
        self.candidates.insert(id.clone(), candidate);
    }

    /// Proposes the removal of hosts whose lease has ended, and pending joins.
    pub fn tick(&mut self, now: Millis) -> Vec<Command> {
        let repeat = self.timing.repeat;
        let ended = self.hosts.values_mut().filter(|lease| {
            lease.until <= now && lease.removing.is_none_or(|at| now.since(at) >= repeat)
        });
        let mut commands: Vec<_> = ended.flat_map(|lease| lease.remove(now)).collect();
        commands.extend(self.propose_joins(now));
        commands
    }

    /// Joins of hosts without a lease of an earlier incarnation. A host restarted
    /// after a crash waits until the earlier lease has ended: its earlier
    /// connections may still be open.
    fn propose_joins(&mut self, now: Millis) -> Vec<Command> {
        let (repeat, forget) = (self.timing.repeat, self.timing.forget);
        self.candidates.retain(|_, candidate| now.since(candidate.heard) < forget);
        let hosts = &self.hosts;
        let due = self.candidates.iter_mut().filter(|(id, candidate)| {
            !hosts.contains_key(*id) && candidate.proposed.is_none_or(|at| now.since(at) >= repeat)
        });
        due.map(|(_, candidate)| {
            candidate.proposed = Some(now);
            Command::HostJoined(candidate.host.clone())
        })
        .collect()
    }

    /// Follows a committed change of a host.
    pub fn set_host(&mut self, now: Millis, id: &HostId, host: Option<&Host>) {
        let known = self.hosts.get_mut(id);
        match (host, known) {
            (Some(host), Some(lease)) if lease.host.incarnation == host.incarnation => {
                lease.host = host.clone();
                lease.proposed = None;
            }
            (Some(host), _) => {
                let lease = self.first_lease(now, host);
                self.hosts.insert(id.clone(), lease);
            }
            (None, _) => {
                if let Some(lease) = self.hosts.remove(id) {
                    self.removed.insert(id.clone(), lease.host.incarnation);
                }
            }
        }
    }

    fn first_lease(&mut self, now: Millis, host: &Host) -> Lease {
        let joined = |candidate: &Candidate| candidate.host.incarnation == host.incarnation;
        let candidate = self.candidates.remove(&host.id).filter(joined);
        let revision = candidate.as_ref().map_or(Revision(0), |candidate| candidate.revision);
        Lease {
            host: host.clone(),
            until: now + self.timing.span(),
            revision,
            pushed: revision,
            echo: candidate.map(|candidate| candidate.echo),
            removing: None,
            proposed: None,
        }
    }

    /// Gives every host one whole lease, because renewals may not have been
    /// processed while the process was frozen.
    pub fn extend_all(&mut self, now: Millis) {
        for lease in self.hosts.values_mut() {
            lease.until = lease.until.max(now + self.timing.span());
        }
    }

    /// Notes that the host was sent everything up to `revision`.
    pub fn mark_sent(&mut self, id: &HostId, revision: Revision) {
        if let Some(lease) = self.hosts.get_mut(id) {
            lease.pushed = revision;
        }
    }

    /// Lease that a renewal grants on the host's clock.
    pub fn lease_duration(&self) -> Millis {
        self.timing.lease
    }

    /// Leases in the order of the hosts' names.
    pub fn iter(&self) -> impl Iterator<Item = &Lease> {
        self.hosts.values()
    }

    /// Lease of a host.
    pub fn get(&self, id: &HostId) -> Option<&Lease> {
        self.hosts.get(id)
    }

    /// Hosts that may get unsolicited updates and lack `revision`.
    pub fn hosts_to_update(&mut self, revision: Revision) -> impl Iterator<Item = &mut Lease> {
        let hosts = self.hosts.values_mut();
        hosts.filter(move |lease| {
            lease.pushed < revision && lease.removing.is_none() && lease.echo.is_some()
        })
    }

    /// Whether the incarnation has acknowledged `revision` or its lease has ended.
    pub fn is_acknowledged_or_expired(
        &self,
        now: Millis,
        id: &HostId,
        incarnation: Incarnation,
        revision: Revision,
    ) -> bool {
        let lease = self.hosts.get(id).filter(|lease| lease.host.incarnation == incarnation);
        lease.is_none_or(|lease| lease.until <= now || lease.revision >= revision)
    }

    /// Live hosts that have not acknowledged `revision`.
    pub fn unacknowledged_hosts(&self, now: Millis, revision: Revision) -> Vec<HostId> {
        let pending = self.hosts.values().filter(|it| it.until > now && it.revision < revision);
        pending.map(|lease| lease.host.id.clone()).collect()
    }
}

impl Lease {
    fn remove(&mut self, now: Millis) -> Vec<Command> {
        self.removing = Some(now);
        let Host { id, incarnation, .. } = &self.host;
        vec![Command::HostLeft { host: id.clone(), incarnation: *incarnation }]
    }

    /// Proposes what the renewal changes in the view.
    fn update(&mut self, now: Millis, host: &Host, repeat: Millis) -> Vec<Command> {
        let leaving = Host { leaving: true, ..self.host.clone() };
        let known = *host == self.host || (self.host.leaving && *host == leaving);
        if known || self.proposed.is_some_and(|at| now.since(at) < repeat) {
            return Vec::new();
        }
        self.proposed = Some(now);
        if host.leaving && !self.host.leaving {
            let Host { id, incarnation, .. } = host;
            return vec![Command::HostLeaving { host: id.clone(), incarnation: *incarnation }];
        }
        vec![Command::HostJoined(host.clone())]
    }
}
