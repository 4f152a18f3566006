//! Connection of an entry host to the leader of the control group.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use eyre::{Result, bail};
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use tokio::time::{Instant, interval, timeout_at};

use crate::{
    clock::Millis,
    fleet::{
        document::decompress,
        link::{FrameReader, FrameWriter, connect, decode, encode, split_framed},
        messages::{Frame, Health, HostReport, HostUpdate, Redirect, TargetHealth, ViewRevision},
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

/// Shortest interval between reports that are sent before their usual time.
const URGENT_GAP: Duration = Duration::from_millis(100);

/// Silence of the leader after which another connection is tried. Below the rest of
/// a lease, so that a dead connection does not end it.
const SILENCE: Duration = Duration::from_millis(900);

/// Pause before the next host is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Addresses that are remembered.
const KEPT_ADDRESSES: usize = 16;

/// Control hosts that an entry host may ask, the most promising first.
#[derive(Debug, Default)]
pub struct ControlHosts {
    addresses: VecDeque<String>,
    seeds: Vec<String>,
}

impl ControlHosts {
    /// Directory that begins with the configured hosts.
    pub fn new(seeds: Vec<String>) -> Self {
        Self { addresses: seeds.iter().cloned().collect(), seeds }
    }

    /// Takes over new configured hosts.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        for seed in &seeds {
            self.add(seed);
        }
        self.seeds = seeds;
    }

    /// Address to ask next.
    pub fn next_address(&mut self) -> Option<String> {
        if self.addresses.is_empty() {
            self.addresses.extend(self.seeds.iter().cloned());
        }
        let next = self.addresses.pop_front()?;
        self.addresses.push_back(next.clone());
        Some(next)
    }

    /// Notes where the leader is said to be.
    pub fn redirect(&mut self, redirect: Redirect) {
        self.set_members(&redirect.members);
        if let Some(leader) = redirect.leader {
            self.addresses.retain(|addr| *addr != leader);
            self.addresses.push_front(leader);
        }
    }

    /// Notes the members of the control group.
    pub fn set_members(&mut self, members: &[String]) {
        for member in members {
            self.add(member);
        }
        while self.addresses.len() > KEPT_ADDRESSES {
            let gone = self.addresses.iter().position(|addr| !members.contains(addr));
            self.addresses.remove(gone.unwrap_or(0));
        }
    }

    fn add(&mut self, addr: &String) {
        if !self.addresses.contains(addr) {
            self.addresses.push_back(addr.clone());
        }
    }
}

/// Keeps a connection to the leader until the host has stopped.
pub async fn run<T: Targets>(
    cx: Rc<Cx<T>>,
    directory: Rc<RefCell<ControlHosts>>,
    incarnation: Incarnation,
) {
    let reported = RefCell::default();
    let mut link = Link { cx, directory, incarnation, leader_term: 0, reported };
    loop {
        let next = link.directory.borrow_mut().next_address();
        if let Some(addr) = next
            && let Err(error) = link.follow(&addr).await
        {
            spdlog::debug!("no leader at {addr}: {error:#}");
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

struct Link<T: Targets> {
    cx: Rc<Cx<T>>,
    directory: Rc<RefCell<ControlHosts>>,
    incarnation: Incarnation,
    /// Term of the leader that sent the last view.
    leader_term: u64,
    /// Commits that the leader at the present connection was told of.
    reported: RefCell<IndexMap<Service, Mark>>,
}

impl<T: Targets> Link<T> {
    /// Reports to the host at `addr` as long as it leads.
    async fn follow(&mut self, addr: &str) -> Result<()> {
        let (mut reader, mut writer) = split_framed(connect(addr).await?);
        let mut reports = interval(REPORT_INTERVAL);
        let mut heard = Instant::now();
        let mut first = true;
        let mut confirmed = self.confirmed();
        let mut phases = self.cx.phases();
        let mut reported = Instant::now();
        loop {
            tokio::select! {
                _ = reports.tick() => {
                    self.report(&mut writer, first).await?;
                    first = false;
                }
                read = timeout_at(heard + SILENCE, next_frame(&mut reader)) => {
                    let Ok(frame) = read else { bail!("the host is silent") };
                    heard = Instant::now();
                    match frame? {
                        Frame::Update(update) => {
                            let is_new_leader = self.apply(update)?;
                            // A change of the view or the configuration is confirmed at once.
                            if self.confirmed() != confirmed || is_new_leader {
                                confirmed = self.confirmed();
                                self.report(&mut writer, is_new_leader).await?;
                            }
                        }
                        Frame::NotLeader(redirect) => {
                            self.directory.borrow_mut().redirect(redirect);
                            bail!("the host does not lead");
                        }
                        _ => bail!("unexpected frame"),
                    }
                }
                () = self.cx.report_soon.notified(), if reported.elapsed() >= URGENT_GAP => {
                    reported = Instant::now();
                    self.report(&mut writer, false).await?;
                }
                // Another host takes over the targets as soon as this one begins to leave.
                Ok(()) = phases.changed() => self.report(&mut writer, false).await?,
            }
        }
    }

    fn confirmed(&self) -> (ViewRevision, u64) {
        let topology = self.cx.topology.borrow();
        (topology.revision(), topology.config.version)
    }

    async fn report(&self, writer: &mut FrameWriter, full: bool) -> Result<()> {
        let cx = &self.cx;
        let report = {
            let topology = cx.topology.borrow();
            HostReport {
                host: cx.settings.host.clone(),
                incarnation: self.incarnation,
                sent_at: cx.now(),
                config_version: topology.config.version,
                view_revision: topology.revision(),
                bus_addr: cx.settings.bus_addr.clone(),
                domain: cx.settings.domain.clone(),
                leaving: cx.phase() > Phase::Serving,
                usage: cx.rate_limiter.borrow_mut().take_usage(),
                targets: self.health(&topology),
                acknowledged: self.acknowledged(full),
                known_targets: if full { topology.known_targets() } else { Vec::new() },
            }
        };
        writer.send(encode(&Frame::Report(report))).await?;
        Ok(())
    }

    /// Health of the primaries and of the targets that fail; nobody decides on others.
    fn health(&self, topology: &Topology) -> Vec<TargetHealth> {
        let mut health = self.cx.health.borrow().report(self.cx.now());
        health.retain(|it| it.health != Health::Answering || topology.is_primary(&it.id));
        health
    }

    /// Newest commits that the leader has not been told of.
    fn acknowledged(&self, full: bool) -> Vec<(Service, Mark)> {
        let mut reported = self.reported.borrow_mut();
        if full {
            reported.clear();
        }
        let newest = self.cx.acknowledged.borrow();
        let unreported: Vec<(Service, Mark)> = newest
            .iter()
            .filter(|(service, mark)| reported.get(*service) != Some(*mark))
            .map(|(service, mark)| (service.clone(), *mark))
            .collect();
        reported.extend(unreported.iter().cloned());
        unreported
    }

    /// Takes over an update; returns whether it is the first of a new leader.
    fn apply(&mut self, update: HostUpdate) -> Result<bool> {
        let cx = &self.cx;
        if let Some(document) = update.config {
            let config = cx.targets.decode_config(&decompress(&document)?)?;
            if cx.topology.borrow_mut().set_config(config) {
                spdlog::info!("configuration in force", kv: {version = document.version});
            }
        }
        let mut is_new_leader = false;
        if let Some(view) = update.view {
            let newest = cx.topology.borrow().revision();
            if view.revision > newest {
                is_new_leader = view.revision.term != self.leader_term;
                self.leader_term = view.revision.term;
                self.directory.borrow_mut().set_members(&view.control_addrs);
                self.take_view(view);
            }
        }
        if let Some(shares) = update.shares {
            cx.rate_limiter.borrow_mut().set_shares(shares);
        }
        if let Some(parts) = update.demand_fractions {
            cx.rate_limiter.borrow_mut().set_parts(parts);
        }
        if update.lease > Millis(0) {
            cx.lease.borrow_mut().extend(update.echo, update.lease);
        }
        Ok(is_new_leader)
    }

    fn take_view(&self, view: crate::fleet::messages::FleetView) {
        let cx = &self.cx;
        spdlog::info!("view of the targets", kv: {term = view.revision.term, number = view.revision.number, targets = view.targets.len(), hosts = view.hosts.len(), changing = view.primaries.iter().filter(|it| it.changing).count()});
        let exists = |id: &crate::ids::InstanceId| view.targets.iter().any(|it| it.id == *id);
        cx.pools.retain(exists);
        cx.health.borrow_mut().retain(exists);
        cx.paths.borrow_mut().retain(exists);
        cx.owners.borrow_mut().retain(exists);
        cx.topology.borrow_mut().set_view(view);
        cx.trim_pools();
    }
}

async fn next_frame(reader: &mut FrameReader) -> Result<Frame> {
    match reader.next().await {
        Some(bytes) => decode(&bytes?),
        None => bail!("the connection has ended"),
    }
}
