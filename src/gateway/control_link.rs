//! Connection of an entry host to the control leader.
//!
//! The host reports its state at intervals and receives the configuration, the view of the
//! fleet, rate limits and its lease in return.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use eyre::{Result, bail, eyre};
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use crate::{
    clock::Millis,
    fleet::{
        document::decompress,
        link::{FrameReader, FrameWriter, connect, decode, encode, split_framed},
        messages::{
            AllocationRevision, ConfigStatus, Frame, Health, HostReport, HostUpdate, LimitUpdate,
            Redirect, TargetHealth, ViewRevision,
        },
    },
    gateway::{
        cx::{Cx, Phase},
        ports::Targets,
        topology::Topology,
    },
    ids::{Incarnation, Mark, Service},
};

/// Interval between reports; three of them fit into a lease.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Silence of the leader after which the host reconnects. Below the remaining time of a
/// lease, so that a dead connection does not make it expire.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest time for which a host waits for the first answer of a leader, as a multiple of
/// [`SILENCE_TIMEOUT`]. It doubles with each connection that stays silent: a leader to which all
/// hosts return at once would otherwise work on reports of hosts that have given up.
const MAX_FIRST_ANSWER_FACTOR: u32 = 4;

/// Delay before the next control host is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(60);

/// Addresses of control hosts that are kept beside the configured ones.
const MAX_LEARNED_ADDRESSES: usize = 16;

/// Redirects that are followed in a row. Hosts that have lost the group may name each other.
const MAX_REDIRECTS: u32 = 3;

/// Addresses of the control hosts, with the one to try next at the front.
///
/// The configured addresses are always among them, and all are tried in turn, so one right
/// address suffices to find the leader.
#[derive(Debug, Default)]
pub struct ControlHosts {
    addresses: VecDeque<String>,
    /// Configured addresses; never evicted.
    seeds: Vec<String>,
    /// Leader named by the last host, to be tried out of turn.
    named_leader: Option<String>,
    /// Redirects followed since an address was last tried in turn.
    redirects: u32,
}

impl ControlHosts {
    /// Control hosts at the configured addresses.
    pub fn new(seeds: Vec<String>) -> Self {
        let mut hosts = Self::default();
        hosts.set_seeds(seeds);
        hosts
    }

    /// Replaces the configured addresses.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        for seed in &seeds {
            self.add(seed);
        }
        self.seeds = seeds;
    }

    /// Next address to try; it moves to the back.
    pub fn next_address(&mut self) -> Option<String> {
        if let Some(leader) = self.named_leader.take() {
            self.redirects += 1;
            self.addresses.retain(|addr| *addr != leader);
            self.addresses.push_back(leader.clone());
            return Some(leader);
        }
        self.redirects = 0;
        let next = self.addresses.pop_front()?;
        self.addresses.push_back(next.clone());
        Some(next)
    }

    /// Adds the members named by a control host, and tries the leader that it names next.
    pub fn redirect(&mut self, redirect: Redirect) {
        self.set_members(&redirect.members);
        if self.redirects < MAX_REDIRECTS {
            self.named_leader = redirect.leader;
        }
    }

    /// Adds the members of the control group; above [`MAX_LEARNED_ADDRESSES`], former members are
    /// removed first, and configured addresses never.
    pub fn set_members(&mut self, members: &[String]) {
        for member in members {
            self.add(member);
        }
        let max = MAX_LEARNED_ADDRESSES + self.seeds.len();
        while self.addresses.len() > max {
            let is_learned = |addr: &String| !self.seeds.contains(addr);
            let is_former = |addr: &String| is_learned(addr) && !members.contains(addr);
            let former = self.addresses.iter().position(is_former);
            let evicted = former.or_else(|| self.addresses.iter().position(is_learned));
            let Some(position) = evicted else { return };
            self.addresses.remove(position);
        }
    }

    fn add(&mut self, addr: &String) {
        if !self.addresses.contains(addr) {
            self.addresses.push_back(addr.clone());
        }
    }
}

/// Maintains a connection to the leader, and tries the control hosts in turn to find it.
pub async fn run<T: Targets>(
    cx: Rc<Cx<T>>,
    control_hosts: Rc<RefCell<ControlHosts>>,
    incarnation: Incarnation,
) {
    let reported_commits = RefCell::default();
    let mut link = ControlLink {
        cx,
        control_hosts,
        incarnation,
        leader_term: 0,
        primaries_changed: ViewRevision::default(),
        reported_commits,
        in_contact: false,
        failed_attempts: 0,
        first_answer_timeout: SILENCE_TIMEOUT,
    };
    loop {
        let next = link.control_hosts.borrow_mut().next_address();
        if let Some(addr) = next
            && let Err(error) = link.run_connection(&addr).await
        {
            link.record_end(&addr, &error);
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Versions of what the host has received from control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Versions {
    /// View with which the primaries last changed.
    primaries: ViewRevision,
    config: u64,
    allocations: AllocationRevision,
}

struct ControlLink<T: Targets> {
    cx: Rc<Cx<T>>,
    control_hosts: Rc<RefCell<ControlHosts>>,
    incarnation: Incarnation,
    /// Term of the leader that sent the last view.
    leader_term: u64,
    /// View with which the primaries last changed. Changes of hosts and other targets are
    /// confirmed with the next report: the leader waits for none of them.
    primaries_changed: ViewRevision,
    /// Commits reported to the leader on the current connection.
    reported_commits: RefCell<IndexMap<Service, Mark>>,
    /// Whether the leader has answered on the current connection.
    in_contact: bool,
    /// Connections that have ended without an answer of the leader since the last one with.
    failed_attempts: u32,
    /// Time for which the host waits for the first answer on the next connection.
    first_answer_timeout: Duration,
}

impl<T: Targets> ControlLink<T> {
    /// Reports to the host at `addr` as long as it is the leader.
    async fn run_connection(&mut self, addr: &str) -> Result<()> {
        let (mut reader, mut writer) = split_framed(connect(addr).await?);
        let mut reports = interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_received = Instant::now();
        let mut is_first = true;
        let mut confirmed = self.versions();
        let mut phases = self.cx.subscribe_phase();
        loop {
            tokio::select! {
                due = reports.tick() => {
                    self.record_loop_delay(due);
                    self.report(&mut writer, is_first).await?;
                    is_first = false;
                }
                read = timeout_at(last_received + self.silence_timeout(), next_frame(&mut reader)) => {
                    let Ok(frame) = read else { return Err(self.give_up()) };
                    last_received = Instant::now();
                    match frame? {
                        Frame::Update(update) => {
                            self.record_answer(addr);
                            let is_new_leader = self.apply(update)?;
                            // A change of the primaries, a new configuration or a new allocation
                            // is confirmed at once.
                            let versions = self.versions();
                            if versions != confirmed || is_new_leader {
                                confirmed = versions;
                                self.report(&mut writer, is_new_leader).await?;
                            }
                        }
                        Frame::NotLeader(redirect) => {
                            self.control_hosts.borrow_mut().redirect(redirect);
                            bail!("host is not the leader");
                        }
                        _ => bail!("unexpected frame"),
                    }
                }
                // A stop is reported at once, so that other hosts take over the targets early.
                Ok(()) = phases.changed() => self.report(&mut writer, false).await?,
            }
        }
    }

    /// Records the delay of the event loop at a timer that was due at `due`. Targets could not be
    /// heard meanwhile.
    fn record_loop_delay(&self, due: Instant) {
        let now = self.cx.now();
        let delay = Millis(due.elapsed().as_millis() as u64);
        self.cx.load.borrow_mut().record(now, delay);
        self.cx.health.borrow_mut().record_stall(now, delay);
        self.cx.direct_health.borrow_mut().record_stall(now, delay);
    }

    /// Silence after which the host gives the current connection up.
    fn silence_timeout(&self) -> Duration {
        if self.in_contact { SILENCE_TIMEOUT } else { self.first_answer_timeout }
    }

    /// Error for a connection that was silent for too long; the next one gets more time.
    fn give_up(&mut self) -> eyre::Report {
        let waited = self.silence_timeout();
        if !self.in_contact {
            let longest = SILENCE_TIMEOUT * MAX_FIRST_ANSWER_FACTOR;
            self.first_answer_timeout = (self.first_answer_timeout * 2).min(longest);
        }
        eyre!("no message within {} ms", waited.as_millis())
    }

    /// Logs the first answer of the leader on a connection.
    fn record_answer(&mut self, addr: &str) {
        if self.in_contact {
            return;
        }
        self.in_contact = true;
        self.first_answer_timeout = SILENCE_TIMEOUT;
        let (cx, attempts) = (&self.cx, std::mem::take(&mut self.failed_attempts));
        let silent = cx.now().since(cx.lease.borrow().contact_at());
        let config = cx.topology.borrow().config.version;
        spdlog::info!("control leader answers", kv: {addr, silent_ms = silent.0, attempts, config});
    }

    /// Logs the loss of the leader; attempts to find it are only counted.
    fn record_end(&mut self, addr: &str, error: &eyre::Report) {
        spdlog::debug!("connection to control host {addr} ended: {error:#}");
        if std::mem::take(&mut self.in_contact) {
            spdlog::info!("control leader lost", kv: {addr, error = format!("{error:#}").as_str()});
        } else {
            self.failed_attempts += 1;
        }
    }

    fn versions(&self) -> Versions {
        let topology = self.cx.topology.borrow();
        let allocations = self.cx.rate_limiter.borrow().allocation_age(self.cx.now()).0;
        let (primaries, config) = (self.primaries_changed, topology.config.version);
        Versions { primaries, config, allocations }
    }

    async fn report(&self, writer: &mut FrameWriter, full: bool) -> Result<()> {
        let cx = &self.cx;
        let report = {
            let topology = cx.topology.borrow();
            let mut rate_limiter = cx.rate_limiter.borrow_mut();
            HostReport {
                host: cx.settings.host.clone(),
                incarnation: self.incarnation,
                sent_at: cx.now(),
                config_version: topology.config.version,
                view_revision: topology.revision(),
                bus_addr: cx.settings.bus_addr.clone(),
                domain: cx.settings.domain.clone(),
                leaving: cx.phase() > Phase::Serving,
                usage: rate_limiter.take_usage(),
                targets: self.health(&topology),
                acknowledged: self.acknowledged(full),
                known_targets: if full { topology.known_targets() } else { Vec::new() },
                limits: Some(rate_limiter.report(cx.now())),
                load: cx.load.borrow_mut().busy_report(cx.now()),
            }
        };
        writer.send(encode(&Frame::Report(report))).await?;
        Ok(())
    }

    /// Health of primaries and of failing targets; control does not use that of others.
    fn health(&self, topology: &Topology) -> Vec<TargetHealth> {
        let mut health = self.cx.health.borrow().report(self.cx.now());
        health.retain(|it| it.health != Health::Answering || topology.is_primary(&it.id));
        health
    }

    /// Newest acknowledged commits that have not been reported to the leader.
    fn acknowledged(&self, full: bool) -> Vec<(Service, Mark)> {
        let mut reported_commits = self.reported_commits.borrow_mut();
        if full {
            reported_commits.clear();
        }
        let newest = self.cx.acknowledged.borrow();
        let unreported: Vec<(Service, Mark)> = newest
            .iter()
            .filter(|(service, mark)| reported_commits.get(*service) != Some(*mark))
            .map(|(service, mark)| (service.clone(), *mark))
            .collect();
        reported_commits.extend(unreported.iter().cloned());
        unreported
    }

    /// Applies an update; returns whether it holds the first view of a new leader.
    fn apply(&mut self, update: HostUpdate) -> Result<bool> {
        let cx = &self.cx;
        if let Some(document) = update.config {
            let config = cx.targets.decode_config(&decompress(&document)?)?;
            if cx.topology.borrow_mut().set_config(config) {
                let config = cx.topology.borrow().config.clone();
                cx.rate_limiter.borrow_mut().set_workspaces(cx.now(), &config.workspaces);
                spdlog::info!("configuration applied", kv: {version = document.version});
            }
        }
        let mut is_new_leader = false;
        if let Some(view) = update.view {
            let newest = cx.topology.borrow().revision();
            if view.revision > newest {
                is_new_leader = view.revision.term != self.leader_term;
                self.leader_term = view.revision.term;
                let changes_primaries = {
                    let old = &cx.topology.borrow().view;
                    view.primaries != old.primaries || view.successors != old.successors
                };
                if changes_primaries {
                    self.primaries_changed = view.revision;
                }
                self.control_hosts.borrow_mut().set_members(&view.control_addrs);
                self.apply_view(view);
            }
        }
        self.apply_limits(update.echo, update.limits);
        if update.lease > Millis(0) {
            let mut lease = cx.lease.borrow_mut();
            lease.extend(update.echo, update.lease);
            match update.config_status {
                Some(ConfigStatus::SupersededFor(span)) => {
                    lease.renew_config(Millis(update.echo.0.saturating_sub(span.0)));
                }
                Some(ConfigStatus::Outdated) => {}
                // Leaders of older builds say nothing of the configuration.
                None => lease.renew_config(update.echo),
            }
        }
        Ok(is_new_leader)
    }

    fn apply_limits(&self, echo: Millis, update: Option<LimitUpdate>) {
        let cx = &self.cx;
        let mut rate_limiter = cx.rate_limiter.borrow_mut();
        let Some(update) = update else {
            let hosts = cx.topology.borrow().view.hosts.len();
            rate_limiter.share_equally(cx.now(), echo, hosts);
            return;
        };
        if let Some(allocations) = &update.allocations {
            spdlog::info!("rate limit allocations received", kv: {term = update.revision.term, number = update.revision.number, workspaces = allocations.len()});
        }
        rate_limiter.apply(cx.now(), echo, update);
    }

    fn apply_view(&self, view: crate::fleet::messages::FleetView) {
        let cx = &self.cx;
        spdlog::info!("fleet view applied", kv: {term = view.revision.term, number = view.revision.number, targets = view.targets.len(), hosts = view.hosts.len(), changing = view.primaries.iter().filter(|it| it.changing).count()});
        let exists = |id: &crate::ids::InstanceId| view.targets.iter().any(|it| it.id == *id);
        cx.retain_targets(exists);
        cx.lenders.borrow_mut().set_hosts(cx.now(), &view.hosts);
        cx.commit_notices.retain_hosts(&view.hosts);
        {
            let mut topology = cx.topology.borrow_mut();
            topology.set_view(view);
            topology.record_draining(cx.now());
        }
        cx.apply_domains();
        cx.reset_searches();
        cx.trim_pools();
    }
}

async fn next_frame(reader: &mut FrameReader) -> Result<Frame> {
    match reader.next().await {
        Some(bytes) => decode(&bytes?),
        None => bail!("connection closed"),
    }
}
