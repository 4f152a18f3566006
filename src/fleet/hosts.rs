//! Leader's table of entry hosts: leases and target health reports.

use indexmap::{IndexMap, IndexSet};

use crate::{
    clock::Millis,
    fleet::{
        host_processes::{HostProcess, HostProcesses},
        lost_hosts::{
            LostHost, LostHosts, ReportCoverage, ReportQuestion, ReportingHost, reports_tell_of,
            retain_relevant,
        },
        messages::{EntryHost, Health, HostReport, ViewRevision},
    },
    gateway::{load_signal::LoadReport, primary_proof::MAX_VIEW_AGE},
    ids::{FailureDomain, HostId, Incarnation, InstanceId, Mark, Service},
};

/// Lease duration of an entry host, which it counts from the time it sent its report.
pub const LEASE_DURATION: Millis = Millis(1_500);

/// Time from the receipt of a report until the leader regards the lease as expired: the
/// lease duration, 10 % for clock drift, and the time a host takes to act on the expiry.
pub const LEASE_EXPIRY: Millis = Millis(1_750);

/// Time from the last report of a host until the leader counts on the host not to use its
/// view any more: the maximum age of the view, and 10 % for clock drift.
pub const VIEW_EXPIRY: Millis = Millis(MAX_VIEW_AGE.0 + MAX_VIEW_AGE.0 / 10);

/// Time without a report after which a host is removed.
const HOST_TIMEOUT: Millis = Millis(5_000);

/// Maximum age of a host's report for its target health to count.
const MAX_HEALTH_AGE: Millis = Millis(1_200);

/// Entry host that has reported to this leader.
#[derive(Debug)]
pub struct Host {
    pub incarnation: Incarnation,
    pub config_version: u64,
    addr: String,
    domain: FailureDomain,
    leaving: bool,
    heard_at: Millis,
    lease_until: Millis,
    view_revision: ViewRevision,
    /// First view that names the host; `None` before, and while the host is leaving.
    listed_from: Option<ViewRevision>,
    health: IndexMap<InstanceId, Health>,
    load: Option<LoadReport>,
}

/// Entry hosts that have reported to this leader.
#[derive(Debug)]
pub struct Hosts {
    hosts: IndexMap<HostId, Host>,
    /// Hosts known to the previous leader that have not yet reported to this one.
    expected: IndexMap<HostId, EntryHost>,
    /// Processes known to the previous leader whose hosts have not yet reported to this one.
    unheard: IndexMap<HostId, LostHost>,
    expected_until: Millis,
    /// When this table was begun; hosts that are not in it had no contact since.
    since: Millis,
    /// When all leases granted by previous leaders have expired.
    previous_leases_end: Millis,
    /// Latest time at which a host that is no longer in the table may have had contact.
    removed_heard_at: Option<Millis>,
    /// Latest time at which the previous leader may have heard its hosts.
    previous_heard_at: Millis,
    /// Newest commits that any host has reported as acknowledged. They outlive the host.
    acknowledged: IndexMap<Service, Mark>,
    /// Until when commits may have been acknowledged that no host can report any more.
    unreported_until: Millis,
    /// Hosts whose own reports may lack commits that they acknowledged.
    lost: LostHosts,
}

/// Health of a target as reported by the hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HealthSummary {
    /// Hosts that get answers.
    pub answering: usize,
    /// Hosts that get no answers.
    pub failing: usize,
    /// Longest time for which a host got no answer.
    pub longest_failure: Millis,
    /// Shortest time for which a host got no answer; `None` if no host reports a failure.
    pub shortest_failure: Option<Millis>,
}

impl Host {
    fn new(now: Millis, report: &HostReport) -> Self {
        Self {
            incarnation: report.incarnation,
            config_version: 0,
            addr: report.bus_addr.clone(),
            domain: report.domain.clone(),
            leaving: report.leaving,
            heard_at: now,
            lease_until: now,
            view_revision: ViewRevision::default(),
            listed_from: None,
            health: IndexMap::new(),
            load: None,
        }
    }

    fn process(&self, id: &HostId) -> HostProcess {
        let (host, domain) = (id.clone(), self.domain.clone());
        HostProcess { host, incarnation: Some(self.incarnation), domain }
    }

    /// The host, as one that may have acknowledged commits until its lease ended.
    fn as_lost(&self, id: &HostId) -> LostHost {
        LostHost {
            process: self.process(id),
            view_revision: self.view_revision,
            until: self.lease_until,
            left_out_from: None,
        }
    }
}

impl Hosts {
    /// Empty table of a host that becomes the leader at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            hosts: IndexMap::new(),
            expected: IndexMap::new(),
            unheard: IndexMap::new(),
            expected_until: now,
            since: now,
            previous_leases_end: now + LEASE_EXPIRY,
            removed_heard_at: None,
            previous_heard_at: Millis(0),
            acknowledged: IndexMap::new(),
            unreported_until: now,
            lost: LostHosts::default(),
        }
    }

    /// Keeps the hosts known to the previous leader as eligible owners until they report or
    /// time out. Otherwise each leader change would move targets, and the connections to
    /// them, to other owners.
    pub fn expect_hosts<'a>(&mut self, now: Millis, hosts: impl Iterator<Item = &'a EntryHost>) {
        self.expected = hosts.map(|host| (host.id.clone(), host.clone())).collect();
        self.expected_until = now + HOST_TIMEOUT;
        if !self.expected.is_empty() {
            // The previous leader has not heard other hosts for at least the timeout.
            self.record_lost_host(Millis(now.0.saturating_sub(HOST_TIMEOUT.0)));
            self.previous_heard_at = now;
        }
        let leases_end = self.previous_leases_end;
        let unheard = |host: &EntryHost| {
            let (id, domain) = (host.id.clone(), host.domain.clone());
            let process = HostProcess { host: id.clone(), incarnation: None, domain };
            (id, LostHost::of_previous_leader(process, leases_end))
        };
        self.unheard = self.expected.values().map(unheard).collect();
    }

    /// Takes over the processes that the previous leader has stored, after the hosts.
    pub fn expect_processes(&mut self, now: Millis, processes: &HostProcesses) {
        self.expected_until = now + HOST_TIMEOUT;
        for process in &processes.current {
            let host = LostHost::of_previous_leader(process.clone(), self.previous_leases_end);
            self.unheard.insert(process.host.clone(), host);
        }
        for process in &processes.lost {
            // Its lease had ended when the previous leader stored it.
            self.lost.insert(LostHost::of_previous_leader(process.clone(), now));
        }
    }

    /// Processes that the next leader has to know of, if losses are settled until `settled_until`.
    pub fn processes(&self, settled_until: Millis) -> HostProcesses {
        let unheard = self.unheard.values().map(|host| host.process.clone());
        let heard = self.hosts.iter().map(|(id, host)| host.process(id));
        HostProcesses {
            current: unheard.chain(heard).collect(),
            lost: self.lost.unsettled(settled_until).cloned().collect(),
        }
    }

    /// Forgets losses that are settled at `settled_until` and that newer ones stand for.
    pub fn forget_settled_losses(&mut self, settled_until: Millis) {
        self.lost.forget_settled(settled_until);
    }

    /// Records a report and extends the host's lease; returns whether the eligible owners
    /// changed.
    pub fn record(&mut self, now: Millis, report: &HostReport) -> bool {
        let is_new = self.get(&report.host).is_none_or(|it| it.incarnation != report.incarnation);
        let expected = self.expected.shift_remove(&report.host);
        if is_new {
            let replaced = self.hosts.insert(report.host.clone(), Host::new(now, report));
            // An expected host may have restarted since the previous leader heard it.
            if replaced.is_some() || expected.is_some() {
                self.unreported_until = self.unreported_until.max(now);
            }
            self.record_process(now, report, replaced, expected.is_some());
        }
        let is_expected = expected.is_some_and(|host| {
            !report.leaving && host.addr == report.bus_addr && host.domain == report.domain
        });
        let host = &mut self.hosts[&report.host];
        let changed = (is_new && !is_expected) || host.leaving != report.leaving;
        host.leaving = report.leaving;
        if host.leaving {
            host.listed_from = None;
        }
        host.heard_at = now;
        host.lease_until = now + LEASE_EXPIRY;
        host.view_revision = report.view_revision;
        host.config_version = report.config_version;
        host.health = report.targets.iter().map(|it| (it.id.clone(), it.health)).collect();
        host.load = report.load;
        self.record_acknowledged(report);
        changed
    }

    /// Records the first report of a process, and the end of the one that it has replaced.
    fn record_process(
        &mut self,
        now: Millis,
        report: &HostReport,
        replaced: Option<Host>,
        is_expected: bool,
    ) {
        self.lost.remove_returned(&report.host, report.incarnation);
        let unheard = self.unheard.shift_remove(&report.host);
        let replaced = replaced
            .map(|host| host.as_lost(&report.host))
            .or(unheard.filter(|host| host.was_replaced_by(report)));
        if let Some(replaced) = replaced {
            // No host can have told a process that has ended since.
            let left_out_from = Some(ViewRevision::default());
            self.lost.insert(LostHost { until: now, left_out_from, ..replaced });
        } else if is_expected {
            // The views of the previous leader named the host.
            self.hosts[&report.host].listed_from = Some(ViewRevision::default());
        }
    }

    /// Notes that a new view names the hosts that may own targets.
    pub fn record_view(&mut self, revision: ViewRevision) {
        self.lost.record_view(revision);
        for host in self.hosts.values_mut().filter(|host| !host.leaving) {
            host.listed_from.get_or_insert(revision);
        }
    }

    /// Records the acknowledged commits in a report.
    pub fn record_acknowledged(&mut self, report: &HostReport) {
        for (service, mark) in &report.acknowledged {
            let newest = self.acknowledged.entry(service.clone()).or_default();
            *newest = (*newest).max(*mark);
        }
    }

    /// Removes hosts that have timed out; returns whether there were any.
    pub fn remove_silent(&mut self, now: Millis) -> bool {
        let before = self.hosts.len() + self.expected.len();
        let is_silent = |host: &Host| now.since(host.heard_at) >= HOST_TIMEOUT;
        let removed: Vec<(HostId, Host)> =
            self.hosts.extract_if(.., |_, host| is_silent(host)).collect();
        for (id, host) in removed {
            self.record_lost_host(host.heard_at);
            self.lost.insert(host.as_lost(&id));
        }
        if now >= self.expected_until {
            for (_, host) in std::mem::take(&mut self.unheard) {
                self.lost.insert(host);
            }
            if !std::mem::take(&mut self.expected).is_empty() {
                self.record_lost_host(self.previous_heard_at);
            }
        }
        before != self.hosts.len() + self.expected.len()
    }

    /// Records that a host may have been in contact until `heard_at` and is not in the table
    /// any more. It can commit until its view expires.
    fn record_lost_host(&mut self, heard_at: Millis) {
        self.removed_heard_at = self.removed_heard_at.max(Some(heard_at));
        self.unreported_until = self.unreported_until.max(heard_at + VIEW_EXPIRY);
    }

    /// Until when commits may have been acknowledged that no host can report any more: the host
    /// has ended, or it was lost by a previous leader or by this one.
    pub fn unreported_until(&self) -> Millis {
        self.unreported_until
    }

    pub fn get(&self, id: &HostId) -> Option<&Host> {
        self.hosts.get(id)
    }

    /// Number of hosts that have reported.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host has reported.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Hosts that may own targets: all that are not leaving, and those of the previous leader
    /// that have not yet reported.
    pub fn eligible_owners(&self) -> Vec<EntryHost> {
        let active = self.hosts.iter().filter(|(_, host)| !host.leaving);
        let reported = active.map(|(id, host)| EntryHost {
            id: id.clone(),
            addr: host.addr.clone(),
            domain: host.domain.clone(),
        });
        reported.chain(self.expected.values().cloned()).collect()
    }

    /// Whether every host whose lease may be valid has the view `revision` or a later one.
    pub fn all_have_view(&self, now: Millis, revision: ViewRevision) -> bool {
        now >= self.previous_leases_end
            && self
                .hosts
                .values()
                .all(|host| host.view_revision >= revision || host.lease_until <= now)
    }

    /// Whether every host that may still use its view at `at`, which may lie ahead, has `revision`
    /// or a later one.
    pub fn all_views_include(&self, at: Millis, revision: ViewRevision) -> bool {
        let is_too_old = |heard_at| at.since(heard_at) >= VIEW_EXPIRY;
        (self.expected.is_empty() || is_too_old(self.previous_heard_at))
            && self.removed_heard_at.is_none_or(is_too_old)
            && self
                .hosts
                .values()
                .all(|host| host.view_revision >= revision || is_too_old(host.heard_at))
    }

    /// Whether no host that the table never held can use its view at `at`: it had no contact since
    /// the table was begun.
    pub fn unknown_hosts_have_expired(&self, at: Millis) -> bool {
        at.since(self.since) >= VIEW_EXPIRY
    }

    /// Latest time up to which a host may have renewed a configuration older than `version`, which
    /// was committed at `committed_at`.
    pub fn last_renewal_before(&self, version: u64, committed_at: Millis) -> Millis {
        let behind = self.hosts.values().filter(|host| host.config_version < version);
        let heard_at = behind.map(|host| host.heard_at).chain(self.removed_heard_at).max();
        self.since.max(heard_at.unwrap_or_default().min(committed_at))
    }

    /// Number of hosts that have not confirmed `version` or a newer configuration.
    pub fn count_behind(&self, version: u64) -> usize {
        self.hosts.values().filter(|host| host.config_version < version).count()
    }

    /// Whether the reports tell of every commit that was acknowledged by a lease before all hosts
    /// had the view in `question`. [`lost_hosts`](crate::fleet::lost_hosts) says why.
    pub fn report_coverage(&self, question: &ReportQuestion<'_>) -> ReportCoverage {
        let ReportQuestion { now, confirmed, known_until, primary_domain } = *question;
        let is_behind = |(_, host): &(&HostId, &Host)| host.view_revision < confirmed;
        if self.hosts.iter().filter(is_behind).any(|(_, host)| host.lease_until > now) {
            return ReportCoverage::Pending;
        }
        let silent = self.hosts.iter().filter(is_behind).map(|(id, host)| host.as_lost(id));
        let unheard = self.unheard.values().cloned();
        let mut lost: Vec<LostHost> =
            self.lost.iter().cloned().chain(silent).chain(unheard).collect();
        let newest = lost.iter().map(|host| host.until).max();
        let Some(until) = newest.filter(|until| *until > known_until) else {
            return ReportCoverage::All;
        };
        retain_relevant(&mut lost, known_until);
        let reporting: Vec<ReportingHost<'_>> = self
            .hosts
            .iter()
            .filter(|it| !is_behind(it))
            .filter_map(|(id, host)| {
                let listed_from = host.listed_from?;
                Some(ReportingHost { host: id, domain: &host.domain, listed_from })
            })
            .collect();
        if reports_tell_of(&lost, &reporting, primary_domain) {
            ReportCoverage::AllIfSentAfter { until }
        } else {
            ReportCoverage::Unknown
        }
    }

    /// When the newest lease ended of a host that is out of contact.
    pub fn newest_loss(&self, now: Millis) -> Millis {
        let silent = self.hosts.values().map(|host| host.lease_until).filter(|it| *it <= now);
        let unheard = self.unheard.values().map(|host| host.until);
        silent.chain(unheard).max().unwrap_or_default().max(self.lost.until())
    }

    /// Until when hosts that are no longer in the table may have acknowledged commits.
    pub fn lost_until(&self) -> Millis {
        self.lost.until()
    }

    /// Whether the reports cover all hosts that may still use a primary: every known host has
    /// reported lately, and the others have lost contact long ago.
    pub fn reports_are_complete(&self, now: Millis) -> bool {
        self.lost_hosts_have_expired(now)
            && self.hosts.values().all(|host| now.since(host.heard_at) < MAX_HEALTH_AGE)
    }

    /// Whether no host outside of the table can use its view any more.
    fn lost_hosts_have_expired(&self, now: Millis) -> bool {
        self.expected.is_empty()
            && self.removed_heard_at.is_none_or(|heard_at| now.since(heard_at) >= VIEW_EXPIRY)
    }

    /// Newest acknowledged commit that any host has reported.
    pub fn acknowledged(&self, service: &Service) -> Option<Mark> {
        self.acknowledged.get(service).copied()
    }

    /// Summary of the hosts' recent reports on a target.
    pub fn health_summary(&self, now: Millis, target: &InstanceId) -> HealthSummary {
        let mut summary = HealthSummary::default();
        let fresh = self.hosts.values().filter(|host| now.since(host.heard_at) < MAX_HEALTH_AGE);
        for health in fresh.filter_map(|host| host.health.get(target)) {
            match health {
                Health::Answering => summary.answering += 1,
                Health::Failing(span) => {
                    summary.failing += 1;
                    summary.longest_failure = summary.longest_failure.max(*span);
                    let shortest =
                        summary.shortest_failure.map_or(*span, |shortest| shortest.min(*span));
                    summary.shortest_failure = Some(shortest);
                }
            }
        }
        summary
    }

    /// Hosts that lately reported being busy, or that most of the primaries which they use do
    /// not answer: the cause may be the host.
    pub fn doubtful(
        &self,
        now: Millis,
        is_primary: impl Fn(&InstanceId) -> bool,
    ) -> IndexSet<HostId> {
        let is_doubtful = |host: &Host| {
            let primaries = || host.health.iter().filter(|(id, _)| is_primary(id));
            let failing = primaries().filter(|(_, health)| **health != Health::Answering).count();
            failing * 2 > primaries().count() || host.load.is_some_and(LoadReport::is_busy)
        };
        let fresh = self.hosts.iter().filter(|(_, host)| now.since(host.heard_at) < MAX_HEALTH_AGE);
        fresh.filter(|(_, host)| is_doubtful(host)).map(|(id, _)| id.clone()).collect()
    }

    /// Number of hosts, except for those in `excluded`, that lately reported a target as failing.
    pub fn count_failing(
        &self,
        now: Millis,
        target: &InstanceId,
        excluded: &IndexSet<HostId>,
    ) -> usize {
        let is_failing = |host: &Host| {
            now.since(host.heard_at) < MAX_HEALTH_AGE
                && matches!(host.health.get(target), Some(Health::Failing(_)))
        };
        self.hosts.iter().filter(|(id, host)| is_failing(host) && !excluded.contains(*id)).count()
    }
}
