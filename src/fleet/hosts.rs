//! Entry hosts as the leader knows them: leases, health reports and demand.

use indexmap::IndexMap;

use crate::{
    clock::Millis,
    fleet::{
        messages::{EntryHost, Health, HostReport, ViewRevision},
        shares::Demand,
    },
    ids::{FailureDomain, HostId, Incarnation, InstanceId, Mark, Service},
};

/// Lease of an entry host, counted by it from the sending of its report.
pub const LEASE: Millis = Millis(1_500);

/// Time after which the leader regards a lease as ended, from the receipt of the
/// report: the lease, a tenth of clock drift and the time to act on its end.
const LEASE_SPAN: Millis = Millis(1_750);

/// Silence after which a host no longer counts.
const FORGET_AFTER: Millis = Millis(5_000);

/// Age up to which a health report counts.
const HEALTH_AGE: Millis = Millis(1_200);

/// One entry host.
#[derive(Debug)]
pub struct Host {
    pub incarnation: Incarnation,
    pub config_version: u64,
    pub demand: Demand,
    addr: String,
    domain: FailureDomain,
    leaving: bool,
    heard: Millis,
    lease_until: Millis,
    view: ViewRevision,
    health: IndexMap<InstanceId, Health>,
    acknowledged: IndexMap<Service, Mark>,
}

/// Entry hosts that have reported to this leader.
#[derive(Debug)]
pub struct Hosts {
    hosts: IndexMap<HostId, Host>,
    /// Hosts that an earlier leader knew and that have not reported to this one.
    expected: IndexMap<HostId, EntryHost>,
    expected_until: Millis,
    /// When every lease of an earlier leader has ended.
    earlier_leases_end: Millis,
}

/// Hosts that can and cannot use a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Opinions {
    pub answering: usize,
    pub failing: usize,
    /// Longest time for which a host got no answer.
    pub longest: Millis,
    /// Shortest time for which a failing host got no answer.
    pub shortest: Option<Millis>,
}

impl Host {
    fn new(now: Millis, report: &HostReport) -> Self {
        Self {
            incarnation: report.incarnation,
            config_version: 0,
            demand: Demand::default(),
            addr: report.bus_addr.clone(),
            domain: report.domain.clone(),
            leaving: report.leaving,
            heard: now,
            lease_until: now,
            view: ViewRevision::default(),
            health: IndexMap::new(),
            acknowledged: IndexMap::new(),
        }
    }
}

impl Hosts {
    /// Table of a leader that starts at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            hosts: IndexMap::new(),
            expected: IndexMap::new(),
            expected_until: now,
            earlier_leases_end: now + LEASE_SPAN,
        }
    }

    /// Counts hosts that an earlier leader knew as owners until they report or have
    /// been silent for long: without them targets would change their owners, and
    /// their connections, with each change of the leader.
    pub fn expect<'a>(&mut self, now: Millis, hosts: impl Iterator<Item = &'a EntryHost>) {
        self.expected = hosts.map(|host| (host.id.clone(), host.clone())).collect();
        self.expected_until = now + FORGET_AFTER;
    }

    /// Notes a report and extends the host's lease; returns whether the
    /// hosts that may own targets changed.
    pub fn note(&mut self, now: Millis, report: &HostReport) -> bool {
        let is_new = self.get(&report.host).is_none_or(|it| it.incarnation != report.incarnation);
        if is_new {
            self.hosts.insert(report.host.clone(), Host::new(now, report));
        }
        let was_expected = self.expected.shift_remove(&report.host);
        let is_expected = was_expected.is_some_and(|host| {
            !report.leaving && host.addr == report.bus_addr && host.domain == report.domain
        });
        let host = &mut self.hosts[&report.host];
        let changed = (is_new && !is_expected) || host.leaving != report.leaving;
        host.leaving = report.leaving;
        host.heard = now;
        host.lease_until = now + LEASE_SPAN;
        host.view = report.view_revision;
        host.config_version = report.config_version;
        host.demand.note(now, &report.usage);
        host.health = report.targets.iter().map(|it| (it.id.clone(), it.health)).collect();
        for (service, mark) in &report.acknowledged {
            let newest = host.acknowledged.entry(service.clone()).or_default();
            *newest = (*newest).max(*mark);
        }
        changed
    }

    /// Forgets hosts that have been silent for long; returns whether there were any.
    pub fn forget_silent(&mut self, now: Millis) -> bool {
        let before = self.hosts.len() + self.expected.len();
        self.hosts.retain(|_, host| now.since(host.heard) < FORGET_AFTER);
        if now >= self.expected_until {
            self.expected.clear();
        }
        before != self.hosts.len() + self.expected.len()
    }

    /// Host by name.
    pub fn get(&self, id: &HostId) -> Option<&Host> {
        self.hosts.get(id)
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host has reported.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Hosts that may own targets.
    pub fn owners(&self) -> Vec<EntryHost> {
        let staying = self.hosts.iter().filter(|(_, host)| !host.leaving);
        let reported = staying.map(|(id, host)| EntryHost {
            id: id.clone(),
            addr: host.addr.clone(),
            domain: host.domain.clone(),
        });
        reported.chain(self.expected.values().cloned()).collect()
    }

    /// Demand of each host.
    pub fn demands(&self) -> impl Iterator<Item = (&HostId, &Demand)> + Clone {
        self.hosts.iter().map(|(id, host)| (id, &host.demand))
    }

    /// Whether every host has the view `revision` or has lost its lease.
    pub fn have_view(&self, now: Millis, revision: ViewRevision) -> bool {
        now >= self.earlier_leases_end
            && self.hosts.values().all(|host| host.view >= revision || host.lease_until <= now)
    }

    /// Newest commit that any host has seen acknowledged.
    pub fn acknowledged(&self, service: &Service) -> Option<Mark> {
        self.hosts.values().filter_map(|host| host.acknowledged.get(service)).max().copied()
    }

    /// What the hosts say of a target.
    pub fn opinions(&self, now: Millis, target: &InstanceId) -> Opinions {
        let mut opinions = Opinions::default();
        let fresh = self.hosts.values().filter(|host| now.since(host.heard) < HEALTH_AGE);
        for health in fresh.filter_map(|host| host.health.get(target)) {
            match health {
                Health::Answering => opinions.answering += 1,
                Health::Failing(span) => {
                    opinions.failing += 1;
                    opinions.longest = opinions.longest.max(*span);
                    let shortest = opinions.shortest.map_or(*span, |least| least.min(*span));
                    opinions.shortest = Some(shortest);
                }
            }
        }
        opinions
    }
}
